package org.oakwalk.core.fleet;

import org.oakwalk.core.MachineId;
import org.oakwalk.core.TimeSpan;

/**
 * A rented machine as listed by the cloud.
 *
 * @param rentedFor time since it was rented
 */
public record Rental(
    MachineId id,
    String address,
    String type,
    String zone,
    boolean spot,
    Status status,
    TimeSpan rentedFor) {

  /** State of a rented machine. */
  public enum Status {
    BOOTING,
    RUNNING,
    FAILED
  }
}
