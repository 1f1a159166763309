package org.oakwalk.core.placement;

import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/**
 * The order in which tasks leave the queue: alpha times importance plus the rest of alpha times
 * urgency, where urgency grows with a near deadline, a short rest of run time and a long wait.
 */
public final class Score {
  private static final double HOUR_MS = 3_600_000.0;

  /** By how much the urgency of a deadline may have grown before it is worked out anew. */
  static final double TOLERANCE = 0.05;

  private static final long LEAST_STEADY_MS = 100;

  private final Policy.ScoringPolicy weights;
  private final Targets targets;
  private final double floorHours;

  public Score(Policy.ScoringPolicy weights, Targets targets) {
    this.weights = weights;
    this.targets = targets;
    this.floorHours = weights.minTimeLeft().millis() / HOUR_MS;
  }

  /**
   * Scores the waiting tasks of a job.
   *
   * @param remaining expected time until it could be complete; zero if it has no end
   * @param wait how long its tasks have been waiting
   * @param largest room of the largest machine, against which requests are measured
   * @param guaranteed whether the job is within its team's guarantee
   */
  public double of(
      Job job, Span remaining, Span wait, Room largest, boolean guaranteed, WallTime now) {
    double importance = value(job.spec().priority()) * job.spec().room().share(largest);
    double urgency =
        weights.deadlineWeight() * nearness(job, remaining, now)
            + weights.remainingWeight() * shortness(remaining)
            + weights.waitWeight() * Math.max(0, wait.millis()) / HOUR_MS;
    return weights.alpha() * importance
        + (1 - weights.alpha()) * urgency
        + (guaranteed ? weights.guaranteeBonus() : 0);
  }

  /**
   * One over the hours left to the deadline. A job without one counts as farthest away, and so does
   * one that can't be in time any more: its hurry would only make others late.
   */
  private double nearness(Job job, Span remaining, WallTime now) {
    Span age = now.since(job.accepted());
    double own =
        targets
            .next(job.spec(), age.plus(remaining))
            .map(due -> 1 / Math.max(due.minus(age).millis() / HOUR_MS, floorHours))
            .orElse(0.0);
    return targets
        .planned()
        .left(job, now)
        .map(left -> Math.max(own, 1 / Math.max(left.span().millis() / HOUR_MS, floorHours)))
        .orElse(own);
  }

  /** How much a score grows by waiting until this moment, whichever job it is. */
  double waited(Moment until) {
    return (1 - weights.alpha()) * weights.waitWeight() * until.millis() / HOUR_MS;
  }

  /**
   * For how long the score of a job stays within {@link #TOLERANCE} of what it is now, its wait
   * apart, which grows alike for all; null if for good.
   */
  Span holdsFor(Job job, Span remaining, WallTime now) {
    Span age = now.since(job.accepted());
    Span due = targets.next(job.spec(), age.plus(remaining)).orElse(null);
    Span planned =
        targets
            .planned()
            .left(job, now)
            .filter(left -> !left.steady())
            .map(left -> steady(left.span().millis()))
            .orElse(null);
    if (due == null) {
      return planned;
    }
    // At the latest when the job can't be in time any more.
    long reachable = due.minus(age).minus(remaining).millis() + 1;
    Span own =
        Span.millis(Math.max(1, Math.min(reachable, steady(due.minus(age).millis()).millis())));
    return planned == null || own.compareTo(planned) < 0 ? own : planned;
  }

  private static Span steady(long left) {
    return Span.millis(Math.max(LEAST_STEADY_MS, Math.round(left * TOLERANCE)));
  }

  /** Jobs whose planned times have moved since this was asked last. */
  List<Job> replanned() {
    return targets.planned().takeMoved();
  }

  private double shortness(Span remaining) {
    return remaining.millis() <= 0 ? 0 : 1 / Math.max(remaining.millis() / HOUR_MS, floorHours);
  }

  /** Steps between priorities are wide enough that urgency alone does not bridge them. */
  private static double value(Priority priority) {
    return switch (priority) {
      case LOW -> 1;
      case NORMAL -> 10;
      case HIGH -> 20_000;
      case PRODUCTION -> 80_000;
    };
  }
}
