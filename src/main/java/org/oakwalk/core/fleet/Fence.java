package org.oakwalk.core.fleet;

import org.oakwalk.core.Token;

/**
 * The fencing token under which a machine is spoken to. It begins as the leader's own and is raised
 * now and then, up to a revision at which the leader key still stood, so that each later leader's
 * token is higher. A worker that shows the raised one refuses all commands that were sent before,
 * whenever they come.
 */
final class Fence {
  private final Token granted;
  private Token current;
  private boolean confirmed;

  Fence(Token granted) {
    this.granted = granted;
    this.current = granted;
  }

  /** The token that goes with what the machine is told. */
  Token current() {
    return current;
  }

  /** Whether this leader has sent this token to the machine, or may have. */
  boolean mayHaveIssued(Token token) {
    return token.compareTo(granted) >= 0 && token.compareTo(current) <= 0;
  }

  /** A newer report carried this token. */
  void observe(Token token) {
    confirmed = token.equals(current);
  }

  /** Whether a higher token may be sent; not before the last one has arrived. */
  boolean canRaiseTo(Token to) {
    return confirmed && to.compareTo(current) > 0;
  }

  /** From now on this token goes with what the machine is told. */
  void raise(Token to) {
    if (!canRaiseTo(to)) {
      throw new IllegalStateException("token " + current + " can't be raised to " + to);
    }
    current = to;
    confirmed = false;
  }
}
