package org.oakwalk.core;

/** A length of time in milliseconds. */
public record TimeSpan(long millis) implements Comparable<TimeSpan> {
  /**
   * Maximum relative drift of two monotonic clocks against each other; the margins below allow for
   * twice this.
   */
  private static final double MAX_CLOCK_DRIFT = 0.0005;

  public static TimeSpan seconds(double seconds) {
    return new TimeSpan(Math.round(seconds * 1000));
  }

  public static TimeSpan millis(long millis) {
    return new TimeSpan(millis);
  }

  /** The length in seconds. */
  public double asSeconds() {
    return millis / 1000.0;
  }

  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(millis + other.millis);
  }

  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(millis - other.millis);
  }

  public TimeSpan times(double factor) {
    return new TimeSpan(Math.round(millis * factor));
  }

  public boolean isLongerThan(TimeSpan other) {
    return millis > other.millis;
  }

  /**
   * This span lengthened for clock drift: after waiting this long on the local clock, the span has
   * certainly passed on another machine's clock.
   */
  public TimeSpan plusClockDrift() {
    return new TimeSpan((long) Math.ceil(millis * (1 + 2 * MAX_CLOCK_DRIFT)));
  }

  /**
   * This span shortened for clock drift: within this time on the local clock, the span has
   * certainly not passed on another machine's clock.
   */
  public TimeSpan minusClockDrift() {
    return new TimeSpan((long) Math.floor(millis * (1 - 2 * MAX_CLOCK_DRIFT)));
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Long.compare(millis, other.millis);
  }

  @Override
  public String toString() {
    return asSeconds() + "s";
  }
}
