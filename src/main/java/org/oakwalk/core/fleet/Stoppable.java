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
public final class Stoppable {
  /** What decides who has to give way to whom. */
  public record Sort(
      String team, String jobClass, Priority priority, boolean service, boolean saves) {
    /** The sort of a job's tasks. */
    public static Sort of(JobSpec spec) {
      return new Sort(
          spec.team(),
          spec.jobClass(),
          spec.priority(),
          spec.service(),
          spec.checkpointInterval().millis() > 0);
    }

    // Asked for each task of the fleet when stops are planned; a record's own are ten times slower.
    @Override
    public int hashCode() {
      int flags = (service ? 1 : 0) + (saves ? 2 : 0) + 4 * priority.ordinal();
      return 31 * (31 * team.hashCode() + jobClass.hashCode()) + flags;
    }

    @Override
    public boolean equals(Object other) {
      return this == other
          || other instanceof Sort sort
              && priority == sort.priority
              && service == sort.service
              && saves == sort.saves
              && jobClass.equals(sort.jobClass)
              && team.equals(sort.team);
    }
  }

  private final Map<Sort, Map<Machine, Integer>> counts = new HashMap<>();
  private final Map<Machine, Integer> halting = new IdentityHashMap<>();

  void held(Placement placement) {
    counts
        .computeIfAbsent(placement.sort(), sort -> new IdentityHashMap<>())
        .merge(placement.machine(), 1, Integer::sum);
  }

  void halts(Placement placement) {
    if (!placement.halting() && placement.state() != Placement.State.OVER) {
      halting.merge(placement.machine(), 1, Integer::sum);
      less(placement);
    }
  }

  void lost(Placement placement) {
    if (placement.halting()) {
      less(halting, placement.machine());
    } else {
      less(placement);
    }
  }

  private void less(Placement placement) {
    counts.computeIfPresent(
        placement.sort(), (sort, on) -> less(on, placement.machine()).isEmpty() ? null : on);
  }

  private static Map<Machine, Integer> less(Map<Machine, Integer> counts, Machine machine) {
    counts.computeIfPresent(machine, (key, count) -> count > 1 ? count - 1 : null);
    return counts;
  }

  /** Whether some task is being stopped, so that its room comes free by itself. */
  public boolean anyHalting() {
    return !halting.isEmpty();
  }

  /** The sorts of which there is a task that is not being stopped, if they are wanted. */
  public Set<Sort> sorts(Predicate<Sort> wanted) {
    Set<Sort> found = new HashSet<>();
    for (Sort sort : counts.keySet()) {
      if (wanted.test(sort)) {
        found.add(sort);
      }
    }
    return found;
  }

  /** Machines with a task of one of these sorts, or with one that is being stopped. */
  public Set<Machine> concerned(Set<Sort> sorts) {
    Set<Machine> machines = Collections.newSetFromMap(new IdentityHashMap<>());
    machines.addAll(halting.keySet());
    sorts.forEach(sort -> machines.addAll(counts.getOrDefault(sort, Map.of()).keySet()));
    return machines;
  }

  /** Whether there is a task of such a sort. */
  public boolean any(Predicate<Sort> wanted) {
    return counts.keySet().stream().anyMatch(wanted);
  }
}
