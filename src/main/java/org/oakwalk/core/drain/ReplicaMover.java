package org.oakwalk.core.drain;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves replicas. A task runs in one place only, so there is a gap; to keep it short the next host
 * is chosen and its room kept before the stop, and the start is ordered as soon as it is certain
 * that the task is gone.
 */
public final class ReplicaMover {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaMover.class);

  /** Life of a move. */
  enum State {
    /** The old place is told to stop; the new one keeps room. */
    STOPPING,
    /** The new place fell out meanwhile; whoever places tasks finds another one. */
    TARGET_LOST,
    /** It is ordered at the new place. */
    STARTING
  }

  private static final class ReplicaMove {
    final Placement source;
    final Machine target;
    final Moment startedAt;
    State state = State.STOPPING;

    ReplicaMove(Placement from, Machine to, Moment since) {
      this.source = from;
      this.target = to;
      this.startedAt = since;
    }

    /** The one place where the state changes. */
    void enter(State next) {
      if (state != State.STOPPING || next == State.STOPPING) {
        throw new IllegalStateException(
            "move of " + source.task() + " from " + state + " to " + next);
      }
      state = next;
    }
  }

  private final Fleet fleet;
  private final Quota quota;
  private final DisruptionLimiter disruptionLimiter;
  private final Outbox outbox;
  private final Span suspectAfter;
  private final Reserve capacityReserve;
  private final Map<TaskId, ReplicaMove> movesByTask = new LinkedHashMap<>();

  public ReplicaMover(
      Fleet fleet,
      Quota quota,
      DisruptionLimiter gate,
      Outbox outbox,
      Span suspectAfter,
      Reserve reserve) {
    this.capacityReserve = reserve;
    this.fleet = fleet;
    this.quota = quota;
    this.disruptionLimiter = gate;
    this.outbox = outbox;
    this.suspectAfter = suspectAfter;
  }

  /** How many replicas are on their way. */
  int moveCount() {
    return movesByTask.size();
  }

  /** Whether it has a task on its way, so that this task's wait is nobody else's matter. */
  boolean isMoving(TaskId task) {
    return movesByTask.containsKey(task);
  }

  /**
   * Moves a replica if there is a place for it and budgets allow; false if not now.
   *
   * @param anywhere whether a host that will itself be emptied later is better than none
   */
  boolean tryMove(Placement placement, boolean anywhere, Moment now) {
    if (placement.halting() || movesByTask.containsKey(placement.task())) {
      return true;
    }
    Machine to = findTarget(placement, anywhere, now);
    if (to == null || !disruptionLimiter.allows(List.of(placement))) {
      return false;
    }
    to.promise(placement.job().spec().room());
    movesByTask.put(placement.task(), new ReplicaMove(placement, to, now));
    LOG.info("task {} moves from {} to {}", placement.task(), placement.machine().id(), to.id());
    fleet.halt(placement, placement.job().spec().saveTime(), Fleet.Why.MOVED);
    return true;
  }

  /**
   * The best place: one that stays, where the image is, in the same zone, with most room left. A
   * job whose tasks' zones matter stays in its zone.
   */
  private Machine findTarget(Placement placement, boolean anywhere, Moment now) {
    JobSpec spec = placement.job().spec();
    Machine from = placement.machine();
    return fleet.machines().stream()
        .filter(machine -> machine != from && (anywhere || !machine.leavesSoon()))
        .filter(machine -> hasRoomFor(machine, spec, now))
        .filter(machine -> spec.allows(machine.type().name(), machine.zone(), machine.spot()))
        .filter(machine -> machine.zone().equals(from.zone()) || !spec.oneZone() && !spec.spread())
        .min(
            Comparator.comparingInt((Machine machine) -> machine.leavesSoon() ? 1 : 0)
                .thenComparingInt(machine -> machine.hasImage(spec.image()) ? 0 : 1)
                .thenComparingInt(machine -> machine.zone().equals(from.zone()) ? 0 : 1)
                .thenComparingDouble(machine -> machine.used().share(machine.type().room()))
                .thenComparing(Machine::id))
        .orElse(null);
  }

  /** What is free on a machine for what is moved: nothing of what is kept for others. */
  Room unreserved(Machine machine) {
    return capacityReserve.beyond(machine);
  }

  /** Whether a machine that is not to be emptied has room for a task now. */
  private boolean hasRoomFor(Machine machine, JobSpec spec, Moment now) {
    return machine.duty() == Duty.IN_USE
        && machine.takesTasks(now, suspectAfter)
        && spec.room().fits(unreserved(machine));
  }

  /** An attempt is surely on its machine no more: if it is moved, it starts at its next host. */
  public void placementEnded(Placement placement, Moment now) {
    ReplicaMove move = movesByTask.get(placement.task());
    if (move == null || move.source != placement || move.state != State.STOPPING) {
      return;
    }
    JobSpec spec = placement.job().spec();
    move.target.promiseEnds(spec.room());
    boolean starts =
        placement.job().open()
            && placement.job().isFree(placement.task().index())
            && hasRoomFor(move.target, spec, now)
            && !move.target.remembers(placement.task())
            && quota.allows(placement.job(), 1);
    move.enter(starts ? State.STARTING : State.TARGET_LOST);
    if (starts) {
      fleet.place(
          placement.job(),
          placement.task().index(),
          fleet.nextAttempt(),
          move.target,
          Span.millis(0),
          now);
    }
  }

  /** Looks which moves have come to an end, and which have lost their next host. */
  void tick(Moment now) {
    movesByTask
        .values()
        .removeIf(
            move -> {
              Placement at = fleet.placementOf(move.source.task()).orElse(null);
              if (move.state == State.STOPPING) {
                if (at == move.source && !move.target.takesTasks(now, suspectAfter)) {
                  // It hangs, died or is taken back: another place is found when the task is gone.
                  move.target.promiseEnds(move.source.job().spec().room());
                  move.enter(State.TARGET_LOST);
                }
                return false;
              }
              if (!move.source.job().open()) {
                return true;
              }
              if (at != null && at != move.source && at.state() == Placement.State.RUNNING) {
                outbox.measured(Effect.Measure.REPLICA_GAP, now.since(move.startedAt));
                return true;
              }
              return false;
            });
  }
}
