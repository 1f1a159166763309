package org.oakwalk.adapter;

/** Tokens that come in at a steady rate, up to a burst, and are spent by requests. */
final class TokenBucket {
  private final double tokensPerMilli;
  private final double burst;
  private double tokens;
  private long refilledAt;
  private long pausedUntil = Long.MIN_VALUE;

  TokenBucket(double perSecond, double burst, long now) {
    this.tokensPerMilli = perSecond / 1000;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAt = now;
  }

  boolean hasTokens(double amount, long now) {
    tokens = Math.min(burst, tokens + (now - refilledAt) * tokensPerMilli);
    refilledAt = now;
    return now >= pausedUntil && tokens >= Math.min(amount, burst);
  }

  void spend(double amount) {
    tokens -= amount;
  }

  /** The other side says that it is too much: nothing goes out for a while. */
  void pauseUntil(long until) {
    pausedUntil = Math.max(pausedUntil, until);
    tokens = Math.min(tokens, 1);
  }
}
