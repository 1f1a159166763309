package org.oakwalk.core.fleet;

import java.util.Optional;
import org.oakwalk.core.SessionId;

/**
 * A worker's sessions: the present one, how far its reports have come, and which are surely over.
 */
final class SessionTracker {
  private Optional<SessionId> current = Optional.empty();
  private long sequence;
  private long lastUnsolicitedSequence;
  private SessionId oldestValid = SessionId.FIRST;

  Optional<SessionId> current() {
    return current;
  }

  /** Whether a report is older than what is known, or from a session that is surely over. */
  boolean stale(SessionId reported, long number) {
    if (reported.compareTo(oldestValid) < 0) {
      return true;
    }
    return current.isPresent()
        && (reported.compareTo(current.get()) < 0
            || reported.equals(current.get()) && number <= sequence);
  }

  /**
   * Whether the worker surely takes no answer to this report any more, since it is from a former
   * session, or the worker has sent another one by itself since: it has one under way at a time. An
   * answer to it renews no lease.
   */
  boolean responseAbandoned(SessionId reported, long number) {
    return reported.compareTo(current.orElse(oldestValid)) < 0
        || current.filter(reported::equals).isPresent() && number <= lastUnsolicitedSequence;
  }

  /** Takes over a report's session and number; true if a new session has begun. */
  boolean advance(SessionId reported, long number, boolean own) {
    boolean fresh = current.isPresent() && !current.get().equals(reported);
    boolean same = current.filter(reported::equals).isPresent();
    current = Optional.of(reported);
    sequence = number;
    if (own) {
      lastUnsolicitedSequence = number;
    } else if (!same) {
      lastUnsolicitedSequence = 0;
    }
    return fresh;
  }

  /** The present session is over: reports that still come from it count for nothing. */
  void end() {
    current.ifPresent(session -> oldestValid = session.next());
    current = Optional.empty();
  }
}
