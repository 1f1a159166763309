package org.oakwalk.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.job.Job;

/** How tasks fare on a machine, as far as that tells of the machine rather than of its jobs. */
final class Conduct {
  /** Late tasks, less those in time, after which the machine itself must be slow. */
  private static final int SLOW_AFTER = 3;

  /** Errors of one job, or jobs with errors, after which the machine itself is suspected. */
  private static final int MANY_ERRORS = 3;

  private static final int SEVERAL_JOBS = 3;

  private final Map<Job, Integer> errors = new HashMap<>();
  private int lateness;
  private boolean slow;

  int errorsOf(Job job) {
    return errors.getOrDefault(job, 0);
  }

  boolean faulty() {
    int jobs = 0;
    boolean elsewhere = false;
    for (Map.Entry<Job, Integer> entry : errors.entrySet()) {
      jobs += entry.getKey().isSuspect() ? 0 : 1;
      elsewhere |= entry.getValue() >= MANY_ERRORS && entry.getKey().doneCount() > 0;
    }
    return jobs >= SEVERAL_JOBS || elsewhere;
  }

  void failed(Job job) {
    errors.merge(job, 1, Integer::sum);
  }

  void succeeded() {
    errors.clear();
  }

  void late() {
    lateness++;
    slow |= lateness >= SLOW_AFTER;
  }

  void inTime() {
    lateness = Math.max(0, lateness - 1);
  }

  boolean slow() {
    return slow;
  }
}
