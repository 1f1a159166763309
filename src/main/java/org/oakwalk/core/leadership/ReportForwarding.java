package org.oakwalk.core.leadership;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;

/**
 * Which workers' reports a follower carries to the leader, because their workers can't reach it
 * while this node can. The leader's orders go back in the answer, so a leader that is cut from its
 * workers alone loses none of them. Now and then each worker is sent to the leader all the same, to
 * find out whether the way is free again.
 */
public final class ReportForwarding {
  /** What this node has found out about a worker's way to the leader. */
  public enum State {
    /** Its report was carried once; nothing is known yet. */
    FORWARDED,
    /** It was sent to the leader. */
    REDIRECTED,
    /** It came back from there, so its reports are carried for a while. */
    CUT_OFF
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(State.FORWARDED, EnumSet.of(State.REDIRECTED));
    TRANSITIONS.put(State.REDIRECTED, EnumSet.of(State.FORWARDED, State.CUT_OFF));
    TRANSITIONS.put(State.CUT_OFF, EnumSet.of(State.REDIRECTED));
  }

  private static final Span LEADER_TIMEOUT = Span.millis(2500);

  /** A worker waits 4 s for an answer and another second before it tries the next node. */
  private static final Span RETURN_WINDOW = Span.seconds(8);

  private static final Span FORWARD_DURATION = Span.seconds(15);

  /** A worker that was here under the present leader. */
  private static final class TrackedWorker {
    State state;
    Moment since;

    TrackedWorker(State state, Moment since) {
      this.state = state;
      this.since = since;
    }

    /** The one place where the state changes. */
    void transitionTo(State next, Moment now) {
      if (!TRANSITIONS.get(state).contains(next)) {
        throw new IllegalStateException("worker from " + state + " to " + next);
      }
      state = next;
      since = now;
    }
  }

  private final Map<MachineId, TrackedWorker> workers = new HashMap<>();
  private Optional<NodeId> leader = Optional.empty();
  private Token token = new Token(0);
  private Moment lastHeard = new Moment(Long.MIN_VALUE / 2);

  /** A leader was heard over the link between controllers. */
  public void leaderHeard(NodeId from, Token leaderToken, Moment now) {
    if (leaderToken.compareTo(token) > 0) {
      workers.clear();
      token = leaderToken;
    }
    if (leaderToken.equals(token)) {
      leader = Optional.of(from);
      lastHeard = now;
    }
  }

  /** The leader, if it has been heard a moment ago. */
  public Optional<NodeId> leader(Moment now) {
    return now.isPast(lastHeard, LEADER_TIMEOUT) ? Optional.empty() : leader;
  }

  /** Whether this report is to be carried, rather than its worker sent on to the leader. */
  public boolean shouldForward(Report report, Moment now) {
    if (leader(now).isEmpty()) {
      return false;
    }
    TrackedWorker worker = workers.get(report.machine());
    if (worker == null) {
      // Who has the leader's token has been answered by it, and left it for a reason.
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
      default -> throw new IllegalStateException("worker in " + worker.state);
    }
    return false;
  }
}
