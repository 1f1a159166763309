package org.oakwalk.core.cells;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MonotonicTime;

/**
 * The guest cell's view of a loan: tasks that the home cell lends to the guest cell to run. The
 * loan is stored before its first task starts, and stored as closed before the home cell is
 * notified. Tasks run only under a permit, a time-limited grant by the home cell. They are started
 * only by responses to worker reports, never by command, because workers drop late responses; each
 * response without a valid permit ends the loan's tasks on that worker. Immutable; each transition
 * returns a new loan.
 *
 * @param state current state
 * @param requestedAt when the latest permit was requested; empty if no request is unanswered
 * @param permitExpiry when the latest permit expires
 * @param tasksAbsent whether every machine has confirmed, since the last possible start, that it
 *     has no tasks of the loan
 */
public record GuestLoan(
    State state,
    Optional<MonotonicTime> requestedAt,
    Optional<MonotonicTime> permitExpiry,
    boolean tasksAbsent) {
  /** States of a loan in the guest cell. */
  public enum State {
    /** Stored, without a permit: no task may start. */
    STORED,
    /** A permit was granted: tasks may run until it expires. */
    RUNNING,
    /** Recalled by the home cell: all tasks are being ended. */
    STOPPING,
    /** Stored as closed; the record stays, so that late messages are answered correctly. */
    CLOSED
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.STORED, EnumSet.of(State.RUNNING, State.STOPPING));
    TRANSITIONS.put(State.RUNNING, EnumSet.of(State.STOPPING));
    TRANSITIONS.put(State.STOPPING, EnumSet.of(State.CLOSED));
    TRANSITIONS.put(State.CLOSED, EnumSet.noneOf(State.class));
  }

  /** Returns a loan that has just been stored. */
  public static GuestLoan stored() {
    return new GuestLoan(State.STORED, Optional.empty(), Optional.empty(), true);
  }

  /** Returns a loan loaded by a new leader, which does not know what older leaders started. */
  public static GuestLoan recovered() {
    return new GuestLoan(State.STORED, Optional.empty(), Optional.empty(), false);
  }

  /** Returns whether a permit could be used in this state. */
  public boolean needsPermit() {
    return state == State.STORED || state == State.RUNNING;
  }

  /** Requests a permit. Its duration counts from the request, however long the response takes. */
  public GuestLoan requestPermit(MonotonicTime now) {
    return needsPermit() ? new GuestLoan(state, Optional.of(now), permitExpiry, tasksAbsent) : this;
  }

  /** Applies a granted permit; responses to older requests are ignored. */
  public GuestLoan permitGranted(MonotonicTime requestTime, LoanTerms terms) {
    if (!needsPermit() || !requestedAt.equals(Optional.of(requestTime))) {
      return this;
    }
    MonotonicTime end = requestTime.plus(terms.permitDuration().minusClockDrift());
    MonotonicTime latest = permitExpiry.filter(previous -> previous.isAfter(end)).orElse(end);
    return enter(State.RUNNING, Optional.empty(), Optional.of(latest), tasksAbsent);
  }

  /** Returns whether tasks may be started, and running ones continued. */
  public boolean mayRun(MonotonicTime now) {
    return state == State.RUNNING && permitExpiry.filter(expiry -> expiry.isAfter(now)).isPresent();
  }

  /** Records that a task start is ordered. */
  public GuestLoan taskStarted(MonotonicTime now) {
    if (!mayRun(now)) {
      throw new IllegalStateException("task start without a valid permit");
    }
    return new GuestLoan(state, requestedAt, permitExpiry, false);
  }

  /** Applies a recall by the home cell; repeated recalls have no effect. */
  public GuestLoan recalled() {
    return needsPermit()
        ? enter(State.STOPPING, Optional.empty(), permitExpiry, tasksAbsent)
        : this;
  }

  /**
   * Records that every machine has confirmed, under this leader's token, to have no tasks of it.
   */
  public GuestLoan confirmTasksAbsent(MonotonicTime now) {
    return mayRun(now) ? this : new GuestLoan(state, requestedAt, permitExpiry, true);
  }

  /** Returns whether it may be stored as closed, after which the home cell is notified. */
  public boolean mayClose() {
    return state == State.STOPPING && tasksAbsent;
  }

  /** Records that it is stored as closed. */
  public GuestLoan closed() {
    return state == State.CLOSED
        ? this
        : enter(State.CLOSED, Optional.empty(), permitExpiry, tasksAbsent);
  }

  /** The only place where the state changes; rejects illegal transitions. */
  private GuestLoan enter(
      State next, Optional<MonotonicTime> request, Optional<MonotonicTime> expiry, boolean absent) {
    if (next != state && !TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("illegal loan transition from " + state + " to " + next);
    }
    return new GuestLoan(next, request, expiry, absent);
  }
}
