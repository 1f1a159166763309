package org.oakwalk.adapter;

/** A token bucket: refilled at a constant rate up to the burst size, and spent by requests. */
final class TokenBucket {
  private final double tokensPerMilli;
  private final double burst;
  private double tokens;
  private long refilledAt;
  private long pausedUntil = Long.MIN_VALUE;

  TokenBucket(double tokensPerSecond, double burst, long now) {
    this.tokensPerMilli = tokensPerSecond / 1000;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAt = now;
  }

  /** Refills the bucket; returns true if it holds the amount, or is full, and is not paused. */
  boolean hasTokens(double amount, long now) {
    tokens = Math.min(burst, tokens + (now - refilledAt) * tokensPerMilli);
    refilledAt = now;
    return now >= pausedUntil && tokens >= Math.min(amount, burst);
  }

  void spend(double amount) {
    tokens -= amount;
  }

  /** Stops spending until this time, after the called service has reported overload. */
  void pauseUntil(long until) {
    pausedUntil = Math.max(pausedUntil, until);
    tokens = Math.min(tokens, 1);
  }
}
