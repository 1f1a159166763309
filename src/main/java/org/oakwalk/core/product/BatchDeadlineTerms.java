package org.oakwalk.core.product;

import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;

/**
 * Recurring deadline by which the batch work of some classes or teams should be done, declared as a
 * {@code dawn}. It recurs either daily at a local time, or at a fixed interval counted from the
 * epoch.
 *
 * @param name unique name; letters, digits, dashes
 * @param daily the daily local time; empty if the deadline recurs at an interval
 * @param interval the time between two deadlines; empty if the deadline is daily
 * @param windowLength the time before each deadline at which its window opens; used with an
 *     interval
 * @param classes the job classes that the deadline applies to; all if empty
 * @param teams the teams that the deadline applies to; all if empty
 * @param safetyMargin the time before the deadline by which all work should be done
 * @param runTimeQuantile the quantile of the run times that the plan relies on, such as 0.9
 */
public record BatchDeadlineTerms(
    String name,
    Optional<DailyDeadline> daily,
    Optional<TimeSpan> interval,
    TimeSpan windowLength,
    Set<String> classes,
    Set<String> teams,
    TimeSpan safetyMargin,
    double runTimeQuantile) {

  /**
   * Local times of a daily deadline.
   *
   * @param dueAt when the work should be done
   * @param opensAt when the window before the deadline opens, on the same day or the day before
   */
  public record DailyDeadline(LocalTime dueAt, LocalTime opensAt, ZoneId zone) {}

  /**
   * Returns whether the deadline applies to a job. Services have no end, so none applies to them.
   */
  public boolean covers(JobSpec spec) {
    return !spec.service()
        && (classes.isEmpty() || classes.contains(spec.jobClass()))
        && (teams.isEmpty() || teams.contains(spec.team()));
  }
}
