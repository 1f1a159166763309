package org.oakwalk.core.cells;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MonotonicTime;

/**
 * The home cell's view of a loan: tasks of the home cell that it lends to a guest cell to run. The
 * loan is stored before it is offered, and stored as settled before the home cell places any of its
 * tasks again. Immutable; each transition returns a new loan.
 *
 * @param state current state
 * @param lastPermit the latest moment at which a permit may have been granted; empty if none was
 */
public record HomeLoan(State state, Optional<MonotonicTime> lastPermit) {
  /** States of a loan in the home cell. */
  public enum State {
    /** Offered; the guest may run the tasks once it has requested a permit. */
    OFFERED,
    /** The guest may be running the tasks. */
    LENT,
    /** Recalled; no more permits are granted. */
    RECALLED,
    /** Returned to the home cell, or done: no permit is valid, and none will be granted. */
    SETTLED
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.OFFERED, EnumSet.of(State.LENT, State.RECALLED, State.SETTLED));
    TRANSITIONS.put(State.LENT, EnumSet.of(State.RECALLED, State.SETTLED));
    TRANSITIONS.put(State.RECALLED, EnumSet.of(State.SETTLED));
    TRANSITIONS.put(State.SETTLED, EnumSet.noneOf(State.class));
  }

  /** Returns a loan that has just been stored. */
  public static HomeLoan offered() {
    return new HomeLoan(State.OFFERED, Optional.empty());
  }

  /**
   * Returns an unsettled loan loaded by a new leader.
   *
   * @param olderUntil until when an older leader may still have granted permits
   */
  public static HomeLoan recovered(MonotonicTime olderUntil) {
    return new HomeLoan(State.LENT, Optional.of(olderUntil));
  }

  /** Returns whether permits may be granted in this state. */
  public boolean grantsPermits() {
    return state == State.OFFERED || state == State.LENT;
  }

  /**
   * Applies a permit request, which also shows that the guest has stored the loan; the permit is
   * granted if the state allows it.
   */
  public HomeLoan permitRequested(MonotonicTime now) {
    if (!grantsPermits()) {
      return this;
    }
    MonotonicTime latest = lastPermit.filter(last -> last.isAfter(now)).orElse(now);
    return enter(State.LENT, Optional.of(latest));
  }

  /** Applies the acceptance by the guest; repeated ones have no effect. */
  public HomeLoan accepted() {
    return state == State.OFFERED ? enter(State.LENT, lastPermit) : this;
  }

  /** Recalls the loan: the home cell needs it, its job is withdrawn, or the guest has refused. */
  public HomeLoan recalled() {
    return grantsPermits() ? enter(State.RECALLED, lastPermit) : this;
  }

  /** Records that the guest has stored the loan as closed, and will never run its tasks again. */
  public HomeLoan closed() {
    return state == State.SETTLED ? this : enter(State.SETTLED, lastPermit);
  }

  /** Returns whether the loan is recalled and every permit has provably expired. */
  public boolean permitsExpired(LoanTerms terms, MonotonicTime now) {
    return state == State.RECALLED
        && lastPermit.map(last -> now.isPast(last, terms.maxTaskLifetime())).orElse(true);
  }

  /** Settles the loan if its permits have expired; to be called once that is stored. */
  public HomeLoan settleIfExpired(LoanTerms terms, MonotonicTime now) {
    return permitsExpired(terms, now) ? enter(State.SETTLED, lastPermit) : this;
  }

  /** The only place where the state changes; rejects illegal transitions. */
  private HomeLoan enter(State next, Optional<MonotonicTime> permit) {
    if (next != state && !TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("illegal loan transition from " + state + " to " + next);
    }
    return new HomeLoan(next, permit);
  }
}
