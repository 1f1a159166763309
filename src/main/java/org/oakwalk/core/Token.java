package org.oakwalk.core;

/**
 * Fencing token of a leader: the revision at which it wrote the leader key or, as what one machine
 * is told, a later one at which that key still stood.
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
