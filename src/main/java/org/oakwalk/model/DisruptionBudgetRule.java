package org.oakwalk.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.drain.DisruptionBudget;
import org.oakwalk.core.job.JobSpec;

/**
 * Checks disruption budgets against the tasks that actually run on the simulated machines,
 * independent of the leaders' records. A task that a leader stops voluntarily is down until it runs
 * again, completes, or its job is cancelled.
 */
final class DisruptionBudgetRule {
  private final World world;
  private final Map<TaskId, JobSpec> downTasks = new HashMap<>();
  private final Map<DisruptionBudget, Integer> stopCounts = new HashMap<>();
  private final Map<TaskId, JobSpec> expectedTasks = new HashMap<>();

  DisruptionBudgetRule(World world) {
    this.world = world;
  }

  /**
   * Records that a worker stopped a running task on a leader's order, and returns a description of
   * the exceeded budget, if any.
   */
  Optional<String> taskStopped(TaskId task, JobSpec spec) {
    downTasks.put(task, spec);
    for (DisruptionBudget budget : world.scenarioPolicy.budgets()) {
      if (!budget.covers(spec)) {
        continue;
      }
      int count = stopCounts.merge(budget, 1, Integer::sum);
      if (budget.maxStopsPerHour().isPresent() && count > budget.maxStopsPerHour().get()) {
        return Optional.of(
            budget.name() + " has " + count + " voluntary stops, more than it allows per hour");
      }
      long down = downTasks.values().stream().filter(budget::covers).count();
      long expected = expectedTasks.values().stream().filter(budget::covers).count();
      double maxDown =
          budget.maxDown() > 0 && budget.maxDown() < 1
              ? Math.max(1, Math.floor(budget.maxDown() * expected))
              : budget.maxDown();
      if (down > maxDown) {
        return Optional.of(
            budget.name()
                + " has "
                + down
                + " tasks down by voluntary stops, "
                + maxDown
                + " allowed");
      }
    }
    return Optional.empty();
  }

  /** Records that a task runs, for the first time or again after a stop. */
  void taskStarted(TaskId task, JobSpec spec) {
    expectedTasks.put(task, spec);
    downTasks.remove(task);
  }

  void taskCompleted(TaskId task) {
    expectedTasks.remove(task);
    downTasks.remove(task);
  }

  void jobCancelled(JobId job) {
    expectedTasks.keySet().removeIf(task -> task.job().equals(job));
    downTasks.keySet().removeIf(task -> task.job().equals(job));
  }
}
