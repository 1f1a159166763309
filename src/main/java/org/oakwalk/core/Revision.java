package org.oakwalk.core;

/** Revision of the state service's store; zero stands for a key that does not exist. */
public record Revision(long value) implements Comparable<Revision> {
  /** The revision of a key that does not exist. */
  public static final Revision NONE = new Revision(0);

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
