package org.oakwalk.core;

/** Position in the state service's history; zero stands for a key that does not exist. */
public record Revision(long value) implements Comparable<Revision> {
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
