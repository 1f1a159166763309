package org.oakwalk.core;

/** Id of a controller node. */
public record NodeId(String value) implements Comparable<NodeId> {
  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
