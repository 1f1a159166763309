package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.Stoppable;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** Finds tasks that may be stopped to make room for a more urgent one, at the least loss. */
final class PreemptionPlanner {
  /** Seconds of work that a job's lateness counts as. */
  private static final double MISSED_TARGET_COST_SECONDS = 60;

  private final Stoppable stoppable;
  private final ServedShares servedShares;
  private final Quota quota;
  private final JobTargets targets;
  private final RunTimeEstimates runTimes;
  private final CapacityReserve reserve;
  private final CapacityExchange exchange;

  PreemptionPlanner(
      Stoppable stoppable,
      Quota quota,
      JobTargets targets,
      RunTimeEstimates runTimes,
      ServedShares servedShares,
      CapacityReserve reserve,
      CapacityExchange takes) {
    this.reserve = reserve;
    this.exchange = takes;
    this.servedShares = servedShares;
    this.stoppable = stoppable;
    this.quota = quota;
    this.targets = targets;
    this.runTimes = runTimes;
  }

  /** What a stop of a task would lose. */
  private record VictimCost(Placement placement, double seconds) {}

  private final Map<Job, Long> maxRestartableRuns = new IdentityHashMap<>();
  private long inspections;

  /** Tasks on one machine whose end would make room. */
  record PreemptionPlan(Machine machine, List<Placement> victims, double cost) {}

  /** A round begins: what is remembered of the one before holds no more. */
  void beginRound() {
    maxRestartableRuns.clear();
  }

  /** How many machines were looked into task by task, for tests that bound the work. */
  long inspections() {
    return inspections;
  }

  /**
   * Plans for tasks of the job, one a machine and the cheapest first; each holds as long as nothing
   * changes on its machine. Only machines with a task that may be stopped, or is being stopped, are
   * looked into: mostly there are few, while jobs that wait ask many times a second.
   */
  List<PreemptionPlan> plans(Job job, List<Machine> machines, Moment now, WallTime wall) {
    List<PreemptionPlan> plans = new ArrayList<>();
    boolean claims = quota.withinGuarantee(job);
    Set<Stoppable.Sort> yielding = stoppable.sorts(sort -> preemptible(sort, job, claims));
    Set<Machine> concerned = stoppable.concerned(yielding);
    Room asked = job.spec().room();
    for (Machine machine : machines) {
      if (concerned.contains(machine)) {
        PreemptionPlan plan = planFor(machine, job, asked, yielding, now, wall);
        if (plan != null) {
          plans.add(plan);
        }
      } else if (asked.fits(machine.free())) {
        plans.add(new PreemptionPlan(machine, List.of(), imageCost(job, machine)));
      }
    }
    plans.sort(Comparator.comparingDouble(PreemptionPlan::cost));
    return plans;
  }

  /** Whether anything is being stopped, or could be for this job. */
  boolean mayFreeRoom(Job job) {
    boolean claims = quota.withinGuarantee(job);
    return stoppable.anyHalting() || stoppable.any(sort -> preemptible(sort, job, claims));
  }

  /** Tasks on a machine whose end would make this much room; none if too few may be stopped. */
  List<Placement> victims(Machine machine, Job job, Room asked, Moment now, WallTime wall) {
    boolean claims = quota.withinGuarantee(job);
    Set<Stoppable.Sort> yielding = stoppable.sorts(sort -> preemptible(sort, job, claims));
    PreemptionPlan plan = planFor(machine, job, asked, yielding, now, wall);
    return plan == null ? List.of() : plan.victims();
  }

  /** Whether a task may be stopped for a job. */
  boolean preemptible(Placement placement, Job job) {
    return preemptible(placement.sort(), job, quota.withinGuarantee(job))
        && !exchange.excludesPreemption(job, placement);
  }

