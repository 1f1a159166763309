package org.oakwalk.core;

/** A length of time in milliseconds. */
public record Span(long millis) implements Comparable<Span> {
  /**
   * Maximum relative drift of two monotonic clocks against each other; the margins below allow for
   * twice this.
   */
  private static final double MAX_CLOCK_DRIFT = 0.0005;

  public static Span seconds(double seconds) {
    return new Span(Math.round(seconds * 1000));
  }

  public static Span millis(long millis) {
    return new Span(millis);
  }

  /** The length in seconds. */
  public double asSeconds() {
    return millis / 1000.0;
  }

  public Span plus(Span other) {
    return new Span(millis + other.millis);
  }

  public Span minus(Span other) {
    return new Span(millis - other.millis);
  }

  public Span times(double factor) {
    return new Span(Math.round(millis * factor));
  }

  public boolean isLongerThan(Span other) {
    return millis > other.millis;
  }

  /**
   * This span lengthened for clock drift: after waiting this long on the local clock, the span has
   * certainly passed on another machine's clock.
   */
  public Span plusClockDrift() {
    return new Span((long) Math.ceil(millis * (1 + 2 * MAX_CLOCK_DRIFT)));
  }

  /**
   * This span shortened for clock drift: within this time on the local clock, the span has
   * certainly not passed on another machine's clock.
   */
  public Span minusClockDrift() {
    return new Span((long) Math.floor(millis * (1 - 2 * MAX_CLOCK_DRIFT)));
  }

  @Override
  public int compareTo(Span other) {
    return Long.compare(millis, other.millis);
  }

  @Override
  public String toString() {
    return asSeconds() + "s";
  }
}
