package org.oakwalk.core.drain;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
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
 * Moves replicas between machines. A task runs on one machine at a time, so a move interrupts the
 * replica. To keep the gap short, the target is selected and its resources reserved before the
 * stop, and the start is ordered as soon as the old attempt has certainly ended.
 */
public final class ReplicaMover {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaMover.class);

  /** State of a move. */
  enum State {
    /** The old attempt has been told to stop; resources are reserved on the target. */
    STOPPING,
    /** The target is no longer usable; the regular placement selects another machine. */
    TARGET_LOST,
    /** The start on the target has been ordered. */
    STARTING
  }

  private static final class ReplicaMove {
    final Placement source;
    final Machine target;
    final MonotonicTime startedAt;
    State state = State.STOPPING;

    ReplicaMove(Placement source, Machine target, MonotonicTime startedAt) {
      this.source = source;
      this.target = target;
      this.startedAt = startedAt;
    }

    /** Changes the state; all changes are made here. */
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
  private final TimeSpan suspectAfter;
  private final CapacityReserve capacityReserve;
  private final Map<TaskId, ReplicaMove> movesByTask = new LinkedHashMap<>();

  public ReplicaMover(
      Fleet fleet,
      Quota quota,
      DisruptionLimiter disruptionLimiter,
      Outbox outbox,
      TimeSpan suspectAfter,
      CapacityReserve capacityReserve) {
    this.capacityReserve = capacityReserve;
    this.fleet = fleet;
    this.quota = quota;
    this.disruptionLimiter = disruptionLimiter;
    this.outbox = outbox;
    this.suspectAfter = suspectAfter;
  }

  /** Number of moves in progress. */
  int moveCount() {
    return movesByTask.size();
  }

  /** Returns whether a task is being moved; its wait then does not count as a lack of capacity. */
  boolean isMoving(TaskId task) {
    return movesByTask.containsKey(task);
  }

  /**
   * Starts to move a replica if there is a target and the budgets allow it. Returns false if the
   * move is not possible now.
   *
   * @param allowRemovalPlanned whether a machine that will be drained later is acceptable as a
   *     target
   */
  boolean tryMove(Placement placement, boolean allowRemovalPlanned, MonotonicTime now) {
    if (placement.halting() || movesByTask.containsKey(placement.task())) {
      return true;
    }
    Machine target = findTarget(placement, allowRemovalPlanned, now);
    if (target == null || !disruptionLimiter.allows(List.of(placement))) {
      return false;
    }
    target.reserve(placement.job().spec().resources());
    movesByTask.put(placement.task(), new ReplicaMove(placement, target, now));
    LOG.info(
        "moving task {} from {} to {}", placement.task(), placement.machine().id(), target.id());
    fleet.halt(placement, placement.job().spec().checkpointDuration(), Fleet.StopReason.MOVED);
    return true;
  }

  /**
   * Returns the best target: preferably a machine that stays, has the image, is in the same zone
   * and has the lowest utilization. Tasks of jobs with zone constraints stay in their zone.
   */
  private Machine findTarget(Placement placement, boolean allowRemovalPlanned, MonotonicTime now) {
    JobSpec spec = placement.job().spec();
    Machine source = placement.machine();
    return fleet.machines().stream()
        .filter(machine -> machine != source && (allowRemovalPlanned || !machine.removalPlanned()))
        .filter(machine -> hasCapacityFor(machine, spec, now))
        .filter(machine -> spec.allows(machine.type().name(), machine.zone(), machine.spot()))
        .filter(
            machine -> machine.zone().equals(source.zone()) || !spec.oneZone() && !spec.spread())
        .min(
            Comparator.comparingInt((Machine machine) -> machine.removalPlanned() ? 1 : 0)
                .thenComparingInt(machine -> machine.hasImage(spec.image()) ? 0 : 1)
                .thenComparingInt(machine -> machine.zone().equals(source.zone()) ? 0 : 1)
                .thenComparingDouble(
                    machine -> machine.used().dominantShare(machine.type().resources()))
                .thenComparing(Machine::id))
        .orElse(null);
  }

  /** Resources of a machine that are free for moved tasks and not reserved for other jobs. */
  Resources unreserved(Machine machine) {
    return capacityReserve.unreserved(machine);
  }

  /** Returns whether a machine that is not being drained has room for a task now. */
  private boolean hasCapacityFor(Machine machine, JobSpec spec, MonotonicTime now) {
    return machine.schedulingMode() == SchedulingMode.ACTIVE
        && machine.acceptsTasks(now, suspectAfter)
        && spec.resources().fitsInto(unreserved(machine));
  }

  /**
   * Called when an attempt has certainly ended; a task that is being moved starts on its target.
   */
  public void placementEnded(Placement placement, MonotonicTime now) {
    ReplicaMove move = movesByTask.get(placement.task());
    if (move == null || move.source != placement || move.state != State.STOPPING) {
      return;
    }
    JobSpec spec = placement.job().spec();
    move.target.releaseReservation(spec.resources());
    boolean canStart =
        placement.job().isOpen()
            && placement.job().isUnassigned(placement.task().index())
            && hasCapacityFor(move.target, spec, now)
            && !move.target.refusesNewAttempt(placement.task())
            && quota.allows(placement.job(), 1);
    move.enter(canStart ? State.STARTING : State.TARGET_LOST);
    if (canStart) {
      fleet.place(
          placement.job(),
          placement.task().index(),
          fleet.nextAttempt(),
          move.target,
          TimeSpan.millis(0),
          now);
    }
  }

  /** Removes finished moves, and detects moves whose target is no longer usable. */
  void tick(MonotonicTime now) {
    movesByTask
        .values()
        .removeIf(
            move -> {
              Placement current = fleet.placementOf(move.source.task()).orElse(null);
              if (move.state == State.STOPPING) {
                if (current == move.source && !move.target.acceptsTasks(now, suspectAfter)) {
                  // The target is silent, failed or reclaimed: another one is selected once the
                  // task has ended.
                  move.target.releaseReservation(move.source.job().spec().resources());
                  move.enter(State.TARGET_LOST);
                }
                return false;
              }
              if (!move.source.job().isOpen()) {
                return true;
              }
              if (current != null
                  && current != move.source
                  && current.state() == Placement.State.RUNNING) {
                outbox.recordDuration(Effect.DurationMetric.REPLICA_GAP, now.since(move.startedAt));
                return true;
              }
              return false;
            });
  }
}
