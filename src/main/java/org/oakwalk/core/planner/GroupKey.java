package org.oakwalk.core.planner;

import org.oakwalk.core.job.JobSpec;

/**
 * Identifies a group of jobs that are planned together: jobs of one team and class that are similar
 * in run time and number of tasks.
 *
 * @param runTimeBand band of the estimated run time of a task: each is four times as long as the
 *     one below
 * @param taskCountBand band of the number of tasks: each is ten times as large as the one below
 */
public record GroupKey(String team, String jobClass, int runTimeBand, int taskCountBand) {
  /**
   * Key of the group that combines the smallest groups when there are more than a plan may have.
   */
  static final GroupKey OTHERS = new GroupKey("", "", -1, -1);

  private static final int MAX_BAND = 9;

  public static GroupKey of(JobSpec spec) {
    double seconds = Math.max(1, spec.estimatedRunTime().asSeconds());
    return new GroupKey(
        spec.team(),
        spec.jobClass(),
        (int) Math.min(MAX_BAND, Math.log(seconds) / Math.log(4)),
        (int) Math.min(MAX_BAND, Math.log10(Math.max(1, spec.tasks()))));
  }

  @Override
  public String toString() {
    return equals(OTHERS)
        ? "others"
        : team + "/" + jobClass + "/" + runTimeBand + "/" + taskCountBand;
  }
}
