package org.oakwalk.core.job;

import java.util.HashSet;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;

/**
 * Detects jobs that are at fault themselves: their tasks fail on several machines, and none has
 * completed.
 *
 * <p>A suspect job is limited to single probe tasks with exponential backoff, so that it takes no
 * resources from other jobs and no machine is blamed for its failures. The job is cleared by the
 * first task that completes or runs for {@link #HEALTHY_RUN_TIME}. A probe that merely starts does
 * not clear it, because tasks of a faulty job also start before they fail.
 */
final class JobFaultDetector {
  /** Number of machines with failed tasks from which a job is suspect. */
  private static final int SUSPECT_MACHINES = 3;

  /**
   * Small fleets have too few machines for the rule above; fewer suffice if there are more errors.
   */
  private static final int SUSPECT_MACHINES_SMALL_FLEET = 2;

  private static final int SUSPECT_ERRORS_SMALL_FLEET = 8;
  private static final TimeSpan MIN_PROBE_BACKOFF = TimeSpan.seconds(2);
  private static final TimeSpan MAX_PROBE_BACKOFF = TimeSpan.seconds(60);

  /** A task that runs for this long does not fail the way the earlier ones did. */
  private static final TimeSpan HEALTHY_RUN_TIME = TimeSpan.seconds(5);

  private final Set<MachineId> failedMachines = new HashSet<>();
  private int errorCount;
  private boolean reportedByEarlierLeader;
  private MonotonicTime runningSince;
  private TimeSpan probeBackoff = MIN_PROBE_BACKOFF;
  private MonotonicTime nextProbe = new MonotonicTime(Long.MIN_VALUE / 2);

  /** Returns whether the failures indicate that the job is at fault. */
  boolean isSuspect() {
    return reportedByEarlierLeader
        || failedMachines.size() >= SUSPECT_MACHINES
        || (failedMachines.size() >= SUSPECT_MACHINES_SMALL_FLEET
            && errorCount >= SUSPECT_ERRORS_SMALL_FLEET);
  }

  /** Returns the number of machines on which tasks have failed, up to the number that matters. */
  int failedMachineCount() {
    return failedMachines.size();
  }

  /** Records whether any task of the job is running now. */
  void setRunning(boolean anyRunning, MonotonicTime now) {
    runningSince = !anyRunning ? null : runningSince == null ? now : runningSince;
  }

  /** Clears the suspicion if tasks of the job have been running for {@link #HEALTHY_RUN_TIME}. */
  void clearAfterHealthyRun(MonotonicTime now) {
    if (runningSince != null && now.isPast(runningSince, HEALTHY_RUN_TIME)) {
      failedMachines.clear();
      errorCount = 0;
      reportedByEarlierLeader = false;
    }
  }

  /** Marks the job as suspect because an earlier leader found it to be. */
  void markSuspect() {
    reportedByEarlierLeader = true;
  }

  /**
   * Records a failed task. Failures during a probe backoff don't extend it, because those tasks
   * were started before it.
   */
  void recordFailure(MachineId machine, MonotonicTime now) {
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

  /** Returns whether a probe task may start. */
  boolean mayProbe(MonotonicTime now) {
    return !nextProbe.isAfter(now);
  }
}
