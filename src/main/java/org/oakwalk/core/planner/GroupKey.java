package org.oakwalk.core.planner;

import org.oakwalk.core.job.JobSpec;

/**
 * What is planned as one: a team's jobs of a class that are alike in length and size.
 *
 * @param runTimeBand band of the guessed run time of a task: each is four times as long as the one
 *     below
 * @param taskCountBand band of the number of tasks: each is ten times as large as the one below
 */
public record GroupKey(String team, String jobClass, int runTimeBand, int taskCountBand) {
  /** Stands for what is left over once there are as many groups as a plan may have. */
  static final GroupKey OTHERS = new GroupKey("", "", -1, -1);

  private static final int MAX_BAND = 9;

  public static GroupKey of(JobSpec spec) {
    double seconds = Math.max(1, spec.guess().asSeconds());
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
