package org.oakwalk.core.exchange;

import java.util.List;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;

/** A transfer that is not settled, with the state that only this leader holds. */
final class TrackedTransfer {
  CapacityTransfer transfer;

  /**
   * Revision of the record that holds the transfer in its current state; zero if this leader has
   * not requested such a write.
   */
  long writeRevision;

  /** The machine on which the transfer's room is reserved; null if none is. */
  Machine reservedMachine;

  /** The tasks to stop; empty if an earlier leader planned the transfer. */
  List<Placement> victims = List.of();

  /** When this leader put the transfer into its current state, or restored it. */
  MonotonicTime stateSince;

  TrackedTransfer(CapacityTransfer transfer, MonotonicTime stateSince) {
    this.transfer = transfer;
    this.stateSince = stateSince;
  }

  /** Reserves the transfer's room on this machine, and releases any earlier reservation. */
  void reserveOn(Machine machine) {
    releaseReservation();
    machine.reserve(transfer.resources());
    reservedMachine = machine;
  }

  /** Releases the reservation, if there is one. */
  void releaseReservation() {
    if (reservedMachine != null) {
      reservedMachine.releaseReservation(transfer.resources());
      reservedMachine = null;
    }
  }

  /** Returns whether the room is free on the reserved machine, its own reservation aside. */
  boolean isCapacityFree() {
    return transfer.resources().fitsInto(reservedMachine.free().plus(transfer.resources()));
  }
}
