package org.oakwalk.core.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the plan search with small windows whose correct plan is easy to derive by hand. */
class PlanSolverTest {
  private static final double WINDOW_SECONDS = 960;

  private static double[] constant(double value) {
    double[] values = new double[Schedule.SLOTS];
    Arrays.fill(values, value);
    return values;
  }

  private static PlanSolver.GroupLoad load(
      String name, int tasks, double run, double tail, int promised, int width) {
    return new PlanSolver.GroupLoad(
        new Schedule.GroupWork(
            name,
            constant(tasks),
            run,
            tail,
            WINDOW_SECONDS,
            new double[] {0.25},
            width,
            "crew",
            0.05),
        tasks,
        0,
        promised);
  }

  private static PlanSolver.Solution plan(
      double freeHeld, double obtainable, double limitFraction, PlanSolver.GroupLoad... loads) {
    Schedule schedule =
        new Schedule(
            List.of(new Schedule.MachinePool("m", constant(freeHeld), constant(obtainable))),
            Map.of("crew", limitFraction),
            WINDOW_SECONDS);
    return new PlanSolver(schedule, WINDOW_SECONDS).solve(new ArrayList<>(List.of(loads)), false);
  }

  @Test
  void longestTasksStartFirstAndNotEarlierThanNeeded() {
    PlanSolver.Solution plan =
        plan(2, 0, 1, load("short", 200, 10, 12, 0, 1), load("long", 4, 300, 360, 0, 1));
    assertThat(plan.share()).isEqualTo(1);
    Schedule.GroupTimes first = plan.times().get("long");
    assertThat(first.start()).isLessThanOrEqualTo(plan.times().get("short").start());
    assertThat(first.start()).isBetween(100.0, WINDOW_SECONDS - 360);
    assertThat(plan.times().get("short").end()).isLessThanOrEqualTo(WINDOW_SECONDS);
  }

  /**
   * At the median run time, four waves of 230 s fit into the window; at the quantile they do not.
   */
  @Test
  void feasibilityDependsOnTheRunTimeQuantile() {
    assertThat(plan(1, 0, 1, load("w", 16, 230, 230, 0, 1)).share()).isEqualTo(1);
    assertThat(plan(1, 0, 1, load("w", 16, 230, 300, 0, 1)).share()).isLessThan(1);
  }

  @Test
  void usesTheFewestExtraMachines() {
    PlanSolver.GroupLoad load = load("w", 160, 60, 60, 0, 1);
    assertThat(plan(10, 10, 1, load).extraMachineFraction()).isZero();
    // 160 task minutes with 4 tasks per machine: slightly less than one extra machine suffices.
    assertThat(plan(2, 10, 1, load).extraMachineFraction()).isBetween(0.05, 0.15);
    assertThat(plan(0, 2, 1, load).share()).isLessThan(1);
  }

  @Test
  void infeasibleWorkIsReducedToEqualShares() {
    PlanSolver.Solution plan =
        plan(1, 0, 1, load("a", 100, 30, 30, 0, 1), load("b", 20, 150, 150, 0, 1));
    // 6,000 task seconds, but room for four tasks during 960 s.
    assertThat(plan.share()).isBetween(0.5, 0.6);
    assertThat(plan.totalMissingMachineHours()).isBetween(0.1, 0.25);
    assertThat(plan.times()).containsOnlyKeys("a", "b");
  }

  @Test
  void sharesDoNotReducePromisedTasks() {
    PlanSolver.GroupLoad promised = load("b", 10, 200, 200, 10, 1);
    assertThat(promised.withShare(0.5).work().tasks()).isEqualTo(10);
    assertThat(load("b", 10, 200, 200, 0, 1).withShare(0.5).work().tasks()).isEqualTo(5);
  }

  @Test
  void gangsStartTogetherAndTeamLimitsHold() {
    assertThat(plan(2, 0, 1, load("g", 6, 300, 300, 0, 6)).share()).isEqualTo(1);
    assertThat(plan(1, 0, 1, load("g", 6, 300, 300, 0, 6)).totalMissingMachineHours()).isPositive();
    // A task takes a twentieth of the team limit, of which a tenth is free: two tasks at a time.
    assertThat(plan(4, 0, 0.1, load("w", 8, 200, 200, 0, 1)).share()).isEqualTo(1);
    assertThat(plan(4, 0, 0.1, load("w", 12, 200, 200, 0, 1)).share()).isLessThan(1);
  }
}
