package org.oakwalk.core.leadership;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A follower that is cut off from the leader in another zone keeps the leases of its own zone's
 * workers alive under the leader's token, for a bounded time. Before the first such answer that is
 * announced in the store, under a guard that the leader still leads, so that the leader takes no
 * machine of the zone for empty too early. docs/safety.md argues why no rule is broken.
 */
public final class LeaseRelay {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseRelay.class);

  /** States of a node with respect to announcing. */
  public enum State {
    IDLE,
    /** The announcement is being written; reports wait for its outcome. */
    ANNOUNCING
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.IDLE, EnumSet.of(State.ANNOUNCING));
    TRANSITIONS.put(State.ANNOUNCING, EnumSet.of(State.IDLE));
  }

  private static final Span DIGEST_TIMEOUT = Span.millis(1500);
  private static final Span PROBE_INTERVAL = Span.millis(1000);

  private final Outbox outbox;
  private final StoreView view;
  private final NodeId node;
  private final String zone;
  private final Span window;
  private final boolean enabled;
  private final List<Consumer<Boolean>> pendingReports = new ArrayList<>();
  private State state = State.IDLE;
  private Token highestToken = new Token(0);
  private Moment lastDigest = new Moment(Long.MIN_VALUE / 2);
  private Moment nextProbe = new Moment(Long.MIN_VALUE / 2);
  private Moment currentTime = new Moment(0);
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

  /** A leader was heard; nothing under an older token goes out from here on. */
  public void leaderHeard(Token leader, Moment now) {
    lastDigest = now;
    leaderSilent = false;
    if (leader.compareTo(highestToken) > 0) {
      highestToken = leader;
    }
  }

  /** Keeps watch on whether the leader can be reached. */
  public void tick(boolean holdsToken, Moment now) {
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
   * Asks the leader for a sign of life. Only silence counts: a refused connection may come from a
   * filter between the controllers, while the workers reach the leader all the same.
   */
  private void probe(NodeId leader, Moment now) {
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
   * Tells under which token the worker that sent this report may be answered, if any; at once,
   * unless that has to be announced first.
   */
  public void resolveToken(Report report, Moment now, Consumer<Optional<Token>> then) {
    currentTime = now;
    Optional<Token> leader =
        remoteLeader()
            .map(StoreView.Leader::token)
            .filter(granted -> issuedBy(granted, report.token()));
    Token shown = report.token();
    if (!enabled || !leaderSilent || leader.isEmpty() || !report.zone().equals(zone)) {
      then.accept(Optional.empty());
    } else if (view.relayed(zone).isEmpty() && view.fresh(now)) {
      pendingReports.add(
          known -> then.accept(leader.filter(t -> known && mayAnswer(t)).map(t -> shown)));
      if (state == State.IDLE) {
        announce(leader.get(), now);
      }
    } else {
      then.accept(leader.filter(this::mayAnswer).map(t -> shown));
    }
  }

  /**
   * Whether a worker can have this token from this leader alone. A leader raises its token up to
   * revisions at which its key stood; as far as this copy reaches nobody else has claimed since.
   */
  private boolean issuedBy(Token granted, Token shown) {
    return shown.compareTo(granted) >= 0 && view.covers(shown);
  }

  /**
   * Whether workers may be answered under this token now: it is announced, and not for too long.
   * The leader counts from when it saw that, so here it counts from the earliest moment at which it
   * may have been announced, also if this copy of the store learned of it late.
   */
  private boolean mayAnswer(Token token) {
    return leaderSilent
        && view.fresh(currentTime)
        && remoteLeader().filter(leader -> leader.token().equals(token)).isPresent()
        && view.relayed(zone)
            .filter(relayed -> relayed.record().token().equals(token) && relayed.watched())
            .filter(relayed -> !currentTime.isPast(relayed.earliest(), window.minusClockDrift()))
            .isPresent();
  }

  private void announce(Token token, Moment now) {
    transitionTo(State.ANNOUNCING);
    LOG.info("leader of token {} is out of reach, zone {} asks to be relayed", token, zone);
    String key = Keys.relay(zone);
    outbox.call(
        new Request.Commit(
            List.of(
                new Guard(Keys.LEADER, new Revision(token.value())), new Guard(key, Revision.NONE)),
            List.of(
                new Change.Put(key, new StoredValue.RelayRecord(zone, token), Optional.empty())),
            Request.Urgency.LEADERSHIP),
        // Whatever came back, the copy of the store tells whether it was written.
        answer -> view.catchUp(currentTime, this::completeAnnouncement));
  }

  private void completeAnnouncement(boolean known) {
    transitionTo(State.IDLE);
    List<Consumer<Boolean>> served = new ArrayList<>(pendingReports);
    pendingReports.clear();
    served.forEach(waiter -> waiter.accept(known));
  }

  /** The one place where the state changes. */
  private void transitionTo(State next) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("relay from " + state + " to " + next);
    }
    state = next;
  }
}
