package org.oakwalk.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;

/**
 * Tells slow machines from slow jobs: a task is late if it runs far longer than others of its own
 * job did elsewhere, and a machine on which late tasks come one after the other is slow.
 */
public final class Pace {
  /**
   * Of tasks on sound machines fewer than one in a hundred took so much longer than its job's mean.
   */
  private static final double LATE = 1.6;

  private final RunTimes runTimes;

  public Pace(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** A task has completed after running this long. */
  public void completed(Placement placement, Span ran) {
    if (late(placement, ran)) {
      placement.machine().recordLateTask(placement);
    } else {
      placement.machine().recordTimelyTask();
    }
  }

  /** Looks at what is running, since tasks on a slow machine take long to complete. */
  public void survey(Collection<Machine> machines, Moment now) {
    for (Machine machine : machines) {
      for (Placement placement : machine.placements()) {
        if (placement.state() == Placement.State.RUNNING
            && late(placement, machine.lastReportAt().since(placement.runningSince()))) {
          machine.recordLateTask(placement);
        }
      }
    }
  }

  private boolean late(Placement placement, Span ran) {
    Optional<Span> usual = runTimes.usual(placement.job().spec());
    return placement.continuouslyObserved()
        && usual.isPresent()
        && ran.compareTo(usual.get().times(LATE)) > 0;
  }
}
