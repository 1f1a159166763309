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
final class OpenTakes {
  private static final Logger LOG = LoggerFactory.getLogger(OpenTakes.class);

  private final SharedRecord<Take> record;
  private final Fleet fleet;
  private final Map<TakeId, Live> open = new TreeMap<>();
  private boolean restored;
  private boolean changed;

  OpenTakes(SharedRecord<Take> record, Fleet fleet) {
    this.record = record;
    this.fleet = fleet;
  }

  /** Whether they are known, and can be kept. */
  boolean usable() {
    return restored && !record.isUnusable();
  }

  /** The same, once what an earlier leader left has been taken over. */
  boolean restored(Moment now) {
    if (!restored && record.isLoaded() && !record.isUnusable()) {
      restore(now);
    }
    return usable();
  }

  private void restore(Moment now) {
    restored = true;
    for (Take take : record.storedRows()) {
      Live live = new Live(take, now);
      open.put(take.id(), live);
      Optional<Machine> machine = fleet.find(take.machine());
      if (machine.isPresent() && take.state() != Take.State.TAKEN) {
        live.keep(machine.get());
      }
    }
    if (!open.isEmpty()) {
      LOG.info("{} takes are open, token {}", open.size(), fleet.token());
    }
  }

  /** All of them as they are now. */
  List<Live> all() {
    return List.copyOf(open.values());
  }

  void add(Live live) {
    open.put(live.take.id(), live);
    changed = true;
  }

  /** The one place where a take changes. */
  void change(Live live, Take next, Moment now) {
    LOG.info("take {}: {} to {}", next.id(), live.take.state(), next.state());
    live.take = next;
    live.ticket = 0;
    live.since = now;
    changed = true;
    if (next.state() == Take.State.SETTLED) {
      live.letGo();
      open.remove(next.id());
    }
  }

  /** Wants what has changed to be stored, in one revision. */
  void store() {
    if (!changed) {
      return;
    }
    changed = false;
    List<Take> rows = open.values().stream().map(live -> live.take).toList();
    long ticket = record.requestWrite(rows);
    open.values().forEach(live -> live.ticket = live.ticket == 0 ? ticket : live.ticket);
  }

  /** Whether a take is stored as it is. */
  boolean isStored(Live live) {
    boolean inherited = live.ticket == 0 && !changed && record.isUpToDate();
    return inherited || live.ticket > 0 && record.revision() >= live.ticket;
  }

  /** How many takes of a job are not given back. */
  int owed(Job giver) {
    return (int) open.values().stream().filter(l -> l.take.giver().equals(giver.id())).count();
  }

  int underWayFor(Job job) {
    int count = 0;
    for (Live live : open.values()) {
      count += live.take.underWay() && live.take.taker().equals(job.id()) ? 1 : 0;
    }
    return count;
  }

  long held(ExchangeTerms each) {
    return open.values().stream().filter(l -> l.take.exchange().equals(each.name())).count();
  }

  /** What a job has taken, or is about to, and has not begun to give back. */
  List<Live> heldBy(Job job) {
    return open.values().stream()
        .filter(l -> l.take.taker().equals(job.id()))
        .filter(l -> l.take.underWay() || l.take.state() == Take.State.TAKEN)
        .toList();
  }

  /** Whether no replica of the taker stands for this take: fewer are there than took room there. */
  boolean unused(Live live) {
    if (live.keeps != null) {
      return true;
    }
    long here =
        fleet
            .find(live.take.machine())
            .map(machine -> machine.taskCountOf(live.take.taker()))
            .orElse(0L);
    long takes =
        open.values().stream()
            .filter(other -> other.take.state() == Take.State.TAKEN && other.keeps == null)
            .filter(other -> other.take.taker().equals(live.take.taker()))
            .filter(other -> other.take.machine().equals(live.take.machine()))
            .count();
    return here < takes;
  }
}
