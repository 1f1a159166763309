package org.oakwalk.core.fleet;

import java.util.Optional;
import org.oakwalk.core.SessionId;

/**
 * Tracks a worker's sessions: the current one, the sequence number of its last report, and the
 * oldest one that may not have ended.
 */
final class SessionTracker {
  private Optional<SessionId> current = Optional.empty();
  private long sequence;
  private long lastUnsolicitedSequence;
  private SessionId oldestValid = SessionId.FIRST;

  Optional<SessionId> current() {
    return current;
  }

  /** Whether a report is older than the last one, or from a session that has certainly ended. */
  boolean stale(SessionId reported, long number) {
    if (reported.compareTo(oldestValid) < 0) {
      return true;
    }
    return current.isPresent()
        && (reported.compareTo(current.get()) < 0
            || reported.equals(current.get()) && number <= sequence);
  }

  /**
   * Whether the worker has certainly given up waiting for a response to this report: it is from an
   * earlier session, or the worker, which has one unsolicited report in flight at a time, has sent
   * another one since. A response to it renews no lease.
   */
  boolean responseAbandoned(SessionId reported, long number) {
    return reported.compareTo(current.orElse(oldestValid)) < 0
        || current.filter(reported::equals).isPresent() && number <= lastUnsolicitedSequence;
  }

  /**
   * Records the session and sequence number of a report.
   *
   * @param unsolicited whether the worker sent it on its own, rather than in reply to a command
   * @return whether a new session has begun
   */
  boolean advance(SessionId reported, long number, boolean unsolicited) {
    boolean newSession = current.isPresent() && !current.get().equals(reported);
    boolean sameSession = current.filter(reported::equals).isPresent();
    current = Optional.of(reported);
    sequence = number;
    if (unsolicited) {
      lastUnsolicitedSequence = number;
    } else if (!sameSession) {
      lastUnsolicitedSequence = 0;
    }
    return newSession;
  }

  /** Ends the current session; reports of it that still arrive are ignored. */
  void end() {
    current.ifPresent(session -> oldestValid = session.next());
    current = Optional.empty();
  }
}
