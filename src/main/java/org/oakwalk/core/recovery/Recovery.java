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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineRegistry;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.DoneBitmap;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restores a new leader's state: it reads the stored results, then the machine registry, and then
 * waits for each registered machine to confirm the leader's token. Until the last one has
 * confirmed, or is certain to hold no attempts, no task of an older job is placed unless its state
 * is known: it may run on a machine that has not reported yet.
 */
public final class Recovery {
  private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);

  /** States of the recovery, in their order. */
  public enum State {
    READING_RESULTS,
    READING_MACHINES,
    CONFIRMING,
    COMPLETE
  }

  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(200);

  private final Outbox outbox;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final ResultWriter results;
  private final MachineRegistry registry;
  private final MonotonicTime termStart;
  private final Set<NodeId> peersOnOlderTokens;
  private final MonotonicTime relayEnd;
  private MonotonicTime lastUnseenRenewal;
  private Map<String, MachineType> types = Map.of();
  private State state = State.READING_RESULTS;
  private boolean reading;
  private Optional<String> pageCursor = Optional.empty();
  private final EnumMap<State, MonotonicTime> stateEnteredAt = new EnumMap<>(State.class);
  private int pages;
  private int registered;
  private MonotonicTime clock;
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  /**
   * Creates the recovery of a new leader.
   *
   * @param peersInGrace peers that led recently and may still renew leases under an older token
   * @param graceLimit how long they may do so at most
   * @param termStart when this node became leader
   */
  public Recovery(
      Outbox outbox,
      Fleet fleet,
      JobRegistry jobs,
      ResultWriter results,
      MachineRegistry registry,
      Set<NodeId> peersInGrace,
      TimeSpan graceLimit,
      MonotonicTime termStart) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.jobs = jobs;
    this.results = results;
    this.registry = registry;
    this.termStart = termStart;
    this.clock = termStart;
    this.stateEnteredAt.put(State.READING_RESULTS, termStart);
    this.peersOnOlderTokens = new HashSet<>(peersInGrace);
    // A follower that kept a zone's leases alive under an older token stops once its copy of the
    // store shows the change of leader.
    this.relayEnd = termStart.plus(StoreView.MAX_LAG.plusClockDrift());
    this.lastUnseenRenewal =
        peersInGrace.isEmpty() ? relayEnd : termStart.plus(graceLimit.plusClockDrift());
  }

  public State state() {
    return state;
  }

  /** Whether reports can be processed. */
  public boolean acceptsReports() {
    return state == State.CONFIRMING || state == State.COMPLETE;
  }

  public boolean complete() {
    return state == State.COMPLETE;
  }

  /**
   * The last moment at which a worker's lease may have been renewed without being recorded for its
   * machine: by an earlier leader, or by this one before it processed reports.
   */
  public MonotonicTime lastUnseenRenewal() {
    return lastUnseenRenewal;
  }

  /**
   * Records that a response with this leader's token was sent although the report could not be
   * processed yet. It renewed the worker's lease. Otherwise the lease of a machine that does not
   * report again would be counted from when the registry was requested, which is earlier.
   */
  public void leaseRenewedBeforeReports(MonotonicTime now) {
    if (!acceptsReports() && now.isAfter(lastUnseenRenewal)) {
      lastUnseenRenewal = now;
    }
  }

  /** Records that a peer no longer acts under an older token; relevant only if it led recently. */
  public void peerRelinquished(NodeId peer, MonotonicTime now) {
    if (peersOnOlderTokens.remove(peer)
        && peersOnOlderTokens.isEmpty()
        && lastUnseenRenewal.isAfter(now)) {
      lastUnseenRenewal = now.isAfter(relayEnd) ? now : relayEnd;
      LOG.info("all peers have relinquished older tokens, token {}", fleet.token());
    }
  }

  /**
   * Takes the next step, if one is due.
   *
   * @param currentTypes the machine types by name; the registry is read once there are any
   */
  public void tick(Map<String, MachineType> currentTypes, MonotonicTime now) {
    types = currentTypes;
    clock = now;
    step(now);
  }

  private void step(MonotonicTime now) {
    if (reading || nextAttemptAt.isAfter(now)) {
      return;
    }
    switch (state) {
      case READING_RESULTS ->
          read(StoreKeys.DONE_PREFIX, this::restoreResults, State.READING_MACHINES, now);
      case READING_MACHINES -> {
        if (!types.isEmpty()) {
          read(
              StoreKeys.MACHINE_PREFIX,
              entry -> restoreMachines(entry, now),
              State.CONFIRMING,
              now);
        }
      }
      case CONFIRMING -> {
        if (!fleet.anyUnverified()) {
          enter(State.COMPLETE);
        }
      }
      case COMPLETE -> {}
    }
  }

  private void read(String prefix, Consumer<Entry> handler, State next, MonotonicTime now) {
    reading = true;
    outbox.call(
        new Request.ReadPage(prefix, pageCursor, Request.Urgency.LEADERSHIP),
        answer -> {
          reading = false;
          if (!(answer instanceof Answer.Page page)) {
            nextAttemptAt = now.plus(RETRY_DELAY);
            return;
          }
          pages++;
          page.entries().forEach(handler);
          if (page.hasMore() && !page.entries().isEmpty()) {
            pageCursor = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            pageCursor = Optional.empty();
            enter(next);
          }
          if (state != State.CONFIRMING) {
            // Read the next page at once: no task can be placed before the last one.
            step(clock);
          }
        });
  }

  /** Summary of the durations of all states, for the log; valid once the recovery is complete. */
  public String summary() {
    return "recovery took "
        + stateEnteredAt.get(State.COMPLETE).since(termStart)
        + ", token "
        + fleet.token()
        + ": results "
        + durationOf(State.READING_RESULTS)
        + ", machines "
        + durationOf(State.READING_MACHINES)
        + ", "
        + pages
        + " pages; confirmations "
        + durationOf(State.CONFIRMING)
        + " of "
        + registered
        + " machines";
  }

  private TimeSpan durationOf(State completed) {
    return stateEnteredAt
        .get(State.values()[completed.ordinal() + 1])
        .since(stateEnteredAt.get(completed));
  }

  /**
   * Restores a part of a job's results. One with an invalid key is skipped: its tasks run again.
   */
  private void restoreResults(Entry entry) {
    Optional<StoreKeys.DoneChunkKey> part = StoreKeys.parseDoneChunk(entry.key());
    if (part.isEmpty()) {
      LOG.error("skipped results with invalid key {}", entry.key());
      return;
    }
    JobId id = part.get().job();
    results.addStoredChunk(id, entry.key(), entry.revision());
    jobs.find(id).ifPresent(job -> markStoredTasks(job, part.get().chunk(), entry));
  }

  /**
   * Marks the tasks of a part as stored. A part that can't be read is skipped: its tasks run again
   * unless workers still report them as done.
   */
  private static void markStoredTasks(Job job, int chunk, Entry entry) {
    try {
      if (!(entry.value() instanceof StoredValue.DoneChunk done)) {
        throw new IllegalArgumentException("value is not a part of results");
      }
      long from = (long) chunk * DoneBitmap.TASKS_PER_CHUNK;
      DoneBitmap.decode(done.bits()).stream()
          .filter(bit -> from + bit < job.spec().tasks())
          .forEach(bit -> job.restoreDone((int) from + bit));
    } catch (IllegalArgumentException e) {
      LOG.error("skipped unreadable results {}: {}", entry.key(), e.getMessage());
    }
  }

  private void restoreMachines(Entry entry, MonotonicTime now) {
    List<StoredValue.MachineRecord> records;
    if (entry.value() instanceof StoredValue.MachineRecord record) {
      records = List.of(record);
    } else if (entry.value() instanceof StoredValue.MachineListRecord list) {
      records = list.machines();
    } else {
      // Its machines may hold tasks nevertheless. A stand-in blocks placement of older jobs until
      // it
      // has confirmed or is returned.
      LOG.error("cannot read machines stored under {}", entry.key());
      MachineId id = new MachineId(entry.key().substring(StoreKeys.MACHINE_PREFIX.length()));
      records = List.of(new StoredValue.MachineRecord(id, "", "", "", false));
    }
    registered += records.size();
    registry.restore(entry.key(), entry.revision(), records);
    for (StoredValue.MachineRecord record : records) {
      // A machine is listed twice if an earlier leader did not know the outcome of its write.
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
            .filter(machine -> record.address().isEmpty() && StoreKeys.isMachineList(entry.key()))
            .ifPresent(Machine::markUnreadableList);
      }
    }
  }

  /** Changes the state; all changes go through this method. */
  private void enter(State next) {
    if (next.ordinal() != state.ordinal() + 1) {
      throw new IllegalStateException(
          "illegal transition of recovery from " + state + " to " + next);
    }
    state = next;
    stateEnteredAt.put(next, clock);
  }
}
