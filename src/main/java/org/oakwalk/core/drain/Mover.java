package org.oakwalk.core.drain;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.CapacityReserve;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves replicas. A task runs in one place only, so there is a gap; to keep it short the next host
 * is chosen and its room kept before the stop, and the start is ordered as soon as it is certain
 * that the task is gone.
 */
public final class Mover {
  private static final Logger LOG = LoggerFactory.getLogger(Mover.class);

  /** Life of a move. */
  enum State {
    /** The old place is told to stop; the new one keeps room. */
    STOPPING,
    /** The new place fell out meanwhile; whoever places tasks finds another one. */
    HOMELESS,
    /** It is ordered at the new place. */
    STARTING
  }

  private static final class Move {
    final Placement from;
    final Machine to;
    final Moment since;
    State state = State.STOPPING;

    Move(Placement from, Machine to, Moment since) {
      this.from = from;
      this.to = to;
      this.since = since;
    }

    /** The one place where the state changes. */
    void enter(State next) {
      if (state != State.STOPPING || next == State.STOPPING) {
        throw new IllegalStateException(
            "move of " + from.task() + " from " + state + " to " + next);
      }
      state = next;
    }
  }

  private final Fleet fleet;
  private final Quota quota;
  private final Gate gate;
  private final Outbox outbox;
  private final Span suspectAfter;
  private final CapacityReserve reserve;
  private final Map<TaskId, Move> moves = new LinkedHashMap<>();

  public Mover(
      Fleet fleet,
      Quota quota,
      Gate gate,
      Outbox outbox,
      Span suspectAfter,
      CapacityReserve reserve) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.quota = quota;
    this.gate = gate;
    this.outbox = outbox;
    this.suspectAfter = suspectAfter;
  }

  /** How many replicas are on their way. */
  int underWay() {
    return moves.size();
  }

  /** Whether it has a task on its way, so that this task's wait is nobody else's matter. */
  boolean moves(TaskId task) {
    return moves.containsKey(task);
  }

  /**
   * Moves a replica if there is a place for it and budgets allow; false if not now.
   *
   * @param anywhere whether a host that will itself be emptied later is better than none
   */
  boolean move(Placement placement, boolean anywhere, Moment now) {
    if (placement.halting() || moves.containsKey(placement.task())) {
      return true;
    }
    Machine to = target(placement, anywhere, now);
    if (to == null || !gate.allows(List.of(placement))) {
      return false;
    }
    to.reserve(placement.job().spec().resources());
    moves.put(placement.task(), new Move(placement, to, now));
    LOG.info("task {} moves from {} to {}", placement.task(), placement.machine().id(), to.id());
    fleet.halt(placement, placement.job().spec().checkpointDuration(), Fleet.StopReason.MOVED);
    return true;
  }

  /**
   * The best place: one that stays, where the image is, in the same zone, with most room left. A
   * job whose tasks' zones matter stays in its zone.
   */
  private Machine target(Placement placement, boolean anywhere, Moment now) {
    JobSpec spec = placement.job().spec();
    Machine from = placement.machine();
    return fleet.machines().stream()
        .filter(machine -> machine != from && (anywhere || !machine.removalPlanned()))
        .filter(machine -> takes(machine, spec, now))
        .filter(machine -> spec.allows(machine.type().name(), machine.zone(), machine.spot()))
        .filter(machine -> machine.zone().equals(from.zone()) || !spec.oneZone() && !spec.spread())
        .min(
            Comparator.comparingInt((Machine machine) -> machine.removalPlanned() ? 1 : 0)
                .thenComparingInt(machine -> machine.hasImage(spec.image()) ? 0 : 1)
                .thenComparingInt(machine -> machine.zone().equals(from.zone()) ? 0 : 1)
                .thenComparingDouble(machine -> machine.used().dominantShare(machine.type().room()))
                .thenComparing(Machine::id))
        .orElse(null);
  }

  /** What is free on a machine for what is moved: nothing of what is kept for others. */
  Resources free(Machine machine) {
    return reserve.unreserved(machine);
  }

  /** Whether a machine that is not to be emptied has room for a task now. */
  private boolean takes(Machine machine, JobSpec spec, Moment now) {
    return machine.schedulingMode() == SchedulingMode.ACTIVE
        && machine.acceptsTasks(now, suspectAfter)
        && spec.resources().fitsInto(free(machine));
  }

  /** An attempt is surely on its machine no more: if it is moved, it starts at its next host. */
  public void left(Placement placement, Moment now) {
    Move move = moves.get(placement.task());
    if (move == null || move.from != placement || move.state != State.STOPPING) {
      return;
    }
    JobSpec spec = placement.job().spec();
    move.to.releaseReservation(spec.resources());
    boolean starts =
        placement.job().isOpen()
            && placement.job().isUnassigned(placement.task().index())
            && takes(move.to, spec, now)
            && !move.to.refusesNewAttempt(placement.task())
            && quota.allows(placement.job(), 1);
    move.enter(starts ? State.STARTING : State.HOMELESS);
    if (starts) {
      fleet.place(
          placement.job(),
          placement.task().index(),
          fleet.nextAttempt(),
          move.to,
          Span.millis(0),
          now);
    }
  }

  /** Looks which moves have come to an end, and which have lost their next host. */
  void tick(Moment now) {
    moves
        .values()
        .removeIf(
            move -> {
              Placement at = fleet.placementOf(move.from.task()).orElse(null);
              if (move.state == State.STOPPING) {
                if (at == move.from && !move.to.acceptsTasks(now, suspectAfter)) {
                  // It hangs, died or is taken back: another place is found when the task is gone.
                  move.to.releaseReservation(move.from.job().spec().resources());
                  move.enter(State.HOMELESS);
                }
                return false;
              }
              if (!move.from.job().isOpen()) {
                return true;
              }
              if (at != null && at != move.from && at.state() == Placement.State.RUNNING) {
                outbox.recordDuration(Effect.DurationMetric.REPLICA_GAP, now.since(move.since));
                return true;
              }
              return false;
            });
  }
}
