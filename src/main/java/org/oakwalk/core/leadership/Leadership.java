package org.oakwalk.core.leadership;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads. The leader key is bound to a lease of its writer; the revision of that write is the
 * token under which all commands go out.
 */
public final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /** States of a node with respect to leading. */
  public enum State {
    /** Another node leads, or nobody does. */
    FOLLOWING,
    /** A lease was asked for. */
    ACQUIRING_LEASE,
    /** The leader key was written, and the copy of the store does not show it yet. */
    CLAIMING,
    /** This node leads and renews its lease. */
    LEADING,
    /** This node led; the lease may be over, but the workers' leases are kept alive. */
    LEASE_GRACE,
    /** As above, but out of contact for so long that workers must not be answered. */
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

  /** Told when this node begins and ends to lead. */
  public interface Listener {
    void leadershipGained(Token token, Moment now);

    void leadershipLost(Token token, Moment now);
  }

  private static final Span LEASE_TTL = Span.millis(2500);
  private static final Span RENEW_INTERVAL = Span.millis(700);
  private static final Span RETRY_DELAY = Span.millis(200);

  /** A leader does not step aside sooner, so that two half-cut nodes don't pass it to and fro. */
  private static final Span MIN_TERM = Span.seconds(20);

  /** How long a node that has stepped aside leaves it to the others. */
  private static final Span STEP_DOWN_BACKOFF = Span.seconds(5);

  /**
   * How long a node whose own former life led leaves it to the others, which need not read anything
   * first; so one that ends again and again does not keep them from leading.
   */
  private static final Span RESTART_BACKOFF = Span.millis(250);

  private final Outbox outbox;
  private final StoreView view;
  private final NodeId node;
  private final String zone;
  private final String incarnation;
  private final Span graceLimit;
  private final Listener listener;
  private State state = State.FOLLOWING;
  private Token token;
  private Token highestTokenSeen = new Token(0);
  private LeaseId lease;
  private Moment leaseStart;
  private Moment termStart = new Moment(Long.MIN_VALUE / 2);
  private Moment nextAttempt = new Moment(Long.MIN_VALUE / 2);
  private boolean requestPending;

  /** Whether a read is under way that tells whether a token shown by a worker was granted. */
  private boolean checkingToken;

  /** The last token that a worker showed and nobody was granted. */
  private Token lastUngrantedToken;

  public Leadership(
      Outbox outbox,
      StoreView view,
      NodeId node,
      String zone,
      String incarnation,
      Span graceLimit,
      Listener listener) {
    this.outbox = outbox;
    this.view = view;
    this.node = node;
    this.zone = zone;
    this.incarnation = incarnation;
    this.graceLimit = graceLimit;
    this.listener = listener;
  }

  public State state() {
    return state;
  }

  /** Whether workers may be answered under this node's token. */
  public boolean mayAnswerWorkers(Moment now) {
    return (state == State.LEADING || state == State.LEASE_GRACE)
        && !now.isPast(view.contact(), graceLimit.minusClockDrift());
  }

  /** Whether this node holds a token that has not been seen to fall. */
  public boolean holdsToken() {
    return state == State.LEADING || state == State.LEASE_GRACE || state == State.ISOLATED;
  }

  public void tick(Moment now) {
    if (state == State.LEADING && now.isPast(leaseStart, LEASE_TTL.minusClockDrift())) {
      transitionTo(State.LEASE_GRACE);
    }
    if (state == State.LEASE_GRACE && now.isPast(view.contact(), graceLimit.minusClockDrift())) {
      transitionTo(State.ISOLATED);
    }
    if (requestPending || nextAttempt.isAfter(now)) {
      return;
    }
    switch (state) {
      case FOLLOWING -> {
        if (view.fresh(now)) {
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

  /** The copy of the store shows another leader key, or none. */
  public void leaderChanged(Moment now) {
    Optional<StoreView.Leader> leader = view.leader();
    boolean ownKey = leader.isPresent() && leader.get().record().incarnation().equals(incarnation);
    if (state == State.CLAIMING) {
      if (ownKey
          && highestTokenSeen.compareTo(leader.get().token()) > 0
          && !view.beyond(highestTokenSeen, now)) {
        // Somebody else leads by now, and was told that nothing older goes out from here.
        LOG.info(
            "claim of token {} is seen after token {}", leader.get().token(), highestTokenSeen);
        returnToFollowing();
      } else if (ownKey) {
        token = leader.get().token();
        termStart = now;
        transitionTo(State.LEADING);
        view.vacantSince()
            .ifPresent(since -> LOG.info("nobody led for {}, token {}", now.since(since), token));
        listener.leadershipGained(token, now);
      } else if (leader.isPresent()) {
        returnToFollowing();
      }
    } else if (holdsToken() && !(ownKey && leader.get().token().equals(token))) {
      loseLeadership(now);
    }
  }

  /** Whether it could leave leading to others now: not soon after it began. */
  public boolean mayStepDown(Moment now) {
    return state == State.LEADING && now.isPast(termStart, MIN_TERM) && view.fresh(now);
  }

  /** Leaves leading to the others, which may reach those that this node can't reach. */
  public void stepDown(Moment now) {
    LOG.info("stepping aside, token {}", token);
    loseLeadership(now);
    nextAttempt = now.plus(STEP_DOWN_BACKOFF);
  }

  /**
   * A worker showed a token above this node's own. Either another node leads, or nobody was ever
   * granted it: then falling for it would end this term, and each one after it, for as long as that
   * worker lives. What the store says decides; whoever can't ask it falls, unless no store could
   * have come that far.
   */
  public void workerReportedToken(Token seen, Moment now) {
    if (!holdsToken() || seen.compareTo(token) <= 0) {
      return;
    }
    if (view.covers(seen) || view.beyond(seen, now)) {
      // The copy would show who was granted it.
      ignoreUngrantedToken(seen);
    } else if (state != State.LEADING || !view.fresh(now)) {
      LOG.info("token {} of a worker is above own token {}", seen, token);
      loseLeadership(now);
    } else if (!checkingToken) {
      Token own = token;
      checkingToken = true;
      view.catchUp(
          now,
          known -> {
            checkingToken = false;
            if (!holdsToken() || !token.equals(own)) {
              return;
            }
            if (known) {
              ignoreUngrantedToken(seen);
            } else {
              LOG.info("token {} of a worker is above own token {}", seen, token);
              loseLeadership(now);
            }
          });
    }
  }

  private void ignoreUngrantedToken(Token seen) {
    if (!seen.equals(lastUngrantedToken)) {
      lastUngrantedToken = seen;
      LOG.error("a worker shows token {}, which nobody was granted; own token {}", seen, token);
    }
  }

  /**
   * A leader showed its token: if it is above this node's own, another node leads. From here on
   * this node acts under no older one, also if it is yet to learn that a claim of its own was
   * applied.
   */
  public void observeToken(Token seen, Moment now) {
    if (seen.compareTo(highestTokenSeen) > 0) {
      highestTokenSeen = seen;
    }
    if (holdsToken() && seen.compareTo(token) > 0) {
      LOG.info("token {} is above own token {}", seen, token);
      loseLeadership(now);
    }
  }

  /**
   * The copy of the store has to be read anew. Its pages come in the order of their keys: jobs that
   * were stored under a later leader would be seen before the change of leader.
   */
  public void historyLost(Moment now) {
    if (holdsToken()) {
      LOG.info("changes were missed, token {} is given up", token);
      loseLeadership(now);
    }
  }

  private void loseLeadership(Moment now) {
    Token lostToken = token;
    token = null;
    returnToFollowing();
    listener.leadershipLost(lostToken, now);
  }

  /** Back to following; a lease that is still held is dropped so that the key frees at once. */
  private void returnToFollowing() {
    transitionTo(State.FOLLOWING);
    if (lease != null) {
      outbox.call(new Request.RevokeLease(lease), answer -> {});
      lease = null;
    }
  }

  /**
   * The key is that of a former life of this node, or of a claim that this life gave up. Neither
   * acts under it any more, so nobody need wait for its lease to end.
   */
  private void removeStaleKey(StoreView.Leader staleLeader, Moment now) {
    requestPending = true;
    LOG.info("the key of token {} was left by this node and is removed", staleLeader.token());
    outbox.call(
        new Request.Commit(
            List.of(new Guard(Keys.LEADER, new Revision(staleLeader.token().value()))),
            List.of(new Change.Remove(Keys.LEADER)),
            Request.Urgency.LEADERSHIP),
        answer -> {
          requestPending = false;
          nextAttempt = now.plus(RESTART_BACKOFF);
        });
  }

  private void campaign(Moment now) {
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

  private void claim(Moment now) {
    requestPending = true;
    StoredValue.LeaderRecord record = new StoredValue.LeaderRecord(node, zone, incarnation);
    outbox.call(
        new Request.Commit(
            List.of(new Guard(Keys.LEADER, Revision.NONE)),
            List.of(new Change.Put(Keys.LEADER, record, Optional.of(lease))),
            Request.Urgency.LEADERSHIP),
        answer -> {
          requestPending = false;
          nextAttempt = now.plus(RETRY_DELAY);
          // Whatever came back, the copy of the store tells: a lost answer may hide a success,
          // and the write may yet be applied.
          if (state == State.CLAIMING) {
            view.catchUp(now, known -> {});
          }
        });
  }

  /** A claim is out. Only the copy of the store ends it; a lease that ran out voids it. */
  private void checkClaim(Moment now) {
    if (now.isPast(leaseStart, LEASE_TTL.plus(LEASE_TTL).plusClockDrift())) {
      // The lease has ended at the store, so the write can't be applied any more.
      returnToFollowing();
      return;
    }
    nextAttempt = now.plus(RETRY_DELAY);
    view.catchUp(now, known -> {});
  }

  private void renew(Moment now) {
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
            // The lease ended, so the key is gone or soon will be; the watch will tell as well.
            LOG.info("lease of token {} ended", token);
            lease = null;
            loseLeadership(now);
          } else {
            nextAttempt = now.plus(RETRY_DELAY);
          }
        });
  }

  /** The one place where the state changes. */
  private void transitionTo(State next) {
    if (next == state) {
      return;
    }
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("leadership " + state + " to " + next);
    }
    LOG.info("leadership {} to {}, token {}", state, next, token);
    state = next;
  }
}
