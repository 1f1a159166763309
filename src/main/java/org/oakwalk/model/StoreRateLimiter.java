package org.oakwalk.model;

import org.oakwalk.core.Settings;

/**
 * Token buckets for the requests and writes of all nodes to the state service, with a burst of one
 * second.
 */
final class StoreRateLimiter {
  private final Timeline time;
  private final double maxRequests;
  private final double maxWrites;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt;

  StoreRateLimiter(Timeline time, Settings.StateLimits limits) {
    this.time = time;
    this.maxRequests = limits.requestsPerSecond();
    this.maxWrites = limits.writesPerSecond();
    this.requestTokens = maxRequests;
    this.writeTokens = maxWrites;
    this.refilledAt = time.now();
  }

  /**
   * Takes the tokens for a request with this number of changes; returns false if there are too few.
   */
  boolean tryAcquire(int changes) {
    double seconds = (time.now() - refilledAt) / 1000.0;
    refilledAt = time.now();
    requestTokens = Math.min(maxRequests, requestTokens + maxRequests * seconds);
    writeTokens = Math.min(maxWrites, writeTokens + maxWrites * seconds);
    if (requestTokens < 1 || writeTokens < changes) {
      return false;
    }
    requestTokens--;
    writeTokens -= changes;
    return true;
  }
}
