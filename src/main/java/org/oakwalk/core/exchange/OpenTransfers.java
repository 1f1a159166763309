package org.oakwalk.core.exchange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.Moment;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The takes that are not settled, oldest first, and the record that holds them for successors. */
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

  /** Whether they are known, and can be kept. */
  boolean isUsable() {
    return restored && !record.isUnusable();
  }

  /** The same, once what an earlier leader left has been taken over. */
  boolean restoreWhenLoaded(Moment now) {
    if (!restored && record.isLoaded() && !record.isUnusable()) {
      restore(now);
    }
    return isUsable();
  }

  private void restore(Moment now) {
    restored = true;
    for (CapacityTransfer take : record.storedRows()) {
      TrackedTransfer live = new TrackedTransfer(take, now);
      transfers.put(take.id(), live);
      Optional<Machine> machine = fleet.find(take.machine());
      if (machine.isPresent() && take.state() != CapacityTransfer.State.TAKEN) {
        live.reserveOn(machine.get());
      }
    }
    if (!transfers.isEmpty()) {
      LOG.info("{} takes are open, token {}", transfers.size(), fleet.token());
    }
  }

  /** All of them as they are now. */
  List<TrackedTransfer> all() {
    return List.copyOf(transfers.values());
  }

  void add(TrackedTransfer live) {
    transfers.put(live.transfer.id(), live);
    changed = true;
  }

  /** The one place where a take changes. */
  void advance(TrackedTransfer live, CapacityTransfer next, Moment now) {
    LOG.info("take {}: {} to {}", next.id(), live.transfer.state(), next.state());
    live.transfer = next;
    live.writeRevision = 0;
    live.stateSince = now;
    changed = true;
    if (next.state() == CapacityTransfer.State.SETTLED) {
      live.releaseReservation();
      transfers.remove(next.id());
    }
  }

  /** Wants what has changed to be stored, in one revision. */
  void writeChanges() {
    if (!changed) {
      return;
    }
    changed = false;
    List<CapacityTransfer> rows = transfers.values().stream().map(live -> live.transfer).toList();
    long ticket = record.requestWrite(rows);
    transfers
        .values()
        .forEach(
            live -> live.writeRevision = live.writeRevision == 0 ? ticket : live.writeRevision);
  }

  /** Whether a take is stored as it is. */
  boolean isStored(TrackedTransfer live) {
    boolean inherited = live.writeRevision == 0 && !changed && record.isUpToDate();
    return inherited || live.writeRevision > 0 && record.revision() >= live.writeRevision;
  }

  /** How many takes of a job are not given back. */
  int countFromGiver(Job giver) {
    return (int)
        transfers.values().stream().filter(l -> l.transfer.giver().equals(giver.id())).count();
  }

  int pendingCountFor(Job job) {
    int count = 0;
    for (TrackedTransfer live : transfers.values()) {
      count += live.transfer.isPending() && live.transfer.taker().equals(job.id()) ? 1 : 0;
    }
    return count;
  }

  long countUnder(ExchangeTerms each) {
    return transfers.values().stream()
        .filter(l -> l.transfer.exchangeName().equals(each.name()))
        .count();
  }

  /** What a job has taken, or is about to, and has not begun to give back. */
  List<TrackedTransfer> activeFor(Job job) {
    return transfers.values().stream()
        .filter(l -> l.transfer.taker().equals(job.id()))
        .filter(l -> l.transfer.isPending() || l.transfer.state() == CapacityTransfer.State.TAKEN)
        .toList();
  }

  /** Whether no replica of the taker stands for this take: fewer are there than took room there. */
  boolean isUnused(TrackedTransfer live) {
    if (live.reservedMachine != null) {
      return true;
    }
    long here =
        fleet
            .find(live.transfer.machine())
            .map(machine -> machine.countOf(live.transfer.taker()))
            .orElse(0L);
    long takes =
        transfers.values().stream()
            .filter(
                other ->
                    other.transfer.state() == CapacityTransfer.State.TAKEN
                        && other.reservedMachine == null)
            .filter(other -> other.transfer.taker().equals(live.transfer.taker()))
            .filter(other -> other.transfer.machine().equals(live.transfer.machine()))
            .count();
    return here < takes;
  }
}
