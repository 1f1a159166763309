package org.oakwalk.core.store;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's copy of the watched keys, among them the leader key and all jobs, kept current by a
 * single watch.
 *
 * <p>Changes are applied in the order of their revisions, so a job that was stored after a change
 * of leader is never seen before that change. {@link #catchUp} tells callers when the copy holds
 * everything that was stored before their call.
 */
public final class StoreView {
  private static final Logger LOG = LoggerFactory.getLogger(StoreView.class);

  /** State of the copy. */
  public enum State {
    /** The watched keys are being read page by page. */
    LOADING,
    /** The copy is complete and follows the watch. */
    LIVE
  }

  /** Is called for each change after it was applied. */
  public interface Listener {
    /** The leader key was written or removed. */
    void leaderChanged(MonotonicTime now);

    /** A job was added or changed. */
    void jobChanged(KnownJob job, MonotonicTime now);

    /** The service's history no longer reaches back to this copy; everything is read again. */
    default void historyTruncated(MonotonicTime now) {}
  }

  /** The leader key as last seen; the token is the revision at which it was written. */
  public record Leader(StoredValue.LeaderRecord record, Token token) {}

  /**
   * An announcement that followers may renew workers' leases in a zone.
   *
   * @param seenAt time at which this node first saw it; it was written at that time or before
   * @param earliestWrite start of the last read that did not show it; it was written after that
   * @param seenByWatch true if it arrived while the copy was live and not by a load, so that its
   *     age is known
   */
  public record RelayAnnouncement(
      StoredValue.RelayRecord record,
      Revision revision,
      MonotonicTime seenAt,
      MonotonicTime earliestWrite,
      boolean seenByWatch) {}

  /** Maximum number of job ends that may be known ahead of this copy. */
  public static final int MAX_LEARNED_ENDS = KnownJobs.MAX_LEARNED_ENDS;

  /** Time for which the service holds a watch open if nothing changes. */
  private static final TimeSpan WATCH_HOLD = TimeSpan.millis(1000);

  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(250);

  /** Fraction of the request rate for the reads of all nodes, and again for their watches. */
  private static final double RATE_SHARE = 0.4;

  /** Age of the last confirmation after which the copy is no longer fresh. */
  private static final TimeSpan STALE_AFTER = TimeSpan.millis(1800);

  /** Upper bound, with a margin, on the lag of a fresh copy behind the store. */
  public static final TimeSpan MAX_LAG = TimeSpan.millis(2000);

  /** Margin for bursts and for differing clocks. */
  private static final double BURST_MARGIN_SECONDS = 60;

  /** Margin for a service rate well above the one in the settings. */
  private static final double RATE_MARGIN_FACTOR = 10;

  private final Outbox outbox;
  private final double requestsPerSecond;
  private final TimeSpan readInterval;
  private final TimeSpan leaderWatchInterval;
  private boolean leading;
  private final KnownJobs jobs = new KnownJobs();
  private final Map<String, RelayAnnouncement> relays = new HashMap<>();
  private final Set<String> loadedRelays = new HashSet<>();
  private final Set<String> unreadable = new HashSet<>();
  private final StoredDrainPlans drainPlans = new StoredDrainPlans();
  private final StoredProductTerms productTerms = new StoredProductTerms();
  private Optional<StoredValue.StopsRecord> recentStops = Optional.empty();
  private Revision recentStopsRevision = Revision.NONE;
  private Revision machineTypesRevision = Revision.NONE;

  private Map<String, MachineType> machineTypes = Map.of();
  private final Deque<Consumer<Boolean>> catchUpCallbacks = new ArrayDeque<>();

  /** Number of catch-ups ever requested; tells which of them a read was started after. */
  private long catchUpCount;

  private Listener listener;
  private State state = State.LOADING;
  private Optional<Leader> leader = Optional.empty();
  private Revision leaderRevision = new Revision(0);

  /** When this copy last saw each former leader replaced or gone. */
  private final Map<NodeId, MonotonicTime> ledUntil = new HashMap<>();

  /** When this copy last saw the leader key removed; null if never. */
  private MonotonicTime leaderMissingSince;

  private MonotonicTime liveSince;
  private Revision position = new Revision(0);
  private Revision loadRevision;
  private MonotonicTime loadStartedAt;
  private int loadedPages;
  private boolean leaderLoaded;
  private Optional<String> lastLoadedKey = Optional.empty();
  private boolean loadOrWatchPending;
  private boolean readPending;
  private MonotonicTime nextLoadOrWatch = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextRead = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime lastConfirmed = new MonotonicTime(Long.MIN_VALUE / 2);
  private boolean failing;
  private boolean loadedOnce;
  private MonotonicTime clock = new MonotonicTime(0);

  /**
   * Creates an empty copy.
   *
   * @param requestsPerSecond request rate limit of the state service, for all nodes together
   * @param nodes number of nodes that share that rate
   */
  public StoreView(Outbox outbox, double requestsPerSecond, int nodes) {
    this.outbox = outbox;
    this.requestsPerSecond = requestsPerSecond;
    this.readInterval =
        TimeSpan.millis(Math.max(10, Math.round(1000 * nodes / (requestsPerSecond * RATE_SHARE))));
    this.leaderWatchInterval = TimeSpan.millis(Math.max(1, Math.round(4000 / requestsPerSecond)));
  }

  /** Sets whether this node is the leader, which watches more often to see new jobs at once. */
  public void setLeading(boolean leading) {
    this.leading = leading;
  }

  /** Sets the listener; must be called before the first tick. */
  public void setListener(Listener listener) {
    this.listener = listener;
  }

  /** The current leader; empty if there is none or its record can't be read. */
  public Optional<Leader> leader() {
    return leader;
  }

  /**
   * Nodes other than the current leader that may have led within the given past span; empty if this
   * copy has not followed the leader key without a gap for that long.
   */
  public Optional<Set<NodeId>> recentLeaders(TimeSpan span, MonotonicTime now) {
    if (state != State.LIVE || !now.isPast(liveSince, span)) {
      return Optional.empty();
    }
    Set<NodeId> nodes = new HashSet<>();
    ledUntil.forEach(
        (node, until) -> {
          if (!now.isPast(until, span)) {
            nodes.add(node);
          }
        });
    return Optional.of(nodes);
  }

  /** When this copy last saw the leader key removed; empty if never. */
  public Optional<MonotonicTime> leaderMissingSince() {
    return Optional.ofNullable(leaderMissingSince);
  }

  /** The job with this id, if this copy holds it. */
  public Optional<KnownJob> job(JobId id) {
    return jobs.find(id);
  }

  /** All jobs of this copy, those that have ended included. */
  public Collection<KnownJob> jobs() {
    return jobs.all();
  }

  /** Number of jobs that have not ended. */
  public OpenJobCounts openJobs() {
    return jobs.open();
  }

  /** The announcement that followers may renew workers' leases in a zone, if there is one. */
  public Optional<RelayAnnouncement> relays(String zone) {
    return Optional.ofNullable(relays.get(StoreKeys.relay(zone)));
  }

  /** The lease relay announcements of all zones. */
  public Collection<RelayAnnouncement> relays() {
    return relays.values();
  }

  /** The drain plans. */
  public StoredDrainPlans drainPlans() {
    return drainPlans;
  }

  /** The terms in force for dawns, headroom and exchanges. */
  public StoredProductTerms productTerms() {
    return productTerms;
  }

  /** Recent task stops that were granted under disruption budgets. */
  public Optional<StoredValue.StopsRecord> recentStops() {
    return recentStops;
  }

  /** Revision of the recent stops; {@link Revision#NONE} if none are stored. */
  public Revision recentStopsRevision() {
    return recentStopsRevision;
  }

  /** The machine types last stored by a leader; empty if there are none. */
  public Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  /** Revision of the machine types; {@link Revision#NONE} if none are stored. */
  public Revision machineTypesRevision() {
    return machineTypesRevision;
  }

  /** Returns true if the job has a stored record that can't be read. */
  public boolean isUnreadable(JobId id) {
    return unreadable.contains(StoreKeys.job(id));
  }

  /** Sets the current time, used when answers arrive. */
  public void setTime(MonotonicTime now) {
    clock = now;
  }

  /** Returns true once the copy has been complete. */
  public boolean isLoaded() {
    return loadedOnce;
  }

  /** Returns true if the copy is complete and was confirmed recently. */
  public boolean isFresh(MonotonicTime now) {
    return state == State.LIVE && !now.isPast(lastConfirmed, STALE_AFTER);
  }

  /** Start of the last successful read: the copy holds everything stored before that time. */
  public MonotonicTime lastConfirmed() {
    return lastConfirmed;
  }

  /** Revision up to which this copy is complete. */
  public Revision position() {
    return position;
  }

  /** Returns true if this copy is complete up to the revision of this token. */
  public boolean covers(Token token) {
    return position.value() >= token.value();
  }

  /**
   * Returns the highest revision at which the leader key written under this token is known to have
   * been still in place, as a token. A later leader can claim the key only after it was removed, so
   * every later token is higher.
   */
  public Token latestTokenOf(Token granted) {
    boolean inPlace =
        state == State.LIVE
            && leader.filter(current -> current.token().equals(granted)).isPresent();
    return inPlace && covers(granted) ? new Token(position.value()) : granted;
  }

  /**
   * Returns true if the store can't have reached the revision of this token yet, so that no leader
   * can hold it: each change takes a request, and the service can't have served that many since
   * this copy was last confirmed.
   */
  public boolean isImplausible(Token token, MonotonicTime now) {
    double maxChanges =
        (now.since(lastConfirmed).asSeconds() + BURST_MARGIN_SECONDS)
            * requestsPerSecond
            * RATE_MARGIN_FACTOR;
    return state == State.LIVE && token.value() - position.value() > maxChanges;
  }

  /** Starts the next load, watch or read that is due. */
  public void tick(MonotonicTime now) {
    clock = now;
    if (!loadOrWatchPending && !nextLoadOrWatch.isAfter(now)) {
      if (state == State.LOADING) {
        load(now);
      } else {
        watch(now);
      }
    }
    read(now);
  }

  /**
   * Calls back with true once this copy holds everything that was stored before this call, or with
   * false if that can't be confirmed now. Concurrent calls share one read.
   */
  public void catchUp(MonotonicTime now, Consumer<Boolean> callback) {
    if (state != State.LIVE || (failing && !isFresh(now))) {
      callback.accept(false);
      return;
    }
    catchUpCallbacks.add(callback);
    catchUpCount++;
    read(now);
  }

  /**
   * Applies a job record that this node itself has written. It takes effect here at once, since the
   * watch may deliver it only long after the user or other nodes have been answered.
   */
  public void applyOwnWrite(JobRecord record, Revision revision) {
    apply(StoreKeys.job(record.spec().id()), Optional.of(record), revision);
  }

  /**
   * Applies the end of a job, as reported by another controller in answer to a request that this
   * node forwarded to it. It takes effect at once, like this node's own writes: the copy may show
   * the end only much later, and until then this node could start tasks of a job that it has
   * reported to its user as cancelled.
   *
   * @return false if the end could not be recorded; the answer must then not be passed on
   */
  public boolean learnEnd(JobId id, JobRecord.Phase end) {
    boolean recorded = jobs.learnEnd(id, end);
    jobs.applyLearnedEnd(id).ifPresent(job -> listener.jobChanged(job, clock));
    return recorded;
  }

  private void read(MonotonicTime now) {
    if (readPending || catchUpCallbacks.isEmpty() || nextRead.isAfter(now) || state != State.LIVE) {
      return;
    }
    readPending = true;
    nextRead = now.plus(readInterval);
    long startCount = catchUpCount;
    Request.Watch request =
        new Request.Watch(
            StoreKeys.WATCHED_PREFIX, position, TimeSpan.millis(0), Request.Urgency.ACCEPTANCE);
    outbox.call(
        request,
        answer -> {
          readPending = false;
          boolean current = applyChanges(answer, now);
          if (current
              && !leading
              && !loadOrWatchPending
              && now.plus(readInterval).isAfter(nextLoadOrWatch)) {
            // While reads for catch-ups are going on, a watch beside them would show nothing
            // sooner.
            nextLoadOrWatch = now.plus(readInterval.times(1.5));
          }
          completeCatchUps(startCount, current);
        });
  }

  /**
   * Completes the catch-ups requested before a read started, except those already completed by a
   * read that started later.
   *
   * @param startCount value of {@link #catchUpCount} when the read started
   */
  private void completeCatchUps(long startCount, boolean current) {
    long first = catchUpCount - catchUpCallbacks.size();
    for (long number = first; number < startCount; number++) {
      catchUpCallbacks.poll().accept(current);
    }
  }

  private void watch(MonotonicTime now) {
    loadOrWatchPending = true;
    long startCount = catchUpCount;
    // After a load that took long, the changes made in the meantime are requested without waiting.
    TimeSpan hold =
        now.isPast(lastConfirmed, STALE_AFTER) && !failing ? TimeSpan.millis(0) : WATCH_HOLD;
    outbox.call(
        new Request.Watch(StoreKeys.WATCHED_PREFIX, position, hold, Request.Urgency.LEADERSHIP),
        answer -> {
          loadOrWatchPending = false;
          if (!applyChanges(answer, now)) {
            nextLoadOrWatch = clock.plus(RETRY_DELAY);
          } else {
            // Each change completes the watch of every node. Under many writes, reopening them at
            // once would exceed the whole request rate.
            nextLoadOrWatch = now.plus(leading ? leaderWatchInterval : readInterval);
            completeCatchUps(startCount, true);
            tick(clock);
          }
        });
  }

  /**
   * Applies the answer to a watch.
   *
   * @param begun time at which the watch was sent
   * @return false if the watch failed
   */
  private boolean applyChanges(Answer answer, MonotonicTime begun) {
    if (answer instanceof Answer.Changes changes) {
      for (KeyChange change : changes.changes()) {
        if (change.revision().compareTo(position) > 0) {
          apply(change.key(), change.value(), change.revision());
        }
      }
      if (changes.revision().compareTo(position) > 0) {
        position = changes.revision();
      }
      confirmed(begun);
      return true;
    }
    if (answer instanceof Answer.Refused refused && refused.status() == 410) {
      // The service's history no longer reaches back to this copy's position: reads everything
      // again, unless that has already begun.
      if (state == State.LIVE) {
        enter(State.LOADING);
        listener.historyTruncated(clock);
      }
      return false;
    }
    failing = true;
    return false;
  }

  private void load(MonotonicTime now) {
    loadOrWatchPending = true;
    if (loadRevision == null) {
      loadStartedAt = now;
    }
    outbox.call(
        new Request.ReadPage(StoreKeys.WATCHED_PREFIX, lastLoadedKey, Request.Urgency.LEADERSHIP),
        answer -> {
          loadOrWatchPending = false;
          if (!(answer instanceof Answer.Page page)) {
            nextLoadOrWatch = clock.plus(RETRY_DELAY);
            failing = true;
            return;
          }
          loadedPages++;
          if (loadRevision == null) {
            loadRevision = page.revision();
          }
          for (Entry entry : page.entries()) {
            leaderLoaded |= entry.key().equals(StoreKeys.LEADER);
            if (entry.key().startsWith(StoreKeys.RELAY_PREFIX)) {
              loadedRelays.add(entry.key());
            }
            apply(entry.key(), Optional.of(entry.value()), entry.revision());
          }
          if (page.hasMore() && !page.entries().isEmpty()) {
            lastLoadedKey = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            if (!leaderLoaded && leaderRevision.compareTo(loadRevision) < 0) {
              apply(StoreKeys.LEADER, Optional.empty(), loadRevision);
            }
            relays.keySet().retainAll(loadedRelays);
            position = loadRevision;
            enter(State.LIVE);
            // Changes made to the first page after it was read have not been seen yet.
            confirmed(loadStartedAt);
          }
          tick(clock);
        });
  }

  private void confirmed(MonotonicTime begun) {
    failing = false;
    if (begun.isAfter(lastConfirmed)) {
      lastConfirmed = begun;
    }
  }

  private void enter(State next) {
    state = next;
    if (next == State.LOADING) {
      loadRevision = null;
      lastLoadedKey = Optional.empty();
      leaderLoaded = false;
      loadedRelays.clear();
    } else {
      loadedOnce = true;
      liveSince = clock;
      LOG.info(
          "local copy of the store loaded: {} jobs, {} pages in {}",
          jobs.all().size(),
          loadedPages,
          clock.since(loadStartedAt));
      loadedPages = 0;
    }
  }

  private void apply(String key, Optional<StoredValue> stored, Revision revision) {
    Optional<StoredValue> value = stored;
    if (stored.isPresent()
        && stored.get() instanceof JobRecord record
        && !key.equals(StoreKeys.job(record.spec().id()))) {
      // A record stored under the key of another job would create a job that was never submitted.
      value =
          Optional.of(
              new StoredValue.Unreadable(
                  "record of job " + record.spec().id() + " under the key of another job"));
    }
    if (key.equals(StoreKeys.RECENT_STOPS)) {
      recentStopsRevision = value.isPresent() ? revision : Revision.NONE;
    } else if (key.equals(StoreKeys.MACHINE_TYPES)) {
      machineTypesRevision = value.isPresent() ? revision : Revision.NONE;
    }
    if (key.equals(StoreKeys.LEADER)) {
      if (revision.compareTo(leaderRevision) <= 0) {
        return;
      }
      leaderRevision = revision;
      leader.ifPresent(last -> ledUntil.put(last.record().node(), clock));
      leader =
          value
              .filter(StoredValue.LeaderRecord.class::isInstance)
              .map(v -> new Leader((StoredValue.LeaderRecord) v, new Token(revision.value())));
      if (leader.isEmpty()) {
        leaderMissingSince = clock;
      }
      listener.leaderChanged(clock);
    } else if (key.equals(StoreKeys.PRODUCT_TERMS)) {
      productTerms.put(value, revision);
    } else if (value.isPresent() && value.get() instanceof StoredValue.Unreadable damaged) {
      drainPlans.markUnreadable(key);
      if (unreadable.add(key)) {
        LOG.error("stored value of {} can't be read: {}", key, damaged.reason());
      }
    } else if (value.isPresent() && value.get() instanceof StoredValue.MachineTypesRecord record) {
      machineTypes = record.types();
    } else if (value.isPresent() && value.get() instanceof StoredValue.DrainRecord record) {
      drainPlans.put(key, record, revision);
    } else if (value.isPresent() && value.get() instanceof StoredValue.StopsRecord record) {
      recentStops = Optional.of(record);
    } else if (key.startsWith(StoreKeys.RELAY_PREFIX)) {
      relays.remove(key);
      if (value.isPresent() && value.get() instanceof StoredValue.RelayRecord relay) {
        relays.put(
            key, new RelayAnnouncement(relay, revision, clock, lastConfirmed, state == State.LIVE));
      }
    } else if (value.isPresent() && value.get() instanceof JobRecord record) {
      unreadable.remove(key);
      jobs.applyStored(record, revision).ifPresent(job -> listener.jobChanged(job, clock));
    }
  }
}
