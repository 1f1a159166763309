package org.oakwalk.core;

import org.oakwalk.core.drain.Drains;
import org.oakwalk.core.product.ProductTerms;

/** The operators' own choices; every default is documented in docs/operations.md. */
public record Policy(
    ScoringPolicy scoring,
    PlacementPolicy placement,
    Span roundInterval,
    CapacityPolicy capacity,
    int maxOpenJobs,
    Drains drains,
    ProductTerms product) {

  /** Weights of the score. */
  public record ScoringPolicy(
      double alpha,
      double deadlineWeight,
      double remainingWeight,
      double waitWeight,
      double guaranteeBonus,
      Span minTimeLeft) {}

  /** Choice of machines. */
  public record PlacementPolicy(
      double maxUtilization, double imageWeight, int reserveAfterRounds) {}

  /** What to rent and what to return. */
  public record CapacityPolicy(
      double headroom,
      int spareMachines,
      Span idleTimeout,
      double spotShare,
      Span suspectAfter,
      Span bootTimeout) {}

  public static Policy defaults() {
    return new Policy(
        new ScoringPolicy(0.3, 0.3, 0.3, 0.35, 150, Span.seconds(5)),
        new PlacementPolicy(1.0, 1.0, 2),
        Span.seconds(2),
        new CapacityPolicy(0.15, 2, Span.seconds(40), 0.5, Span.seconds(5), Span.seconds(120)),
        10_000,
        Drains.NONE,
        ProductTerms.NONE);
  }
}
