package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.SchedulingMode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selects surplus machines to retire, and retiring machines to take back into use. */
final class ScaleDown {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleDown.class);

  private final Fleet fleet;
  private final Policy.CapacityPolicy policy;
  private final TimeSpan suspectAfter;

  ScaleDown(Fleet fleet, Policy.CapacityPolicy policy, TimeSpan suspectAfter) {
    this.fleet = fleet;
    this.policy = policy;
    this.suspectAfter = suspectAfter;
  }

  /** Takes up to {@code count} retiring machines of a type back into use; returns how many. */
  int reactivate(MachineType type, int count, MonotonicTime now) {
    return reactivate(type, machine -> true, count, now);
  }

  /** Same as {@link #reactivate(MachineType, int, MonotonicTime)}, for ordinary machines only. */
  int reactivateOrdinary(MachineType type, int count, MonotonicTime now) {
    return reactivate(type, machine -> !machine.spot(), count, now);
  }

  /**
   * Same as {@link #reactivate(MachineType, int, MonotonicTime)}, for one pool; ordinary machines
   * qualify for a spot pool as well.
   */
  int reactivate(BootTracker.RentalPool pool, int count, MonotonicTime now) {
    return fleet.machines().stream()
        .map(Machine::type)
        .filter(type -> type.name().equals(pool.type()))
        .findFirst()
        .map(
            type ->
                reactivate(
                    type,
                    machine ->
                        machine.zone().equals(pool.zone()) && (pool.spot() || !machine.spot()),
                    count,
                    now))
        .orElse(0);
  }

  private int reactivate(
      MachineType type, Predicate<Machine> filter, int count, MonotonicTime now) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name())
          && filter.test(machine)
          && machine.state() == Machine.State.UP
          && machine.schedulingMode() == SchedulingMode.RETIRING
          && !now.isPast(machine.lastReportAt(), suspectAfter)) {
        candidates.add(machine);
      }
    }
    // Machines that stay first, then cheap ones, then those that would take longest to empty, so
    // that nearly empty machines are returned.
    candidates.sort(
        Comparator.comparing((Machine machine) -> machine.removalPlanned() ? 1 : 0)
            .thenComparingDouble(machine -> type.price(machine.spot()))
            .thenComparing(Machine::expectedEmptyAt, Comparator.reverseOrder()));
    List<Machine> reactivated = candidates.subList(0, Math.min(count, candidates.size()));
    reactivated.forEach(machine -> machine.schedulingMode(SchedulingMode.ACTIVE));
    return reactivated.size();
  }

  /**
   * Retires machines that are no longer needed. They get no new tasks and are returned when their
   * last task has ended; without this, a load spread evenly over all machines would leave none
   * idle.
   */
  void retire(MachineType type, int surplus, int ordinarySurplus, MonotonicTime now) {
    int remaining = surplus - cordonPending(type, surplus);
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.type().name().equals(type.name())
          || machine.state() != Machine.State.UP
          || machine.schedulingMode() != SchedulingMode.ACTIVE) {
        continue;
      }
      if (!machine.receivesResponses()) {
        // The machine is empty because responses don't reach it, not for lack of tasks. This may
        // affect a whole zone, and the remaining machines have to compensate for it meanwhile.
        remaining--;
      } else if (now.isPast(machine.knownSince(), policy.idleTimeout())
          && !machine.holdsReplica()) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparing((Machine machine) -> machine.removalPlanned() ? 0 : 1)
            .thenComparingDouble(machine -> -type.price(machine.spot()))
            .thenComparing(Machine::expectedEmptyAt));
    int ordinaryRemaining = ordinarySurplus;
    for (Machine machine : candidates) {
      if (remaining > 0 && (machine.spot() || ordinaryRemaining > 0)) {
        remaining--;
        ordinaryRemaining -= machine.spot() ? 0 : 1;
        machine.schedulingMode(SchedulingMode.RETIRING);
        LOG.info("machine {} is surplus; retiring it", machine.id());
      }
    }
  }

  /**
   * Cordons machines that drain plans have already selected, in preference to retiring others;
   * returns how many.
   */
  private int cordonPending(MachineType type, int surplus) {
    int cordoned = 0;
    for (Machine machine : fleet.machines()) {
      if (cordoned < surplus
          && machine.schedulingMode() == SchedulingMode.DRAIN_PENDING
          && machine.type().name().equals(type.name())
          && machine.schedulingMode(SchedulingMode.CORDONED)) {
        cordoned++;
        LOG.info("machine {} is surplus; cordoning it for its drain plan", machine.id());
      }
    }
    return cordoned;
  }
}
