package org.oakwalk.core.job;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;

/** A job as the leader works on it: which tasks are done, on a machine, or waiting. */
public final class Job {
  /** Life of a job under one leader. */
  public enum State {
    /** Tasks are placed. */
    OPEN,
    /** All tasks are done, and this is being stored. */
    FINISHING,
    /** Stored as done. */
    DONE,
    /** Stored as withdrawn; tasks still on machines are being stopped. */
    WITHDRAWN
  }

  private static final Span FIRST_PAUSE = Span.seconds(1);
  private static final Span LONGEST_PAUSE = Span.seconds(60);

  private final JobSpec spec;
  private final WallTime accepted;
  private final boolean inherited;
  private final Moment seen;
  private final BitSet done = new BitSet();
  private final BitSet stored = new BitSet();
  private final BitSet taken = new BitSet();
  private final BitSet begun = new BitSet();
  private final Map<Integer, Moment> notBefore = new HashMap<>();
  private final Map<Integer, Integer> failures = new HashMap<>();
  private final Suspicion suspicion = new Suspicion();
  private State state = State.OPEN;
  private Revision stamp;
  private int doneCount;
  private int active;
  private int running;
  private int errors;
  private Moment waitingSince;
  private Moment dirtySince;
  private Moment withdrawnAfter;
  private final Consumer<Job> touched;
  private int rankedFrom = -1;

  /** A job of which nobody keeps track. */
  public Job(JobSpec spec, Revision stamp, WallTime accepted, boolean inherited, Moment seen) {
    this(spec, stamp, accepted, inherited, seen, job -> {});
  }

  /**
   * A job that is not over.
   *
   * @param touched told after each change, so that what is known of many jobs is kept up to date
   *     rather than found out anew
   */
  Job(
      JobSpec spec,
      Revision stamp,
      WallTime accepted,
      boolean inherited,
      Moment seen,
      Consumer<Job> touched) {
    this.touched = touched;
    this.spec = spec;
    this.stamp = stamp;
    this.accepted = accepted;
    this.inherited = inherited;
    this.seen = seen;
    this.waitingSince = seen;
  }

  public JobSpec spec() {
    return spec;
  }

  public JobId id() {
    return spec.id();
  }

  public State state() {
    return state;
  }

  public boolean open() {
    return state == State.OPEN;
  }

  /** Whether it is stored as done or withdrawn. */
  public boolean over() {
    return state == State.DONE || state == State.WITHDRAWN;
  }

  public Revision stamp() {
    return stamp;
  }

  public WallTime accepted() {
    return accepted;
  }

  /** Whether the job was stored before this leader rose, so that others may have started it. */
  public boolean inherited() {
    return inherited;
  }

  /** When this leader first knew of it. */
  public Moment seen() {
    return seen;
  }

  /** Since when some task has been waiting; a failed task starts its wait afresh. */
  public Moment waitingSince() {
    return waitingSince;
  }

  public int doneCount() {
    return doneCount;
  }

  public int runningCount() {
    return running;
  }

  public int activeCount() {
    return active;
  }

  public int pendingCount() {
    return spec.tasks() - doneCount - active;
  }

  public boolean isDone(int index) {
    return done.get(index);
  }

  public boolean isStoredDone(int index) {
    return state == State.DONE || stored.get(index);
  }

  /** Whether the task is neither done nor on a machine. */
  public boolean isFree(int index) {
    return !taken.get(index);
  }

  /** The first task from {@code from} on that may be placed now, or -1. */
  public int nextPending(int from, Moment now) {
    suspicion.weigh(now);
    if (suspect() && (active > 0 || !suspicion.probes(now))) {
      return -1;
    }
    int index = taken.nextClearBit(from);
    while (index < spec.tasks()) {
      Moment pause = notBefore.get(index);
      if (pause == null || !pause.isAfter(now)) {
        return index;
      }
      index = taken.nextClearBit(index + 1);
    }
    return -1;
  }

  /** A task is put on a machine. */
  public void take(int index) {
    if (taken.get(index)) {
      throw new IllegalStateException(id() + "/" + index + " is taken already");
    }
    taken.set(index);
    active++;
    notBefore.remove(index);
    touched.accept(this);
  }

