package org.oakwalk.core.store;

/**
 * Token bucket for this node's share of a rate limit that all nodes share without coordination.
 *
 * <p>Its rate follows additive increase, multiplicative decrease: it grows slowly while the bucket
 * is exhausted, up to nearly the whole limit, and drops by a factor when the service refuses a
 * request because the nodes together exceed the limit. Nodes with equal demand thus converge to
 * equal rates, and a single busy node gets almost the whole limit.
 */
final class AdaptiveTokenBucket {
  /** Largest rate of one node, as a fraction of the whole limit. */
  private static final double MAX_SHARE_OF_LIMIT = 0.9;

  /** Smallest rate of one node, as a multiple of its fair share. */
  private static final double MIN_FAIR_SHARES = 0.25;

  /** Growth of the rate while the bucket is exhausted, in fair shares per second. */
  private static final double GROWTH_FAIR_SHARES_PER_SECOND = 0.25;

  /** Factor applied to the rate when the service refuses a request. */
  private static final double DECREASE_FACTOR = 0.6;

  /** Capacity of the bucket, in seconds of the fair share. */
  private static final double BURST_SECONDS = 1.5;

  /** Refusals within this time belong to the same overload and decrease the rate only once. */
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
   * Creates a full bucket.
   *
   * @param limit of all nodes together, per second
   * @param nodes number of nodes that share the limit
   * @param startFairShares initial rate, as a multiple of the fair share
   * @param maxAmount largest amount consumed at once
   * @param now milliseconds of the steady clock
   */
  AdaptiveTokenBucket(double limit, int nodes, double startFairShares, double maxAmount, long now) {
    this.fairShare = limit / nodes;
    this.maxPerSecond = limit * MAX_SHARE_OF_LIMIT;
    this.burst = Math.max(maxAmount, fairShare * BURST_SECONDS);
    this.perSecond = Math.min(maxPerSecond, fairShare * startFairShares);
    this.tokens = burst;
    this.refilledAt = now;
  }

  /** Refills the bucket up to now; returns true if this amount may be consumed now. */
  boolean refillAndCheck(double amount, long now) {
    double seconds = Math.max(0, now - refilledAt) / 1000.0;
    refilledAt = now;
    if (exhausted) {
      // Grows for one second at most, since no request may have waited during a longer gap.
      perSecond =
          Math.min(
              maxPerSecond,
              perSecond + fairShare * GROWTH_FAIR_SHARES_PER_SECOND * Math.min(seconds, 1));
    }
    tokens = Math.min(burst, tokens + perSecond * seconds);
    exhausted = tokens < Math.min(amount, burst);
    return !exhausted && !isPaused(now);
  }

  /** Returns true during the pause after a refusal, in which nothing is sent. */
  boolean isPaused(long now) {
    return now < pausedUntil;
  }

  /** Takes tokens; the balance may become negative. */
  void consume(double amount) {
    tokens -= amount;
  }

  /** Pauses and decreases the rate, after the service refused a request as over the limit. */
  void onRefused(long now, long pauseMillis) {
    pausedUntil = Math.max(pausedUntil, now + pauseMillis);
    if (now - decreasedAt > SAME_OVERLOAD_MILLIS) {
      decreasedAt = now;
      perSecond = Math.max(fairShare * MIN_FAIR_SHARES, perSecond * DECREASE_FACTOR);
      tokens = Math.min(tokens, 0);
    }
  }
}
