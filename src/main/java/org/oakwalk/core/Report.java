package org.oakwalk.core;

import java.util.List;
import java.util.Optional;

/**
 * A worker's report of its own state.
 *
 * @param session the worker's session; reports are ordered by session, then by sequence
 * @param token the highest leader token that the worker has seen
 * @param reclaimNotice time until the cloud reclaims the machine, if it has announced that
 */
public record Report(
    MachineId machine,
    String address,
    String type,
    String zone,
    boolean spot,
    SessionId session,
    long sequence,
    Token token,
    Optional<TimeSpan> reclaimNotice,
    List<ReportedTask> tasks) {

  /** State of a task on a machine. */
  public enum TaskState {
    /** The machine fetches the task's image. */
    FETCHING,
    /** The task waits for the other tasks of its gang. */
    GATHERING,
    RUNNING,
    /** The task saves its progress before it ends. */
    FLUSHING,
    ENDED
  }

  /** Reason for the end of a task. */
  public enum Cause {
    DONE,
    HALTED,
    ERROR,
    /** The machine did not have enough free resources. */
    NO_ROOM,
    BUSY,
    /** The worker does not know the task. */
    UNKNOWN,
    OTHER
  }

  /** One task on the machine; the cause is null unless it has ended. */
  public record ReportedTask(TaskId task, Attempt attempt, TaskState state, Cause cause) {
    public boolean ended() {
      return state == TaskState.ENDED;
    }
  }

  /** Whether this report was made after one with the given session and sequence. */
  public boolean isNewerThan(SessionId otherSession, long otherSequence) {
    int bySession = session.compareTo(otherSession);
    return bySession > 0 || (bySession == 0 && sequence > otherSequence);
  }
}
