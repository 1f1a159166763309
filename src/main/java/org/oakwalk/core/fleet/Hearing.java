package org.oakwalk.core.fleet;

import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;

/**
 * Whether a machine that reports also takes what it is told. One that does not gets no tasks: each
 * would wait there until the machine's session ends, and the next one again.
 */
final class Hearing {
  /** What a machine is taken to do. */
  enum State {
    /** Nothing speaks against it. */
    HEARS,
    /** It still reports an older leader's token, a lease after it was told this one's. */
    NOT_THE_TOKEN,
    /** Its session ended, or surely must have, though reports from it had been answered. */
    NOT_THE_ANSWERS
  }

  private State state = State.HEARS;
  private Moment since;
  private Moment asked = new Moment(Long.MIN_VALUE / 2);
  private Moment commanded = new Moment(Long.MIN_VALUE / 2);

  boolean hears() {
    return state == State.HEARS;
  }

  void deaf(State why, Moment now) {
    state = why;
    since = now;
  }

  /** It has answered a command. */
  void answered(Moment now) {
    state = State.HEARS;
    commanded = now;
  }

  /** When it was last asked as it had ceased to report. */
  Moment asked() {
    return asked;
  }

  void ask(Moment now) {
    asked = now;
  }

  /** When it last answered a command. */
  Moment commanded() {
    return commanded;
  }

  /** It reports the leader's token. */
  void showsToken() {
    if (state == State.NOT_THE_TOKEN) {
      state = State.HEARS;
    }
  }

  /** It reports from the same session as before, which lives on only if it takes answers. */
  void sessionLives(Span lease, Moment now) {
    if (state == State.NOT_THE_ANSWERS && now.isPast(since, lease)) {
      state = State.HEARS;
    }
  }
}
