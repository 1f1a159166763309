package org.oakwalk.core;

/**
 * A reading of this process's monotonic clock, in milliseconds. Readings of different processes are
 * not comparable.
 */
public record MonotonicTime(long millis) implements Comparable<MonotonicTime> {
  public MonotonicTime plus(TimeSpan span) {
    return new MonotonicTime(millis + span.millis());
  }

  public TimeSpan since(MonotonicTime earlier) {
    return new TimeSpan(millis - earlier.millis);
  }

  public boolean isAfter(MonotonicTime other) {
    return millis > other.millis;
  }

  /** Whether this reading is more than {@code span} after {@code earlier}. */
  public boolean isPast(MonotonicTime earlier, TimeSpan span) {
    return millis - earlier.millis > span.millis();
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(millis, other.millis);
  }

  @Override
  public String toString() {
    return "@" + millis;
  }
}
