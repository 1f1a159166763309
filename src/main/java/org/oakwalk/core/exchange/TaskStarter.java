package org.oakwalk.core.exchange;

import java.util.Comparator;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.placement.CapacityReserve;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.RunTimeEstimates;

/** Starts tasks in room that is reserved for them, or that is free. */
final class TaskStarter {
  private final Fleet fleet;
  private final Quota quota;
  private final CapacityReserve reserve;
  private final RunTimeEstimates runTimes;
  private final TimeSpan suspectAfter;

  TaskStarter(
      Fleet fleet,
      Quota quota,
      CapacityReserve reserve,
      RunTimeEstimates runTimes,
      TimeSpan suspectAfter) {
    this.fleet = fleet;
    this.quota = quota;
    this.reserve = reserve;
    this.runTimes = runTimes;
    this.suspectAfter = suspectAfter;
  }

  /**
   * Returns whether a task may start on a machine now, given room; an index of -1 means no task.
   */
  boolean mayStart(Job job, int index, Machine machine, MonotonicTime now) {
    return index >= 0
        && machine.acceptsTasks(now, suspectAfter)
        && !machine.refusesNewAttempt(new TaskId(job.id(), index))
        && quota.allows(job, 1);
  }

  void place(Job job, int index, Machine machine, MonotonicTime now) {
    fleet.place(job, index, fleet.nextAttempt(), machine, runTimes.expected(job.spec()), now);
  }

  /** Starts up to the given number of a job's pending tasks; returns the number started. */
  int startUpTo(Job job, int maxTasks, Machine machine, MonotonicTime now) {
    int placed = 0;
    int index = job.nextPending(0, now);
    while (placed < maxTasks
        && job.spec().resources().fitsInto(reserve.freeFor(job.spec(), machine))
        && mayStart(job, index, machine, now)) {
      place(job, index, machine, now);
      placed++;
      index = job.nextPending(index + 1, now);
    }
    return placed;
  }

  /**
   * Returns a machine with room for a task, preferably one with its image; null if there is none.
   */
  Machine findMachine(Job job, MonotonicTime now) {
    return fleet.machines().stream()
        .filter(machine -> machine.acceptsTasks(now, suspectAfter))
        .filter(machine -> !machine.schedulingMode().backfillOnly())
        .filter(
            machine ->
                job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                    && job.spec().resources().fitsInto(reserve.freeFor(job.spec(), machine)))
        .max(Comparator.comparing((Machine m) -> m.hasImage(job.spec().image())))
        .orElse(null);
  }
}
