package org.oakwalk.core.leadership;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;

/**
 * Decides which worker reports a follower forwards to the leader because the worker cannot reach
 * the leader while this node can. The leader's orders go back in the answer, so a leader that is
 * partitioned from its workers only does not lose them. Each worker is redirected to the leader
 * periodically, to find out whether it can reach the leader again.
 */
public final class ReportForwarding {
  /** What this node knows of a worker's connection to the leader. */
  public enum State {
    /** One report was forwarded; nothing is known of the connection yet. */
    FORWARDED,
    /** The worker was redirected to the leader. */
    REDIRECTED,
    /** The worker came back soon after a redirect, so its reports are forwarded for a while. */
    CUT_OFF
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.FORWARDED, EnumSet.of(State.REDIRECTED));
    TRANSITIONS.put(State.REDIRECTED, EnumSet.of(State.FORWARDED, State.CUT_OFF));
    TRANSITIONS.put(State.CUT_OFF, EnumSet.of(State.REDIRECTED));
  }

  /** Longest gap between digests at which the leader still counts as reachable. */
  private static final TimeSpan LEADER_TIMEOUT = TimeSpan.millis(2500);

  /**
   * A worker that reports here again within this time after a redirect did not reach the leader. It
   * waits 4 s for an answer and another second before it tries the next node.
   */
  private static final TimeSpan RETURN_WINDOW = TimeSpan.seconds(8);

  /** How long the reports of a cut-off worker are forwarded before its next redirect. */
  private static final TimeSpan FORWARD_DURATION = TimeSpan.seconds(15);

  /** A worker that has reported to this node under the current leader. */
  private static final class TrackedWorker {
    State state;
    MonotonicTime since;

    TrackedWorker(State state, MonotonicTime since) {
      this.state = state;
      this.since = since;
    }

    /** Changes the state; no other method assigns it after construction. */
    void transitionTo(State next, MonotonicTime now) {
      if (!TRANSITIONS.get(state).contains(next)) {
        throw new IllegalStateException(
            "illegal forwarding transition from " + state + " to " + next);
      }
      state = next;
      since = now;
    }
  }

  private final Map<MachineId, TrackedWorker> workers = new HashMap<>();
  private Optional<NodeId> leader = Optional.empty();
  private Token token = new Token(0);
  private MonotonicTime lastHeard = new MonotonicTime(Long.MIN_VALUE / 2);

  /** Records a digest from a leader. A higher token discards all knowledge of workers. */
  public void leaderHeard(NodeId from, Token leaderToken, MonotonicTime now) {
    if (leaderToken.compareTo(token) > 0) {
      workers.clear();
      token = leaderToken;
    }
    if (leaderToken.equals(token)) {
      leader = Optional.of(from);
      lastHeard = now;
    }
  }

  /** The leader, if a digest from it arrived within the timeout. */
  public Optional<NodeId> leader(MonotonicTime now) {
    return now.isPast(lastHeard, LEADER_TIMEOUT) ? Optional.empty() : leader;
  }

  /** Whether to forward this report to the leader instead of redirecting its worker there. */
  public boolean shouldForward(Report report, MonotonicTime now) {
    if (leader(now).isEmpty()) {
      return false;
    }
    TrackedWorker worker = workers.get(report.machine());
    if (worker == null) {
      // The leader has answered a worker that has its token, so the worker left it for a reason.
      boolean hasLeaderToken = report.token().compareTo(token) >= 0;
      workers.put(
          report.machine(),
          new TrackedWorker(hasLeaderToken ? State.FORWARDED : State.REDIRECTED, now));
      return hasLeaderToken;
    }
    switch (worker.state) {
      case FORWARDED -> worker.transitionTo(State.REDIRECTED, now);
      case REDIRECTED -> {
        boolean returnedSoon = !now.isPast(worker.since, RETURN_WINDOW);
        worker.transitionTo(returnedSoon ? State.CUT_OFF : State.FORWARDED, now);
        return true;
      }
      case CUT_OFF -> {
        if (!now.isPast(worker.since, FORWARD_DURATION)) {
          return true;
        }
        worker.transitionTo(State.REDIRECTED, now);
      }
      default -> throw new IllegalStateException("unexpected forwarding state " + worker.state);
    }
    return false;
  }
}