  private PreemptionPlan planFor(
      Machine machine,
      Job job,
      Room asked,
      Set<Stoppable.Sort> yielding,
      Moment now,
      WallTime wall) {
    inspections++;
    Room free = reserve.freeFor(job.spec(), machine);
    List<Placement> candidates = new ArrayList<>();
    Room most = free;
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        // Its room comes free without another stop.
        free = free.plus(placement.job().spec().room());
        most = most.plus(placement.job().spec().room());
      } else if (yielding.contains(placement.sort())
          && !exchange.excludesPreemption(job, placement)) {
        candidates.add(placement);
        most = most.plus(placement.job().spec().room());
      }
    }
    if (!asked.fits(most)) {
      return null;
    }
    if (asked.fits(free)) {
      return new PreemptionPlan(machine, List.of(), imageCost(job, machine));
    }
    List<VictimCost> losses = new ArrayList<>();
    candidates.forEach(each -> losses.add(new VictimCost(each, preemptionCost(each, now, wall))));
    losses.sort(Comparator.comparingDouble(VictimCost::seconds));
    List<Placement> victims = new ArrayList<>();
    double cost = imageCost(job, machine);
    for (VictimCost loss : losses) {
      if (asked.fits(free)) {
        break;
      }
      victims.add(loss.placement());
      cost += 1 + loss.seconds();
      free = free.plus(loss.placement().job().spec().room());
    }
    return asked.fits(free) ? new PreemptionPlan(machine, victims, cost) : null;
  }

  private static double imageCost(Job job, Machine machine) {
    return machine.hasImage(job.spec().image()) ? 0 : 5;
  }

  /**
   * Whether it is work of the lowest priority that saves its progress, which fills idle machines
   * and gives way at once. Where a stop would lose the work, batch waits for it to end.
   */
  static boolean lowPriorityWithCheckpoints(Stoppable.Sort sort) {
    return sort.priority() == Priority.LOW && sort.saves();
  }

  private boolean preemptible(Stoppable.Sort sort, Job job, boolean claims) {
    Priority asking = job.spec().priority();
    boolean stops = claims || asking.compareTo(Priority.NORMAL) > 0;
    if (stops && sort.priority().compareTo(asking) < 0) {
      return true;
    }
    // What is left behind would be stopped each time it comes to run.
    if (asking == Priority.NORMAL
        && lowPriorityWithCheckpoints(sort)
        && !servedShares.underserved(new ServedShares.TeamClass(sort.team(), sort.jobClass()))) {
      return true;
    }
    return claims
        && !sort.service()
        && !sort.team().equals(job.spec().team())
        && quota.exceedsGuarantee(sort.team());
  }

  /**
   * Seconds of work that a stop would lose; more if the job would be in time but for the stop,
   * since one task that starts again makes its whole array late.
   */
  private double preemptionCost(Placement placement, Moment now, WallTime wall) {
    Moment since = placement.runningSince();
    Span ran = since == null ? Span.millis(0) : now.since(since);
    Job job = placement.job();
    long slack = maxRestartableRuns.computeIfAbsent(job, each -> maxRestartableRun(each, wall));
    // With one task of a gang all are lost, and the only task of a large job is its beginning.
    boolean first = job.doneCount() == 0 && job.activeCount() == 1 && job.spec().tasks() > 1;
    int lost = job.spec().gang() ? Math.max(1, job.activeCount()) : 1;
    return lost * ran.asSeconds()
        + (ran.millis() >= slack || first ? MISSED_TARGET_COST_SECONDS : 0);
  }

  /**
   * How long a task of the job may have run, in milliseconds, so that a run afresh still meets the
   * same target as the present one. Kept for a round: all tasks that could be stopped are asked.
   */
  private long maxRestartableRun(Job job, WallTime wall) {
    Span afterARun = wall.since(job.accepted()).plus(runTimes.expected(job.spec()));
    return targets
        .latestBefore(job.spec(), afterARun)
        .map(missed -> afterARun.minus(missed).millis())
        .orElse(Long.MAX_VALUE);
  }
}
