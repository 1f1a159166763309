package org.oakwalk.core;

import org.oakwalk.core.drain.DrainPolicy;
import org.oakwalk.core.product.ProductTerms;

/** Scheduling policy set by the operators; docs/operations.md documents every default. */
public record Policy(
    ScoringPolicy scoring,
    PlacementPolicy placement,
    TimeSpan roundInterval,
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
      TimeSpan minTimeLeft) {}

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
      TimeSpan idleTimeout,
      double spotShare,
      TimeSpan suspectAfter,
      TimeSpan bootTimeout) {}

  /** The policy that applies where the operators set nothing. */
  public static Policy defaults() {
    return new Policy(
        new ScoringPolicy(0.3, 0.3, 0.3, 0.35, 150, TimeSpan.seconds(5)),
        new PlacementPolicy(1.0, 1.0, 2),
        TimeSpan.seconds(2),
        new CapacityPolicy(
            0.15, 2, TimeSpan.seconds(40), 0.5, TimeSpan.seconds(5), TimeSpan.seconds(120)),
        10_000,
        DrainPolicy.NONE,
        ProductTerms.NONE);
  }
}
