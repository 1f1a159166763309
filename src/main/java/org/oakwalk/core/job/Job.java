package org.oakwalk.core.job;

import java.util.BitSet;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.WallTime;

/** The leader's state of one job: which tasks are done, assigned to a machine, or pending. */
public final class Job {
  /** Lifecycle of a job under one leader. */
  public enum State {
    /** Tasks are being placed. */
    OPEN,
    /** All tasks are done and the final record is being written. */
    FINISHING,
    /** Stored as done. */
    DONE,
    /** Stored as withdrawn; tasks that are still on machines are being stopped. */
    WITHDRAWN
  }

  private final JobSpec spec;
  private final WallTime acceptedAt;
  private final boolean inherited;
  private final MonotonicTime firstSeen;
  private final BitSet done = new BitSet();
  private final BitSet storedDone = new BitSet();
  private final BitSet assigned = new BitSet();
  private final BitSet started = new BitSet();
  private final TaskBackoff backoff = new TaskBackoff();
  private final JobFaultDetector faultDetector = new JobFaultDetector();
  private State state = State.OPEN;
  private Revision revision;
  private int doneCount;
  private int assignedCount;
  private int runningCount;
  private MonotonicTime waitingSince;
  private MonotonicTime dirtySince;
  private MonotonicTime earliestWithdrawalNotice;
  private final Consumer<Job> changeListener;
  private int unplacedSinceRound = -1;

  /** Creates an open job without a change listener. */
  public Job(
      JobSpec spec,
      Revision revision,
      WallTime acceptedAt,
      boolean inherited,
      MonotonicTime firstSeen) {
    this(spec, revision, acceptedAt, inherited, firstSeen, job -> {});
  }

