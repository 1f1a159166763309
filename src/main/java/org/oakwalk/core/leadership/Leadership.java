package org.oakwalk.core.leadership;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election of one node. The leader key is bound to a lease of the node that wrote it; the
 * revision of that write is the fencing token that all commands of the leader carry.
 */
public final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /** States of a node in leader election. */
  public enum State {
    /** Another node leads, or there is no leader. */
    FOLLOWING,
    /** A lease has been requested. */
    ACQUIRING_LEASE,
    /** The leader key has been written, but this node's copy of the store does not show it yet. */
    CLAIMING,
    /** This node leads and renews its lease. */
    LEADING,
    /** This node's lease may have expired, but it still renews the workers' leases. */
    LEASE_GRACE,
    /**
     * As LEASE_GRACE, but without contact to the store for so long that workers must not be
     * answered.
     */
    ISOLATED
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.FOLLOWING, EnumSet.of(State.ACQUIRING_LEASE));
    TRANSITIONS.put(State.ACQUIRING_LEASE, EnumSet.of(State.FOLLOWING, State.CLAIMING));
    TRANSITIONS.put(State.CLAIMING, EnumSet.of(State.FOLLOWING, State.LEADING));
    TRANSITIONS.put(State.LEADING, EnumSet.of(State.FOLLOWING, State.LEASE_GRACE));
    TRANSITIONS.put(State.LEASE_GRACE, EnumSet.of(State.FOLLOWING, State.LEADING, State.ISOLATED));
    TRANSITIONS.put(State.ISOLATED, EnumSet.of(State.FOLLOWING, State.LEADING));
  }

  /** Receives changes of this node's leadership. */
  public interface Listener {
    /** This node has become the leader under this token. */
    void leadershipGained(Token token, MonotonicTime now);

    /** This node no longer leads under this token. */
    void leadershipLost(Token token, MonotonicTime now);
  }

  private static final TimeSpan LEASE_TTL = TimeSpan.millis(2500);
  private static final TimeSpan RENEW_INTERVAL = TimeSpan.millis(700);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(200);

  /**
   * Minimum time between gaining leadership and stepping down, so that two nodes that are both
   * partly partitioned do not pass leadership back and forth.
   */
  private static final TimeSpan MIN_TERM = TimeSpan.seconds(20);

  /** How long a node that has stepped down does not campaign. */
  private static final TimeSpan STEP_DOWN_BACKOFF = TimeSpan.seconds(5);

  /**
   * How long a node does not campaign after it has removed the leader key of its own previous
   * incarnation. The other nodes need not load the store first, so a node that crashes repeatedly
   * does not keep them from leading.
   */
  private static final TimeSpan RESTART_BACKOFF = TimeSpan.millis(250);

  private final Outbox outbox;
  private final StoreView view;
  private final NodeId node;
  private final String zone;
  private final String incarnation;
  private final TimeSpan graceLimit;
  private final Listener listener;
  private State state = State.FOLLOWING;
  private Token token;
  private Token highestTokenSeen = new Token(0);
  private LeaseId lease;
  private MonotonicTime leaseStart;
  private MonotonicTime termStart = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextAttempt = new MonotonicTime(Long.MIN_VALUE / 2);
  private boolean requestPending;

  /** Whether a store read that checks a token reported by a worker is in progress. */
  private boolean checkingToken;

  /** The last token that a worker reported although it was granted to no node. */
  private Token lastUngrantedToken;

  public Leadership(
      Outbox outbox,
      StoreView view,
      NodeId node,
      String zone,
      String incarnation,
      TimeSpan graceLimit,
      Listener listener) {
    this.outbox = outbox;
    this.view = view;
    this.node = node;
    this.zone = zone;
    this.incarnation = incarnation;
    this.graceLimit = graceLimit;
    this.listener = listener;
  }

  /** This node's current state. */
  public State state() {
    return state;
  }

  /**
   * Whether workers may be answered under this node's token. Only store reads extend this, because
   * withdrawals become known through reads alone; lease renewals do not.
   */
  public boolean mayAnswerWorkers(MonotonicTime now) {
    return (state == State.LEADING || state == State.LEASE_GRACE)
        && !now.isPast(view.lastConfirmed(), graceLimit.minusClockDrift());
  }

  /** Whether this node holds a token that it has not lost as far as it knows. */
  public boolean holdsToken() {
    return state == State.LEADING || state == State.LEASE_GRACE || state == State.ISOLATED;
  }

  /** Advances timeouts, and campaigns or renews the lease when due. */
  public void tick(MonotonicTime now) {
    if (state == State.LEADING && now.isPast(leaseStart, LEASE_TTL.minusClockDrift())) {
      transitionTo(State.LEASE_GRACE);
    }
    if (state == State.LEASE_GRACE
        && now.isPast(view.lastConfirmed(), graceLimit.minusClockDrift())) {
      transitionTo(State.ISOLATED);
    }
    if (requestPending || nextAttempt.isAfter(now)) {
      return;
    }
    switch (state) {
      case FOLLOWING -> {
        if (view.isFresh(now)) {
          if (view.leader().isEmpty()) {
            campaign(now);
          } else if (view.leader().get().record().node().equals(node)) {
            removeStaleKey(view.leader().get(), now);
          }
        }
      }
      case ACQUIRING_LEASE -> {}
      case CLAIMING -> checkClaim(now);
      case LEADING, LEASE_GRACE, ISOLATED -> renew(now);
    }
  }

  /** Handles a change of the leader key in this node's copy of the store. */
  public void leaderChanged(MonotonicTime now) {
    Optional<StoreView.Leader> leader = view.leader();
    boolean ownKey = leader.isPresent() && leader.get().record().incarnation().equals(incarnation);
    if (state == State.CLAIMING) {
      if (ownKey
          && highestTokenSeen.compareTo(leader.get().token()) > 0
          && !view.isImplausible(highestTokenSeen, now)) {
        // A newer leader exists, and this node has acknowledged that it acts under no older token.
        LOG.info(
            "own claim with token {} applied after higher token {} was seen; claim abandoned",
            leader.get().token(),
            highestTokenSeen);
        returnToFollowing();
      } else if (ownKey) {
        token = leader.get().token();
        termStart = now;
        transitionTo(State.LEADING);
        view.leaderMissingSince()
            .ifPresent(
                since ->
                    LOG.info("leaderless period lasted {}, token {}", now.since(since), token));
        listener.leadershipGained(token, now);
      } else if (leader.isPresent()) {
        returnToFollowing();
      }
    } else if (holdsToken() && !(ownKey && leader.get().token().equals(token))) {
      loseLeadership(now);
    }
  }

  /** Whether this node may step down now: it has led for the minimum term and its copy is fresh. */
  public boolean mayStepDown(MonotonicTime now) {
    return state == State.LEADING && now.isPast(termStart, MIN_TERM) && view.isFresh(now);
  }

  /** Gives up leadership so that a node which reaches more workers can take over. */
  public void stepDown(MonotonicTime now) {
    LOG.info("stepping down, token {}", token);
    loseLeadership(now);
    nextAttempt = now.plus(STEP_DOWN_BACKOFF);
  }

  /**
   * Handles a token above this node's own that a worker reported. Either another node leads, or the
   * token was never granted; giving up leadership for such a token would end this term and every
   * later one for as long as that worker lives. The store decides. If it can't be read, this node
   * gives up leadership, unless the store cannot have reached that revision yet.
   */
  public void workerReportedToken(Token seen, MonotonicTime now) {
    if (!holdsToken() || seen.compareTo(token) <= 0) {
      return;
    }
    if (view.covers(seen) || view.isImplausible(seen, now)) {
      // If the token had been granted, this copy would show its leader.
      ignoreUngrantedToken(seen);
    } else if (state != State.LEADING || !view.isFresh(now)) {
      LOG.info("worker reported token {} above own token {}; giving up leadership", seen, token);
      loseLeadership(now);
    } else if (!checkingToken) {
      Token own = token;
      checkingToken = true;
      view.catchUp(
          now,
          caughtUp -> {
            checkingToken = false;
            if (!holdsToken() || !token.equals(own)) {
              return;
            }
            if (caughtUp) {
              ignoreUngrantedToken(seen);
            } else {
              LOG.info(
                  "worker reported token {} above own token {}; giving up leadership", seen, token);
              loseLeadership(now);
            }
          });
    }
  }

  private void ignoreUngrantedToken(Token seen) {
    if (!seen.equals(lastUngrantedToken)) {
      lastUngrantedToken = seen;
      LOG.error("worker reported token {}, which was never granted; own token {}", seen, token);
    }
  }

  /**
   * Records the token of a leader. If it is above this node's own, another node leads. From then on
   * this node acts under no older token, even if it has yet to learn that a claim of its own was
   * applied.
   */
  public void observeToken(Token seen, MonotonicTime now) {
    if (seen.compareTo(highestTokenSeen) > 0) {
      highestTokenSeen = seen;
    }
    if (holdsToken() && seen.compareTo(token) > 0) {
      LOG.info("leader token {} is above own token {}; giving up leadership", seen, token);
      loseLeadership(now);
    }
  }

  /**
   * Gives up leadership because the copy of the store must be reloaded. Pages arrive in key order,
   * so jobs stored under a later leader could be seen before the change of leader.
   */
  public void historyLost(MonotonicTime now) {
    if (holdsToken()) {
      LOG.info("watch history lost; giving up leadership, token {}", token);
      loseLeadership(now);
    }
  }

  private void loseLeadership(MonotonicTime now) {
    Token lostToken = token;
    token = null;
    returnToFollowing();
    listener.leadershipLost(lostToken, now);
  }

  /**
   * Returns to following. Revokes a lease that is still held, which frees the leader key at once.
   */
  private void returnToFollowing() {
    transitionTo(State.FOLLOWING);
    if (lease != null) {
      outbox.call(new Request.RevokeLease(lease), answer -> {});
      lease = null;
    }
  }

  /**
   * Removes a leader key that was written by a previous incarnation of this node or by a claim that
   * it has abandoned. Neither acts under that key any more, so no node need wait for its lease to
   * expire.
   */
  private void removeStaleKey(StoreView.Leader staleLeader, MonotonicTime now) {
    requestPending = true;
    LOG.info("removing stale leader key of this node, token {}", staleLeader.token());
    outbox.call(
        new Request.Commit(
            List.of(new Guard(StoreKeys.LEADER, new Revision(staleLeader.token().value()))),
            List.of(new Change.Remove(StoreKeys.LEADER)),
            Request.Urgency.LEADERSHIP),
        answer -> {
          requestPending = false;
          nextAttempt = now.plus(RESTART_BACKOFF);
        });
  }

  private void campaign(MonotonicTime now) {
    transitionTo(State.ACQUIRING_LEASE);
    requestPending = true;
    outbox.call(
        new Request.GrantLease(LEASE_TTL),
        answer -> {
          requestPending = false;
          nextAttempt = now.plus(RETRY_DELAY);
          if (answer instanceof Answer.LeaseGranted granted && view.leader().isEmpty()) {
            lease = granted.lease();
            leaseStart = now;
            transitionTo(State.CLAIMING);
            claim(now);
          } else {
            lease = answer instanceof Answer.LeaseGranted granted ? granted.lease() : null;
            returnToFollowing();
          }
        });
  }

  private void claim(MonotonicTime now) {
    requestPending = true;
    StoredValue.LeaderRecord record = new StoredValue.LeaderRecord(node, zone, incarnation);
    outbox.call(
        new Request.Commit(
            List.of(new Guard(StoreKeys.LEADER, Revision.NONE)),
            List.of(new Change.Put(StoreKeys.LEADER, record, Optional.of(lease))),
            Request.Urgency.LEADERSHIP),
        answer -> {
          requestPending = false;
          nextAttempt = now.plus(RETRY_DELAY);
          // Only the copy of the store shows the outcome: the answer to an applied write may be
          // lost, and a write without an answer may still be applied later.
          if (state == State.CLAIMING) {
            view.catchUp(now, caughtUp -> {});
          }
        });
  }

  /** Checks a pending claim. The copy of the store decides it; an expired lease voids it. */
  private void checkClaim(MonotonicTime now) {
    if (now.isPast(leaseStart, LEASE_TTL.plus(LEASE_TTL).plusClockDrift())) {
      // The lease has expired at the store, so the write can no longer be applied.
      returnToFollowing();
      return;
    }
    nextAttempt = now.plus(RETRY_DELAY);
    view.catchUp(now, caughtUp -> {});
  }

  private void renew(MonotonicTime now) {
    requestPending = true;
    nextAttempt = now.plus(RENEW_INTERVAL);
    outbox.call(
        new Request.RenewLease(lease),
        answer -> {
          requestPending = false;
          if (!holdsToken()) {
            return;
          }
          if (answer instanceof Answer.Ok) {
            leaseStart = now;
            if (state != State.LEADING) {
              transitionTo(State.LEADING);
            }
          } else if (answer instanceof Answer.Refused refused && refused.status() == 404) {
            // The lease has expired, so the key is gone or will be soon; the watch reports that
            // too.
            LOG.info("lease expired, token {}", token);
            lease = null;
            loseLeadership(now);
          } else {
            nextAttempt = now.plus(RETRY_DELAY);
          }
        });
  }

  /** Changes the state; no other method assigns it. */
  private void transitionTo(State next) {
    if (next == state) {
      return;
    }
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException(
          "illegal leadership transition from " + state + " to " + next);
    }
    LOG.info("leadership state {} -> {}, token {}", state, next, token);
    state = next;
  }
}
