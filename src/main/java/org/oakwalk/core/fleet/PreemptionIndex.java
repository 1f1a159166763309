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
 * How many placements of each sort are on which machines and not being stopped, kept with every
 * change. It tells at once when a stop would make no room for a job, and which few machines are
 * worth a look, where a search would look at every task of the fleet for each job that waits.
 */
public final class PreemptionIndex {
  /** What decides who has to give way to whom. */
  public record PreemptionKey(
      String team, String jobClass, Priority priority, boolean service, boolean checkpoints) {
    /** The sort of a job's tasks. */
    public static PreemptionKey of(JobSpec spec) {
      return new PreemptionKey(
          spec.team(),
          spec.jobClass(),
          spec.priority(),
          spec.service(),
          spec.checkpointEvery().millis() > 0);
    }

    // Asked for each task of the fleet when stops are planned; a record's own are ten times slower.
    @Override
    public int hashCode() {
      int flags = (service ? 1 : 0) + (checkpoints ? 2 : 0) + 4 * priority.ordinal();
      return 31 * (31 * team.hashCode() + jobClass.hashCode()) + flags;
    }

    @Override
    public boolean equals(Object other) {
      return this == other
          || other instanceof PreemptionKey sort
              && priority == sort.priority
              && service == sort.service
              && checkpoints == sort.checkpoints
              && jobClass.equals(sort.jobClass)
              && team.equals(sort.team);
    }
  }

  private final Map<PreemptionKey, Map<Machine, Integer>> counts = new HashMap<>();
  private final Map<Machine, Integer> halting = new IdentityHashMap<>();

  void added(Placement placement) {
    counts
        .computeIfAbsent(placement.preemptionKey(), sort -> new IdentityHashMap<>())
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
        (sort, on) -> decrement(on, placement.machine()).isEmpty() ? null : on);
  }

  private static Map<Machine, Integer> decrement(Map<Machine, Integer> counts, Machine machine) {
    counts.computeIfPresent(machine, (key, count) -> count > 1 ? count - 1 : null);
    return counts;
  }

  /** Whether some task is being stopped, so that its room comes free by itself. */
  public boolean anyHalting() {
    return !halting.isEmpty();
  }

  /** The sorts of which there is a task that is not being stopped, if they are wanted. */
  public Set<PreemptionKey> keys(Predicate<PreemptionKey> wanted) {
    Set<PreemptionKey> found = new HashSet<>();
    for (PreemptionKey sort : counts.keySet()) {
      if (wanted.test(sort)) {
        found.add(sort);
      }
    }
    return found;
  }

  /** Machines with a task of one of these sorts, or with one that is being stopped. */
  public Set<Machine> machinesWith(Set<PreemptionKey> sorts) {
    Set<Machine> machines = Collections.newSetFromMap(new IdentityHashMap<>());
    machines.addAll(halting.keySet());
    sorts.forEach(sort -> machines.addAll(counts.getOrDefault(sort, Map.of()).keySet()));
    return machines;
  }

  /** Whether there is a task of such a sort. */
  public boolean anyMatch(Predicate<PreemptionKey> wanted) {
    return counts.keySet().stream().anyMatch(wanted);
  }
}
