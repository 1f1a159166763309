package org.oakwalk.core.store;

/**
 * This node's part of a rate that all nodes share without asking each other: tokens that come in
 * steadily, up to a burst. The part grows slowly as long as it is too little, up to nearly the
 * whole, and shrinks by a part of itself whenever the service says that all together ask for too
 * much. So nodes that want the same end up with the same, and one that is alone gets what there is.
 */
final class AdaptiveTokenBucket {
  private static final double MAX_SHARE_OF_LIMIT = 0.9;
  private static final double MIN_FAIR_SHARES = 0.25;
  private static final double GROWTH_FAIR_SHARES_PER_SECOND = 0.25;
  private static final double DECREASE_FACTOR = 0.6;
  private static final double BURST_SECONDS = 1.5;

  /** Refusals within this time are of the same crowd. */
  private static final long SAME_OVERLOAD_MILLIS = 150;

  private final double fairShare;
  private final double maxPerSecond;
  private final double burst;
  private double perSecond;
  private double tokens;
  private long refilledAt;
  private boolean exhausted;
  private long pausedUntil = Long.MIN_VALUE;
  private long decreasedAt = Long.MIN_VALUE / 2;

  /**
   * A rate that has not been asked for anything yet.
   *
   * @param limit of all nodes together, a second
   * @param nodes how many share it
   * @param start so many times the fair part is taken at first
   * @param largest most that is asked for at once
   * @param now milliseconds of the steady clock
   */
  AdaptiveTokenBucket(double limit, int nodes, double start, double largest, long now) {
    this.fairShare = limit / nodes;
    this.maxPerSecond = limit * MAX_SHARE_OF_LIMIT;
    this.burst = Math.max(largest, fairShare * BURST_SECONDS);
    this.perSecond = Math.min(maxPerSecond, fairShare * start);
    this.tokens = burst;
    this.refilledAt = now;
  }

  /** Whether so much may be asked for now. */
  boolean refillAndCheck(double amount, long now) {
    double seconds = Math.max(0, now - refilledAt) / 1000.0;
    refilledAt = now;
    if (exhausted) {
      // Only for as long as somebody may have waited for it.
      perSecond =
          Math.min(
              maxPerSecond,
              perSecond + fairShare * GROWTH_FAIR_SHARES_PER_SECOND * Math.min(seconds, 1));
    }
    tokens = Math.min(burst, tokens + perSecond * seconds);
    exhausted = tokens < Math.min(amount, burst);
    return !exhausted && !isPaused(now);
  }

  /** Whether nothing goes out for a moment, whatever there is. */
  boolean isPaused(long now) {
    return now < pausedUntil;
  }

  void consume(double amount) {
    tokens -= amount;
  }

  /** The service says that all nodes together ask for too much. */
  void onRefused(long now, long pauseMillis) {
    pausedUntil = Math.max(pausedUntil, now + pauseMillis);
    if (now - decreasedAt > SAME_OVERLOAD_MILLIS) {
      decreasedAt = now;
      perSecond = Math.max(fairShare * MIN_FAIR_SHARES, perSecond * DECREASE_FACTOR);
      tokens = Math.min(tokens, 0);
    }
  }
}
