package org.oakwalk.core;

import org.oakwalk.core.drain.DrainPolicy;
import org.oakwalk.core.product.ProductTerms;

/** Scheduling policy set by the operators; docs/operations.md documents every default. */
public record Policy(
    ScoringPolicy scoring,
    PlacementPolicy placement,
    Span roundInterval,
    CapacityPolicy capacity,
    int maxOpenJobs,
    DrainPolicy drains,
    ProductTerms product) {

  /** Weights of the job score. */
  public record ScoringPolicy(
      double alpha,
      double deadlineWeight,
      double remainingWeight,
      double waitWeight,
      double guaranteeBonus,
      Span minTimeLeft) {}

  /**
   * Selection of machines for tasks.
   *
   * @param maxUtilization share of a machine that tasks may use, unless one task needs more than
   *     the rest
   */
  public record PlacementPolicy(
      double maxUtilization, double imageWeight, int reserveAfterRounds) {}

  /** Renting and returning of machines. */
  public record CapacityPolicy(
      double headroom,
      int spareMachines,
      Span idleTimeout,
      double spotShare,
      Span suspectAfter,
      Span bootTimeout) {}

  /** The policy that applies where the operators set nothing. */
  public static Policy defaults() {
    return new Policy(
        new ScoringPolicy(0.3, 0.3, 0.3, 0.35, 150, Span.seconds(5)),
        new PlacementPolicy(1.0, 1.0, 2),
        Span.seconds(2),
        new CapacityPolicy(0.15, 2, Span.seconds(40), 0.5, Span.seconds(5), Span.seconds(120)),
        10_000,
        DrainPolicy.NONE,
        ProductTerms.NONE);
  }
}
