package org.oakwalk.adapter;

/** Tokens that come in at a steady rate, up to a burst, and are spent by requests. */
final class RateBudget {
  private final double perMilli;
  private final double burst;
  private double tokens;
  private long filledAt;
  private long pausedUntil = Long.MIN_VALUE;

  RateBudget(double perSecond, double burst, long now) {
    this.perMilli = perSecond / 1000;
    this.burst = burst;
    this.tokens = burst;
    this.filledAt = now;
  }

  boolean has(double amount, long now) {
    tokens = Math.min(burst, tokens + (now - filledAt) * perMilli);
    filledAt = now;
    return now >= pausedUntil && tokens >= Math.min(amount, burst);
  }

  void spend(double amount) {
    tokens -= amount;
  }

  /** The other side says that it is too much: nothing goes out for a while. */
  void pause(long until) {
    pausedUntil = Math.max(pausedUntil, until);
    tokens = Math.min(tokens, 1);
  }
}
