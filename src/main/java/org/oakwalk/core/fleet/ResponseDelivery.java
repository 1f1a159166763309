package org.oakwalk.core.fleet;

import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;

/**
 * Tracks whether responses and commands reach a machine whose reports arrive, which a one-way
 * network fault may prevent. A machine that is not reached gets no tasks: each would wait there
 * until the machine's session ends, and so would the next one.
 */
final class ResponseDelivery {
  /** Presumed state of the delivery to a machine. */
  enum State {
    /** There is no sign of a fault. */
    DELIVERED,
    /**
     * It still reports an older leader's token, a lease after this leader's token was sent to it.
     */
    TOKEN_NOT_RECEIVED,
    /** Its session ended, or must have ended, although its reports were answered. */
    RESPONSES_NOT_RECEIVED
  }

  private State state = State.DELIVERED;
  private MonotonicTime failingSince;
  private MonotonicTime lastProbeAt = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime lastCommandReplyAt = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime lastTokenPushAt = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime lastResponseAt = new MonotonicTime(Long.MIN_VALUE / 2);

  boolean working() {
    return state == State.DELIVERED;
  }

  void markFailing(State failure, MonotonicTime now) {
    state = failure;
    failingSince = now;
  }

  /** Records that the machine has replied to a command. */
  void commandReplied(MonotonicTime now) {
    state = State.DELIVERED;
    lastCommandReplyAt = now;
  }

  /** When the machine was last probed because its reports had stopped. */
  MonotonicTime lastProbeAt() {
    return lastProbeAt;
  }

  void probed(MonotonicTime now) {
    lastProbeAt = now;
  }

  /** When the machine last replied to a command. */
  MonotonicTime lastCommandReplyAt() {
    return lastCommandReplyAt;
  }

  /** When this leader's token was last pushed to the machine by command. */
  MonotonicTime lastTokenPushAt() {
    return lastTokenPushAt;
  }

  void tokenPushed(MonotonicTime now) {
    lastTokenPushAt = now;
  }

  /** Allows the next token push at once. */
  void forgetTokenPush() {
    lastTokenPushAt = new MonotonicTime(Long.MIN_VALUE / 2);
  }

  /** When a response with this leader's token was last sent to a report of the machine. */
  MonotonicTime lastResponseAt() {
    return lastResponseAt;
  }

  void responseSent(MonotonicTime now) {
    lastResponseAt = now;
  }

  /** Records that the machine reports this leader's token. */
  void tokenConfirmed() {
    if (state == State.TOKEN_NOT_RECEIVED) {
      state = State.DELIVERED;
    }
  }

  /** Records a report of the same session as before, which continues only if responses arrive. */
  void sessionContinued(TimeSpan lease, MonotonicTime now) {
    if (state == State.RESPONSES_NOT_RECEIVED && now.isPast(failingSince, lease)) {
      state = State.DELIVERED;
    }
  }
}
