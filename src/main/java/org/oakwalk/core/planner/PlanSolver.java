package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds a plan for a night: with as few machines beside those that are held as leave some time
 * over, and begun early enough that half of that time is left. If there is none, the largest share
 * of all groups that can be done.
 */
final class PlanSolver {
  /** Part of the time that a plan should leave over, if machines can be had. */
  private static final double SPARE_FRACTION = 0.1;

  /** So much has to be left over before a night that could not be met counts as one that can. */
  private static final double RECOVERY_FRACTION = 0.05;

  private static final int BISECTION_STEPS = 6;
  private static final double SHARE_STEP = 0.05;
  static final double MIN_SHARE = 0.5;

  /**
   * Work of a group.
   *
   * @param seen tasks accepted for the window; zero if the work is only expected
   * @param served tasks of these that are done or on machines
   * @param promised tasks of these that were promised before
   */
  record GroupLoad(Schedule.GroupWork work, int acceptedTasks, int servedTasks, int promisedTasks) {

    /** What is left of it if only a share is to be done, but no less than was promised. */
    GroupLoad withShare(double share) {
      double quota = Math.max(promisedTasks, Math.ceil(share * acceptedTasks));
      double left = Math.min(work.tasks(), Math.max(0, quota - servedTasks));
      double[] released = work.releasedBySlot().clone();
      for (int k = 0; k < released.length; k++) {
        released[k] = acceptedTasks == 0 ? share * released[k] : Math.min(left, released[k]);
      }
      Schedule.GroupWork less =
          new Schedule.GroupWork(
              work.name(),
              released,
              work.runSeconds(),
              work.tailSeconds(),
              work.dueSeconds(),
              work.machineFraction(),
              work.gangWidth(),
              work.team(),
              work.limitFraction());
      return new GroupLoad(less, acceptedTasks, servedTasks, promisedTasks);
    }
  }

  /**
   * A plan.
   *
   * @param share part of all groups that is done; 1 if all
   * @param level part that is counted on of the machines that could be had beside those held
   * @param largestSpare seconds that are left over in it
   * @param times of the groups, by name
   * @param missing hours of machines that are missing, by name of the group
   */
  record Solution(
      double share,
      double extraMachineFraction,
      double spareSeconds,
      Map<String, Schedule.GroupTimes> times,
      Map<String, Double> missingMachineHours) {
    double totalMissingMachineHours() {
      return missingMachineHours.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  private final Schedule schedule;
  private final double seconds;

  PlanSolver(Schedule schedule, double seconds) {
    this.schedule = schedule;
    this.seconds = seconds;
  }

  /**
   * Makes a plan.
   *
   * @param doubtful whether the last plan said that not all can be done
   */
  Solution solve(List<GroupLoad> loads, boolean doubtful) {
    List<Schedule.GroupWork> works = ordered(loads);
    double sure = doubtful ? RECOVERY_FRACTION * seconds : 0;
    if (!fits(works, 1, sure)) {
      return partialSolution(loads, works);
    }
    double level = fits(works, 1, SPARE_FRACTION * seconds) ? smallestExtraFraction(works) : 1;
    double spare = largestSpare(works, level);
    return new Solution(
        1, level, spare, byName(schedule.layOut(works, level, spare / 2)), Map.of());
  }

  private static List<Schedule.GroupWork> ordered(List<GroupLoad> loads) {
    return loads.stream()
        .map(GroupLoad::work)
        .filter(work -> work.tasks() > 0)
        .sorted(Schedule.latestStartFirst())
        .toList();
  }

  private boolean fits(List<Schedule.GroupWork> works, double level, double after) {
    return Schedule.isFeasible(schedule.layOut(works, level, after));
  }

  private double smallestExtraFraction(List<Schedule.GroupWork> works) {
    if (fits(works, 0, SPARE_FRACTION * seconds)) {
      return 0;
    }
    double no = 0;
    double yes = 1;
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (no + yes) / 2;
      if (fits(works, middle, SPARE_FRACTION * seconds)) {
        yes = middle;
      } else {
        no = middle;
      }
    }
    return yes;
  }

  private double largestSpare(List<Schedule.GroupWork> works, double level) {
    double yes = 0;
    double no = seconds;
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (no + yes) / 2;
      if (fits(works, level, middle)) {
        yes = middle;
      } else {
        no = middle;
      }
    }
    return yes;
  }

  /** All in equal shares: no group is left out for the sake of others. */
  private Solution partialSolution(List<GroupLoad> loads, List<Schedule.GroupWork> works) {
    Map<String, Double> missing = new HashMap<>();
    schedule
        .layOut(works, 1, 0)
        .forEach(
            (work, times) -> {
              if (times.lateTasks() > 0) {
                missing.put(
                    work.name(),
                    times.lateTasks()
                        * work.runSeconds()
                        * smallestFraction(work.machineFraction())
                        / 3600);
              }
            });
    double share = 1;
    Map<Schedule.GroupWork, Schedule.GroupTimes> times;
    do {
      share = Math.max(MIN_SHARE, share - SHARE_STEP);
      List<GroupLoad> part = new ArrayList<>();
      for (GroupLoad load : loads) {
        part.add(load.withShare(share));
      }
      times = schedule.layOut(ordered(part), 1, SPARE_FRACTION * seconds);
    } while (share > MIN_SHARE && !Schedule.isFeasible(times));
    return new Solution(share, 1, 0, byName(times), missing);
  }

  private static double smallestFraction(double[] use) {
    double least = 1;
    for (double part : use) {
      least = part > 0 ? Math.min(least, part) : least;
    }
    return least;
  }

  private static Map<String, Schedule.GroupTimes> byName(
      Map<Schedule.GroupWork, Schedule.GroupTimes> times) {
    Map<String, Schedule.GroupTimes> named = new HashMap<>();
    times.forEach((work, at) -> named.put(work.name(), at));
    return named;
  }
}
