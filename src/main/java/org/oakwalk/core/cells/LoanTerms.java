package org.oakwalk.core.cells;

import java.util.Optional;
import org.oakwalk.core.TimeSpan;

/**
 * The terms that two cells have agreed on for loans from one to the other.
 *
 * @param permitDuration how long a permit is valid, counted from its request
 * @param guestLease lease of a worker in the guest cell: how long it runs without a response
 * @param homeCancelDeadline time within which a withdrawn task must have ended in the home cell
 */
public record LoanTerms(TimeSpan permitDuration, TimeSpan guestLease, TimeSpan homeCancelDeadline) {
  /** Allowance for timer granularity. */
  private static final TimeSpan TIMER_MARGIN = TimeSpan.millis(500);

  /**
   * Returns for how long after a permit was granted its tasks may be on machines: the guest's
   * leader renews no lease under an expired permit, and a worker's last lease ends one lease
   * duration later.
   */
  public TimeSpan maxTaskLifetime() {
    return permitDuration.plus(guestLease).plusClockDrift().plus(TIMER_MARGIN);
  }

  /**
   * Returns why these terms can't be met; empty if they can. The home cell confirms a withdrawal to
   * the user at once, so tasks in the guest cell have to end within the home cell's deadline even
   * if no message arrives.
   */
  public Optional<String> findProblem() {
    if (maxTaskLifetime().compareTo(homeCancelDeadline) < 0) {
      return Optional.empty();
    }
    return Optional.of(
        "permit "
            + permitDuration
            + " + lease "
            + guestLease
            + " + drift and margin = "
            + maxTaskLifetime()
            + ", which is not below cancel "
            + homeCancelDeadline);
  }
}
