package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;

/**
 * Asked before each stop that could as well be left: whether the budgets of those who lose by it
 * allow it. What is down is found out from placements and jobs, whatever the cause, so that losses
 * nobody wanted hold up those that somebody wants.
 */
public final class DisruptionLimiter {
  /** What a budget covers at present. */
  private static final class DisruptionTally {
    int expected;
    int down;
    int arrayTasksDown;
    int inheritedTasksPending;
  }

  private final List<DisruptionBudget> budgets;
  private final StopGrants stopGrants;
  private final Fleet fleet;
  private final JobBook jobs;
  private final Span suspectAfter;
  private final Map<DisruptionBudget, DisruptionTally> tallies = new LinkedHashMap<>();
  private boolean talliesValid;

  /**
   * A gate that lets nothing through that is covered by a budget, until the first survey.
   *
   * @param suspectAfter after what silence of a machine its tasks count as down
   */
  public DisruptionLimiter(
      List<DisruptionBudget> budgets,
      StopGrants ledger,
      Fleet fleet,
      JobBook jobs,
      Span suspectAfter) {
    this.budgets = budgets;
    this.stopGrants = ledger;
    this.fleet = fleet;
    this.jobs = jobs;
    this.suspectAfter = suspectAfter;
    budgets.forEach(budget -> tallies.put(budget, new DisruptionTally()));
  }

  /** Whether any budget is declared. */
  public boolean hasBudgets() {
    return !budgets.isEmpty();
  }

  /**
   * Finds out what is down, and has stops granted that were asked for. Nothing is let through while
   * it is not known what runs.
   */
  public void updateTallies(boolean fleetKnown, Moment now, WallTime wall) {
    talliesValid = fleetKnown;
    if (budgets.isEmpty() || !fleetKnown) {
      return;
    }
    tallies.replaceAll((budget, account) -> new DisruptionTally());
    Map<Job, Integer> up = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      boolean heard =
          machine.state() == Machine.State.UP && !now.past(machine.heard(), suspectAfter);
      for (Placement placement : machine.placements()) {
        if (heard && !placement.halting() && placement.state() == Placement.State.RUNNING) {
          up.merge(placement.job(), 1, Integer::sum);
        }
      }
    }
    Map<DisruptionBudget, Integer> open = new HashMap<>();
    tallies.forEach(
        (budget, account) -> {
          for (Job job : jobs.ofTeam(budget.team())) {
            if (job.open() && budget.covers(job.spec())) {
              addJob(job, up.getOrDefault(job, 0), account);
            }
          }
          account.down +=
              Math.min(stopGrants.inheritedNotRestarted(budget), account.inheritedTasksPending);
          open.put(budget, account.arrayTasksDown);
        });
    stopGrants.tick(budgets, open, now, wall);
  }

  private static void addJob(Job job, int up, DisruptionTally account) {
    boolean service = job.spec().service();
    // What an older leader's service had running is not known, so all of it is taken to have run.
    int begun = service && job.inherited() ? job.spec().tasks() : job.begunCount();
    account.expected += begun;
    account.down += Math.max(0, begun - up);
    if (!service) {
      account.arrayTasksDown += Math.max(0, begun - up);
      // What saves or fetches at a change of leader is neither waiting nor seen running yet.
      int notUp = job.spec().tasks() - job.doneCount() - up;
      account.inheritedTasksPending +=
          job.inherited() ? Math.max(0, notUp - Math.max(0, begun - up)) : 0;
    }
  }

  /** Whether all these may be stopped now; stops that lack a grant are asked for. */
  public boolean allows(Collection<Placement> stops) {
    boolean allowed = true;
    for (Map.Entry<DisruptionBudget, DisruptionTally> entry : tallies.entrySet()) {
      DisruptionBudget budget = entry.getKey();
      int count = 0;
      for (Placement stop : stops) {
        count += budget.covers(stop.job().spec()) ? 1 : 0;
      }
      if (count > 0) {
        DisruptionTally account = entry.getValue();
        boolean room =
            talliesValid && account.down + count <= budget.maxTasksDown(account.expected);
        allowed &= room && stopGrants.checkOrRequest(budget, count);
      }
    }
    return allowed;
  }

  /** A task is stopped: the one place where that is written down, whoever wants it. */
  public void recordStop(Placement placement, Fleet.Why why) {
    tallies.forEach(
        (budget, account) -> {
          if (budget.covers(placement.job().spec())) {
            // Also of one that no report has shown to run yet: by the next survey it is down.
            placement.job().mayHaveBegun(placement.task().index());
            account.down++;
            if (why.voluntary()) {
              stopGrants.consume(budget);
            }
          }
        });
  }

  /** What is down against the budgets, for the log. */
  String summary() {
    List<String> parts = new ArrayList<>();
    tallies.forEach(
        (budget, account) ->
            parts.add(
                budget.name() + " " + account.down + "/" + budget.maxTasksDown(account.expected)));
    return String.join(", ", parts);
  }
}
