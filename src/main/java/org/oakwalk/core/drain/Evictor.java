package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;

/**
 * Empties one machine with little harm: replicas move, work that ends soon runs out, and what is
 * left when patience is over is stopped, first what saves its progress and last what loses most.
 */
final class Evictor {
  private final Fleet fleet;
  private final DisruptionLimiter disruptionLimiter;
  private final ReplicaMover replicaMover;

  Evictor(Fleet fleet, DisruptionLimiter gate, ReplicaMover mover) {
    this.fleet = fleet;
    this.disruptionLimiter = gate;
    this.replicaMover = mover;
  }

  /**
   * Does what can be done now.
   *
   * @param impatient whether work has had its time to run out
   * @return why not all that is due could be done, if so
   */
  Optional<String> evictTasks(Machine machine, boolean impatient, Moment now) {
    Optional<String> held = Optional.empty();
    List<Placement> left = new ArrayList<>(machine.placements());
    left.removeIf(Placement::halting);
    left.sort(Comparator.comparingDouble(placement -> lostSeconds(placement, now)));
    for (Placement placement : left) {
      if (placement.halting()) {
        continue;
      }
      if (placement.job().spec().gang()) {
        Optional<String> why = impatient ? stopGang(placement.job()) : Optional.empty();
        held = held.or(() -> why);
      } else if (placement.job().spec().service()) {
        if (!replicaMover.tryMove(placement, impatient, now)) {
          held = Optional.of("replicas of " + placement.job().spec().team() + " have to stay yet");
        }
      } else if (impatient) {
        if (disruptionLimiter.allows(List.of(placement))) {
          fleet.halt(placement, placement.job().spec().saveTime(), Fleet.Why.DRAINED);
        } else {
          held = Optional.of("budget of " + placement.job().spec().team());
        }
      }
    }
    return held;
  }

  /** Seconds of work that a stop would lose; what saves loses none. */
  private static double lostSeconds(Placement placement, Moment now) {
    if (placement.job().spec().checkpointEvery().millis() > 0) {
      return 0;
    }
    Moment running = placement.runningSince();
    return running == null ? 0 : now.since(running).asSeconds();
  }

  /** A gang moves whole or not at all: all its tasks stop together if there is room elsewhere. */
  private Optional<String> stopGang(Job job) {
    List<Placement> tasks = fleet.placementsOf(job);
    int room = 0;
    for (Machine machine : fleet.machines()) {
      room += staysInUse(machine) ? replicaMover.unreserved(machine).count(job.spec().room()) : 0;
    }
    for (Placement task : tasks) {
      room += staysInUse(task.machine()) ? 1 : 0;
    }
    if (room < job.spec().tasks()) {
      return Optional.of("no room for gang " + job.id());
    }
    if (!disruptionLimiter.allows(tasks)) {
      return Optional.of("budget of " + job.spec().team());
    }
    Span grace = job.spec().saveTime();
    tasks.forEach(task -> fleet.halt(task, grace, Fleet.Why.DRAINED));
    return Optional.empty();
  }

  private static boolean staysInUse(Machine machine) {
    return machine.duty() == Duty.IN_USE && machine.state() == Machine.State.UP;
  }
}
