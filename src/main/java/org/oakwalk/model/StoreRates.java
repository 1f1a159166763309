package org.oakwalk.model;

import org.oakwalk.core.Settings;

/** How much the state service takes a second, of all nodes together, with bursts of one second. */
final class StoreRates {
  private final Timeline time;
  private final double mostRequests;
  private final double mostWrites;
  private double requests;
  private double writes;
  private long filledAt;

  StoreRates(Timeline time, Settings.StateLimits limits) {
    this.time = time;
    this.mostRequests = limits.requestsPerSecond();
    this.mostWrites = limits.writesPerSecond();
    this.requests = mostRequests;
    this.writes = mostWrites;
    this.filledAt = time.now();
  }

  /** Whether a request with so many changes is taken now, and counts; else it is too much. */
  boolean takes(int changes) {
    double seconds = (time.now() - filledAt) / 1000.0;
    filledAt = time.now();
    requests = Math.min(mostRequests, requests + mostRequests * seconds);
    writes = Math.min(mostWrites, writes + mostWrites * seconds);
    if (requests < 1 || writes < changes) {
      return false;
    }
    requests--;
    writes -= changes;
    return true;
  }
}