  /** A task is surely on no machine any more and waits again. */
  public void release(int index, Moment now) {
    active--;
    if (!done.get(index)) {
      taken.clear(index);
      waitingSince = now;
    }
    touched.accept(this);
  }

  /** A task ended with an error or was refused: it waits, longer each time. */
  public void pause(int index, boolean error, Moment now) {
    int count = failures.merge(index, 1, Integer::sum);
    errors += error ? 1 : 0;
    int shift = Math.min(6, Math.max(count - 1, error ? Math.min(5, errors / 8) : 0));
    Span pause = Span.millis(FIRST_PAUSE.millis() << shift);
    notBefore.put(index, now.plus(pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause));
  }

  /** A task has failed on this machine. */
  public void failedOn(MachineId machine, Moment now) {
    suspicion.failed(machine, now);
    touched.accept(this);
  }

  /** An earlier leader found that the job is at fault. */
  public void suspected() {
    suspicion.told();
    touched.accept(this);
  }

  /** Whether the job itself, rather than any machine, must be to blame for its errors. */
  public boolean suspect() {
    return doneCount == 0 && suspicion.holds();
  }

  /** A task has completed, on whichever attempt. */
  public void complete(int index, Moment now) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
      taken.set(index);
      if (dirtySince == null) {
        dirtySince = now;
      }
      touched.accept(this);
    }
  }

  /** A task was found done in the store. */
  public void restore(int index) {
    doneCount += done.get(index) ? 0 : 1;
    done.set(index);
    stored.set(index);
    taken.set(index);
    touched.accept(this);
  }

  /** A task has begun to run, or does not run any more. */
  public void running(int index, boolean on, Moment now) {
    running += on ? 1 : -1;
    if (on) {
      begun.set(index);
    }
    suspicion.runs(running > 0, now);
    touched.accept(this);
  }

  /** A task that is told to stop may have begun to run since its machine's last report. */
  public void mayHaveBegun(int index) {
    begun.set(index);
  }

  /** Tasks that have run, or may have, under this leader and are not done. */
  public int begunCount() {
    BitSet open = (BitSet) begun.clone();
    open.andNot(done);
    return open.cardinality();
  }

  public boolean allDone() {
    return doneCount == spec.tasks();
  }

  /** Since when a completed task has not been stored, or null. */
  public Moment dirtySince() {
    return dirtySince;
  }

  /** Copy of the finished tasks, to be stored. */
  public BitSet doneSnapshot() {
    return (BitSet) done.clone();
  }

  public boolean hasUnstored(int from, int to) {
    BitSet fresh = done.get(from, to);
    fresh.andNot(stored.get(from, to));
    return !fresh.isEmpty();
  }

  /** The tasks of {@code snapshot} from {@code from} to {@code to} are stored as done. */
  public void stored(BitSet snapshot, int from, int to, Moment now) {
    BitSet part = (BitSet) snapshot.clone();
    part.clear(0, from);
    part.clear(to, Math.max(to, part.length()));
    stored.or(part);
    dirtySince = hasUnstored(0, spec.tasks()) ? now : null;
    touched.accept(this);
  }

  /** The regular round since which its waiting tasks have found no place; -1 if none was played. */
  public int rankedFrom() {
    return rankedFrom;
  }

  public void rankedFrom(int round) {
    rankedFrom = round;
  }

  public void finishing() {
    enter(State.FINISHING);
  }

  /** Storing the end failed; it is tried again. */
  public void notFinished() {
    enter(State.OPEN);
  }

  public void ended(boolean withdrawn, Revision at) {
    stamp = at;
    enter(withdrawn ? State.WITHDRAWN : State.DONE);
  }

  /** Its user was told of the withdrawal at this moment or later. */
  void withdrawnAfter(Moment earliest) {
    withdrawnAfter = earliest;
  }

  /** No user was told of a withdrawal before this; null if there is none that was seen coming. */
  public Moment withdrawnAfter() {
    return withdrawnAfter;
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    boolean legal =
        switch (state) {
          case OPEN -> next != State.OPEN;
          case FINISHING -> next != State.FINISHING;
          case DONE, WITHDRAWN -> next == state;
        };
    if (!legal) {
      throw new IllegalStateException("job " + id() + " from " + state + " to " + next);
    }
    state = next;
    touched.accept(this);
  }
}
