package org.oakwalk.core.planner;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Lays groups of tasks out over the time until dawn: at each moment, of those that have come, the
 * one with the least time until it must have been started goes first. Of groups that are due at the
 * same time the one with the longest tasks does, so that what is short is left for the end. Work is
 * taken as fluid, in parts of whole machines, but a gang starts whole.
 *
 * <p>The rule is "latest start first", known from the theory of schedules for its small lateness;
 * with one due time it is "longest processing time first" (R. L. Graham, 1969).
 */
final class Schedule {
  /** Parts into which the time is divided. */
  static final int SLOTS = 96;

  /** So small a part of a group's tasks may be late without calling a night infeasible. */
  private static final double TOLERATED_LATE_FRACTION = 0.002;

  private static final double EPSILON = 1e-9;

  /**
   * Machines of one sort.
   *
   * @param held machines that are free by slot, as held at present
   * @param more machines that could be had beside them, by slot
   */
  record MachinePool(String name, double[] freeHeld, double[] obtainable) {}

  /**
   * Tasks of one group.
   *
   * @param released tasks that have come by each slot
   * @param run seconds of a task, as it counts for the work
   * @param tail seconds that the last ones may take
   * @param due seconds until all must be done
   * @param use part of a machine that a task takes, by pool; zero where it may not run
   * @param width tasks that start together
   * @param ofLimit part of its team's limit that a task takes; zero if there is none
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
   * When a group's tasks are started.
   *
   * @param late tasks that can't be done in time
   */
  record GroupTimes(double start, double lastStart, double end, double lateTasks) {}

  private final List<MachinePool> pools;
  private final Map<String, Double> limitFractions;
  private final double slotSeconds;

  /**
   * A schedule that has not been laid out.
   *
   * @param seconds the time that is divided
   * @param limitFractions parts of their limits that teams may use
   */
  Schedule(List<MachinePool> pools, Map<String, Double> limits, double seconds) {
    this.pools = pools;
    this.limitFractions = limits;
    this.slotSeconds = Math.max(0.001, seconds / SLOTS);
  }

  double slotSeconds() {
    return slotSeconds;
  }

  /** The order in which groups go. */
  static Comparator<GroupWork> latestStartFirst() {
    return Comparator.comparingDouble(GroupWork::latestStart)
        .thenComparing(Comparator.comparingDouble(GroupWork::tasks).reversed())
        .thenComparing(GroupWork::name);
  }

  /** Whether nothing is late that is not late by a trifle. */
  static boolean isFeasible(Map<GroupWork, GroupTimes> times) {
    return times.entrySet().stream()
        .allMatch(
            entry ->
                entry.getValue().lateTasks()
                    <= TOLERATED_LATE_FRACTION * entry.getKey().tasks() + EPSILON);
  }

  /**
   * Lays out.
   *
   * @param works in the order in which they go
   * @param level part of what could be had beside what is held
   * @param after seconds during which nothing is started
   */
  Map<GroupWork, GroupTimes> layOut(List<GroupWork> works, double level, double after) {
    double[][] free = new double[pools.size()][SLOTS];
    for (int p = 0; p < pools.size(); p++) {
      for (int k = 0; k < SLOTS; k++) {
        free[p][k] = pools.get(p).freeHeld()[k] + level * pools.get(p).obtainable()[k];
      }
    }
    Map<String, double[]> inUse = new HashMap<>();
    double[] started = new double[works.size()];
    double[][] times = new double[works.size()][];
    double[] late = new double[works.size()];
    for (int k = (int) Math.ceil(after / slotSeconds); k < SLOTS; k++) {
      for (int w = 0; w < works.size(); w++) {
        GroupWork work = works.get(w);
        double waiting = work.releasedBySlot()[k] - started[w];
        if (waiting <= EPSILON) {
          continue;
        }
        double starts = startTasks(work, waiting, k, free, inUse);
        if (starts > EPSILON) {
          started[w] += starts;
          // What is shorter than a slot is spread over it.
          double from = k * slotSeconds;
          double last =
              from + Math.max(0, slotSeconds - work.runSeconds()) * Math.min(1, starts / waiting);
          times[w] = new double[] {times[w] == null ? from : times[w][0], last};
          late[w] += last > work.latestStart() + EPSILON ? starts : 0;
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
    double part = Math.min(1, work.runSeconds() / slotSeconds);
    double most = Math.min(waiting, placesUnderLimit(work, k, inUse) / part);
    double[] places = new double[pools.size()];
    double sum = 0;
    for (int p = 0; p < places.length && sum < most; p++) {
      if (work.machineFraction()[p] > 0) {
        places[p] =
            Math.min(most - sum, Math.max(0, free[p][k]) / (work.machineFraction()[p] * part));
        sum += places[p];
      }
    }
    if (work.gangWidth() > 1) {
      double whole = Math.floor(sum / work.gangWidth() + EPSILON) * work.gangWidth();
      for (int p = places.length - 1; p >= 0 && sum > whole; p--) {
        double less = Math.min(places[p], sum - whole);
        places[p] -= less;
        sum -= less;
      }
    }
    for (int p = 0; p < places.length; p++) {
      if (places[p] > 0) {
        occupy(free[p], k, work.runSeconds(), -places[p] * work.machineFraction()[p]);
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

  private double placesUnderLimit(GroupWork work, int k, Map<String, double[]> inUse) {
    Double limit = limitFractions.get(work.team());
    if (limit == null || work.limitFraction() <= 0) {
      return Double.MAX_VALUE;
    }
    double used = inUse.containsKey(work.team()) ? inUse.get(work.team())[k] : 0;
    return Math.max(0, limit - used) / work.limitFraction();
  }

  private void occupy(double[] slots, int from, double seconds, double amount) {
    for (int k = from; k < SLOTS; k++) {
      double part = Math.min(1, seconds / slotSeconds - (k - from));
      if (part <= 0) {
        return;
      }
      slots[k] += amount * part;
    }
  }
}
