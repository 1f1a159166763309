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
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's copy of the leader key and of all jobs, kept current by one watch.
 *
 * <p>Every change is applied in the order of its revision, so a job that was stored after a change
 * of leader is never seen before that change. {@link #catchUp} gives callers the certainty that the
 * copy holds everything that was stored before they asked.
 */
public final class StoreView {
  private static final Logger LOG = LoggerFactory.getLogger(StoreView.class);

  /** How much of the store is known. */
  public enum State {
    LOADING,
    LIVE
  }

  /** Told of each change after it was applied. */
  public interface Listener {
    void leaderChanged(Moment now);

    void jobChanged(KnownJob job, Moment now);

    /** Changes were missed, and all is read anew. */
    default void historyTruncated(Moment now) {}
  }

  /** The leader key as last seen. */
  public record Leader(StoredValue.LeaderRecord record, Token token) {}

  /**
   * An announcement that followers may keep leases alive in a zone.
   *
   * @param seen when it came to be known here, so no earlier than it was made
   * @param earliest begin of the last read that did not show it, so it was made later
   * @param watched whether it was seen as it was made, so that its age is known
   */
  public record RelayAnnouncement(
      StoredValue.RelayRecord record,
      Revision revision,
      Moment seenAt,
      Moment earliestWrite,
      boolean seenByWatch) {}

  /** How many ends of jobs may be known ahead of this copy. */
  public static final int MAX_LEARNED_ENDS = KnownJobs.MAX_LEARNED_ENDS;

  private static final Span WATCH_HOLD = Span.millis(1000);
  private static final Span RETRY_DELAY = Span.millis(250);

  /** Part of the rate that all nodes' reads may take together, and all nodes' watches likewise. */
  private static final double RATE_SHARE = 0.4;

  private static final Span STALE_AFTER = Span.millis(1800);

  /** By how much a copy that is fresh may lag behind the store, with a margin. */
  public static final Span MAX_LAG = Span.millis(2000);

  /** Bursts and clocks that differ; a rate that is a good deal higher than the settings say. */
  private static final double BURST_MARGIN_SECONDS = 60;

  private static final double RATE_MARGIN_FACTOR = 10;

  private final Outbox outbox;
  private final double requestsPerSecond;
  private final Span readInterval;
  private final Span leaderWatchInterval;
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

  /** How many there ever were, so that each knows which reads began after it. */
  private long catchUpCount;

  private Listener listener;
  private State state = State.LOADING;
  private Optional<Leader> leader = Optional.empty();
  private Revision leaderRevision = new Revision(0);

  /** When each node that led was seen to lead no more. */
  private final Map<NodeId, Moment> ledUntil = new HashMap<>();

  /** Since when there has been no leader key, as far as was seen here. */
  private Moment leaderMissingSince;

  private Moment liveSince;
  private Revision position = new Revision(0);
  private Revision loadRevision;
  private Moment loadStartedAt;
  private int loadedPages;
  private boolean leaderLoaded;
  private Optional<String> lastLoadedKey = Optional.empty();
  private boolean loadOrWatchPending;
  private boolean readPending;
  private Moment nextLoadOrWatch = new Moment(Long.MIN_VALUE / 2);
  private Moment nextRead = new Moment(Long.MIN_VALUE / 2);
  private Moment lastConfirmed = new Moment(Long.MIN_VALUE / 2);
  private boolean failing;
  private boolean loadedOnce;
  private Moment clock = new Moment(0);

  /**
   * A copy that is empty as yet.
   *
   * @param nodes how many nodes share the state service's rate
   */
  public StoreView(Outbox outbox, double requestsPerSecond, int nodes) {
    this.outbox = outbox;
    this.requestsPerSecond = requestsPerSecond;
    this.readInterval =
        Span.millis(Math.max(10, Math.round(1000 * nodes / (requestsPerSecond * RATE_SHARE))));
    this.leaderWatchInterval = Span.millis(Math.max(1, Math.round(4000 / requestsPerSecond)));
  }

  /** Whether this node leads, so that new jobs should be seen at once. */
  public void setLeading(boolean on) {
    leading = on;
  }

  public void setListener(Listener to) {
    this.listener = to;
  }

  public Optional<Leader> leader() {
    return leader;
  }

  /**
   * Nodes that may have led at some time within this span, the present leader apart; empty if this
   * copy has not followed the leader key without a gap for so long.
   */
  public Optional<Set<NodeId>> recentLeaders(Span span, Moment now) {
    if (state != State.LIVE || !now.past(liveSince, span)) {
      return Optional.empty();
    }
    Set<NodeId> nodes = new HashSet<>();
    ledUntil.forEach(
        (node, until) -> {
          if (!now.past(until, span)) {
            nodes.add(node);
          }
        });
    return Optional.of(nodes);
  }

  /** When the leader key was last seen to be gone; empty if never. */
  public Optional<Moment> leaderMissingSince() {
    return Optional.ofNullable(leaderMissingSince);
  }

  public Optional<KnownJob> job(JobId id) {
    return jobs.find(id);
  }

  public Collection<KnownJob> jobs() {
    return jobs.all();
  }

  /** How many jobs are not over. */
  public OpenJobCounts openJobs() {
    return jobs.open();
  }

  /** What is known of followers that keep leases alive in a zone. */
  public Optional<RelayAnnouncement> relays(String zone) {
    return Optional.ofNullable(relays.get(StoreKeys.relay(zone)));
  }

  /** All that is known of this kind. */
  public Collection<RelayAnnouncement> relays() {
    return relays.values();
  }

  /** Plans to empty machines. */
  public StoredDrainPlans drainPlans() {
    return drainPlans;
  }

  /** What is in force of dawns, headroom and exchanges. */
  public StoredProductTerms productTerms() {
    return productTerms;
  }

  /** Stops that leaders were granted of late. */
  public Optional<StoredValue.StopsRecord> recentStops() {
    return recentStops;
  }

  /** When they were stored; none if they are not. */
  public Revision recentStopsRevision() {
    return recentStopsRevision;
  }

  /** The machine types as a leader last stored them; empty if none did. */
  public Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  /** When the types were stored; none if they are not. */
  public Revision machineTypesRevision() {
    return machineTypesRevision;
  }

  /** Whether there is a record of the job that can't be read. */
  public boolean isUnreadable(JobId id) {
    return unreadable.contains(StoreKeys.job(id));
  }

  /** The time by which changes are applied. */
  public void setTime(Moment now) {
    clock = now;
  }

  /** Whether everything has been read once. */
  public boolean isLoaded() {
    return loadedOnce;
  }

  /** Whether the copy is complete and was confirmed a short time ago. */
  public boolean isFresh(Moment now) {
    return state == State.LIVE && !now.past(lastConfirmed, STALE_AFTER);
  }

  /** Begin of the last read that succeeded: everything stored before it is known here. */
  public Moment lastConfirmed() {
    return lastConfirmed;
  }

  /** Up to which revision this copy holds everything that was stored. */
  public Revision position() {
    return position;
  }

  /** Whether this copy holds everything that was stored up to the revision of this token. */
  public boolean covers(Token token) {
    return position.value() >= token.value();
  }

  /**
   * The highest revision at which the key of the leader with this token is known to have stood. A
   * later claim needs the key to be gone, so each later token is higher.
   */
  public Token latestTokenOf(Token granted) {
    boolean stands =
        state == State.LIVE && leader.filter(last -> last.token().equals(granted)).isPresent();
    return stands && covers(granted) ? new Token(position.value()) : granted;
  }

  /**
   * Whether nobody can have been granted this token yet: each change is a request, and the service
   * takes no more of them in the time since this copy was last confirmed.
   */
  public boolean isImplausible(Token token, Moment now) {
    double most =
        (now.since(lastConfirmed).asSeconds() + BURST_MARGIN_SECONDS)
            * requestsPerSecond
            * RATE_MARGIN_FACTOR;
    return state == State.LIVE && token.value() - position.value() > most;
  }

  /** Keeps the watch and the reads going. */
  public void tick(Moment now) {
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
   * Calls back with true once everything that was stored before this call is known, or with false
   * if that can't be had now. Requests that come together share one read.
   */
  public void catchUp(Moment now, Consumer<Boolean> then) {
    if (state != State.LIVE || (failing && !isFresh(now))) {
      then.accept(false);
      return;
    }
    catchUpCallbacks.add(then);
    catchUpCount++;
    read(now);
  }

  /**
   * This node's own write of a job was applied. It counts here at once: the watch may bring it a
   * good while after others were told of it.
   */
  public void applyOwnWrite(JobRecord record, Revision stamp) {
    apply(StoreKeys.job(record.spec().id()), Optional.of(record), stamp);
  }

  /**
   * Another controller has told that a job is over, in answer to a request that this node forwarded
   * to it. It counts here at once, like a write of this node's own: the copy may show it a good
   * while later, and until then this node could start what it has told its user is cancelled.
   *
   * @return whether it counts from here on; if not, the answer must not be passed on
   */
  public boolean learnEnd(JobId id, JobRecord.Phase end) {
    boolean counts = jobs.learnEnd(id, end);
    jobs.applyLearnedEnd(id).ifPresent(job -> listener.jobChanged(job, clock));
    return counts;
  }

  private void read(Moment now) {
    if (readPending || catchUpCallbacks.isEmpty() || nextRead.isAfter(now) || state != State.LIVE) {
      return;
    }
    readPending = true;
    nextRead = now.plus(readInterval);
    long before = catchUpCount;
    Request.Watch request =
        new Request.Watch(
            StoreKeys.WATCHED_PREFIX, position, Span.millis(0), Request.Urgency.ACCEPTANCE);
    outbox.call(
        request,
        answer -> {
          readPending = false;
          boolean current = applyChanges(answer, now);
          if (current
              && !leading
              && !loadOrWatchPending
              && now.plus(readInterval).isAfter(nextLoadOrWatch)) {
            // As long as questions are read for, a watch beside them would tell nothing sooner.
            nextLoadOrWatch = now.plus(readInterval.times(1.5));
          }
          completeCatchUps(before, current);
        });
  }

  /** Answers those who asked before a read began, unless one that began later has done so. */
  private void completeCatchUps(long before, boolean current) {
    long first = catchUpCount - catchUpCallbacks.size();
    for (long number = first; number < before; number++) {
      catchUpCallbacks.poll().accept(current);
    }
  }

  private void watch(Moment now) {
    loadOrWatchPending = true;
    long before = catchUpCount;
    // Right after pages that took long to read, what they lag behind by is asked for at once.
    Span hold = now.past(lastConfirmed, STALE_AFTER) && !failing ? Span.millis(0) : WATCH_HOLD;
    outbox.call(
        new Request.Watch(StoreKeys.WATCHED_PREFIX, position, hold, Request.Urgency.LEADERSHIP),
        answer -> {
          loadOrWatchPending = false;
          if (!applyChanges(answer, now)) {
            nextLoadOrWatch = clock.plus(RETRY_DELAY);
          } else {
            // Each change ends every node's watch. Opened again at once they would take more than
            // the whole rate when much is written.
            nextLoadOrWatch = now.plus(leading ? leaderWatchInterval : readInterval);
            completeCatchUps(before, true);
            tick(clock);
          }
        });
  }

  /** Applies the answer to a watch; false if it told nothing. */
  private boolean applyChanges(Answer answer, Moment begun) {
    if (answer instanceof Answer.Changes changes) {
      for (KeyChange news : changes.news()) {
        if (news.revision().compareTo(position) > 0) {
          apply(news.key(), news.value(), news.revision());
        }
      }
      if (changes.epoch().compareTo(position) > 0) {
        position = changes.epoch();
      }
      confirmed(begun);
      return true;
    }
    if (answer instanceof Answer.Refused refused && refused.status() == 410) {
      // The history was cut off behind us: read everything again, unless that has begun.
      if (state == State.LIVE) {
        enter(State.LOADING);
        listener.historyTruncated(clock);
      }
      return false;
    }
    failing = true;
    return false;
  }

  private void load(Moment now) {
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
            loadRevision = page.epoch();
          }
          for (Entry entry : page.entries()) {
            leaderLoaded |= entry.key().equals(StoreKeys.LEADER);
            if (entry.key().startsWith(StoreKeys.RELAY_PREFIX)) {
              loadedRelays.add(entry.key());
            }
            apply(entry.key(), Optional.of(entry.value()), entry.revision());
          }
          if (page.more() && !page.entries().isEmpty()) {
            lastLoadedKey = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            if (!leaderLoaded && leaderRevision.compareTo(loadRevision) < 0) {
              apply(StoreKeys.LEADER, Optional.empty(), loadRevision);
            }
            relays.keySet().retainAll(loadedRelays);
            position = loadRevision;
            enter(State.LIVE);
            // What changed on the first page after it was read is yet to be seen.
            confirmed(loadStartedAt);
          }
          tick(clock);
        });
  }

  private void confirmed(Moment begun) {
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
          "copy of the store is complete: {} jobs of {} pages in {}",
          jobs.all().size(),
          loadedPages,
          clock.since(loadStartedAt));
      loadedPages = 0;
    }
  }

  private void apply(String key, Optional<StoredValue> stored, Revision stamp) {
    Optional<StoredValue> value = stored;
    if (stored.isPresent()
        && stored.get() instanceof JobRecord record
        && !key.equals(StoreKeys.job(record.spec().id()))) {
      // Taken for what it says, it would make up a job that nobody submitted.
      value = Optional.of(new StoredValue.Unreadable("record of job " + record.spec().id()));
    }
    if (key.equals(StoreKeys.RECENT_STOPS)) {
      recentStopsRevision = value.isPresent() ? stamp : Revision.NONE;
    } else if (key.equals(StoreKeys.MACHINE_TYPES)) {
      machineTypesRevision = value.isPresent() ? stamp : Revision.NONE;
    }
    if (key.equals(StoreKeys.LEADER)) {
      if (stamp.compareTo(leaderRevision) <= 0) {
        return;
      }
      leaderRevision = stamp;
      leader.ifPresent(last -> ledUntil.put(last.record().node(), clock));
      leader =
          value
              .filter(StoredValue.LeaderRecord.class::isInstance)
              .map(v -> new Leader((StoredValue.LeaderRecord) v, new Token(stamp.value())));
      if (leader.isEmpty()) {
        leaderMissingSince = clock;
      }
      listener.leaderChanged(clock);
    } else if (key.equals(StoreKeys.PRODUCT_TERMS)) {
      productTerms.put(value, stamp);
    } else if (value.isPresent() && value.get() instanceof StoredValue.Unreadable damaged) {
      drainPlans.markUnreadable(key);
      if (unreadable.add(key)) {
        LOG.error("{} can't be read: {}", key, damaged.reason());
      }
    } else if (value.isPresent() && value.get() instanceof StoredValue.MachineTypesRecord record) {
      machineTypes = record.types();
    } else if (value.isPresent() && value.get() instanceof StoredValue.DrainRecord record) {
      drainPlans.put(key, record, stamp);
    } else if (value.isPresent() && value.get() instanceof StoredValue.StopsRecord record) {
      recentStops = Optional.of(record);
    } else if (key.startsWith(StoreKeys.RELAY_PREFIX)) {
      relays.remove(key);
      if (value.isPresent() && value.get() instanceof StoredValue.RelayRecord relay) {
        relays.put(
            key, new RelayAnnouncement(relay, stamp, clock, lastConfirmed, state == State.LIVE));
      }
    } else if (value.isPresent() && value.get() instanceof JobRecord record) {
      unreadable.remove(key);
      jobs.applyStored(record, stamp).ifPresent(job -> listener.jobChanged(job, clock));
    }
  }
}
