package org.oakwalk.core.product;

import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.JobSpec;

/**
 * A time by which the batch work of some classes or teams should be done, again and again. Either
 * it comes each day at a local time, or every so many seconds, counted from the epoch.
 *
 * @param name tells it from others; letters, digits, dashes
 * @param daily when it comes each day; empty if it comes every so often
 * @param interval time from one to the next; empty if it comes each day
 * @param windowLength how long before each dawn its window opens; used where it comes every so
 *     often
 * @param classes the classes it is about; all if empty
 * @param teams the teams it is about; all if empty
 * @param safetyMargin by how much earlier than the dawn all should be done
 * @param runTimeQuantile share of the run times that the plan counts on being enough, such as 0.9
 */
public record BatchDeadlineTerms(
    String name,
    Optional<DailyDeadline> daily,
    Optional<Span> interval,
    Span windowLength,
    Set<String> classes,
    Set<String> teams,
    Span safetyMargin,
    double runTimeQuantile) {

  /**
   * Local times of a day.
   *
   * @param opens when the window before a dawn opens, on the same day or the one before
   */
  public record DailyDeadline(LocalTime dueAt, LocalTime opensAt, ZoneId zone) {}

  /** Whether a job is to be done by it. Services have no end. */
  public boolean covers(JobSpec spec) {
    return !spec.service()
        && (classes.isEmpty() || classes.contains(spec.jobClass()))
        && (teams.isEmpty() || teams.contains(spec.team()));
  }
}
