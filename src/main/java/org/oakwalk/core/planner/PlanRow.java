package org.oakwalk.core.planner;

import java.util.List;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;

/** A row of the stored record of plans and of the statistics that they are based on. */
public sealed interface PlanRow extends SharedRow {
  /** Maximum length of a number in a JSON list, with its comma. */
  int MAX_NUMBER_BYTES = 20;

  /** Returns the maximum length of a text as JSON, where each character may be escaped. */
  private static int maxTextBytes(String text) {
    return 6 * text.length();
  }

  /**
   * The window of a dawn (a recurring deadline), as it was last planned.
   *
   * @param dawnName name of the dawn
   * @param opensAt start of the window
   * @param deadline end of the window
   * @param revisedAt time of the last revision
   * @param revisionCount number of revisions since the window opened
   * @param share planned fraction of each group's work; 1 if all of it will be completed
   * @param missingMachineHours missing capacity in machine hours
   * @param missingMachines number of additional machines that would supply the missing capacity
   * @param extraMachineSeconds for how long these machines would have to run; 0 if none is missing
   */
  record WindowRow(
      String dawnName,
      WallTime opensAt,
      WallTime deadline,
      WallTime revisedAt,
      int revisionCount,
      double share,
      double missingMachineHours,
      int missingMachines,
      long extraMachineSeconds)
      implements PlanRow {
    @Override
    public int maxJsonBytes() {
      return SHORT_ROW_BYTES + maxTextBytes(dawnName);
    }
  }

  /**
   * A group of jobs in a window.
   *
   * @param acceptedTasks tasks accepted for the window, including those completed in it
   * @param promisedTasks number of these that will be completed by the deadline
   * @param startBy planned start of the group
   * @param endBy planned end of the group
   * @param latestStart when its last task has to start to be done by the deadline
   * @param missingMachineHours capacity missing to complete all of them, in machine hours
   */
  record GroupRow(
      String dawnName,
      GroupKey key,
      int acceptedTasks,
      int promisedTasks,
      WallTime startBy,
      WallTime endBy,
      WallTime latestStart,
      double missingMachineHours)
      implements PlanRow {
    @Override
    public int maxJsonBytes() {
      return SHORT_ROW_BYTES + maxTextBytes(dawnName + key.team() + key.jobClass());
    }
  }

  /**
   * Run times of a job class relative to their estimates.
   *
   * @param histogram alternating values: run time in hundredths of the estimate, number of tasks
   */
  record RunTimeRow(String jobClass, List<Long> histogram) implements PlanRow {
    @Override
    public int maxJsonBytes() {
      return SHORT_ROW_BYTES + maxTextBytes(jobClass) + MAX_NUMBER_BYTES * histogram.size();
    }
  }

  /**
   * Arrivals of a team's job class between two deadlines.
   *
   * @param currentSlice number of the current slice, counted from the epoch
   * @param currentSeconds estimated task seconds that have arrived in it so far
   * @param meanEstimate moving average of the estimated run time of a task, in seconds
   * @param resources of one task
   * @param secondsBySlice usual task seconds by slice of the period; -1 where nothing is known
   */
  record ArrivalRow(
      String dawnName,
      String team,
      String jobClass,
      long currentSlice,
      long currentSeconds,
      double meanEstimate,
      Resources resources,
      List<Long> secondsBySlice)
      implements PlanRow {
    @Override
    public int maxJsonBytes() {
      return SHORT_ROW_BYTES
          + maxTextBytes(dawnName + team + jobClass)
          + MAX_NUMBER_BYTES * secondsBySlice.size();
    }
  }

  /**
   * Obtainable machines and reclaim rate of a machine pool.
   *
   * @param recentPeak decaying maximum of the machines that were up at once
   * @param observedHours machine hours observed, with exponential decay
   * @param reclaims machines that the cloud reclaimed in these hours, with the same decay
   */
  record CapacityRow(
      String type,
      String zone,
      boolean spot,
      double recentPeak,
      double observedHours,
      double reclaims)
      implements PlanRow {
    @Override
    public int maxJsonBytes() {
      return SHORT_ROW_BYTES + maxTextBytes(type + zone);
    }
  }
}
