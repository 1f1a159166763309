package org.oakwalk.core.job;

import java.util.HashSet;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;

/**
 * Evidence that a job itself is at fault: its tasks fail on one machine after the other, and none
 * has completed. Such a job goes on by single probes with growing pauses, so that it takes no room
 * from others and has no machine blamed; the first task that completes, or runs for a while, clears
 * it. A probe that only begins to run does not: what fails everywhere begins to run as well.
 */
final class JobFaultDetector {
  private static final int SUSPECT_MACHINES = 3;

  /** On a small fleet fewer machines have to do, but more errors. */
  private static final int SUSPECT_MACHINES_SMALL_FLEET = 2;

  private static final int SUSPECT_ERRORS_SMALL_FLEET = 8;
  private static final Span MIN_PROBE_BACKOFF = Span.seconds(2);
  private static final Span MAX_PROBE_BACKOFF = Span.seconds(60);

  /** What runs for so long does not fail as the others did. */
  private static final Span HEALTHY_RUN_TIME = Span.seconds(5);

  private final Set<MachineId> failedMachines = new HashSet<>();
  private int errorCount;
  private boolean reportedByEarlierLeader;
  private Moment runningSince;
  private Span probeBackoff = MIN_PROBE_BACKOFF;
  private Moment nextProbe = new Moment(Long.MIN_VALUE / 2);

  /** Whether the evidence is enough. */
  boolean isSuspect() {
    return reportedByEarlierLeader
        || failedMachines.size() >= SUSPECT_MACHINES
        || (failedMachines.size() >= SUSPECT_MACHINES_SMALL_FLEET
            && errorCount >= SUSPECT_ERRORS_SMALL_FLEET);
  }

  /** Whether any of its tasks runs at present. */
  void setRunning(boolean on, Moment now) {
    runningSince = !on ? null : runningSince == null ? now : runningSince;
  }

  /** Looks whether something has run for long enough to clear it. */
  void clearAfterHealthyRun(Moment now) {
    if (runningSince != null && now.past(runningSince, HEALTHY_RUN_TIME)) {
      failedMachines.clear();
      errorCount = 0;
      reportedByEarlierLeader = false;
    }
  }

  /** An earlier leader had enough evidence. */
  void markSuspect() {
    reportedByEarlierLeader = true;
  }

  /** A task has failed; what fails while a pause lasts was started before it. */
  void recordFailure(MachineId machine, Moment now) {
    errorCount++;
    if (failedMachines.size() < SUSPECT_MACHINES) {
      failedMachines.add(machine);
    }
    if (isSuspect() && !nextProbe.isAfter(now)) {
      nextProbe = now.plus(probeBackoff);
      probeBackoff =
          probeBackoff.times(2).compareTo(MAX_PROBE_BACKOFF) > 0
              ? MAX_PROBE_BACKOFF
              : probeBackoff.times(2);
    }
  }

  /** Whether a probe may start. */
  boolean mayProbe(Moment now) {
    return !nextProbe.isAfter(now);
  }
}
