package org.oakwalk.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.drain.Budget;
import org.oakwalk.core.job.JobSpec;

/**
 * Checks budgets of disruption by what truly runs: a task that was told to stop, by nobody's need
 * but our own, is down until it runs again, is done, or nobody wants it any more. It knows nothing
 * of what leaders believe.
 */
final class BudgetRule {
  private final World world;
  private final Map<TaskId, JobSpec> stopped = new HashMap<>();
  private final Map<Budget, Integer> stops = new HashMap<>();
  private final Map<TaskId, JobSpec> begun = new HashMap<>();

  BudgetRule(World world) {
    this.world = world;
  }

  /** A worker stops a running task since it was told to; returns what is broken by it. */
  Optional<String> stopped(TaskId task, JobSpec spec) {
    stopped.put(task, spec);
    for (Budget budget : world.scenarioPolicy.budgets()) {
      if (!budget.covers(spec)) {
        continue;
      }
      int count = stops.merge(budget, 1, Integer::sum);
      if (budget.stopsPerHour().isPresent() && count > budget.stopsPerHour().get()) {
        return Optional.of(budget.name() + " has been stopped " + count + " times");
      }
      long down = stopped.values().stream().filter(budget::covers).count();
      long expected = begun.values().stream().filter(budget::covers).count();
      double most =
          budget.down() > 0 && budget.down() < 1
              ? Math.max(1, Math.floor(budget.down() * expected))
              : budget.down();
      if (down > most) {
        return Optional.of(budget.name() + " has " + down + " tasks down by our own doing");
      }
    }
    return Optional.empty();
  }

  void started(TaskId task, JobSpec spec) {
    begun.put(task, spec);
    stopped.remove(task);
  }

  void completed(TaskId task) {
    begun.remove(task);
    stopped.remove(task);
  }

  void cancelled(JobId job) {
    begun.keySet().removeIf(task -> task.job().equals(job));
    stopped.keySet().removeIf(task -> task.job().equals(job));
  }
}
