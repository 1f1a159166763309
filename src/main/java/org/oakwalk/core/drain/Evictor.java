package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;

/**
 * Removes the tasks of a machine that is drained, with little loss of work. Replicas are moved;
 * other tasks may finish until the drain timeout. The remaining tasks are stopped, those that lose
 * the least work first; tasks with checkpoints lose none.
 */
final class Evictor {
  private final Fleet fleet;
  private final DisruptionLimiter disruptionLimiter;
  private final ReplicaMover replicaMover;

  Evictor(Fleet fleet, DisruptionLimiter disruptionLimiter, ReplicaMover replicaMover) {
    this.fleet = fleet;
    this.disruptionLimiter = disruptionLimiter;
    this.replicaMover = replicaMover;
  }

  /**
   * Moves and stops tasks as far as is possible now.
   *
   * @param timedOut whether the drain timeout has passed
   * @return why some tasks that are due could not be moved or stopped, if that is so
   */
  Optional<String> evictTasks(Machine machine, boolean timedOut, MonotonicTime now) {
    Optional<String> blockedBy = Optional.empty();
    List<Placement> remaining = new ArrayList<>(machine.placements());
    remaining.removeIf(Placement::halting);
    remaining.sort(Comparator.comparingDouble(placement -> lostSeconds(placement, now)));
    for (Placement placement : remaining) {
      if (placement.halting()) {
        continue;
      }
      if (placement.job().spec().gang()) {
        Optional<String> reason = timedOut ? stopGang(placement.job()) : Optional.empty();
        blockedBy = blockedBy.or(() -> reason);
      } else if (placement.job().spec().service()) {
        if (!replicaMover.tryMove(placement, timedOut, now)) {
          blockedBy =
              Optional.of("no target or budget for replicas of " + placement.job().spec().team());
        }
      } else if (timedOut) {
        if (disruptionLimiter.allows(List.of(placement))) {
          fleet.halt(
              placement, placement.job().spec().checkpointDuration(), Fleet.StopReason.DRAINED);
        } else {
          blockedBy = Optional.of("budget of " + placement.job().spec().team());
        }
      }
    }
    return blockedBy;
  }

  /** Seconds of work that a stop would lose; none for tasks with checkpoints. */
  private static double lostSeconds(Placement placement, MonotonicTime now) {
    if (placement.job().spec().checkpointInterval().millis() > 0) {
      return 0;
    }
    MonotonicTime running = placement.runningSince();
    return running == null ? 0 : now.since(running).asSeconds();
  }

  /**
   * Stops all tasks of a gang together if the whole gang fits elsewhere; otherwise none of them.
   */
  private Optional<String> stopGang(Job job) {
    List<Placement> tasks = fleet.placementsOf(job);
    int slots = 0;
    for (Machine machine : fleet.machines()) {
      slots +=
          staysInUse(machine)
              ? replicaMover.unreserved(machine).capacityFor(job.spec().resources())
              : 0;
    }
    for (Placement task : tasks) {
      slots += staysInUse(task.machine()) ? 1 : 0;
    }
    if (slots < job.spec().tasks()) {
      return Optional.of("no capacity for gang " + job.id());
    }
    if (!disruptionLimiter.allows(tasks)) {
      return Optional.of("budget of " + job.spec().team());
    }
    TimeSpan grace = job.spec().checkpointDuration();
    tasks.forEach(task -> fleet.halt(task, grace, Fleet.StopReason.DRAINED));
    return Optional.empty();
  }

  /** Returns whether a machine is up and not about to be drained. */
  private static boolean staysInUse(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.ACTIVE && machine.state() == Machine.State.UP;
  }
}
