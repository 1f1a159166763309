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
    default void historyLost(Moment now) {}
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
  public record Relayed(
      StoredValue.RelayRecord record,
      Revision stamp,
      Moment seen,
      Moment earliest,
      boolean watched) {}

  /** How many ends of jobs may be known ahead of this copy. */
  public static final int MOST_LEARNED_ENDS = KnownJobs.MOST_LEARNED;

  private static final Span HOLD = Span.millis(1000);
  private static final Span RETRY = Span.millis(250);

  /** Part of the rate that all nodes' reads may take together, and all nodes' watches likewise. */
  private static final double SHARE = 0.4;

  private static final Span STALE = Span.millis(1800);

  /** By how much a copy that is fresh may lag behind the store, with a margin. */
  public static final Span LAG = Span.millis(2000);

  /** Bursts and clocks that differ; a rate that is a good deal higher than the settings say. */
  private static final double FEW_SECONDS = 60;

  private static final double AMPLE = 10;

  private final Outbox outbox;
  private final double requestsPerSecond;
  private final Span spacing;
  private final Span leaderSpacing;
  private boolean leading;
  private final KnownJobs jobs = new KnownJobs();
  private final Map<String, Relayed> relays = new HashMap<>();
  private final Set<String> relaysOnPages = new HashSet<>();
  private final Set<String> unreadable = new HashSet<>();
  private final StoredPlans plans = new StoredPlans();
  private final StoredProduct product = new StoredProduct();
  private Optional<StoredValue.StopsRecord> stops = Optional.empty();
  private Revision stopsStamp = Revision.NONE;
  private Revision typesStamp = Revision.NONE;

  private Map<String, MachineType> types = Map.of();
  private final Deque<Consumer<Boolean>> waiting = new ArrayDeque<>();

  /** How many there ever were, so that each knows which reads began after it. */
  private long asked;

  private Listener listener;
  private State state = State.LOADING;
  private Optional<Leader> leader = Optional.empty();
  private Revision leaderStamp = new Revision(0);

  /** When each node that led was seen to lead no more. */
  private final Map<NodeId, Moment> ledUntil = new HashMap<>();

  /** Since when there has been no leader key, as far as was seen here. */
  private Moment vacantSince;

  private Moment liveSince;
  private Revision position = new Revision(0);
  private Revision loadEpoch;
  private Moment loadBegan;
  private int pages;
  private boolean leaderOnPages;
  private Optional<String> loadAfter = Optional.empty();
  private boolean busy;
  private boolean reading;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);
  private Moment nextRead = new Moment(Long.MIN_VALUE / 2);
  private Moment contact = new Moment(Long.MIN_VALUE / 2);
  private boolean failing;
  private boolean everLive;
  private Moment clock = new Moment(0);

  /**
   * A copy that is empty as yet.
   *
   * @param nodes how many nodes share the state service's rate
   */
  public StoreView(Outbox outbox, double requestsPerSecond, int nodes) {
    this.outbox = outbox;
    this.requestsPerSecond = requestsPerSecond;
    this.spacing =
        Span.millis(Math.max(10, Math.round(1000 * nodes / (requestsPerSecond * SHARE))));
    this.leaderSpacing = Span.millis(Math.max(1, Math.round(4000 / requestsPerSecond)));
  }

  /** Whether this node leads, so that new jobs should be seen at once. */
  public void leads(boolean on) {
    leading = on;
  }

  public void listen(Listener to) {
    this.listener = to;
  }

  public Optional<Leader> leader() {
    return leader;
  }

  /**
   * Nodes that may have led at some time within this span, the present leader apart; empty if this
   * copy has not followed the leader key without a gap for so long.
   */
  public Optional<Set<NodeId>> ledWithin(Span span, Moment now) {
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

  /** When the leader key was last seen to be gone; empty if never. */
  public Optional<Moment> vacantSince() {
    return Optional.ofNullable(vacantSince);
  }

  public Optional<KnownJob> job(JobId id) {
    return jobs.find(id);
  }

  public Collection<KnownJob> jobs() {
    return jobs.all();
  }

  /** How many jobs are not over. */
  public OpenJobs openJobs() {
    return jobs.open();
  }

  /** What is known of followers that keep leases alive in a zone. */
  public Optional<Relayed> relayed(String zone) {
    return Optional.ofNullable(relays.get(Keys.relay(zone)));
  }

  /** All that is known of this kind. */
  public Collection<Relayed> relayed() {
    return relays.values();
  }

  /** Plans to empty machines. */
  public StoredPlans plans() {
    return plans;
  }

  /** What is in force of dawns, headroom and exchanges. */
  public StoredProduct product() {
    return product;
  }

  /** Stops that leaders were granted of late. */
  public Optional<StoredValue.StopsRecord> stops() {
    return stops;
  }

  /** When they were stored; none if they are not. */
  public Revision stopsStamp() {
    return stopsStamp;
  }

  /** The machine types as a leader last stored them; empty if none did. */
  public Map<String, MachineType> types() {
    return types;
  }

  /** When the types were stored; none if they are not. */
  public Revision typesStamp() {
    return typesStamp;
  }

  /** Whether there is a record of the job that can't be read. */
  public boolean unreadable(JobId id) {
    return unreadable.contains(Keys.job(id));
  }

  /** The time by which changes are applied. */
  public void clock(Moment now) {
    clock = now;
  }

  /** Whether everything has been read once. */
  public boolean loaded() {
    return everLive;
  }

  /** Whether the copy is complete and was confirmed a short time ago. */
  public boolean fresh(Moment now) {
    return state == State.LIVE && !now.isPast(contact, STALE);
  }

  /** Begin of the last read that succeeded: everything stored before it is known here. */
  public Moment contact() {
    return contact;
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
  public Token standsUntil(Token granted) {
    boolean stands =
        state == State.LIVE && leader.filter(last -> last.token().equals(granted)).isPresent();
    return stands && covers(granted) ? new Token(position.value()) : granted;
  }

  /**
   * Whether nobody can have been granted this token yet: each change is a request, and the service
   * takes no more of them in the time since this copy was last confirmed.
   */
  public boolean beyond(Token token, Moment now) {
    double most = (now.since(contact).asSeconds() + FEW_SECONDS) * requestsPerSecond * AMPLE;
    return state == State.LIVE && token.value() - position.value() > most;
  }

  /** Keeps the watch and the reads going. */
  public void tick(Moment now) {
    clock = now;
    if (!busy && !nextTry.isAfter(now)) {
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
    if (state != State.LIVE || (failing && !fresh(now))) {
      then.accept(false);
      return;
    }
    waiting.add(then);
    asked++;
    read(now);
  }

  /**
   * This node's own write of a job was applied. It counts here at once: the watch may bring it a
   * good while after others were told of it.
   */
  public void written(JobRecord record, Revision stamp) {
    apply(Keys.job(record.spec().id()), Optional.of(record), stamp);
  }

  /**
   * Another controller has told that a job is over, in answer to a request that this node forwarded
   * to it. It counts here at once, like a write of this node's own: the copy may show it a good
   * while later, and until then this node could start what it has told its user is cancelled.
   *
   * @return whether it counts from here on; if not, the answer must not be passed on
   */
  public boolean learned(JobId id, JobRecord.Phase end) {
    boolean counts = jobs.learn(id, end);
    jobs.applyLearned(id).ifPresent(job -> listener.jobChanged(job, clock));
    return counts;
  }

  private void read(Moment now) {
    if (reading || waiting.isEmpty() || nextRead.isAfter(now) || state != State.LIVE) {
      return;
    }
    reading = true;
    nextRead = now.plus(spacing);
    long before = asked;
    Request.Watch request =
        new Request.Watch(Keys.WATCHED, position, Span.millis(0), Request.Urgency.ACCEPTANCE);
    outbox.call(
        request,
        answer -> {
          reading = false;
          boolean current = take(answer, now);
          if (current && !leading && !busy && now.plus(spacing).isAfter(nextTry)) {
            // As long as questions are read for, a watch beside them would tell nothing sooner.
            nextTry = now.plus(spacing.times(1.5));
          }
          serve(before, current);
        });
  }

  /** Answers those who asked before a read began, unless one that began later has done so. */
  private void serve(long before, boolean current) {
    long first = asked - waiting.size();
    for (long number = first; number < before; number++) {
      waiting.poll().accept(current);
    }
  }

  private void watch(Moment now) {
    busy = true;
    long before = asked;
    // Right after pages that took long to read, what they lag behind by is asked for at once.
    Span hold = now.isPast(contact, STALE) && !failing ? Span.millis(0) : HOLD;
    outbox.call(
        new Request.Watch(Keys.WATCHED, position, hold, Request.Urgency.LEADERSHIP),
        answer -> {
          busy = false;
          if (!take(answer, now)) {
            nextTry = clock.plus(RETRY);
          } else {
            // Each change ends every node's watch. Opened again at once they would take more than
            // the whole rate when much is written.
            nextTry = now.plus(leading ? leaderSpacing : spacing);
            serve(before, true);
            tick(clock);
          }
        });
  }

  /** Applies the answer to a watch; false if it told nothing. */
  private boolean take(Answer answer, Moment begun) {
    if (answer instanceof Answer.Changes changes) {
      for (News news : changes.changes()) {
        if (news.stamp().compareTo(position) > 0) {
          apply(news.key(), news.value(), news.stamp());
        }
      }
      if (changes.revision().compareTo(position) > 0) {
        position = changes.revision();
      }
      touched(begun);
      return true;
    }
    if (answer instanceof Answer.Refused refused && refused.status() == 410) {
      // The history was cut off behind us: read everything again, unless that has begun.
      if (state == State.LIVE) {
        enter(State.LOADING);
        listener.historyLost(clock);
      }
      return false;
    }
    failing = true;
    return false;
  }

  private void load(Moment now) {
    busy = true;
    if (loadEpoch == null) {
      loadBegan = now;
    }
    outbox.call(
        new Request.ReadPage(Keys.WATCHED, loadAfter, Request.Urgency.LEADERSHIP),
        answer -> {
          busy = false;
          if (!(answer instanceof Answer.Page page)) {
            nextTry = clock.plus(RETRY);
            failing = true;
            return;
          }
          pages++;
          if (loadEpoch == null) {
            loadEpoch = page.revision();
          }
          for (Entry entry : page.entries()) {
            leaderOnPages |= entry.key().equals(Keys.LEADER);
            if (entry.key().startsWith(Keys.RELAYS)) {
              relaysOnPages.add(entry.key());
            }
            apply(entry.key(), Optional.of(entry.value()), entry.stamp());
          }
          if (page.hasMore() && !page.entries().isEmpty()) {
            loadAfter = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            if (!leaderOnPages && leaderStamp.compareTo(loadEpoch) < 0) {
              apply(Keys.LEADER, Optional.empty(), loadEpoch);
            }
            relays.keySet().retainAll(relaysOnPages);
            position = loadEpoch;
            enter(State.LIVE);
            // What changed on the first page after it was read is yet to be seen.
            touched(loadBegan);
          }
          tick(clock);
        });
  }

  private void touched(Moment begun) {
    failing = false;
    if (begun.isAfter(contact)) {
      contact = begun;
    }
  }

  private void enter(State next) {
    state = next;
    if (next == State.LOADING) {
      loadEpoch = null;
      loadAfter = Optional.empty();
      leaderOnPages = false;
      relaysOnPages.clear();
    } else {
      everLive = true;
      liveSince = clock;
      LOG.info(
          "copy of the store is complete: {} jobs of {} pages in {}",
          jobs.all().size(),
          pages,
          clock.since(loadBegan));
      pages = 0;
    }
  }

  private void apply(String key, Optional<StoredValue> stored, Revision stamp) {
    Optional<StoredValue> value = stored;
    if (stored.isPresent()
        && stored.get() instanceof JobRecord record
        && !key.equals(Keys.job(record.spec().id()))) {
      // Taken for what it says, it would make up a job that nobody submitted.
      value = Optional.of(new StoredValue.Unreadable("record of job " + record.spec().id()));
    }
    if (key.equals(Keys.STOPS)) {
      stopsStamp = value.isPresent() ? stamp : Revision.NONE;
    } else if (key.equals(Keys.TYPES)) {
      typesStamp = value.isPresent() ? stamp : Revision.NONE;
    }
    if (key.equals(Keys.LEADER)) {
      if (stamp.compareTo(leaderStamp) <= 0) {
        return;
      }
      leaderStamp = stamp;
      leader.ifPresent(last -> ledUntil.put(last.record().node(), clock));
      leader =
          value
              .filter(StoredValue.LeaderRecord.class::isInstance)
              .map(v -> new Leader((StoredValue.LeaderRecord) v, new Token(stamp.value())));
      if (leader.isEmpty()) {
        vacantSince = clock;
      }
      listener.leaderChanged(clock);
    } else if (key.equals(Keys.PRODUCT)) {
      product.put(value, stamp);
    } else if (value.isPresent() && value.get() instanceof StoredValue.Unreadable damaged) {
      plans.unreadable(key);
      if (unreadable.add(key)) {
        LOG.error("{} can't be read: {}", key, damaged.reason());
      }
    } else if (value.isPresent() && value.get() instanceof StoredValue.TypesRecord record) {
      types = record.types();
    } else if (value.isPresent() && value.get() instanceof StoredValue.DrainRecord record) {
      plans.put(key, record, stamp);
    } else if (value.isPresent() && value.get() instanceof StoredValue.StopsRecord record) {
      stops = Optional.of(record);
    } else if (key.startsWith(Keys.RELAYS)) {
      relays.remove(key);
      if (value.isPresent() && value.get() instanceof StoredValue.RelayRecord relay) {
        relays.put(key, new Relayed(relay, stamp, clock, contact, state == State.LIVE));
      }
    } else if (value.isPresent() && value.get() instanceof JobRecord record) {
      unreadable.remove(key);
      jobs.stored(record, stamp).ifPresent(job -> listener.jobChanged(job, clock));
    }
  }
}
