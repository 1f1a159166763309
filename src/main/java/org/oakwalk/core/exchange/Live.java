package org.oakwalk.core.exchange;

import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;

/** A take that is not settled, and what only this leader knows of it. */
final class Live {
  Take take;

  /**
   * The revision of the record that holds it as it is; zero if none does that this leader wrote.
   */
  long ticket;

  /** Where room is kept for it; null if none is. */
  Machine keeps;

  List<Placement> victims = List.of();
  Moment since;

  Live(Take take, Moment since) {
    this.take = take;
    this.since = since;
  }

  /** Keeps its room on this machine, and nowhere else. */
  void keep(Machine machine) {
    letGo();
    machine.reserve(take.room());
    keeps = machine;
  }

  /** Keeps no room any more. */
  void letGo() {
    if (keeps != null) {
      keeps.releaseReservation(take.room());
      keeps = null;
    }
  }

  /** Whether its room is free, apart from what is kept for itself. */
  boolean roomIsFree() {
    return take.room().fitsInto(keeps.free().plus(take.room()));
  }
}
