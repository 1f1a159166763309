package org.oakwalk.core;

/** A reading of this process's monotonic clock, in milliseconds. */
public record Moment(long millis) implements Comparable<Moment> {
  public Moment plus(Span span) {
    return new Moment(millis + span.millis());
  }

  public Span since(Moment earlier) {
    return new Span(millis - earlier.millis);
  }

  public boolean isAfter(Moment other) {
    return millis > other.millis;
  }

  /** Whether more than {@code span} has passed since {@code earlier}. */
  public boolean isPast(Moment earlier, Span span) {
    return millis - earlier.millis > span.millis();
  }

  @Override
  public int compareTo(Moment other) {
    return Long.compare(millis, other.millis);
  }

  @Override
  public String toString() {
    return "@" + millis;
  }
}
