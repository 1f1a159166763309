package org.oakwalk.core.fleet;

import java.util.Optional;
import org.oakwalk.core.SessionId;

/**
 * A worker's sessions: the present one, how far its reports have come, and which are surely over.
 */
final class Sessions {
  private Optional<SessionId> present = Optional.empty();
  private long sequence;
  private long lastOwn;
  private SessionId oldest = SessionId.FIRST;

  Optional<SessionId> present() {
    return present;
  }

  /** Whether a report is older than what is known, or from a session that is surely over. */
  boolean stale(SessionId reported, long number) {
    if (reported.compareTo(oldest) < 0) {
      return true;
    }
    return present.isPresent()
        && (reported.compareTo(present.get()) < 0
            || reported.equals(present.get()) && number <= sequence);
  }

  /**
   * Whether the worker surely takes no answer to this report any more, since it is from a former
   * session, or the worker has sent another one by itself since: it has one under way at a time. An
   * answer to it renews no lease.
   */
  boolean givenUp(SessionId reported, long number) {
    return reported.compareTo(present.orElse(oldest)) < 0
        || present.filter(reported::equals).isPresent() && number <= lastOwn;
  }

  /** Takes over a report's session and number; true if a new session has begun. */
  boolean advance(SessionId reported, long number, boolean own) {
    boolean fresh = present.isPresent() && !present.get().equals(reported);
    boolean same = present.filter(reported::equals).isPresent();
    present = Optional.of(reported);
    sequence = number;
    if (own) {
      lastOwn = number;
    } else if (!same) {
      lastOwn = 0;
    }
    return fresh;
  }

  /** The present session is over: reports that still come from it count for nothing. */
  void end() {
    present.ifPresent(session -> oldest = session.next());
    present = Optional.empty();
  }
}
