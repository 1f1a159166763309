package org.oakwalk.core;

import org.oakwalk.core.drain.DrainPolicy;
import org.oakwalk.core.product.ProductTerms;

/** The operators' own choices; every default is documented in docs/operations.md. */
public record Policy(
    Scoring scoring,
    Hosts hosts,
    Span round,
    Capacity capacity,
    int mostOpenJobs,
    DrainPolicy drains,
    ProductTerms product) {

  /** Weights of the score. */
  public record Scoring(
      double alpha,
      double deadlineWeight,
      double remainingWeight,
      double waitWeight,
      double guaranteeBonus,
      Span floor) {}

  /** Choice of machines. */
  public record Hosts(double mark, double imageWeight, int reserveAfterRounds) {}

  /** What to rent and what to return. */
  public record Capacity(
      double headroom,
      int spareMachines,
      Span idle,
      double spotShare,
      Span suspectAfter,
      Span bootPatience) {}

  public static Policy defaults() {
    return new Policy(
        new Scoring(0.3, 0.3, 0.3, 0.35, 150, Span.seconds(5)),
        new Hosts(1.0, 1.0, 2),
        Span.seconds(2),
        new Capacity(0.15, 2, Span.seconds(40), 0.5, Span.seconds(5), Span.seconds(120)),
        10_000,
        DrainPolicy.NONE,
        ProductTerms.NONE);
  }
}
