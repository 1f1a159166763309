package org.oakwalk.core.fleet;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.Job;

/** One attempt at a task, bound to a machine until it is surely not there any more. */
public final class Placement {
  /** What is known of the attempt. */
  public enum State {
    /** Ordered; no report has shown it. */
    ORDERED,
    /** The machine gets its image. */
    FETCHING,
    /** It runs. */
    RUNNING,
    /** It saves its progress. */
    SAVING,
    /** It is over, one way or the other. */
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
  private final Moment orderedAt;
  private State state = State.ORDERED;
  private Moment runningSince;
  private Span haltGrace;
  private boolean runCommanded;
  private Span haltCommanded;
  private boolean continuouslyObserved = true;
  private boolean late;
  private final Moment expectedEnd;
  private final PreemptionIndex.PreemptionKey preemptionKey;

  Placement(Job job, TaskId task, Attempt attempt, Machine machine, Moment ordered, Span expected) {
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

  /** What decides who has to give way to whom. */
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

  public Moment orderedAt() {
    return orderedAt;
  }

  /** Since when it has been seen running, or null. */
  public Moment runningSince() {
    return runningSince;
  }

  /** When it should end; null if it has no end. */
  public Moment expectedEnd() {
    return expectedEnd;
  }

  /** Whether the machine has reported all the while, so that times mean something. */
  public boolean continuouslyObserved() {
    return continuouslyObserved;
  }

  void markObservationGap() {
    continuouslyObserved = false;
  }

  /** It runs far longer than it should; true if that is new. */
  boolean markLate() {
    boolean fresh = !late;
    late = true;
    return fresh;
  }

  /** Whether it is to be stopped. */
  public boolean halting() {
    return haltGrace != null;
  }

  public Span haltGrace() {
    return haltGrace;
  }

  /** Wants it stopped; a shorter grace replaces a longer one. */
  void halt(Span grace) {
    if (haltGrace == null || grace.compareTo(haltGrace) < 0) {
      haltGrace = grace;
    }
  }

  /** Whether a direct command is due for it; asking marks it as sent. */
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

  /** The one place where the state changes. */
  void enter(State next, Moment now) {
    if (next == state) {
      return;
    }
    if (!LEGAL.get(state).contains(next)) {
      throw new IllegalStateException(task + " try " + attempt + " from " + state + " to " + next);
    }
    if (state == State.RUNNING) {
      job.running(task.index(), false, now);
    }
    if (next == State.RUNNING) {
      job.running(task.index(), true, now);
      runningSince = runningSince == null ? now : runningSince;
    }
    state = next;
  }
}
