package org.oakwalk.core;

/**
 * Number of one attempt to run a task. It combines the leader's token with a counter, so attempts
 * under a higher token have higher numbers.
 */
public record Attempt(long value) {
  private static final int COUNTER_BITS = 28;

  /** Attempt number {@code counter} under a token. */
  public static Attempt of(Token token, long counter) {
    if (counter < 0 || counter >= 1L << COUNTER_BITS) {
      throw new IllegalArgumentException("attempt counter out of range: " + counter);
    }
    return new Attempt((token.value() << COUNTER_BITS) | counter);
  }

  /** The token under which the attempt was ordered. */
  public Token token() {
    return new Token(value >>> COUNTER_BITS);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
