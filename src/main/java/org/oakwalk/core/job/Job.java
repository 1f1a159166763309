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

  private static final Span MIN_BACKOFF = Span.seconds(1);
  private static final Span MAX_BACKOFF = Span.seconds(60);

  private final JobSpec spec;
  private final WallTime acceptedAt;
  private final boolean inherited;
  private final Moment firstSeen;
  private final BitSet done = new BitSet();
  private final BitSet storedDone = new BitSet();
  private final BitSet assigned = new BitSet();
  private final BitSet started = new BitSet();
  private final Map<Integer, Moment> notBefore = new HashMap<>();
  private final Map<Integer, Integer> failures = new HashMap<>();
  private final JobFaultDetector faultDetector = new JobFaultDetector();
  private State state = State.OPEN;
  private Revision revision;
  private int doneCount;
  private int assignedCount;
  private int runningCount;
  private int errorCount;
  private Moment waitingSince;
  private Moment dirtySince;
  private Moment earliestWithdrawalNotice;
  private final Consumer<Job> changeListener;
  private int unplacedSinceRound = -1;

  /** A job of which nobody keeps track. */
  public Job(JobSpec spec, Revision stamp, WallTime accepted, boolean inherited, Moment seen) {
    this(spec, stamp, accepted, inherited, seen, job -> {});
  }

  /**
   * A job that is not over.
   *
   * @param changeListener told after each change, so that what is known of many jobs is kept up to
   *     date rather than found out anew
   */
  Job(
      JobSpec spec,
      Revision stamp,
      WallTime accepted,
      boolean inherited,
      Moment seen,
      Consumer<Job> touched) {
    this.changeListener = touched;
    this.spec = spec;
    this.revision = stamp;
    this.acceptedAt = accepted;
    this.inherited = inherited;
    this.firstSeen = seen;
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

  public boolean isOpen() {
    return state == State.OPEN;
  }

  /** Whether it is stored as done or withdrawn. */
  public boolean isEnded() {
    return state == State.DONE || state == State.WITHDRAWN;
  }

  public Revision revision() {
    return revision;
  }

  public WallTime acceptedAt() {
    return acceptedAt;
  }

  /** Whether the job was stored before this leader rose, so that others may have started it. */
  public boolean inherited() {
    return inherited;
  }

  /** When this leader first knew of it. */
  public Moment firstSeen() {
    return firstSeen;
  }

  /** Since when some task has been waiting; a failed task starts its wait afresh. */
  public Moment waitingSince() {
    return waitingSince;
  }

  public int doneCount() {
    return doneCount;
  }

  public int runningCount() {
    return runningCount;
  }

  public int assignedCount() {
    return assignedCount;
  }

  public int pendingCount() {
    return spec.tasks() - doneCount - assignedCount;
  }

  public boolean isDone(int index) {
    return done.get(index);
  }

  public boolean isStoredDone(int index) {
    return state == State.DONE || storedDone.get(index);
  }

  /** Whether the task is neither done nor on a machine. */
  public boolean isUnassigned(int index) {
    return !assigned.get(index);
  }

  /** The first task from {@code from} on that may be placed now, or -1. */
  public int nextPending(int from, Moment now) {
    faultDetector.clearAfterHealthyRun(now);
    if (isSuspect() && (assignedCount > 0 || !faultDetector.mayProbe(now))) {
      return -1;
    }
    int index = assigned.nextClearBit(from);
    while (index < spec.tasks()) {
      Moment pause = notBefore.get(index);
      if (pause == null || !pause.isAfter(now)) {
        return index;
      }
      index = assigned.nextClearBit(index + 1);
    }
    return -1;
  }

  /** A task is put on a machine. */
  public void assign(int index) {
    if (assigned.get(index)) {
      throw new IllegalStateException(id() + "/" + index + " is taken already");
    }
    assigned.set(index);
    assignedCount++;
    notBefore.remove(index);
    changeListener.accept(this);
  }

  /** A task is surely on no machine any more and waits again. */
  public void unassign(int index, Moment now) {
    assignedCount--;
    if (!done.get(index)) {
      assigned.clear(index);
      waitingSince = now;
    }
    changeListener.accept(this);
  }

  /** A task ended with an error or was refused: it waits, longer each time. */
  public void backOff(int index, boolean error, Moment now) {
    int count = failures.merge(index, 1, Integer::sum);
    errorCount += error ? 1 : 0;
    int shift = Math.min(6, Math.max(count - 1, error ? Math.min(5, errorCount / 8) : 0));
    Span pause = Span.millis(MIN_BACKOFF.millis() << shift);
    notBefore.put(index, now.plus(pause.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : pause));
  }

  /** A task has failed on this machine. */
  public void recordFailure(MachineId machine, Moment now) {
    faultDetector.recordFailure(machine, now);
    changeListener.accept(this);
  }

  /** An earlier leader found that the job is at fault. */
  public void markSuspect() {
    faultDetector.markSuspect();
    changeListener.accept(this);
  }

  /** Whether the job itself, rather than any machine, must be to blame for its errors. */
  public boolean isSuspect() {
    return doneCount == 0 && faultDetector.isSuspect();
  }

  /** A task has completed, on whichever attempt. */
  public void complete(int index, Moment now) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
      assigned.set(index);
      if (dirtySince == null) {
        dirtySince = now;
      }
      changeListener.accept(this);
    }
  }

  /** A task was found done in the store. */
  public void restoreDone(int index) {
    doneCount += done.get(index) ? 0 : 1;
    done.set(index);
    storedDone.set(index);
    assigned.set(index);
    changeListener.accept(this);
  }

  /** A task has begun to run, or does not run any more. */
  public void setRunning(int index, boolean on, Moment now) {
    runningCount += on ? 1 : -1;
    if (on) {
      started.set(index);
    }
    faultDetector.setRunning(runningCount > 0, now);
    changeListener.accept(this);
  }

  /** A task that is told to stop may have begun to run since its machine's last report. */
  public void markPossiblyStarted(int index) {
    started.set(index);
  }

  /** Tasks that have run, or may have, under this leader and are not done. */
  public int startedCount() {
    BitSet open = (BitSet) started.clone();
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

  public boolean hasUnstoredResults(int from, int to) {
    BitSet fresh = done.get(from, to);
    fresh.andNot(storedDone.get(from, to));
    return !fresh.isEmpty();
  }

  /** The tasks of {@code snapshot} from {@code from} to {@code to} are stored as done. */
  public void markStored(BitSet snapshot, int from, int to, Moment now) {
    BitSet part = (BitSet) snapshot.clone();
    part.clear(0, from);
    part.clear(to, Math.max(to, part.length()));
    storedDone.or(part);
    dirtySince = hasUnstoredResults(0, spec.tasks()) ? now : null;
    changeListener.accept(this);
  }

  /** The regular round since which its waiting tasks have found no place; -1 if none was played. */
  public int unplacedSinceRound() {
    return unplacedSinceRound;
  }

  public void unplacedSinceRound(int round) {
    unplacedSinceRound = round;
  }

  public void markFinishing() {
    changeState(State.FINISHING);
  }

  /** Storing the end failed; it is tried again. */
  public void reopen() {
    changeState(State.OPEN);
  }

  public void markEnded(boolean withdrawn, Revision at) {
    revision = at;
    changeState(withdrawn ? State.WITHDRAWN : State.DONE);
  }

  /** Its user was told of the withdrawal at this moment or later. */
  void earliestWithdrawalNotice(Moment earliest) {
    earliestWithdrawalNotice = earliest;
  }

  /** No user was told of a withdrawal before this; null if there is none that was seen coming. */
  public Moment earliestWithdrawalNotice() {
    return earliestWithdrawalNotice;
  }

  /** The one place where the state changes. */
  private void changeState(State next) {
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
    changeListener.accept(this);
  }
}
