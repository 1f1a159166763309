package org.oakwalk.core.drain;

import java.util.Optional;
import org.oakwalk.core.job.JobSpec;

/**
 * Limits how many tasks of a team, or of one job class of a team, the scheduler may disrupt.
 *
 * @param jobClass the job class that is limited; all jobs of the team if empty
 * @param maxDown maximum number of tasks down at the same time; if below one, a share of the tasks
 *     that should be up
 * @param maxStopsPerHour maximum number of tasks stopped within any hour; unlimited if empty
 */
public record DisruptionBudget(
    String team, Optional<String> jobClass, double maxDown, Optional<Integer> maxStopsPerHour) {

  /** Unique name of the budget. */
  public String name() {
    return team + jobClass.map(name -> "." + name).orElse("");
  }

  /** Returns whether the budget applies to a job's tasks. */
  public boolean covers(JobSpec spec) {
    return spec.team().equals(team) && jobClass.map(spec.jobClass()::equals).orElse(true);
  }

  /** Maximum number of tasks down if {@code expected} tasks should be up. */
  int maxTasksDown(int expected) {
    return maxDown > 0 && maxDown < 1
        ? (int) Math.max(1, Math.floor(maxDown * expected))
        : (int) Math.floor(maxDown);
  }
}
