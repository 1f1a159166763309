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
import org.oakwalk.core.job.JobRegistry;

/**
 * Asked before each stop that could as well be left: whether the budgets of those who lose by it
 * allow it. What is down is found out from placements and jobs, whatever the cause, so that losses
 * nobody wanted hold up those that somebody wants.
 */
public final class Gate {
  /** What a budget covers at present. */
  private static final class Account {
    int expected;
    int down;
    int openOfArrays;
    int pendingInherited;
  }

  private final List<Budget> budgets;
  private final StopLedger ledger;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Span suspectAfter;
  private final Map<Budget, Account> accounts = new LinkedHashMap<>();
  private boolean surveyed;

  /**
   * A gate that lets nothing through that is covered by a budget, until the first survey.
   *
   * @param suspectAfter after what silence of a machine its tasks count as down
   */
  public Gate(
      List<Budget> budgets, StopLedger ledger, Fleet fleet, JobRegistry jobs, Span suspectAfter) {
    this.budgets = budgets;
    this.ledger = ledger;
    this.fleet = fleet;
    this.jobs = jobs;
    this.suspectAfter = suspectAfter;
    budgets.forEach(budget -> accounts.put(budget, new Account()));
  }

  /** Whether any budget is declared. */
  public boolean guards() {
    return !budgets.isEmpty();
  }

  /**
   * Finds out what is down, and has stops granted that were asked for. Nothing is let through while
   * it is not known what runs.
   */
  public void survey(boolean fleetKnown, Moment now, WallTime wall) {
    surveyed = fleetKnown;
    if (budgets.isEmpty() || !fleetKnown) {
      return;
    }
    accounts.replaceAll((budget, account) -> new Account());
    Map<Job, Integer> up = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      boolean heard =
          machine.state() == Machine.State.UP && !now.isPast(machine.lastReportAt(), suspectAfter);
      for (Placement placement : machine.placements()) {
        if (heard && !placement.halting() && placement.state() == Placement.State.RUNNING) {
          up.merge(placement.job(), 1, Integer::sum);
        }
      }
    }
    Map<Budget, Integer> open = new HashMap<>();
    accounts.forEach(
        (budget, account) -> {
          for (Job job : jobs.unfinishedOfTeam(budget.team())) {
            if (job.isOpen() && budget.covers(job.spec())) {
              count(job, up.getOrDefault(job, 0), account);
            }
          }
          account.down += Math.min(ledger.inheritedOpen(budget), account.pendingInherited);
          open.put(budget, account.openOfArrays);
        });
    ledger.tick(budgets, open, now, wall);
  }

  private static void count(Job job, int up, Account account) {
    boolean service = job.spec().service();
    // What an older leader's service had running is not known, so all of it is taken to have run.
    int begun = service && job.inherited() ? job.spec().tasks() : job.startedCount();
    account.expected += begun;
    account.down += Math.max(0, begun - up);
    if (!service) {
      account.openOfArrays += Math.max(0, begun - up);
      // What saves or fetches at a change of leader is neither waiting nor seen running yet.
      int notUp = job.spec().tasks() - job.doneCount() - up;
      account.pendingInherited +=
          job.inherited() ? Math.max(0, notUp - Math.max(0, begun - up)) : 0;
    }
  }

  /** Whether all these may be stopped now; stops that lack a grant are asked for. */
  public boolean allows(Collection<Placement> stops) {
    boolean allowed = true;
    for (Map.Entry<Budget, Account> entry : accounts.entrySet()) {
      Budget budget = entry.getKey();
      int count = 0;
      for (Placement stop : stops) {
        count += budget.covers(stop.job().spec()) ? 1 : 0;
      }
      if (count > 0) {
        Account account = entry.getValue();
        boolean room = surveyed && account.down + count <= budget.most(account.expected);
        allowed &= room && ledger.has(budget, count);
      }
    }
    return allowed;
  }

  /** A task is stopped: the one place where that is written down, whoever wants it. */
  public void stopped(Placement placement, Fleet.StopReason why) {
    accounts.forEach(
        (budget, account) -> {
          if (budget.covers(placement.job().spec())) {
            // Also of one that no report has shown to run yet: by the next survey it is down.
            placement.job().markPossiblyStarted(placement.task().index());
            account.down++;
            if (why.voluntary()) {
              ledger.use(budget);
            }
          }
        });
  }

  /** What is down against the budgets, for the log. */
  String summary() {
    List<String> parts = new ArrayList<>();
    accounts.forEach(
        (budget, account) ->
            parts.add(budget.name() + " " + account.down + "/" + budget.most(account.expected)));
    return String.join(", ", parts);
  }
}
