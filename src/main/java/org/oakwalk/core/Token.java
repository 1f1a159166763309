package org.oakwalk.core;

/**
 * Fencing token of a leader: the revision at which it wrote the leader key. In messages to one
 * machine it may be a later revision at which that key still existed.
 */
public record Token(long value) implements Comparable<Token> {
  @Override
  public int compareTo(Token other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
