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
 * Transfer of room on one machine from a batch job (the giver) to one replica of a service (the
 * taker), from the stored intent until the room is given back. Immutable; each state change returns
 * a new instance. A stored transfer is sufficient to continue with it: no step depends on state
 * that only the previous leader had in memory. Its stored form is called {@code take}.
 *
 * @param exchangeName the name of the exchange terms that apply
 * @param giver the job that the room is taken from
 * @param giverTeam the team of the giver
 * @param stoppedTasks the number of the giver's tasks that are stopped
 * @param taker the job that the room is taken for
 * @param resources the resources that the replica needs
 * @param machine the machine that has the room
 * @param demandLevel the number of the takers' replicas, this one included, when the room was
 *     taken; demand has fallen below this level when there are fewer
 * @param since when the transfer was intended, or when its return began
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

  /** State of a transfer. */
  public enum State {
    /** The intent is stored or being stored; this leader has not ordered any stop. */
    INTENDED,
    /** The giver's tasks have been ordered to stop and are writing checkpoints. */
    SAVING,
    /** The room belongs to the taker. */
    TAKEN,
    /** The room is reserved for the giver. */
    RETURNING,
    /** The transfer is over and is removed from the record. */
    SETTLED
  }

  /** Upper bound on the stored bytes of the field names and numbers. */
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

  /** Returns whether the giver's tasks are still to be stopped or are being stopped. */
  public boolean isPending() {
    return state == State.INTENDED || state == State.SAVING;
  }

  @Override
  public int maxJsonBytes() {
    int characters =
        exchangeName.length()
            + giver.value().length()
            + giverTeam.length()
            + taker.value().length()
            + machine.value().length();
    return FIXED_BYTES + MAX_BYTES_PER_CHAR * characters;
  }

  /** Returns this transfer after the giver's tasks have been ordered to stop. */
  public CapacityTransfer toSaving() {
    return transitionTo(State.SAVING, since);
  }

  /** Returns this transfer with its room held by the given job, at first or after another taker. */
  public CapacityTransfer toTaken(JobId newTaker) {
    return new CapacityTransfer(
        id,
        transitionTo(State.TAKEN, since).state,
        exchangeName,
        giver,
        giverTeam,
        stoppedTasks,
        newTaker,
        resources,
        machine,
        demandLevel,
        since);
  }

  /**
   * Returns this transfer with the lower of the two demand levels, for room that is used in place
   * of another transfer's room.
   */
  public CapacityTransfer withLowerDemandLevel(Optional<CapacityTransfer> other) {
    int lowest =
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
        lowest,
        since);
  }

  /** Returns this transfer with its room being given back to the giver. */
  public CapacityTransfer toReturning(WallTime now) {
    return transitionTo(State.RETURNING, now);
  }

  /** Returns this transfer as settled. */
  public CapacityTransfer toSettled() {
    return transitionTo(State.SETTLED, since);
  }

  /** Changes the state; all other methods change it through this one. */
  private CapacityTransfer transitionTo(State next, WallTime newSince) {
    if (!ALLOWED_TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException(
          "illegal transition of transfer " + id + " from " + state + " to " + next);
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
        newSince);
  }
}
