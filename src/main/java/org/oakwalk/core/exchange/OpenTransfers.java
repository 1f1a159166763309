package org.oakwalk.core.exchange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The transfers that are not settled, oldest first, and the shared record that stores them. */
final class OpenTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(OpenTransfers.class);

  private final SharedRecord<CapacityTransfer> record;
  private final Fleet fleet;
  private final Map<TransferId, TrackedTransfer> transfers = new TreeMap<>();
  private boolean restored;
  private boolean changed;

  OpenTransfers(SharedRecord<CapacityTransfer> record, Fleet fleet) {
    this.record = record;
    this.fleet = fleet;
  }

  /** Returns whether the stored transfers have been restored and the record is usable. */
  boolean isUsable() {
    return restored && !record.isUnusable();
  }

  /**
   * Restores the transfers of earlier leaders once the record is loaded.
   *
   * @return whether the transfers are usable
   */
  boolean restoreWhenLoaded(MonotonicTime now) {
    if (!restored && record.isLoaded() && !record.isUnusable()) {
      restore(now);
    }
    return isUsable();
  }

  private void restore(MonotonicTime now) {
    restored = true;
    for (CapacityTransfer transfer : record.storedRows()) {
      TrackedTransfer tracked = new TrackedTransfer(transfer, now);
      transfers.put(transfer.id(), tracked);
      Optional<Machine> machine = fleet.find(transfer.machine());
      if (machine.isPresent() && transfer.state() != CapacityTransfer.State.TAKEN) {
        tracked.reserveOn(machine.get());
      }
    }
    if (!transfers.isEmpty()) {
      LOG.info("restored {} open transfers, token {}", transfers.size(), fleet.token());
    }
  }

  /** Returns a copy of the list of open transfers. */
  List<TrackedTransfer> all() {
    return List.copyOf(transfers.values());
  }

  void add(TrackedTransfer tracked) {
    transfers.put(tracked.transfer.id(), tracked);
    changed = true;
  }

  /** Moves a transfer to its next state; every state change goes through this method. */
  void advance(TrackedTransfer tracked, CapacityTransfer next, MonotonicTime now) {
    LOG.info("transfer {}: {} to {}", next.id(), tracked.transfer.state(), next.state());
    tracked.transfer = next;
    tracked.writeRevision = 0;
    tracked.stateSince = now;
    changed = true;
    if (next.state() == CapacityTransfer.State.SETTLED) {
      tracked.releaseReservation();
      transfers.remove(next.id());
    }
  }

  /** Requests a write of all changes, in one revision of the record. */
  void writeChanges() {
    if (!changed) {
      return;
    }
    changed = false;
    List<CapacityTransfer> rows =
        transfers.values().stream().map(tracked -> tracked.transfer).toList();
    long revision = record.requestWrite(rows);
    transfers
        .values()
        .forEach(
            tracked ->
                tracked.writeRevision =
                    tracked.writeRevision == 0 ? revision : tracked.writeRevision);
  }

  /** Returns whether a transfer is stored in its current state. */
  boolean isStored(TrackedTransfer tracked) {
    boolean inherited = tracked.writeRevision == 0 && !changed && record.isUpToDate();
    return inherited || tracked.writeRevision > 0 && record.revision() >= tracked.writeRevision;
  }

  /** Returns the number of open transfers from a job. */
  int countFromGiver(Job giver) {
    return (int)
        transfers.values().stream()
            .filter(tracked -> tracked.transfer.giver().equals(giver.id()))
            .count();
  }

  /** Returns the number of pending transfers to a job. */
  int pendingCountFor(Job job) {
    int count = 0;
    for (TrackedTransfer tracked : transfers.values()) {
      count += tracked.transfer.isPending() && tracked.transfer.taker().equals(job.id()) ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of open transfers of an exchange. */
  long countUnder(ExchangeTerms exchange) {
    return transfers.values().stream()
        .filter(tracked -> tracked.transfer.exchangeName().equals(exchange.name()))
        .count();
  }

  /** Returns the transfers to a job that are pending or taken, but not being given back. */
  List<TrackedTransfer> activeFor(Job job) {
    return transfers.values().stream()
        .filter(tracked -> tracked.transfer.taker().equals(job.id()))
        .filter(
            tracked ->
                tracked.transfer.isPending()
                    || tracked.transfer.state() == CapacityTransfer.State.TAKEN)
        .toList();
  }

  /**
   * Returns whether no replica of the taker uses the transfer: the machine runs fewer replicas of
   * the taker than the taker has transfers there.
   */
  boolean isUnused(TrackedTransfer tracked) {
    if (tracked.reservedMachine != null) {
      return true;
    }
    long replicasHere =
        fleet
            .find(tracked.transfer.machine())
            .map(machine -> machine.taskCountOf(tracked.transfer.taker()))
            .orElse(0L);
    long transfersHere =
        transfers.values().stream()
            .filter(
                other ->
                    other.transfer.state() == CapacityTransfer.State.TAKEN
                        && other.reservedMachine == null)
            .filter(other -> other.transfer.taker().equals(tracked.transfer.taker()))
            .filter(other -> other.transfer.machine().equals(tracked.transfer.machine()))
            .count();
    return replicasHere < transfersHere;
  }
}
