package org.oakwalk.core.fleet;

import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;

/**
 * Whether a machine that reports also takes what it is told. One that does not gets no tasks: each
 * would wait there until the machine's session ends, and the next one again.
 */
final class ResponseDelivery {
  /** What a machine is taken to do. */
  enum State {
    /** Nothing speaks against it. */
    DELIVERED,
    /** It still reports an older leader's token, a lease after it was told this one's. */
    TOKEN_NOT_RECEIVED,
    /** Its session ended, or surely must have, though reports from it had been answered. */
    RESPONSES_NOT_RECEIVED
  }

  private State state = State.DELIVERED;
  private Moment failingSince;
  private Moment lastProbeAt = new Moment(Long.MIN_VALUE / 2);
  private Moment lastCommandReplyAt = new Moment(Long.MIN_VALUE / 2);

  boolean working() {
    return state == State.DELIVERED;
  }

  void markFailing(State why, Moment now) {
    state = why;
    failingSince = now;
  }

  /** It has answered a command. */
  void commandReplied(Moment now) {
    state = State.DELIVERED;
    lastCommandReplyAt = now;
  }

  /** When it was last asked as it had ceased to report. */
  Moment lastProbeAt() {
    return lastProbeAt;
  }

  void probed(Moment now) {
    lastProbeAt = now;
  }

  /** When it last answered a command. */
  Moment lastCommandReplyAt() {
    return lastCommandReplyAt;
  }

  /** It reports the leader's token. */
  void tokenConfirmed() {
    if (state == State.TOKEN_NOT_RECEIVED) {
      state = State.DELIVERED;
    }
  }

  /** It reports from the same session as before, which lives on only if it takes answers. */
  void sessionContinued(Span lease, Moment now) {
    if (state == State.RESPONSES_NOT_RECEIVED && now.past(failingSince, lease)) {
      state = State.DELIVERED;
    }
  }
}
