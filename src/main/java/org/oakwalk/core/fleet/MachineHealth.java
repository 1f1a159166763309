package org.oakwalk.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.job.Job;

/** Task outcomes on a machine that indicate a fault of the machine rather than of its jobs. */
final class MachineHealth {
  /** Late tasks, less timely ones, from which on the machine itself is considered slow. */
  private static final int SLOW_THRESHOLD = 3;

  /**
   * Errors of a single job, whose tasks complete elsewhere, from which on the machine is considered
   * faulty.
   */
  private static final int ERRORS_PER_JOB_THRESHOLD = 3;

  /** Jobs with errors from which on the machine is considered faulty. */
  private static final int FAILED_JOBS_THRESHOLD = 3;

  private final Map<Job, Integer> errorsByJob = new HashMap<>();
  private int lateScore;
  private boolean slow;

  int errorsOf(Job job) {
    return errorsByJob.getOrDefault(job, 0);
  }

  boolean faulty() {
    int jobs = 0;
    boolean succeedsElsewhere = false;
    for (Map.Entry<Job, Integer> entry : errorsByJob.entrySet()) {
      jobs += entry.getKey().isSuspect() ? 0 : 1;
      succeedsElsewhere |=
          entry.getValue() >= ERRORS_PER_JOB_THRESHOLD && entry.getKey().doneCount() > 0;
    }
    return jobs >= FAILED_JOBS_THRESHOLD || succeedsElsewhere;
  }

  void recordFailure(Job job) {
    errorsByJob.merge(job, 1, Integer::sum);
  }

  void recordSuccess() {
    errorsByJob.clear();
  }

  void recordLateTask() {
    lateScore++;
    slow |= lateScore >= SLOW_THRESHOLD;
  }

  void recordTimelyTask() {
    lateScore = Math.max(0, lateScore - 1);
  }

  boolean slow() {
    return slow;
  }
}
