package org.oakwalk.core.leadership;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lease renewal by a follower that cannot reach the leader in another zone. For a bounded time the
 * follower renews the leases of its own zone's workers under the leader's token. Before the first
 * such answer it announces the relay in the store, guarded by the leader key, so that the leader
 * does not consider a machine of the zone empty too early. docs/safety.md gives the safety
 * argument.
 */
public final class LeaseRelay {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseRelay.class);

  /** States of a node's relay announcement. */
  public enum State {
    /** No announcement is being written. */
    IDLE,
    /** The announcement is being written; reports wait for its outcome. */
    ANNOUNCING
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.IDLE, EnumSet.of(State.ANNOUNCING));
    TRANSITIONS.put(State.ANNOUNCING, EnumSet.of(State.IDLE));
  }

  private static final TimeSpan DIGEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan PROBE_INTERVAL = TimeSpan.millis(1000);

  private final Outbox outbox;
  private final StoreView view;
  private final NodeId node;
  private final String zone;
  private final TimeSpan window;
  private final boolean enabled;
  private final List<Consumer<Boolean>> pendingReports = new ArrayList<>();
  private State state = State.IDLE;
  private Token highestToken = new Token(0);
  private MonotonicTime lastDigest = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextProbe = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime currentTime = new MonotonicTime(0);
  private boolean probePending;
  private boolean leaderSilent;

  public LeaseRelay(Outbox outbox, StoreView view, Settings settings) {
    this.outbox = outbox;
    this.view = view;
    this.node = settings.node();
    this.zone = settings.zone();
    this.window = settings.workers().relayWindow();
    this.enabled = settings.workers().relaysLeases();
  }

  /** Records contact with a leader. This node answers under no older token from then on. */
  public void leaderHeard(Token leader, MonotonicTime now) {
    lastDigest = now;
    leaderSilent = false;
    if (leader.compareTo(highestToken) > 0) {
      highestToken = leader;
    }
  }

  /** Probes the leader when its digests stop arriving. */
  public void tick(boolean holdsToken, MonotonicTime now) {
    currentTime = now;
    Optional<StoreView.Leader> leader = remoteLeader();
    if (holdsToken || leader.isEmpty() || !now.isPast(lastDigest, DIGEST_TIMEOUT)) {
      leaderSilent = false;
    } else if (enabled && !probePending && !nextProbe.isAfter(now)) {
      probe(leader.get().record().node(), now);
    }
  }

  private Optional<StoreView.Leader> remoteLeader() {
    return view.leader()
        .filter(leader -> !leader.record().zone().equals(zone))
        .filter(leader -> leader.token().compareTo(highestToken) >= 0);
  }

  /**
   * Probes the leader. Only a missing answer marks it silent: a refused connection may come from a
   * packet filter between the controllers while the workers still reach the leader.
   */
  private void probe(NodeId leader, MonotonicTime now) {
    probePending = true;
    nextProbe = now.plus(PROBE_INTERVAL);
    outbox.call(
        new Request.SendToPeer(leader, new PeerMessage.Probe(node)),
        answer -> {
          probePending = false;
          leaderSilent = answer instanceof Answer.OutcomeUnknown;
        });
  }

  /**
   * Passes the token under which the worker that sent this report may be answered, if any, to the
   * callback: at once, or after the relay has been announced if that is still to be done.
   */
  public void resolveToken(Report report, MonotonicTime now, Consumer<Optional<Token>> callback) {
    currentTime = now;
    Optional<Token> leader =
        remoteLeader()
            .map(StoreView.Leader::token)
            .filter(granted -> issuedBy(granted, report.token()));
    Token reported = report.token();
    if (!enabled || !leaderSilent || leader.isEmpty() || !report.zone().equals(zone)) {
      callback.accept(Optional.empty());
    } else if (view.relays(zone).isEmpty() && view.isFresh(now)) {
      pendingReports.add(
          caughtUp ->
              callback.accept(leader.filter(t -> caughtUp && mayAnswer(t)).map(t -> reported)));
      if (state == State.IDLE) {
        announce(leader.get(), now);
      }
    } else {
      callback.accept(leader.filter(this::mayAnswer).map(t -> reported));
    }
  }

  /**
   * Whether a reported token can only have been issued by this leader. A leader raises its token up
   * to revisions at which its key still existed, and up to the revision of this copy no other node
   * has claimed leadership since.
   */
  private boolean issuedBy(Token granted, Token reported) {
    return reported.compareTo(granted) >= 0 && view.covers(reported);
  }

  /**
   * Whether workers may be answered under this token now: the relay is announced and its window has
   * not passed. The leader counts the window from when it saw the announcement, so this node counts
   * from the earliest moment at which the announcement may have been written, even if its copy of
   * the store learned of it late.
   */
  private boolean mayAnswer(Token token) {
    return leaderSilent
        && view.isFresh(currentTime)
        && remoteLeader().filter(leader -> leader.token().equals(token)).isPresent()
        && view.relays(zone)
            .filter(
                announcement ->
                    announcement.record().token().equals(token) && announcement.seenByWatch())
            .filter(
                announcement ->
                    !currentTime.isPast(announcement.earliestWrite(), window.minusClockDrift()))
            .isPresent();
  }

  private void announce(Token token, MonotonicTime now) {
    transitionTo(State.ANNOUNCING);
    LOG.info("leader with token {} unreachable; announcing lease relay for zone {}", token, zone);
    String key = StoreKeys.relay(zone);
    outbox.call(
        new Request.Commit(
            List.of(
                new Guard(StoreKeys.LEADER, new Revision(token.value())),
                new Guard(key, Revision.NONE)),
            List.of(
                new Change.Put(key, new StoredValue.RelayRecord(zone, token), Optional.empty())),
            Request.Urgency.LEADERSHIP),
        // The answer may be lost; the copy of the store shows whether the write was applied.
        answer -> view.catchUp(currentTime, this::completeAnnouncement));
  }

  private void completeAnnouncement(boolean caughtUp) {
    transitionTo(State.IDLE);
    List<Consumer<Boolean>> callbacks = new ArrayList<>(pendingReports);
    pendingReports.clear();
    callbacks.forEach(callback -> callback.accept(caughtUp));
  }

  /** Changes the state; no other method assigns it. */
  private void transitionTo(State next) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("illegal relay transition from " + state + " to " + next);
    }
    state = next;
  }
}
