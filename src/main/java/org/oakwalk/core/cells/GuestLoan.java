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
 * @param requestedAt when the last leave was asked for that no answer has come to
 * @param permitExpiry when the last leave runs out
 * @param tasksAbsent whether each machine has confirmed, since the last start could have been
 *     ordered, that nothing of it is there
 */
public record GuestLoan(
    State state, Optional<Moment> requestedAt, Optional<Moment> permitExpiry, boolean tasksAbsent) {
  /** What may be done with the tasks. */
  public enum State {
    /** Stored; nothing may start as long as there is no leave. */
    STORED,
    /** There has been leave: tasks may run while it lasts. */
    RUNNING,
    /** Home wants it back: everything ends. */
    STOPPING,
    /** Stored as over; it stays so for whoever comes late. */
    CLOSED
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.STORED, EnumSet.of(State.RUNNING, State.STOPPING));
    TRANSITIONS.put(State.RUNNING, EnumSet.of(State.STOPPING));
    TRANSITIONS.put(State.STOPPING, EnumSet.of(State.CLOSED));
    TRANSITIONS.put(State.CLOSED, EnumSet.noneOf(State.class));
  }

  /** A loan that has just been stored. */
  public static GuestLoan stored() {
    return new GuestLoan(State.STORED, Optional.empty(), Optional.empty(), true);
  }

  /** A loan that a new leader finds in the store; what an older one started is not known. */
  public static GuestLoan recovered() {
    return new GuestLoan(State.STORED, Optional.empty(), Optional.empty(), false);
  }

  /** Whether leave is of any use. */
  public boolean needsPermit() {
    return state == State.STORED || state == State.RUNNING;
  }

  /** Leave is asked for; its time counts from here, however long the answer takes. */
  public GuestLoan requestPermit(Moment now) {
    return needsPermit() ? new GuestLoan(state, Optional.of(now), permitExpiry, tasksAbsent) : this;
  }

  /** The answer to what was asked at that moment has come; older ones tell nothing. */
  public GuestLoan permitGranted(Moment askedAt, LoanTerms terms) {
    if (!needsPermit() || !requestedAt.equals(Optional.of(askedAt))) {
      return this;
    }
    Moment end = askedAt.plus(terms.permitDuration().surelyNotPassed());
    Moment latest = permitExpiry.filter(old -> old.isAfter(end)).orElse(end);
    return enter(State.RUNNING, Optional.empty(), Optional.of(latest), tasksAbsent);
  }

  /** Whether tasks may be started, and workers that hold some be answered without ending them. */
  public boolean mayRun(Moment now) {
    return state == State.RUNNING && permitExpiry.filter(end -> end.isAfter(now)).isPresent();
  }

  /** A start is ordered. */
  public GuestLoan taskStarted(Moment now) {
    if (!mayRun(now)) {
      throw new IllegalStateException("start without leave");
    }
    return new GuestLoan(state, requestedAt, permitExpiry, false);
  }

  /** Home wants it back, or says so once more. */
  public GuestLoan recalled() {
    return needsPermit()
        ? enter(State.STOPPING, Optional.empty(), permitExpiry, tasksAbsent)
        : this;
  }

  /** Every machine has confirmed, under this leader's token, that nothing of it is there. */
  public GuestLoan confirmTasksAbsent(Moment now) {
    return mayRun(now) ? this : new GuestLoan(state, requestedAt, permitExpiry, true);
  }

  /** Whether it may be stored as closed, so that home can be told. */
  public boolean mayClose() {
    return state == State.STOPPING && tasksAbsent;
  }

  /** It is stored as closed. */
  public GuestLoan closed() {
    return state == State.CLOSED
        ? this
        : enter(State.CLOSED, Optional.empty(), permitExpiry, tasksAbsent);
  }

  /** The one place where the state changes. */
  private GuestLoan enter(State next, Optional<Moment> ask, Optional<Moment> end, boolean gone) {
    if (next != state && !TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("loan from " + state + " to " + next);
    }
    return new GuestLoan(next, ask, end, gone);
  }
}