  /**
   * Creates an open job.
   *
   * @param changeListener called after each change, so that indexes over many jobs are updated
   *     incrementally instead of being recomputed
   */
  Job(
      JobSpec spec,
      Revision revision,
      WallTime acceptedAt,
      boolean inherited,
      MonotonicTime firstSeen,
      Consumer<Job> changeListener) {
    this.changeListener = changeListener;
    this.spec = spec;
    this.revision = revision;
    this.acceptedAt = acceptedAt;
    this.inherited = inherited;
    this.firstSeen = firstSeen;
    this.waitingSince = firstSeen;
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

  /** Returns whether the job is stored as done or withdrawn. */
  public boolean isEnded() {
    return state == State.DONE || state == State.WITHDRAWN;
  }

  /** Returns the revision at which the job's record was last stored. */
  public Revision revision() {
    return revision;
  }

  public WallTime acceptedAt() {
    return acceptedAt;
  }

  /**
   * Returns whether the job was stored before this leader's term, so an earlier leader may have
   * started it.
   */
  public boolean inherited() {
    return inherited;
  }

  /** Returns when this leader first loaded the job. */
  public MonotonicTime firstSeen() {
    return firstSeen;
  }

  /** Returns the start of the job's wait; it is reset whenever an unfinished task is unassigned. */
  public MonotonicTime waitingSince() {
    return waitingSince;
  }

  public int doneCount() {
    return doneCount;
  }

  public int runningCount() {
    return runningCount;
  }

  /** Returns the number of tasks that are assigned to a machine, running or not. */
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

  /** Returns whether the task is neither done nor assigned to a machine. */
  public boolean isUnassigned(int index) {
    return !assigned.get(index);
  }

  /**
   * Returns the first task at or after {@code from} that may be placed now, or -1 if there is none.
   * Tasks in backoff are skipped. A suspect job has one task assigned at a time, as a probe.
   */
  public int nextPending(int from, MonotonicTime now) {
    faultDetector.clearAfterHealthyRun(now);
    if (isSuspect() && (assignedCount > 0 || !faultDetector.mayProbe(now))) {
      return -1;
    }
    int index = assigned.nextClearBit(from);
    while (index < spec.tasks()) {
      if (backoff.isOver(index, now)) {
        return index;
      }
      index = assigned.nextClearBit(index + 1);
    }
    return -1;
  }

  /** Records that a task is assigned to a machine. */
  public void assign(int index) {
    if (assigned.get(index)) {
      throw new IllegalStateException(id() + "/" + index + " is already assigned to a machine");
    }
    assigned.set(index);
    assignedCount++;
    changeListener.accept(this);
  }

  /** Records that a task is certainly on no machine any more; unless done, it is pending again. */
  public void unassign(int index, MonotonicTime now) {
    assignedCount--;
    if (!done.get(index)) {
      assigned.clear(index);
      waitingSince = now;
    }
    changeListener.accept(this);
  }

  /** Delays the next attempt of a task that failed or was refused by its machine. */
  public void backOff(int index, boolean error, MonotonicTime now) {
    backoff.recordFailure(index, error, now);
  }

  /** Records that one of the job's tasks failed on the machine. */
  public void recordFailure(MachineId machine, MonotonicTime now) {
    faultDetector.recordFailure(machine, now);
    changeListener.accept(this);
  }

  /** Marks the job as suspect because an earlier leader found it to be. */
  public void markSuspect() {
    faultDetector.markSuspect();
    changeListener.accept(this);
  }

  /** Returns whether the job itself, rather than a machine, is the likely cause of its errors. */
  public boolean isSuspect() {
    return doneCount == 0 && faultDetector.isSuspect();
  }

  /**
   * Returns whether the job itself may be the cause of its failures: it is suspect, or has failed
   * on several machines and completed no task.
   */
  public boolean isDoubtful() {
    return isSuspect() || doneCount == 0 && faultDetector.failedMachineCount() > 1;
  }

  /** Returns whether tasks have failed and none has completed. */
  public boolean hasOnlyFailed() {
    return isSuspect() || doneCount == 0 && faultDetector.failedMachineCount() > 0;
  }

  /** Records that a task has completed, in any of its attempts. */
  public void complete(int index, MonotonicTime now) {
    if (!done.get(index)) {
      done.set(index);
      doneCount++;
      assigned.set(index);
      backoff.completed(index);
      if (dirtySince == null) {
        dirtySince = now;
      }
      changeListener.accept(this);
    }
  }

  /** Records that a task is done according to the store. */
  public void restoreDone(int index) {
    doneCount += done.get(index) ? 0 : 1;
    done.set(index);
    storedDone.set(index);
    assigned.set(index);
    changeListener.accept(this);
  }

  /** Records that a task has started to run, or no longer runs. */
  public void setRunning(int index, boolean isRunning, MonotonicTime now) {
    runningCount += isRunning ? 1 : -1;
    if (isRunning) {
      started.set(index);
    }
    faultDetector.setRunning(runningCount > 0, now);
    changeListener.accept(this);
  }

  /** Records that a task being stopped may have started to run since its machine's last report. */
  public void markPossiblyStarted(int index) {
    started.set(index);
  }

  /** Returns the number of unfinished tasks that have run, or may have, under this leader. */
  public int startedCount() {
    BitSet unfinished = (BitSet) started.clone();
    unfinished.andNot(done);
    return unfinished.cardinality();
  }

  public boolean allDone() {
    return doneCount == spec.tasks();
  }

  /** Returns since when the job has had unstored results, or null if all results are stored. */
  public MonotonicTime dirtySince() {
    return dirtySince;
  }

  /** Returns a copy of the set of done tasks, to be stored. */
  public BitSet doneSnapshot() {
    return (BitSet) done.clone();
  }

  /** Returns whether a task in {@code [from, to)} is done but not stored as done. */
  public boolean hasUnstoredResults(int from, int to) {
    BitSet unstored = done.get(from, to);
    unstored.andNot(storedDone.get(from, to));
    return !unstored.isEmpty();
  }

  /** Records that the tasks of {@code snapshot} in {@code [from, to)} are stored as done. */
  public void markStored(BitSet snapshot, int from, int to, MonotonicTime now) {
    BitSet range = (BitSet) snapshot.clone();
    range.clear(0, from);
    range.clear(to, Math.max(to, range.length()));
    storedDone.or(range);
    dirtySince = hasUnstoredResults(0, spec.tasks()) ? now : null;
    changeListener.accept(this);
  }

  /**
   * Returns the regular round since which pending tasks could not be placed; -1 before the first.
   */
  public int unplacedSinceRound() {
    return unplacedSinceRound;
  }

  public void unplacedSinceRound(int round) {
    unplacedSinceRound = round;
  }

  public void markFinishing() {
    changeState(State.FINISHING);
  }

  /** Returns the job to the open state after a failed write of its final record, for a retry. */
  public void reopen() {
    changeState(State.OPEN);
  }

  /** Records that the job is stored as done or withdrawn at {@code storedAt}. */
  public void markEnded(boolean withdrawn, Revision storedAt) {
    revision = storedAt;
    changeState(withdrawn ? State.WITHDRAWN : State.DONE);
  }

  /** Sets the earliest moment at which a user may have been told of the withdrawal. */
  void earliestWithdrawalNotice(MonotonicTime earliest) {
    earliestWithdrawalNotice = earliest;
  }

  /**
   * Returns the earliest moment at which a user may have been told of the withdrawal; null unless
   * this leader saw the job change from open to withdrawn.
   */
  public MonotonicTime earliestWithdrawalNotice() {
    return earliestWithdrawalNotice;
  }

  /** Changes the state; all state changes go through this method. */
  private void changeState(State next) {
    boolean legal =
        switch (state) {
          case OPEN -> next != State.OPEN;
          case FINISHING -> next != State.FINISHING;
          case DONE, WITHDRAWN -> next == state;
        };
    if (!legal) {
      throw new IllegalStateException(
          "job " + id() + " can't change from " + state + " to " + next);
    }
    state = next;
    changeListener.accept(this);
  }
}
