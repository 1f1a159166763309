package org.oakwalk.core.planner;

import java.util.List;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.shared.SharedRow;

/** A line of the record that leaders keep of their plans and of what these rest on. */
public sealed interface PlanRow extends SharedRow {
  /** Digits of a number in a list, with its comma. */
  int MAX_NUMBER_BYTES = 20;

  /** Bytes of text as JSON at most. */
  private static int maxTextBytes(String text) {
    return 6 * text.length();
  }

  /**
   * A dawn's window, as it was planned last.
   *
   * @param revised when
   * @param revisions how many times since it opened
   * @param share the part of each group's work that is planned to be done; 1 if all of it is
   * @param missing what is missing, in hours of a whole machine
   * @param machines so many more machines would mend it, for {@code seconds}
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
   * A group of jobs in that window.
   *
   * @param seen tasks that have been accepted for it, done ones of the window included
   * @param promised so many of them will be done by dawn
   * @param startBy by when all of them should have been started
   * @param endBy by when they should be done
   * @param lastStart when the last of them has to be started to be done by dawn
   * @param missing what is missing for all of them, in hours of a whole machine
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
   * How run times of a class compare with their guesses.
   *
   * @param counts hundredths of the guess, and how many tasks took that long, by turns
   */
  record RunTimeRow(String jobClass, List<Long> histogram) implements PlanRow {
    @Override
    public int maxJsonBytes() {
      return SHORT_ROW_BYTES + maxTextBytes(jobClass) + MAX_NUMBER_BYTES * histogram.size();
    }
  }

  /**
   * What comes of a team's class from one dawn to the next.
   *
   * @param slice the part of the time that is under way, counted from the epoch
   * @param sum seconds of tasks that have come in it so far
   * @param run usual run time of a task in seconds, as guessed
   * @param room of a task
   * @param bySlice seconds of tasks by parts of the time; -1 where nothing is known
   */
  record ArrivalRow(
      String dawnName,
      String team,
      String jobClass,
      long currentSlice,
      long currentSeconds,
      double meanEstimate,
      Room resources,
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
   * What could be had of a sort of machines.
   *
   * @param most most machines of it that were up at once of late
   * @param hours hours of machines that were watched, fading
   * @param losses machines that were taken back in them
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
