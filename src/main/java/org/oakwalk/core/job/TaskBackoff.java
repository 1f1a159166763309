package org.oakwalk.core.job;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;

/**
 * Delays the next attempts of a job's tasks that failed or were refused by their machines. Only a
 * bounded number of tasks is tracked one by one, since a mistake in a job of 100,000 tasks makes
 * all of them fail; the failures of further tasks delay all tasks that are not tracked.
 */
final class TaskBackoff {
  /** Tasks that are tracked one by one. */
  static final int MAX_TRACKED_TASKS = 2_000;

  private static final TimeSpan MIN_BACKOFF = TimeSpan.seconds(1);
  private static final TimeSpan MAX_BACKOFF = TimeSpan.seconds(60);

  /** The largest exponent of two by which a backoff grows. */
  private static final int MAX_DOUBLINGS = 6;

  /**
   * The largest exponent to which errors all over the job raise the backoff of any of its tasks.
   */
  private static final int MAX_DOUBLINGS_BY_JOB = 5;

  private static final int ERRORS_PER_DOUBLING = 8;

  /** Failures of a task that has not completed since, and the time of its next attempt. */
  private record Failures(int count, MonotonicTime notBefore) {}

  private final Map<Integer, Failures> byTask = new HashMap<>();
  private int errorCount;
  private MonotonicTime othersNotBefore = new MonotonicTime(Long.MIN_VALUE / 2);

  /**
   * Records a failure. The backoff doubles with each failure of the task, and errors all over the
   * job raise its minimum.
   *
   * @param error whether the task failed, rather than having been refused
   */
  void recordFailure(int index, boolean error, MonotonicTime now) {
    Failures before = byTask.get(index);
    int count = before == null ? 1 : before.count() + 1;
    errorCount += error ? 1 : 0;
    int byJob = error ? Math.min(MAX_DOUBLINGS_BY_JOB, errorCount / ERRORS_PER_DOUBLING) : 0;
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(count - 1, byJob));
    TimeSpan backoff = TimeSpan.millis(MIN_BACKOFF.millis() << doublings);
    MonotonicTime notBefore = now.plus(backoff.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : backoff);
    if (before != null || byTask.size() < MAX_TRACKED_TASKS) {
      byTask.put(index, new Failures(count, notBefore));
    } else if (notBefore.isAfter(othersNotBefore)) {
      othersNotBefore = notBefore;
    }
  }

  /** Returns whether the next attempt of a task may start. */
  boolean isOver(int index, MonotonicTime now) {
    Failures failures = byTask.get(index);
    if (failures != null) {
      return !failures.notBefore().isAfter(now);
    }
    return byTask.size() < MAX_TRACKED_TASKS || !othersNotBefore.isAfter(now);
  }

  /** Forgets the failures of a task that has completed. */
  void completed(int index) {
    byTask.remove(index);
  }

  /** Number of tasks that are tracked one by one. */
  int trackedCount() {
    return byTask.size();
  }
}
