package org.oakwalk.core.recovery;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Registry;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.DoneBits;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings a new leader up to date: stored results, then the machines' registry, then a confirmation
 * from each registered machine. Until the last has come, or the machine is surely empty, no task of
 * an older job that has not been seen is placed: it may run on a machine not heard yet.
 */
public final class Recovery {
  private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);

  /** Steps of the recovery. */
  public enum State {
    READING_RESULTS,
    READING_MACHINES,
    CONFIRMING,
    COMPLETE
  }

  private static final Span RETRY = Span.millis(200);

  private final Outbox outbox;
  private final Fleet fleet;
  private final JobBook jobs;
  private final ResultWriter results;
  private final Registry registry;
  private final Moment rose;
  private final Set<NodeId> unsettledPeers;
  private final Moment relaysEnd;
  private Moment lastForeignRenewal;
  private Map<String, MachineType> types = Map.of();
  private State state = State.READING_RESULTS;
  private boolean reading;
  private Optional<String> after = Optional.empty();
  private final EnumMap<State, Moment> entered = new EnumMap<>(State.class);
  private int pages;
  private int registered;
  private Moment clock;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  public Recovery(
      Outbox outbox,
      Fleet fleet,
      JobBook jobs,
      ResultWriter results,
      Registry registry,
      Set<NodeId> mayHoldGrace,
      Span graceLimit,
      Moment rose) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.jobs = jobs;
    this.results = results;
    this.registry = registry;
    this.rose = rose;
    this.clock = rose;
    this.entered.put(State.READING_RESULTS, rose);
    this.unsettledPeers = new HashSet<>(mayHoldGrace);
    // A follower that kept a zone's leases alive under an older token stops once its copy of the
    // store shows the change of leader.
    this.relaysEnd = rose.plus(StoreView.LAG.plusClockDrift());
    this.lastForeignRenewal =
        mayHoldGrace.isEmpty() ? relaysEnd : rose.plus(graceLimit.plusClockDrift());
  }

  public State state() {
    return state;
  }

  /** Whether reports can be made use of. */
  public boolean readsReports() {
    return state == State.CONFIRMING || state == State.COMPLETE;
  }

  public boolean complete() {
    return state == State.COMPLETE;
  }

  /**
   * The last moment at which a worker's lease may have been renewed unseen: by an earlier leader,
   * or by this one before it read reports.
   */
  public Moment lastForeignRenewal() {
    return lastForeignRenewal;
  }

  /**
   * A worker was answered under this leader's token, though its report could not be made use of
   * yet. That renewed its lease later than the moment at which the list of machines was asked for,
   * from which the lease of a machine that is not heard again would else be counted.
   */
  public void renewedUnread(Moment now) {
    if (!readsReports() && now.isAfter(lastForeignRenewal)) {
      lastForeignRenewal = now;
    }
  }

  /** A peer says that it acts under no older token any more; only those that led lately matter. */
  public void settled(NodeId peer, Moment now) {
    if (unsettledPeers.remove(peer)
        && unsettledPeers.isEmpty()
        && lastForeignRenewal.isAfter(now)) {
      lastForeignRenewal = now.isAfter(relaysEnd) ? now : relaysEnd;
      LOG.info("no peer acts under an older token, token {}", fleet.token());
    }
  }

  public void tick(Map<String, MachineType> known, Moment now) {
    types = known;
    clock = now;
    step(now);
  }

  private void step(Moment now) {
    if (reading || nextTry.isAfter(now)) {
      return;
    }
    switch (state) {
      case READING_RESULTS -> read(Keys.DONE, this::result, State.READING_MACHINES, now);
      case READING_MACHINES -> {
        if (!types.isEmpty()) {
          read(Keys.MACHINES, entry -> machine(entry, now), State.CONFIRMING, now);
        }
      }
      case CONFIRMING -> {
        if (!fleet.anyUnconfirmed()) {
          enter(State.COMPLETE);
        }
      }
      case COMPLETE -> {}
    }
  }

  private void read(String prefix, Consumer<Entry> take, State next, Moment now) {
    reading = true;
    outbox.call(
        new Request.ReadPage(prefix, after, Request.Urgency.LEADERSHIP),
        answer -> {
          reading = false;
          if (!(answer instanceof Answer.Page page)) {
            nextTry = now.plus(RETRY);
            return;
          }
          pages++;
          page.entries().forEach(take);
          if (page.hasMore() && !page.entries().isEmpty()) {
            after = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            after = Optional.empty();
            enter(next);
          }
          if (state != State.CONFIRMING) {
            // The next page at once: until the last one nothing can be placed.
            step(clock);
          }
        });
  }

  /** How long it took and what with; to be asked once it is complete. */
  public String took() {
    return "recovery took "
        + entered.get(State.COMPLETE).since(rose)
        + ", token "
        + fleet.token()
        + ": results "
        + part(State.READING_RESULTS)
        + ", machines "
        + part(State.READING_MACHINES)
        + ", "
        + pages
        + " pages; confirmations "
        + part(State.CONFIRMING)
        + " of "
        + registered
        + " machines";
  }

  private Span part(State of) {
    return entered.get(State.values()[of.ordinal() + 1]).since(entered.get(of));
  }

  /** One that makes no sense is set aside: its tasks start again, and the others are restored. */
  private void result(Entry entry) {
    Optional<Keys.Part> part = Keys.part(entry.key());
    if (part.isEmpty()) {
      LOG.error("{} is no name of a part of results", entry.key());
      return;
    }
    JobId id = part.get().job();
    results.found(id, entry.key(), entry.stamp());
    jobs.find(id).ifPresent(job -> restore(job, part.get().chunk(), entry));
  }

  /** A part that can't be read holds nothing up: its tasks run again, unless workers tell. */
  private static void restore(Job job, int chunk, Entry entry) {
    try {
      if (!(entry.value() instanceof StoredValue.DoneChunk done)) {
        throw new IllegalArgumentException("not a part of results");
      }
      long from = (long) chunk * DoneBits.CHUNK;
      DoneBits.decode(done.bits()).stream()
          .filter(bit -> from + bit < job.spec().tasks())
          .forEach(bit -> job.restore((int) from + bit));
    } catch (IllegalArgumentException e) {
      LOG.error("{} can't be read: {}", entry.key(), e.getMessage());
    }
  }

  private void machine(Entry entry, Moment now) {
    List<StoredValue.MachineRecord> records;
    if (entry.value() instanceof StoredValue.MachineRecord record) {
      records = List.of(record);
    } else if (entry.value() instanceof StoredValue.MachinesRecord list) {
      records = list.machines();
    } else {
      // What can't be read may hold tasks all the same, until it has confirmed or is returned.
      LOG.error("{} can't be read", entry.key());
      MachineId id = new MachineId(entry.key().substring(Keys.MACHINES.length()));
      records = List.of(new StoredValue.MachineRecord(id, "", "", "", false));
    }
    registered += records.size();
    registry.found(entry.key(), entry.stamp(), records);
    for (StoredValue.MachineRecord record : records) {
      // One whose write was in doubt for an earlier leader may be listed twice.
      if (fleet.find(record.id()).isEmpty()) {
        fleet
            .add(
                record.id(),
                record.address(),
                record.type(),
                record.zone(),
                record.spot(),
                Machine.State.UNCONFIRMED,
                now)
            .filter(machine -> record.address().isEmpty() && Keys.listsMachines(entry.key()))
            .ifPresent(Machine::standsForMany);
      }
    }
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    if (next.ordinal() != state.ordinal() + 1) {
      throw new IllegalStateException("recovery from " + state + " to " + next);
    }
    state = next;
    entered.put(next, clock);
  }
}
