package org.oakwalk.core.exchange;

import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;

/** A take that is not settled, and what only this leader knows of it. */
final class TrackedTransfer {
  CapacityTransfer transfer;

  /**
   * The revision of the record that holds it as it is; zero if none does that this leader wrote.
   */
  long writeRevision;

  /** Where room is kept for it; null if none is. */
  Machine reservedMachine;

  List<Placement> victims = List.of();
  Moment stateSince;

  TrackedTransfer(CapacityTransfer take, Moment since) {
    this.transfer = take;
    this.stateSince = since;
  }

  /** Keeps its room on this machine, and nowhere else. */
  void reserveOn(Machine machine) {
    releaseReservation();
    machine.promise(transfer.resources());
    reservedMachine = machine;
  }

  /** Keeps no room any more. */
  void releaseReservation() {
    if (reservedMachine != null) {
      reservedMachine.promiseEnds(transfer.resources());
      reservedMachine = null;
    }
  }

  /** Whether its room is free, apart from what is kept for itself. */
  boolean isRoomFree() {
    return transfer.resources().fitsInto(reservedMachine.free().plus(transfer.resources()));
  }
}
