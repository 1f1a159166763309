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

  /**
   * Weights of the job score.
   *
   * @param alpha weight of priority and size; the urgency terms have the rest of 1
   * @param deadlineWeight weight of the closeness of the deadline
   * @param remainingWeight weight of a short remaining run time
   * @param waitWeight weight of each hour of waiting
   * @param guaranteeBonus added to the score of a job within its team's guarantee
   * @param minTimeLeft lower bound of the time left to a deadline in the score
   */
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
   * @param imageWeight weight of the time to fetch an image in the choice of a machine
   * @param reserveAfterRounds regular rounds without a placement after which machines are reserved
   *     for a job
   */
  public record PlacementPolicy(
      double maxUtilization, double imageWeight, int reserveAfterRounds) {}

  /**
   * Renting and returning of machines.
   *
   * @param headroom machines rented above demand, as a fraction of it
   * @param spareMachines machines rented above demand and headroom for each type in demand
   * @param spotShare maximum share of spot machines, which the cloud may reclaim, among those that
   *     need not be ordinary ones
   * @param suspectAfter silence after which a machine that cannot be reached counts as failed
   * @param bootTimeout limit of the time after which a rented machine that has not reported is
   *     given up; late or failed boots raise it
   */
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
