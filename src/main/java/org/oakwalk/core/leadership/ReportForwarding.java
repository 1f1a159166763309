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

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(State.FORWARDED, EnumSet.of(State.REDIRECTED));
    LEGAL.put(State.REDIRECTED, EnumSet.of(State.FORWARDED, State.CUT_OFF));
    LEGAL.put(State.CUT_OFF, EnumSet.of(State.REDIRECTED));
  }

  private static final Span HEARD_WITHIN = Span.millis(2500);

  /** A worker waits 4 s for an answer and another second before it tries the next node. */
  private static final Span BACK_WITHIN = Span.seconds(8);

  private static final Span STRANDED_FOR = Span.seconds(15);

  /** A worker that was here under the present leader. */
  private static final class Guest {
    State state;
    Moment since;

    Guest(State state, Moment since) {
      this.state = state;
      this.since = since;
    }

    /** The one place where the state changes. */
    void enter(State next, Moment now) {
      if (!LEGAL.get(state).contains(next)) {
        throw new IllegalStateException("worker from " + state + " to " + next);
      }
      state = next;
      since = now;
    }
  }

  private final Map<MachineId, Guest> guests = new HashMap<>();
  private Optional<NodeId> leader = Optional.empty();
  private Token token = new Token(0);
  private Moment heard = new Moment(Long.MIN_VALUE / 2);

  /** A leader was heard over the link between controllers. */
  public void leaderHeard(NodeId from, Token its, Moment now) {
    if (its.compareTo(token) > 0) {
      guests.clear();
      token = its;
    }
    if (its.equals(token)) {
      leader = Optional.of(from);
      heard = now;
    }
  }

  /** The leader, if it has been heard a moment ago. */
  public Optional<NodeId> leader(Moment now) {
    return now.isPast(heard, HEARD_WITHIN) ? Optional.empty() : leader;
  }

  /** Whether this report is to be carried, rather than its worker sent on to the leader. */
  public boolean shouldForward(Report report, Moment now) {
    if (leader(now).isEmpty()) {
      return false;
    }
    Guest guest = guests.get(report.machine());
    if (guest == null) {
      // Who has the leader's token has been answered by it, and left it for a reason.
      boolean known = report.token().compareTo(token) >= 0;
      guests.put(report.machine(), new Guest(known ? State.FORWARDED : State.REDIRECTED, now));
      return known;
    }
    switch (guest.state) {
      case FORWARDED -> guest.enter(State.REDIRECTED, now);
      case REDIRECTED -> {
        boolean back = !now.isPast(guest.since, BACK_WITHIN);
        guest.enter(back ? State.CUT_OFF : State.FORWARDED, now);
        return true;
      }
      case CUT_OFF -> {
        if (!now.isPast(guest.since, STRANDED_FOR)) {
          return true;
        }
        guest.enter(State.REDIRECTED, now);
      }
      default -> throw new IllegalStateException("worker in " + guest.state);
    }
    return false;
  }
}
