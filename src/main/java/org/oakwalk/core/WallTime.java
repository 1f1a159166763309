package org.oakwalk.core;

/**
 * A reading of the time of day, in milliseconds since the epoch. Never used for safety decisions,
 * because wall clocks may be wrong.
 */
public record WallTime(long millis) {
  public TimeSpan since(WallTime earlier) {
    return new TimeSpan(millis - earlier.millis);
  }
}
