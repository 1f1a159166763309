package org.oakwalk.core.cells;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Moment;

/**
 * A loan as the guest cell's leader has it. It is stored before its first task starts, and stored
 * as closed before home is told so. Its tasks are started by answers to reports alone, never by
 * command, since an answer that is late is dropped; and each answer without a valid leave ends what
 * is there of it. Immutable; each step gives the next one.
 *
 * @param state how far it is
 * @param asked when the last leave was asked for that no answer has come to
 * @param until when the last leave runs out
 * @param absent whether each machine has confirmed, since the last start could have been ordered,
 *     that nothing of it is there
 */
public record LoanIn(State state, Optional<Moment> asked, Optional<Moment> until, boolean absent) {
  /** What may be done with the tasks. */
  public enum State {
    /** Stored; nothing may start as long as there is no leave. */
    KEPT,
    /** There has been leave: tasks may run while it lasts. */
    RUNNING,
    /** Home wants it back: everything ends. */
    STOPPING,
    /** Stored as over; it stays so for whoever comes late. */
    CLOSED
  }

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(State.KEPT, EnumSet.of(State.RUNNING, State.STOPPING));
    LEGAL.put(State.RUNNING, EnumSet.of(State.STOPPING));
    LEGAL.put(State.STOPPING, EnumSet.of(State.CLOSED));
    LEGAL.put(State.CLOSED, EnumSet.noneOf(State.class));
  }

  /** A loan that has just been stored. */
  public static LoanIn kept() {
    return new LoanIn(State.KEPT, Optional.empty(), Optional.empty(), true);
  }

  /** A loan that a new leader finds in the store; what an older one started is not known. */
  public static LoanIn found() {
    return new LoanIn(State.KEPT, Optional.empty(), Optional.empty(), false);
  }

  /** Whether leave is of any use. */
  public boolean wantsLeave() {
    return state == State.KEPT || state == State.RUNNING;
  }

  /** Leave is asked for; its time counts from here, however long the answer takes. */
  public LoanIn ask(Moment now) {
    return wantsLeave() ? new LoanIn(state, Optional.of(now), until, absent) : this;
  }

  /** The answer to what was asked at that moment has come; older ones tell nothing. */
  public LoanIn leave(Moment askedAt, LoanTerms terms) {
    if (!wantsLeave() || !asked.equals(Optional.of(askedAt))) {
      return this;
    }
    Moment end = askedAt.plus(terms.leave().minusClockDrift());
    Moment latest = until.filter(old -> old.isAfter(end)).orElse(end);
    return enter(State.RUNNING, Optional.empty(), Optional.of(latest), absent);
  }

  /** Whether tasks may be started, and workers that hold some be answered without ending them. */
  public boolean mayRun(Moment now) {
    return state == State.RUNNING && until.filter(end -> end.isAfter(now)).isPresent();
  }

  /** A start is ordered. */
  public LoanIn started(Moment now) {
    if (!mayRun(now)) {
      throw new IllegalStateException("start without leave");
    }
    return new LoanIn(state, asked, until, false);
  }

  /** Home wants it back, or says so once more. */
  public LoanIn recalled() {
    return wantsLeave() ? enter(State.STOPPING, Optional.empty(), until, absent) : this;
  }

  /** Every machine has confirmed, under this leader's token, that nothing of it is there. */
  public LoanIn confirmedAbsent(Moment now) {
    return mayRun(now) ? this : new LoanIn(state, asked, until, true);
  }

  /** Whether it may be stored as closed, so that home can be told. */
  public boolean mayClose() {
    return state == State.STOPPING && absent;
  }

  /** It is stored as closed. */
  public LoanIn closed() {
    return state == State.CLOSED ? this : enter(State.CLOSED, Optional.empty(), until, absent);
  }

  /** The one place where the state changes. */
  private LoanIn enter(State next, Optional<Moment> ask, Optional<Moment> end, boolean gone) {
    if (next != state && !LEGAL.get(state).contains(next)) {
      throw new IllegalStateException("loan from " + state + " to " + next);
    }
    return new LoanIn(next, ask, end, gone);
  }
}
