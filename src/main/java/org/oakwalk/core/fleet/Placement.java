package org.oakwalk.core.fleet;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Order;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;

/**
 * An attempt at a task on a machine. It lasts until the attempt is certain not to be, or start, on
 * the machine any more.
 */
public final class Placement {
  /** Last known state of the attempt. */
  public enum State {
    /** Ordered, but not in any report yet. */
    ORDERED,
    /** The machine is fetching its image. */
    FETCHING,
    /** Running. */
    RUNNING,
    /** Saving its progress before it stops. */
    SAVING,
    /** Ended, or certain never to start. */
    ENDED
  }

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(State.ORDERED, EnumSet.of(State.FETCHING, State.RUNNING, State.SAVING, State.ENDED));
    LEGAL.put(State.FETCHING, EnumSet.of(State.RUNNING, State.SAVING, State.ENDED));
    LEGAL.put(State.RUNNING, EnumSet.of(State.SAVING, State.FETCHING, State.ENDED));
    LEGAL.put(State.SAVING, EnumSet.of(State.ENDED));
    LEGAL.put(State.ENDED, EnumSet.noneOf(State.class));
  }

  private final Job job;
  private final TaskId task;
  private final Attempt attempt;
  private final Machine machine;
  private final MonotonicTime orderedAt;
  private State state = State.ORDERED;
  private MonotonicTime runningSince;
  private TimeSpan haltGrace;
  private boolean runCommanded;
  private TimeSpan haltCommanded;
  private boolean continuouslyObserved = true;
  private boolean late;
  private final MonotonicTime expectedEnd;
  private final PreemptionIndex.PreemptionKey preemptionKey;

  Placement(
      Job job,
      TaskId task,
      Attempt attempt,
      Machine machine,
      MonotonicTime ordered,
      TimeSpan expected) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.orderedAt = ordered;
    this.preemptionKey = PreemptionIndex.PreemptionKey.of(job.spec());
    this.expectedEnd = job.spec().service() ? null : ordered.plus(expected);
  }

  public Job job() {
    return job;
  }

  public TaskId task() {
    return task;
  }

  /** The properties that decide which tasks may preempt it. */
  public PreemptionIndex.PreemptionKey preemptionKey() {
    return preemptionKey;
  }

  public Attempt attempt() {
    return attempt;
  }

  public Machine machine() {
    return machine;
  }

  public State state() {
    return state;
  }

  public MonotonicTime orderedAt() {
    return orderedAt;
  }

  /** When a report first showed it running, or null. */
  public MonotonicTime runningSince() {
    return runningSince;
  }

  /** When it is expected to end; null for a replica of a service. */
  public MonotonicTime expectedEnd() {
    return expectedEnd;
  }

  /** Whether the machine has reported without a gap, so that observed times are meaningful. */
  public boolean continuouslyObserved() {
    return continuouslyObserved;
  }

  void markObservationGap() {
    continuouslyObserved = false;
  }

  /**
   * Records that it runs far longer than expected.
   *
   * @return whether that was not recorded before
   */
  boolean markLate() {
    boolean firstTime = !late;
    late = true;
    return firstTime;
  }

  /** Whether a stop was requested. */
  public boolean halting() {
    return haltGrace != null;
  }

  /** Time to save progress before it is stopped; null if no stop was requested. */
  public TimeSpan haltGrace() {
    return haltGrace;
  }

  /** The order that stops it; only after a stop was requested. */
  Order haltOrder() {
    return new Order.Halt(task, attempt, haltGrace);
  }

  /** Requests a stop; a shorter grace period replaces a longer one. */
  void halt(TimeSpan grace) {
    if (haltGrace == null || grace.compareTo(haltGrace) < 0) {
      haltGrace = grace;
    }
  }

  /** Whether a start or halt is due to be sent by command; marks it as sent. */
  boolean takeDueCommand() {
    if (halting()) {
      boolean due = !haltGrace.equals(haltCommanded);
      haltCommanded = haltGrace;
      return due;
    }
    boolean due = state == State.ORDERED && !runCommanded;
    runCommanded = true;
    return due;
  }

  /** Changes the state; all changes go through this method. */
  void enter(State next, MonotonicTime now) {
    if (next == state) {
      return;
    }
    if (!LEGAL.get(state).contains(next)) {
      throw new IllegalStateException(
          "illegal transition of task "
              + task
              + " attempt "
              + attempt
              + " from "
              + state
              + " to "
              + next);
    }
    if (state == State.RUNNING) {
      job.setRunning(task.index(), false, now);
    }
    if (next == State.RUNNING) {
      job.setRunning(task.index(), true, now);
      runningSince = runningSince == null ? now : runningSince;
    }
    state = next;
  }
}
