package org.oakwalk.core.exchange;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;

/**
 * Room of one machine that one replica takes from other work, from the intent until it is given
 * back. Immutable; each step gives the next one. Whoever reads it knows enough to go on: no step
 * rests on what only the leader knew that made the one before.
 *
 * @param exchange the terms under which it is taken
 * @param giver the job that it is taken from
 * @param giverTeam that job's team
 * @param tasks how many of the giver's tasks are stopped for it
 * @param taker the job that it is taken for
 * @param room what the replica needs
 * @param machine where the room is
 * @param level how many replicas of the takers there were, this one included, when it was taken:
 *     need has fallen below it when there are fewer
 * @param since when it was intended, or began to be given back
 */
public record Take(
    TakeId id,
    State state,
    String exchange,
    JobId giver,
    String giverTeam,
    int tasks,
    JobId taker,
    Resources room,
    MachineId machine,
    int level,
    WallTime since)
    implements SharedRow {

  /** How far a take is. */
  public enum State {
    /** Written down, or being so; no stop has been ordered by this leader. */
    INTENDED,
    /** The giver's tasks are told to stop, and save. */
    SAVING,
    /** A replica of the taker has the room. */
    TAKEN,
    /** The room is kept for the giver. */
    RETURNING,
    /** Nothing is owed any more; it leaves the record. */
    SETTLED
  }

  /** More than the names of its fields and its numbers take where it is stored. */
  private static final int FRAME = 420;

  private static final int BYTES_OF_A_LETTER = 4;

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(
        State.INTENDED, EnumSet.of(State.SAVING, State.TAKEN, State.RETURNING, State.SETTLED));
    LEGAL.put(State.SAVING, EnumSet.of(State.TAKEN, State.RETURNING, State.SETTLED));
    LEGAL.put(State.TAKEN, EnumSet.of(State.TAKEN, State.RETURNING, State.SETTLED));
    LEGAL.put(State.RETURNING, EnumSet.of(State.SETTLED));
    LEGAL.put(State.SETTLED, EnumSet.noneOf(State.class));
  }

  /** Whether the giver's tasks may yet have to be stopped for it, or are being stopped. */
  public boolean underWay() {
    return state == State.INTENDED || state == State.SAVING;
  }

  @Override
  public int maxJsonBytes() {
    int letters =
        exchange.length()
            + giver.value().length()
            + giverTeam.length()
            + taker.value().length()
            + machine.value().length();
    return FRAME + BYTES_OF_A_LETTER * letters;
  }

  /** The giver's tasks are told to stop. */
  public Take stopping() {
    return enter(State.SAVING, since);
  }

  /** A replica of this job has the room, for the first time or after another's has ended. */
  public Take taken(JobId by) {
    return new Take(
        id,
        enter(State.TAKEN, since).state,
        exchange,
        giver,
        giverTeam,
        tasks,
        by,
        room,
        machine,
        level,
        since);
  }

  /**
   * Need is at the level of the lower one, if the room is used in place of another that was taken.
   */
  public Take standingFor(Optional<Take> other) {
    int least = other.map(Take::level).filter(each -> each < level).orElse(level);
    return new Take(
        id, state, exchange, giver, giverTeam, tasks, taker, room, machine, least, since);
  }

  /** The room goes back to the giver from now on. */
  public Take returning(WallTime now) {
    return enter(State.RETURNING, now);
  }

  /** Nothing is owed any more. */
  public Take settled() {
    return enter(State.SETTLED, since);
  }

  /** The one place where the state changes. */
  private Take enter(State next, WallTime at) {
    if (!LEGAL.get(state).contains(next)) {
      throw new IllegalStateException("take " + id + " from " + state + " to " + next);
    }
    return new Take(id, next, exchange, giver, giverTeam, tasks, taker, room, machine, level, at);
  }
}
