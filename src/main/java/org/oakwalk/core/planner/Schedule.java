package org.oakwalk.core.planner;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Schedules groups of tasks over the time until the deadline: in each slot, among the groups whose
 * work has arrived, the one with the earliest latest-start time goes first. Of groups with the same
 * due time, this is the one with the longest tasks, so that short tasks fill the end. Work is
 * modelled as a fluid, in fractions of machines, but a gang starts as a whole.
 *
 * <p>Ordering by latest start time is known from scheduling theory to keep the maximum lateness
 * small; with a single due time it is "longest processing time first" (R. L. Graham, 1969).
 */
final class Schedule {
  /** Number of slots into which the time is divided. */
  static final int SLOTS = 96;

  /** Fraction of a group's tasks that may be late in a feasible schedule. */
  private static final double TOLERATED_LATE_FRACTION = 0.002;

  private static final double EPSILON = 1e-9;

  /**
   * A pool of interchangeable machines.
   *
   * @param freeHeld number of free machines by slot, among those held at present
   * @param obtainable number of machines by slot that could be rented in addition
   */
  record MachinePool(String name, double[] freeHeld, double[] obtainable) {}

  /**
   * Tasks of one group.
   *
   * @param releasedBySlot cumulative number of tasks that have arrived by each slot
   * @param runSeconds planned run time of a task
   * @param tailSeconds time that the last tasks may take
   * @param dueSeconds time until all tasks must be done
   * @param machineFraction fraction of a machine that a task takes, by pool; zero where it may not
   *     run
   * @param gangWidth number of tasks that start together
   * @param limitFraction fraction of its team's limit that a task takes; zero if there is no limit
   */
  record GroupWork(
      String name,
      double[] releasedBySlot,
      double runSeconds,
      double tailSeconds,
      double dueSeconds,
      double[] machineFraction,
      int gangWidth,
      String team,
      double limitFraction) {
    double tasks() {
      return releasedBySlot[SLOTS - 1];
    }

    double latestStart() {
      return dueSeconds - tailSeconds;
    }
  }

  /**
   * The scheduled times of a group, in seconds from now.
   *
   * @param start start of its first task
   * @param lastStart start of its last task
   * @param end latest end of its last task
   * @param lateTasks number of tasks that can't complete in time
   */
  record GroupTimes(double start, double lastStart, double end, double lateTasks) {}

  private final List<MachinePool> pools;
  private final Map<String, Double> limitFractions;
  private final double slotSeconds;

  /**
   * Creates an empty schedule.
   *
   * @param limitFractions fraction of its limit that each team may use
   * @param seconds length of the scheduled time
   */
  Schedule(List<MachinePool> pools, Map<String, Double> limitFractions, double seconds) {
    this.pools = pools;
    this.limitFractions = limitFractions;
    this.slotSeconds = Math.max(0.001, seconds / SLOTS);
  }

  double slotSeconds() {
    return slotSeconds;
  }

  /** Orders groups by latest start; ties by number of tasks, the larger first, then by name. */
  static Comparator<GroupWork> byLatestStart() {
    return Comparator.comparingDouble(GroupWork::latestStart)
        .thenComparing(Comparator.comparingDouble(GroupWork::tasks).reversed())
        .thenComparing(GroupWork::name);
  }

  /** Returns whether at most the tolerated fraction of each group is late. */
  static boolean isFeasible(Map<GroupWork, GroupTimes> times) {
    return times.entrySet().stream()
        .allMatch(
            entry ->
                entry.getValue().lateTasks()
                    <= TOLERATED_LATE_FRACTION * entry.getKey().tasks() + EPSILON);
  }

