package org.oakwalk.core.fleet;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;

/**
 * Number of placements by preemption key and machine that are not being stopped, updated with each
 * change. It shows at once when preemption can't help a job, and which few machines have
 * candidates, where a search would visit every task of the fleet for each waiting job.
 */
public final class PreemptionIndex {
  /**
   * Properties of a task that decide which jobs may preempt it.
   *
   * @param service whether it is a replica of a service
   * @param checkpoints whether it saves its progress periodically
   */
  public record PreemptionKey(
      String team, String jobClass, Priority priority, boolean service, boolean checkpoints) {
    /** The key of a job's tasks. */
    public static PreemptionKey of(JobSpec spec) {
      return new PreemptionKey(
          spec.team(),
          spec.jobClass(),
          spec.priority(),
          spec.service(),
          spec.checkpointInterval().millis() > 0);
    }

    // Evaluated for each task of the fleet when preemption is planned; the methods generated for a
    // record are ten times slower.
    @Override
    public int hashCode() {
      int flags = (service ? 1 : 0) + (checkpoints ? 2 : 0) + 4 * priority.ordinal();
      return 31 * (31 * team.hashCode() + jobClass.hashCode()) + flags;
    }

    @Override
    public boolean equals(Object other) {
      return this == other
          || other instanceof PreemptionKey key
              && priority == key.priority
              && service == key.service
              && checkpoints == key.checkpoints
              && jobClass.equals(key.jobClass)
              && team.equals(key.team);
    }
  }

  private final Map<PreemptionKey, Map<Machine, Integer>> counts = new HashMap<>();
  private final Map<Machine, Integer> halting = new IdentityHashMap<>();

  void added(Placement placement) {
    counts
        .computeIfAbsent(placement.preemptionKey(), key -> new IdentityHashMap<>())
        .merge(placement.machine(), 1, Integer::sum);
  }

  void haltRequested(Placement placement) {
    if (!placement.halting() && placement.state() != Placement.State.ENDED) {
      halting.merge(placement.machine(), 1, Integer::sum);
      decrement(placement);
    }
  }

  void removed(Placement placement) {
    if (placement.halting()) {
      decrement(halting, placement.machine());
    } else {
      decrement(placement);
    }
  }

  private void decrement(Placement placement) {
    counts.computeIfPresent(
        placement.preemptionKey(),
        (key, machines) -> decrement(machines, placement.machine()).isEmpty() ? null : machines);
  }

  private static Map<Machine, Integer> decrement(Map<Machine, Integer> counts, Machine machine) {
    counts.computeIfPresent(machine, (key, count) -> count > 1 ? count - 1 : null);
    return counts;
  }

  /** Whether some task is being stopped already, so that its room will be freed. */
  public boolean anyHalting() {
    return !halting.isEmpty();
  }

  /** The keys accepted by the predicate of which there is a task that is not being stopped. */
  public Set<PreemptionKey> keys(Predicate<PreemptionKey> wanted) {
    Set<PreemptionKey> found = new HashSet<>();
    for (PreemptionKey key : counts.keySet()) {
      if (wanted.test(key)) {
        found.add(key);
      }
    }
    return found;
  }

  /** Machines with a task of one of these keys, or with one that is being stopped. */
  public Set<Machine> machinesWith(Set<PreemptionKey> keys) {
    Set<Machine> machines = Collections.newSetFromMap(new IdentityHashMap<>());
    machines.addAll(halting.keySet());
    keys.forEach(key -> machines.addAll(counts.getOrDefault(key, Map.of()).keySet()));
    return machines;
  }

  /** Whether the predicate accepts the key of a task that is not being stopped. */
  public boolean anyMatch(Predicate<PreemptionKey> wanted) {
    return counts.keySet().stream().anyMatch(wanted);
  }
}
