package org.oakwalk.core.drain;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Machine;

/**
 * A drain that operators have declared for a set of machines. An empty set matches everything.
 *
 * @param name unique name; letters, digits, dashes
 * @param version of two plans with the same name, the one with the higher version applies
 * @param spotFilter true for spot machines only, false for ordinary ones only, empty for both
 * @param mode what happens to the capacity of a drained machine
 * @param concurrency maximum number of machines being drained at the same time; if below one, a
 *     share of the selected machines
 * @param surge maximum number of additional machines that may be held while others are drained
 * @param selectionInterval minimum time between two selections of machines
 * @param drainTimeout how long tasks may continue on a machine before they are stopped
 * @param maxReplicaWait the plan is paused while any replica has waited longer than this
 * @param maxWorkWait the plan is paused while any other task has waited longer than this
 */
public record DrainPlan(
    String name,
    long version,
    Status status,
    Set<String> zones,
    Set<String> types,
    Optional<Boolean> spotFilter,
    Set<String> machines,
    DrainMode mode,
    double concurrency,
    int surge,
    TimeSpan selectionInterval,
    TimeSpan drainTimeout,
    TimeSpan maxReplicaWait,
    TimeSpan maxWorkWait) {

  /** Declared state of a plan. */
  public enum Status {
    RUNNING,
    PAUSED,
    ENDED
  }

  /** What happens to the capacity of a drained machine. */
  public enum DrainMode {
    /** A replacement is rented; machines rented after the plan was stored are not drained. */
    REPLACE,
    /** All matching machines are returned, and none that match are rented. */
    RETURN
  }

  /** Returns whether the plan matches a machine, regardless of when that was rented. */
  public boolean selects(Machine machine) {
    return matches(machine.zone(), machine.type().name(), machine.spot())
        && (machines.isEmpty() || machines.contains(machine.id().value()));
  }

  /**
   * Returns whether the plan matches a machine. A plan that replaces machines matches only ids up
   * to {@code newest}: the cloud assigns ids in order of creation.
   */
  public boolean selects(Machine machine, MachineId newest) {
    return selects(machine) && (mode == DrainMode.RETURN || machine.id().compareTo(newest) <= 0);
  }

  /** Returns whether the plan currently forbids renting machines of a pool. */
  public boolean forbidsRenting(String zone, String type, boolean spot) {
    return status == Status.RUNNING
        && mode == DrainMode.RETURN
        && machines.isEmpty()
        && matches(zone, type, spot);
  }

  private boolean matches(String zone, String type, boolean spot) {
    return (zones.isEmpty() || zones.contains(zone))
        && (types.isEmpty() || types.contains(type))
        && (spotFilter.isEmpty() || spotFilter.get() == spot);
  }

  /** Maximum number of machines being drained at the same time, out of {@code selected}. */
  int maxInProgress(int selected) {
    int limit =
        concurrency < 1 ? (int) Math.max(1, Math.floor(concurrency * selected)) : (int) concurrency;
    return Math.min(limit, surge);
  }
}
