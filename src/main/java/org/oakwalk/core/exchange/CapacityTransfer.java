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
 * @param exchangeName the terms under which it is taken
 * @param giver the job that it is taken from
 * @param giverTeam that job's team
 * @param stoppedTasks how many of the giver's tasks are stopped for it
 * @param taker the job that it is taken for
 * @param resources what the replica needs
 * @param machine where the room is
 * @param demandLevel how many replicas of the takers there were, this one included, when it was
 *     taken: need has fallen below it when there are fewer
 * @param since when it was intended, or began to be given back
 */
public record CapacityTransfer(
    TransferId id,
    State state,
    String exchangeName,
    JobId giver,
    String giverTeam,
    int stoppedTasks,
    JobId taker,
    Resources resources,
    MachineId machine,
    int demandLevel,
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
  private static final int FIXED_BYTES = 420;

  private static final int MAX_BYTES_PER_CHAR = 4;

  private static final Map<State, Set<State>> ALLOWED_TRANSITIONS = new EnumMap<>(State.class);

  static {
    ALLOWED_TRANSITIONS.put(
        State.INTENDED, EnumSet.of(State.SAVING, State.TAKEN, State.RETURNING, State.SETTLED));
    ALLOWED_TRANSITIONS.put(State.SAVING, EnumSet.of(State.TAKEN, State.RETURNING, State.SETTLED));
    ALLOWED_TRANSITIONS.put(State.TAKEN, EnumSet.of(State.TAKEN, State.RETURNING, State.SETTLED));
    ALLOWED_TRANSITIONS.put(State.RETURNING, EnumSet.of(State.SETTLED));
    ALLOWED_TRANSITIONS.put(State.SETTLED, EnumSet.noneOf(State.class));
  }

  /** Whether the giver's tasks may yet have to be stopped for it, or are being stopped. */
  public boolean isPending() {
    return state == State.INTENDED || state == State.SAVING;
  }

  @Override
  public int maxJsonBytes() {
    int letters =
        exchangeName.length()
            + giver.value().length()
            + giverTeam.length()
            + taker.value().length()
            + machine.value().length();
    return FIXED_BYTES + MAX_BYTES_PER_CHAR * letters;
  }

  /** The giver's tasks are told to stop. */
  public CapacityTransfer toSaving() {
    return transitionTo(State.SAVING, since);
  }

  /** A replica of this job has the room, for the first time or after another's has ended. */
  public CapacityTransfer toTaken(JobId by) {
    return new CapacityTransfer(
        id,
        transitionTo(State.TAKEN, since).state,
        exchangeName,
        giver,
        giverTeam,
        stoppedTasks,
        by,
        resources,
        machine,
        demandLevel,
        since);
  }

  /**
   * Need is at the level of the lower one, if the room is used in place of another that was taken.
   */
  public CapacityTransfer withLowerDemandLevel(Optional<CapacityTransfer> other) {
    int least =
        other
            .map(CapacityTransfer::demandLevel)
            .filter(each -> each < demandLevel)
            .orElse(demandLevel);
    return new CapacityTransfer(
        id,
        state,
        exchangeName,
        giver,
        giverTeam,
        stoppedTasks,
        taker,
        resources,
        machine,
        least,
        since);
  }

  /** The room goes back to the giver from now on. */
  public CapacityTransfer toReturning(WallTime now) {
    return transitionTo(State.RETURNING, now);
  }

  /** Nothing is owed any more. */
  public CapacityTransfer toSettled() {
    return transitionTo(State.SETTLED, since);
  }

  /** The one place where the state changes. */
  private CapacityTransfer transitionTo(State next, WallTime at) {
    if (!ALLOWED_TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("take " + id + " from " + state + " to " + next);
    }
    return new CapacityTransfer(
        id,
        next,
        exchangeName,
        giver,
        giverTeam,
        stoppedTasks,
        taker,
        resources,
        machine,
        demandLevel,
        at);
  }
}
