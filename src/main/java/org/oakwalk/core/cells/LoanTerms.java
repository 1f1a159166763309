package org.oakwalk.core.cells;

import java.util.Optional;
import org.oakwalk.core.Span;

/**
 * What a pair of cells has agreed on for loans from one to the other.
 *
 * @param permitDuration for how long a leave counts, from when it was asked for
 * @param guestLease how long a worker of the guest cell lives without an answer
 * @param homeCancelDeadline within what time a withdrawn task must be gone in the home cell
 */
public record LoanTerms(Span permitDuration, Span guestLease, Span homeCancelDeadline) {
  /** For steps of timers on the way. */
  private static final Span TIMER_MARGIN = Span.millis(500);

  /**
   * For how long after a leave was given its tasks may be on machines: the guest's leader renews no
   * lease under a leave that has run out, and a worker's last one ends a lease later.
   */
  public Span maxTaskLifetime() {
    return permitDuration.plus(guestLease).surelyPassed().plus(TIMER_MARGIN);
  }

  /**
   * Why these can't be lived by, if so: home tells a user at once that a job is withdrawn, so what
   * runs elsewhere has to be over within the same time without a message.
   */
  public Optional<String> findProblem() {
    if (maxTaskLifetime().compareTo(homeCancelDeadline) < 0) {
      return Optional.empty();
    }
    return Optional.of(
        "leave "
            + permitDuration
            + " + lease "
            + guestLease
            + " + drift and margin = "
            + maxTaskLifetime()
            + ", which is not below cancel "
            + homeCancelDeadline);
  }
}
