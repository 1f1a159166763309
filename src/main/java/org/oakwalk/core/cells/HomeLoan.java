package org.oakwalk.core.cells;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Moment;

/**
 * A loan as the home cell's leader has it. It is stored before it is offered, and stored as settled
 * before home places any of its tasks. Immutable; each step gives the next one.
 *
 * @param state how far it is
 * @param lastPermit the latest moment at which a leave may have been given; empty if none can have
 */
public record HomeLoan(State state, Optional<Moment> lastPermit) {
  /** Who may have the tasks. */
  public enum State {
    /** Offered; the guest may take them as soon as it asks for leave. */
    OFFERED,
    /** The guest has them. */
    LENT,
    /** Home wants them back and gives no more leave. */
    RECALLED,
    /** They are home's again, or done: no leave is valid any more, and none will be given. */
    SETTLED
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.OFFERED, EnumSet.of(State.LENT, State.RECALLED, State.SETTLED));
    TRANSITIONS.put(State.LENT, EnumSet.of(State.RECALLED, State.SETTLED));
    TRANSITIONS.put(State.RECALLED, EnumSet.of(State.SETTLED));
    TRANSITIONS.put(State.SETTLED, EnumSet.noneOf(State.class));
  }

  /** A loan that has just been stored. */
  public static HomeLoan offered() {
    return new HomeLoan(State.OFFERED, Optional.empty());
  }

  /**
   * A loan that a new leader finds in the store, not settled.
   *
   * @param olderUntil until when an older leader may still have given leave
   */
  public static HomeLoan recovered(Moment olderUntil) {
    return new HomeLoan(State.LENT, Optional.of(olderUntil));
  }

  /** Whether the guest may have leave now. */
  public boolean grantsPermits() {
    return state == State.OFFERED || state == State.LENT;
  }

  /**
   * The guest has asked, which also tells that it has stored the loan; leave is given if it may.
   */
  public HomeLoan permitRequested(Moment now) {
    if (!grantsPermits()) {
      return this;
    }
    Moment latest = lastPermit.filter(last -> last.isAfter(now)).orElse(now);
    return enter(State.LENT, Optional.of(latest));
  }

  /** The guest has accepted, or says so once more. */
  public HomeLoan accepted() {
    return state == State.OFFERED ? enter(State.LENT, lastPermit) : this;
  }

  /** Home wants the tasks back, their job is withdrawn, or the guest has refused. */
  public HomeLoan recalled() {
    return grantsPermits() ? enter(State.RECALLED, lastPermit) : this;
  }

  /** The guest has stored that it has nothing of it and never will. */
  public HomeLoan closed() {
    return state == State.SETTLED ? this : enter(State.SETTLED, lastPermit);
  }

  /** Whether what is recalled has provably run out. */
  public boolean permitsExpired(LoanTerms terms, Moment now) {
    return state == State.RECALLED
        && lastPermit.map(last -> now.past(last, terms.maxTaskLifetime())).orElse(true);
  }

  /** Takes over that it is over, once that is stored. */
  public HomeLoan settleIfExpired(LoanTerms terms, Moment now) {
    return permitsExpired(terms, now) ? enter(State.SETTLED, lastPermit) : this;
  }

  /** The one place where the state changes. */
  private HomeLoan enter(State next, Optional<Moment> leave) {
    if (next != state && !TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("loan from " + state + " to " + next);
    }
    return new HomeLoan(next, leave);
  }
}