  /**
   * Schedules the work of the groups.
   *
   * @param works groups in the order in which they are served
   * @param extraMachineFraction fraction used of the obtainable machines
   * @param delay seconds from now before which no task starts
   */
  Map<GroupWork, GroupTimes> compute(
      List<GroupWork> works, double extraMachineFraction, double delay) {
    double[][] free = new double[pools.size()][SLOTS];
    for (int p = 0; p < pools.size(); p++) {
      for (int k = 0; k < SLOTS; k++) {
        free[p][k] =
            pools.get(p).freeHeld()[k] + extraMachineFraction * pools.get(p).obtainable()[k];
      }
    }
    Map<String, double[]> inUse = new HashMap<>();
    double[] started = new double[works.size()];
    double[][] times = new double[works.size()][];
    double[] late = new double[works.size()];
    for (int k = (int) Math.ceil(delay / slotSeconds); k < SLOTS; k++) {
      for (int w = 0; w < works.size(); w++) {
        GroupWork work = works.get(w);
        double waiting = work.releasedBySlot()[k] - started[w];
        if (waiting <= EPSILON) {
          continue;
        }
        double starting = startTasks(work, waiting, k, free, inUse);
        if (starting > EPSILON) {
          started[w] += starting;
          // Starts of tasks shorter than a slot are spread over the slot.
          double from = k * slotSeconds;
          double last =
              from + Math.max(0, slotSeconds - work.runSeconds()) * Math.min(1, starting / waiting);
          times[w] = new double[] {times[w] == null ? from : times[w][0], last};
          late[w] += last > work.latestStart() + EPSILON ? starting : 0;
        }
      }
    }
    Map<GroupWork, GroupTimes> result = new HashMap<>();
    for (int w = 0; w < works.size(); w++) {
      GroupWork work = works.get(w);
      double end = SLOTS * slotSeconds;
      double first = times[w] == null ? end : times[w][0];
      double last = times[w] == null ? end : times[w][1];
      double left = Math.max(0, work.tasks() - started[w]);
      result.put(
          work,
          new GroupTimes(
              first, left > EPSILON ? end : last, last + work.tailSeconds(), late[w] + left));
    }
    return result;
  }

  private double startTasks(
      GroupWork work, double waiting, int k, double[][] free, Map<String, double[]> inUse) {
    double fraction = Math.min(1, work.runSeconds() / slotSeconds);
    double maxTasks = Math.min(waiting, tasksUnderLimit(work, k, inUse) / fraction);
    double[] tasks = new double[pools.size()];
    double sum = 0;
    for (int p = 0; p < tasks.length && sum < maxTasks; p++) {
      if (work.machineFraction()[p] > 0) {
        tasks[p] =
            Math.min(
                maxTasks - sum, Math.max(0, free[p][k]) / (work.machineFraction()[p] * fraction));
        sum += tasks[p];
      }
    }
    if (work.gangWidth() > 1) {
      double wholeGangs = Math.floor(sum / work.gangWidth() + EPSILON) * work.gangWidth();
      for (int p = tasks.length - 1; p >= 0 && sum > wholeGangs; p--) {
        double excess = Math.min(tasks[p], sum - wholeGangs);
        tasks[p] -= excess;
        sum -= excess;
      }
    }
    for (int p = 0; p < tasks.length; p++) {
      if (tasks[p] > 0) {
        occupy(free[p], k, work.runSeconds(), -tasks[p] * work.machineFraction()[p]);
      }
    }
    if (limitFractions.containsKey(work.team()) && sum > 0) {
      occupy(
          inUse.computeIfAbsent(work.team(), team -> new double[SLOTS]),
          k,
          work.runSeconds(),
          sum * work.limitFraction());
    }
    return sum;
  }

  private double tasksUnderLimit(GroupWork work, int k, Map<String, double[]> inUse) {
    Double limit = limitFractions.get(work.team());
    if (limit == null || work.limitFraction() <= 0) {
      return Double.MAX_VALUE;
    }
    double used = inUse.containsKey(work.team()) ? inUse.get(work.team())[k] : 0;
    return Math.max(0, limit - used) / work.limitFraction();
  }

  private void occupy(double[] slots, int from, double seconds, double amount) {
    for (int k = from; k < SLOTS; k++) {
      double fraction = Math.min(1, seconds / slotSeconds - (k - from));
      if (fraction <= 0) {
        return;
      }
      slots[k] += amount * fraction;
    }
  }
}
