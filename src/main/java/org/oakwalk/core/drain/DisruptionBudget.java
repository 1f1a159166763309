package org.oakwalk.core.drain;

import java.util.Optional;
import org.oakwalk.core.job.JobSpec;

/**
 * What a team, or a class of its jobs, may lose by stops of our own.
 *
 * @param jobClass the class it is about; all of the team's if empty
 * @param maxDown how many tasks may be down at once; a share of those that should be up if below
 *     one
 * @param maxStopsPerHour how many tasks may be stopped within any hour; empty if as many as need be
 */
public record DisruptionBudget(
    String team, Optional<String> jobClass, double maxDown, Optional<Integer> maxStopsPerHour) {

  /** Tells it from others. */
  public String name() {
    return team + jobClass.map(name -> "." + name).orElse("");
  }

  /** Whether a job's tasks count. */
  public boolean covers(JobSpec spec) {
    return spec.team().equals(team) && jobClass.map(spec.jobClass()::equals).orElse(true);
  }

  /** How many tasks may be down, of so many that should be up. */
  int maxTasksDown(int expected) {
    return maxDown > 0 && maxDown < 1
        ? (int) Math.max(1, Math.floor(maxDown * expected))
        : (int) Math.floor(maxDown);
  }
}
