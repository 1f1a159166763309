package org.oakwalk.core.exchange;

import java.util.Comparator;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.placement.RunTimes;

/** Starts of tasks in room that is kept for them, or that is free. */
final class TaskStarter {
  private final Fleet fleet;
  private final Quota quota;
  private final Reserve reserve;
  private final RunTimes runTimes;
  private final Span suspectAfter;

  TaskStarter(Fleet fleet, Quota quota, Reserve reserve, RunTimes runTimes, Span suspectAfter) {
    this.fleet = fleet;
    this.quota = quota;
    this.reserve = reserve;
    this.runTimes = runTimes;
    this.suspectAfter = suspectAfter;
  }

  /** Whether this task of a job may start there now, if there is room; -1 stands for none. */
  boolean mayStart(Job job, int index, Machine machine, Moment now) {
    return index >= 0
        && machine.takesTasks(now, suspectAfter)
        && !machine.remembers(new TaskId(job.id(), index))
        && quota.allows(job, 1);
  }

  void place(Job job, int index, Machine machine, Moment now) {
    fleet.place(job, index, fleet.nextAttempt(), machine, runTimes.expected(job.spec()), now);
  }

  /** Starts up to so many of a job's waiting tasks there; returns how many. */
  int startUpTo(Job job, int tasks, Machine machine, Moment now) {
    int placed = 0;
    int index = job.nextPending(0, now);
    while (placed < tasks
        && job.spec().resources().fitsInto(reserve.free(job.spec(), machine))
        && mayStart(job, index, machine, now)) {
      place(job, index, machine, now);
      placed++;
      index = job.nextPending(index + 1, now);
    }
    return placed;
  }

  /** A machine with room for a task of this job, one with its image if there is one; or null. */
  Machine findMachine(Job job, Moment now) {
    return fleet.machines().stream()
        .filter(machine -> machine.takesTasks(now, suspectAfter))
        .filter(machine -> !machine.duty().fillsUp())
        .filter(
            machine ->
                job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                    && job.spec().resources().fitsInto(reserve.free(job.spec(), machine)))
        .max(Comparator.comparing((Machine m) -> m.hasImage(job.spec().image())))
        .orElse(null);
  }
}
