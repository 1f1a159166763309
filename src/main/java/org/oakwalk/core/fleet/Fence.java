package org.oakwalk.core.fleet;

import org.oakwalk.core.Token;

/**
 * The fencing token that one machine is addressed with. It starts as the leader's own token and is
 * raised from time to time, at most to a revision at which the leader key was still held, so that
 * the token of each later leader is higher. A worker that reports the raised token rejects all
 * commands sent under lower ones, however late they arrive.
 */
final class Fence {
  private final Token granted;
  private Token current;
  private boolean confirmed;

  Fence(Token granted) {
    this.granted = granted;
    this.current = granted;
  }

  /** The token to send with commands and responses to the machine. */
  Token current() {
    return current;
  }

  /** Whether this leader may have sent this token to the machine. */
  boolean mayHaveIssued(Token token) {
    return token.compareTo(granted) >= 0 && token.compareTo(current) <= 0;
  }

  /** Records the token of a newer report. */
  void observe(Token token) {
    confirmed = token.equals(current);
  }

  /** Whether this token may be sent next: it is higher, and the current one is confirmed. */
  boolean canRaiseTo(Token to) {
    return confirmed && to.compareTo(current) > 0;
  }

  /** Makes this the token to send from now on. */
  void raise(Token to) {
    if (!canRaiseTo(to)) {
      throw new IllegalStateException("cannot raise token " + current + " to " + to);
    }
    current = to;
    confirmed = false;
  }
}
