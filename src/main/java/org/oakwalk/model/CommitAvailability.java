package org.oakwalk.model;

import java.util.TreeSet;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/**
 * Determines whether users had to give up submitting. A submission is retried for up to 60 s in
 * total, and a job that was never accepted need not be done. That excuses the controllers only if
 * none of them could have stored the job in the meantime.
 */
final class CommitAvailability {
  /**
   * Time until the first retry: a request that is lost with its node times out after 5 s, and is
   * retried 1 s later.
   */
  private static final long FIRST_RETRY_MS = 6000;

  private final Timeline time;
  private final TreeSet<Long> commitAnsweredAt = new TreeSet<>();

  CommitAvailability(Timeline time) {
    this.time = time;
  }

  /**
   * Records the time at which a controller received the result of a transaction: committed, or
   * rejected with a conflict.
   */
  void answerReceived(Request request, Answer answer) {
    if (request instanceof Request.Commit
        && (answer instanceof Answer.Committed || answer instanceof Answer.Conflict)) {
      commitAnsweredAt.add(time.now());
    }
  }

  /**
   * Whether no transaction of any controller was answered while a user tried to submit.
   *
   * @param first time of the first attempt in milliseconds
   * @param last time of the last attempt in milliseconds
   */
  boolean noCommitAnswered(long first, long last) {
    return commitAnsweredAt
        .subSet(Math.min(first + FIRST_RETRY_MS, last), true, last, true)
        .isEmpty();
  }
}
