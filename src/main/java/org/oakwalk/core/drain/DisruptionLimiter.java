package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;

/**
 * Checks voluntary stops of tasks against the disruption budgets. The tasks that are down are
 * counted from placements and jobs regardless of the cause, so involuntary losses also delay
 * voluntary stops.
 */
public final class DisruptionLimiter {
  /** Current task counts of a budget. */
  private static final class DisruptionTally {
    int expected;
    int down;
    int arrayTasksDown;
    int inheritedTasksPending;
  }

  private final List<DisruptionBudget> budgets;
  private final StopGrants stopGrants;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final TimeSpan suspectAfter;
  private final Map<DisruptionBudget, DisruptionTally> tallies = new LinkedHashMap<>();
  private boolean talliesValid;

  /**
   * Creates a limiter that allows no stop covered by a budget until the tallies have been updated.
   *
   * @param suspectAfter silence of a machine after which its tasks count as down
   */
  public DisruptionLimiter(
      List<DisruptionBudget> budgets,
      StopGrants stopGrants,
      Fleet fleet,
      JobRegistry jobs,
      TimeSpan suspectAfter) {
    this.budgets = budgets;
    this.stopGrants = stopGrants;
    this.fleet = fleet;
    this.jobs = jobs;
    this.suspectAfter = suspectAfter;
    budgets.forEach(budget -> tallies.put(budget, new DisruptionTally()));
  }

  /** Returns whether any budget is declared. */
  public boolean hasBudgets() {
    return !budgets.isEmpty();
  }

  /**
   * Counts the tasks that are down, and requests grants for the stops asked for. No covered stop is
   * allowed while the fleet is not completely known.
   */
  public void updateTallies(boolean fleetKnown, MonotonicTime now, WallTime wall) {
    talliesValid = fleetKnown;
    if (budgets.isEmpty() || !fleetKnown) {
      return;
    }
    tallies.replaceAll((budget, tally) -> new DisruptionTally());
    Map<Job, Integer> up = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      boolean reporting =
          machine.state() == Machine.State.UP && !now.isPast(machine.lastReportAt(), suspectAfter);
      for (Placement placement : machine.placements()) {
        if (reporting && !placement.halting() && placement.state() == Placement.State.RUNNING) {
          up.merge(placement.job(), 1, Integer::sum);
        }
      }
    }
    Map<DisruptionBudget, Integer> notRestarted = new HashMap<>();
    tallies.forEach(
        (budget, tally) -> {
          for (Job job : jobs.unfinishedOfTeam(budget.team())) {
            if (job.isOpen() && budget.covers(job.spec())) {
              addJob(job, up.getOrDefault(job, 0), tally);
            }
          }
          tally.down +=
              Math.min(stopGrants.inheritedNotRestarted(budget), tally.inheritedTasksPending);
          notRestarted.put(budget, tally.arrayTasksDown);
        });
    stopGrants.tick(budgets, notRestarted, now, wall);
  }

  private static void addJob(Job job, int up, DisruptionTally tally) {
    boolean service = job.spec().service();
    // How many replicas of an inherited service were running is not known, so all are assumed.
    int started = service && job.inherited() ? job.spec().tasks() : job.startedCount();
    tally.expected += started;
    tally.down += Math.max(0, started - up);
    if (!service) {
      tally.arrayTasksDown += Math.max(0, started - up);
      // After a change of leader, tasks that are checkpointing or fetching their image are neither
      // pending nor reported as running.
      int notUp = job.spec().tasks() - job.doneCount() - up;
      tally.inheritedTasksPending +=
          job.inherited() ? Math.max(0, notUp - Math.max(0, started - up)) : 0;
    }
  }

  /**
   * Returns whether all given tasks may be stopped now, and requests the grants that are missing.
   */
  public boolean allows(Collection<Placement> stops) {
    boolean allowed = true;
    for (Map.Entry<DisruptionBudget, DisruptionTally> entry : tallies.entrySet()) {
      DisruptionBudget budget = entry.getKey();
      int count = 0;
      for (Placement stop : stops) {
        count += budget.covers(stop.job().spec()) ? 1 : 0;
      }
      if (count > 0) {
        DisruptionTally tally = entry.getValue();
        boolean belowLimit =
            talliesValid && tally.down + count <= budget.maxTasksDown(tally.expected);
        allowed &= belowLimit && stopGrants.checkOrRequest(budget, count);
      }
    }
    return allowed;
  }

  /** Records a stop; called for every stop, whatever its reason. */
  public void recordStop(Placement placement, Fleet.StopReason reason) {
    tallies.forEach(
        (budget, tally) -> {
          if (budget.covers(placement.job().spec())) {
            // Also applies to a task not yet reported as running: the next update has to count it
            // as down.
            placement.job().markPossiblyStarted(placement.task().index());
            tally.down++;
            if (reason.voluntary()) {
              stopGrants.consume(budget);
            }
          }
        });
  }

  /** Tasks down and the limit for each budget, for the log. */
  String summary() {
    List<String> parts = new ArrayList<>();
    tallies.forEach(
        (budget, tally) ->
            parts.add(
                budget.name() + " " + tally.down + "/" + budget.maxTasksDown(tally.expected)));
    return String.join(", ", parts);
  }
}
