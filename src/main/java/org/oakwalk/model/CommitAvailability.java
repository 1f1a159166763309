package org.oakwalk.model;

import java.util.TreeSet;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/**
 * Tells the users who could not but give up from those who were not served. A submission is retried
 * for up to 60 s in total, and a job that was never accepted need not be done. But that excuses the
 * controllers only if none of them could have stored the job meanwhile.
 */
final class CommitAvailability {
  /** A first request may be lost with its node; then its user waits 5 s, and 1 s to retry. */
  private static final long FIRST_RETRY_MS = 6000;

  private final Timeline time;
  private final TreeSet<Long> commitAnsweredAt = new TreeSet<>();

  CommitAvailability(Timeline time) {
    this.time = time;
  }

  /** A controller has got this answer of the state service in time. */
  void answerReceived(Request request, Answer answer) {
    if (request instanceof Request.Commit
        && (answer instanceof Answer.Committed || answer instanceof Answer.Conflict)) {
      commitAnsweredAt.add(time.now());
    }
  }

  /**
   * Whether no controller's transaction was answered while a user tried.
   *
   * @param first milliseconds at which it tried first
   * @param last and last
   */
  boolean noCommitAnswered(long first, long last) {
    return commitAnsweredAt
        .subSet(Math.min(first + FIRST_RETRY_MS, last), true, last, true)
        .isEmpty();
  }
}
