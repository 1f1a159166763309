package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds a plan for the time until the deadline that uses as few additional machines as possible
 * while leaving some spare time, and that starts early enough to keep half of the spare time at the
 * end. If no such plan exists, it finds the largest equal share of all groups that can be
 * completed.
 */
final class PlanSolver {
  /** Fraction of the time that a plan should keep spare, if machines can be rented. */
  private static final double SPARE_FRACTION = 0.1;

  /**
   * Fraction of the time that has to be spare before an infeasible plan counts as feasible again;
   * hysteresis against alternating plans.
   */
  private static final double RECOVERY_FRACTION = 0.05;

  private static final int BISECTION_STEPS = 6;
  private static final double SHARE_STEP = 0.05;
  static final double MIN_SHARE = 0.5;

  /**
   * The work of a group.
   *
   * @param acceptedTasks tasks accepted for the window; zero if the work is only expected
   * @param servedTasks accepted tasks that are done or placed
   * @param promisedTasks accepted tasks that earlier plans promised to complete
   */
  record GroupLoad(Schedule.GroupWork work, int acceptedTasks, int servedTasks, int promisedTasks) {

    /** Returns the work that is left for a share of the group, but at least what was promised. */
    GroupLoad withShare(double share) {
      double quota = Math.max(promisedTasks, Math.ceil(share * acceptedTasks));
      double left = Math.min(work.tasks(), Math.max(0, quota - servedTasks));
      double[] released = work.releasedBySlot().clone();
      for (int k = 0; k < released.length; k++) {
        released[k] = acceptedTasks == 0 ? share * released[k] : Math.min(left, released[k]);
      }
      Schedule.GroupWork reduced =
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
      return new GroupLoad(reduced, acceptedTasks, servedTasks, promisedTasks);
    }
  }

  /**
   * The resulting plan.
   *
   * @param share fraction of each group that will be completed; 1 if all of it
   * @param extraMachineFraction fraction used of the machines that could be rented in addition
   * @param spareSeconds time that is left before the deadline
   * @param times planned times by group name
   * @param missingMachineHours machine hours that are missing, by group name
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
   * Finds a plan.
   *
   * @param wasInfeasible whether the previous plan was only partial
   */
  Solution solve(List<GroupLoad> loads, boolean wasInfeasible) {
    List<Schedule.GroupWork> works = ordered(loads);
    double requiredSpare = wasInfeasible ? RECOVERY_FRACTION * seconds : 0;
    if (!fits(works, 1, requiredSpare)) {
      return partialSolution(loads, works);
    }
    double extraFraction =
        fits(works, 1, SPARE_FRACTION * seconds) ? smallestExtraFraction(works) : 1;
    double spare = largestSpare(works, extraFraction);
    return new Solution(
        1,
        extraFraction,
        spare,
        byName(schedule.compute(works, extraFraction, spare / 2)),
        Map.of());
  }

  private static List<Schedule.GroupWork> ordered(List<GroupLoad> loads) {
    return loads.stream()
        .map(GroupLoad::work)
        .filter(work -> work.tasks() > 0)
        .sorted(Schedule.byLatestStart())
        .toList();
  }

  private boolean fits(List<Schedule.GroupWork> works, double extraFraction, double delay) {
    return Schedule.isFeasible(schedule.compute(works, extraFraction, delay));
  }

  private double smallestExtraFraction(List<Schedule.GroupWork> works) {
    if (fits(works, 0, SPARE_FRACTION * seconds)) {
      return 0;
    }
    double infeasible = 0;
    double feasible = 1;
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (infeasible + feasible) / 2;
      if (fits(works, middle, SPARE_FRACTION * seconds)) {
        feasible = middle;
      } else {
        infeasible = middle;
      }
    }
    return feasible;
  }

  private double largestSpare(List<Schedule.GroupWork> works, double extraFraction) {
    double feasible = 0;
    double infeasible = seconds;
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (infeasible + feasible) / 2;
      if (fits(works, extraFraction, middle)) {
        feasible = middle;
      } else {
        infeasible = middle;
      }
    }
    return feasible;
  }

  /** Gives all groups equal shares, so that no group starves in favour of others. */
  private Solution partialSolution(List<GroupLoad> loads, List<Schedule.GroupWork> works) {
    Map<String, Double> missing = new HashMap<>();
    schedule
        .compute(works, 1, 0)
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
      List<GroupLoad> reduced = new ArrayList<>();
      for (GroupLoad load : loads) {
        reduced.add(load.withShare(share));
      }
      times = schedule.compute(ordered(reduced), 1, SPARE_FRACTION * seconds);
    } while (share > MIN_SHARE && !Schedule.isFeasible(times));
    return new Solution(share, 1, 0, byName(times), missing);
  }

  private static double smallestFraction(double[] machineFractions) {
    double smallest = 1;
    for (double fraction : machineFractions) {
      smallest = fraction > 0 ? Math.min(smallest, fraction) : smallest;
    }
    return smallest;
  }

  private static Map<String, Schedule.GroupTimes> byName(
      Map<Schedule.GroupWork, Schedule.GroupTimes> times) {
    Map<String, Schedule.GroupTimes> named = new HashMap<>();
    times.forEach((work, at) -> named.put(work.name(), at));
    return named;
  }
}
