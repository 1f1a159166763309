package org.oakwalk.core;

/** Name that the cloud gave a machine. */
public record MachineId(String value) implements Comparable<MachineId> {
  @Override
  public int compareTo(MachineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
