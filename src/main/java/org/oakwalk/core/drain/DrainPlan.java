package org.oakwalk.core.drain;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Machine;

/**
 * What operators want done with some of the machines. Empty sets select all.
 *
 * @param name tells it from other plans; letters, digits, dashes
 * @param version the higher one of two plans of a name counts
 * @param spotFilter spot or ordinary machines only, or both
 * @param concurrency how many machines may be on their way out at once; a share of all that it
 *     selects if below one
 * @param surge how many machines may be held beyond what is wanted, while others are on their way
 *     out
 * @param selectionInterval time between two choices of machines
 * @param drainTimeout how long work may run out on a machine before it is stopped
 * @param maxReplicaWait the plan waits as long as some replica has waited longer than this
 * @param maxWorkWait and as long as other work has waited longer than this
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
    Span selectionInterval,
    Span drainTimeout,
    Span maxReplicaWait,
    Span maxWorkWait) {

  /** Whether anything is to be done at present. */
  public enum Status {
    RUNNING,
    PAUSED,
    ENDED
  }

  /** What becomes of a machine's place. */
  public enum DrainMode {
    /** Another machine is rented for it, and machines rented later are left alone. */
    REPLACE,
    /** None is rented where the plan selects, and all machines there go. */
    RETURN
  }

  /** Whether it is about a machine, whenever that was rented. */
  public boolean selects(Machine machine) {
    return matches(machine.zone(), machine.type().name(), machine.spot())
        && (machines.isEmpty() || machines.contains(machine.id().value()));
  }

  /**
   * Whether it is about a machine, if a plan that replaces only wants those named up to {@code
   * newest}: the cloud names machines in the order in which it created them.
   */
  public boolean selects(Machine machine, MachineId newest) {
    return selects(machine) && (mode == DrainMode.RETURN || machine.id().compareTo(newest) <= 0);
  }

  /** Whether machines of this sort are not to be rented while it runs. */
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

  /** How many machines may be on their way out at once, of so many. */
  int maxInProgress(int selected) {
    int atOnce =
        concurrency < 1 ? (int) Math.max(1, Math.floor(concurrency * selected)) : (int) concurrency;
    return Math.min(atOnce, surge);
  }
}
