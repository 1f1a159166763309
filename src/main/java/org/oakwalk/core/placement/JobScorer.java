package org.oakwalk.core.placement;

import java.util.List;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/**
 * Computes the scores by which waiting tasks are ordered: alpha times importance plus (1 - alpha)
 * times urgency. Importance follows from priority and size; urgency grows with a near deadline, a
 * short remaining time and a long wait.
 */
public final class JobScorer {
  private static final double HOUR_MS = 3_600_000.0;

  /** Relative growth of a deadline's urgency after which the score has to be recomputed. */
  static final double TOLERANCE = 0.05;

  /** Bounds how often scores are recomputed close to a deadline. */
  private static final long MIN_VALIDITY_MS = 100;

  private final Policy.ScoringPolicy weights;
  private final JobTargets targets;
  private final double floorHours;

  public JobScorer(Policy.ScoringPolicy weights, JobTargets targets) {
    this.weights = weights;
    this.targets = targets;
    this.floorHours = weights.minTimeLeft().millis() / HOUR_MS;
  }

  /**
   * Scores the waiting tasks of a job.
   *
   * @param remaining the expected time until the job could be complete; zero for services
   * @param wait the time for which its tasks have been waiting
   * @param largest the resources of the largest machine, relative to which requests are measured
   * @param guaranteed whether the job is within its team's guarantee
   */
  public double score(
      Job job,
      TimeSpan remaining,
      TimeSpan wait,
      Resources largest,
      boolean guaranteed,
      WallTime now) {
    double importance =
        importance(job.spec().priority()) * job.spec().resources().dominantShare(largest);
    double urgency =
        weights.deadlineWeight() * deadlineUrgency(job, remaining, now)
            + weights.remainingWeight() * remainingUrgency(remaining)
            + weights.waitWeight() * Math.max(0, wait.millis()) / HOUR_MS;
    return weights.alpha() * importance
        + (1 - weights.alpha()) * urgency
        + (guaranteed ? weights.guaranteeBonus() : 0);
  }

  /**
   * One over the hours left to the deadline, or the corresponding value of a plan if that is
   * larger. It is zero for a job without a deadline and for one that can't meet its deadline any
   * more, since preferring that job would only make others late.
   */
  private double deadlineUrgency(Job job, TimeSpan remaining, WallTime now) {
    TimeSpan age = now.since(job.acceptedAt());
    double own =
        targets
            .earliestReachable(job.spec(), age.plus(remaining))
            .map(due -> 1 / Math.max(due.minus(age).millis() / HOUR_MS, floorHours))
            .orElse(0.0);
    return targets
        .planned()
        .timeToStart(job, now)
        .map(left -> Math.max(own, 1 / Math.max(left.span().millis() / HOUR_MS, floorHours)))
        .orElse(own);
  }

  /** The part of a score that grows with waiting, up to this time; the same for all jobs. */
  double waitTerm(MonotonicTime until) {
    return (1 - weights.alpha()) * weights.waitWeight() * until.millis() / HOUR_MS;
  }

  /**
   * The time for which the score of a job, without the part that grows with waiting, stays within
   * {@link #TOLERANCE} of its present value; null if there is no limit.
   */
  TimeSpan validFor(Job job, TimeSpan remaining, WallTime now) {
    TimeSpan age = now.since(job.acceptedAt());
    TimeSpan due = targets.earliestReachable(job.spec(), age.plus(remaining)).orElse(null);
    TimeSpan planned =
        targets
            .planned()
            .timeToStart(job, now)
            .filter(left -> !left.fixed())
            .map(left -> validity(left.span().millis()))
            .orElse(null);
    if (due == null) {
      return planned;
    }
    // The score changes at the latest when the job can't meet its deadline any more.
    long reachable = due.minus(age).minus(remaining).millis() + 1;
    TimeSpan own =
        TimeSpan.millis(
            Math.max(1, Math.min(reachable, validity(due.minus(age).millis()).millis())));
    return planned == null || own.compareTo(planned) < 0 ? own : planned;
  }

  private static TimeSpan validity(long left) {
    return TimeSpan.millis(Math.max(MIN_VALIDITY_MS, Math.round(left * TOLERANCE)));
  }

  /** Jobs whose planned deadlines have changed since the last call. */
  List<Job> takeReplannedJobs() {
    return targets.planned().takeChangedJobs();
  }

  private double remainingUrgency(TimeSpan remaining) {
    return remaining.millis() <= 0 ? 0 : 1 / Math.max(remaining.millis() / HOUR_MS, floorHours);
  }

  /** The steps between priorities are so large that urgency does not outweigh them. */
  private static double importance(Priority priority) {
    return switch (priority) {
      case LOW -> 1;
      case NORMAL -> 10;
      case HIGH -> 20_000;
      case PRODUCTION -> 80_000;
    };
  }
}
