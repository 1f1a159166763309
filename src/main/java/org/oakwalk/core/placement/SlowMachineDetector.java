package org.oakwalk.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.JobSpec;

/**
 * Detects slow machines, as opposed to slow jobs. A task is late if it runs far longer than other
 * tasks of its own job; a machine with several late tasks in succession is slow.
 */
public final class SlowMachineDetector {
  /**
   * Run time, relative to the mean of its job, above which a task is late. Fewer than one in a
   * hundred tasks on healthy machines exceed it.
   */
  private static final double LATE_FACTOR = 1.6;

  private final RunTimeEstimates runTimes;

  public SlowMachineDetector(RunTimeEstimates runTimes) {
    this.runTimes = runTimes;
  }

  /** Records the run time of a completed task. */
  public void completed(Placement placement, TimeSpan ran) {
    if (late(placement, ran)) {
      placement.machine().recordLateTask(placement);
    } else {
      placement.machine().recordTimelyTask(placement, comparable(placement, ran));
    }
  }

  /** Checks running tasks as well, since tasks on a slow machine take long to complete. */
  public void checkRunning(Collection<Machine> machines, MonotonicTime now) {
    for (Machine machine : machines) {
      for (Placement placement : machine.placements()) {
        if (placement.state() == Placement.State.RUNNING
            && late(placement, machine.lastReportAt().since(placement.runningSince()))) {
          machine.recordLateTask(placement);
        }
      }
    }
  }

  /** Whether a run time that is not late is known to be usual; without others, by the estimate. */
  private boolean comparable(Placement placement, TimeSpan ran) {
    JobSpec spec = placement.job().spec();
    return runTimes.typical(spec).isPresent()
        || ran.compareTo(runTimes.expected(spec).times(LATE_FACTOR)) <= 0;
  }

  private boolean late(Placement placement, TimeSpan ran) {
    Optional<TimeSpan> typicalRun = runTimes.typical(placement.job().spec());
    return placement.continuouslyObserved()
        && typicalRun.isPresent()
        && ran.compareTo(typicalRun.get().times(LATE_FACTOR)) > 0;
  }
}
