package org.oakwalk.core;

/** Number of a worker's session; a new session begins when the worker's lease has expired. */
public record SessionId(long value) implements Comparable<SessionId> {
  /** The session of a worker that has just started. */
  public static final SessionId FIRST = new SessionId(1);

  /** The session after this one. */
  public SessionId next() {
    return new SessionId(value + 1);
  }

  @Override
  public int compareTo(SessionId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
