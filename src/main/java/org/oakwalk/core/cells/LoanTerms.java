package org.oakwalk.core.cells;

import java.util.Optional;
import org.oakwalk.core.Span;

/**
 * What a pair of cells has agreed on for loans from one to the other.
 *
 * @param leave for how long a leave counts, from when it was asked for
 * @param guestLease how long a worker of the guest cell lives without an answer
 * @param homeCancel within what time a withdrawn task must be gone in the home cell
 */
public record LoanTerms(Span leave, Span guestLease, Span homeCancel) {
  /** For steps of timers on the way. */
  private static final Span MARGIN = Span.millis(500);

  /**
   * For how long after a leave was given its tasks may be on machines: the guest's leader renews no
   * lease under a leave that has run out, and a worker's last one ends a lease later.
   */
  public Span lastsAtMost() {
    return leave.plus(guestLease).plusClockDrift().plus(MARGIN);
  }

  /**
   * Why these can't be lived by, if so: home tells a user at once that a job is withdrawn, so what
   * runs elsewhere has to be over within the same time without a message.
   */
  public Optional<String> impossible() {
    if (lastsAtMost().compareTo(homeCancel) < 0) {
      return Optional.empty();
    }
    return Optional.of(
        "leave "
            + leave
            + " + lease "
            + guestLease
            + " + drift and margin = "
            + lastsAtMost()
            + ", which is not below cancel "
            + homeCancel);
  }
}
