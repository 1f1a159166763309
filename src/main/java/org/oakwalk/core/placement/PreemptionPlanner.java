package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.PreemptionIndex;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** Selects tasks to preempt for a job of higher precedence, so that the least work is lost. */
final class PreemptionPlanner {
  /** Cost of a preemption that makes a job miss a target, in seconds of lost work. */
  private static final double MISSED_TARGET_COST_SECONDS = 60;

  private final PreemptionIndex stoppable;
  private final ServedShares servedShares;
  private final Quota quota;
  private final JobTargets targets;
  private final RunTimeEstimates runTimes;
  private final CapacityReserve reserve;
  private final CapacityExchange exchange;

  PreemptionPlanner(
      PreemptionIndex stoppable,
      Quota quota,
      JobTargets targets,
      RunTimeEstimates runTimes,
      ServedShares servedShares,
      CapacityReserve reserve,
      CapacityExchange exchange) {
    this.reserve = reserve;
    this.exchange = exchange;
    this.servedShares = servedShares;
    this.stoppable = stoppable;
    this.quota = quota;
    this.targets = targets;
    this.runTimes = runTimes;
  }

  /** The cost of preempting a task, in seconds of work. */
  private record VictimCost(Placement placement, double seconds) {}

  private final Map<Job, Long> maxRestartableRuns = new IdentityHashMap<>();
  private long inspections;

  /** Tasks to preempt on one machine, and the cost of doing so. */
  record PreemptionPlan(Machine machine, List<Placement> victims, double cost) {}

  /** Starts a round: clears what was cached in the one before. */
  void beginRound() {
    maxRestartableRuns.clear();
  }

  /** The number of machines inspected task by task; used by tests that bound the work. */
  long inspections() {
    return inspections;
  }

  /**
   * Returns plans that make room for one task of the job each, at most one for each machine,
   * cheapest first. A plan is valid as long as nothing changes on its machine. Only machines with a
   * task that may be preempted or is being stopped are inspected: usually there are few of them,
   * while waiting jobs call this many times a second.
   */
  List<PreemptionPlan> plans(Job job, List<Machine> machines, MonotonicTime now, WallTime wall) {
    List<PreemptionPlan> plans = new ArrayList<>();
    boolean guaranteed = quota.withinGuarantee(job);
    Set<PreemptionIndex.PreemptionKey> preemptible =
        stoppable.keys(sort -> preemptible(sort, job, guaranteed));
    Set<Machine> concerned = stoppable.machinesWith(preemptible);
    Resources asked = job.spec().resources();
    for (Machine machine : machines) {
      if (concerned.contains(machine)) {
        PreemptionPlan plan = planFor(machine, job, asked, preemptible, now, wall);
        if (plan != null) {
          plans.add(plan);
        }
      } else if (asked.fitsInto(machine.free())) {
        plans.add(new PreemptionPlan(machine, List.of(), imageCost(job, machine)));
      }
    }
    plans.sort(Comparator.comparingDouble(PreemptionPlan::cost));
    return plans;
  }

  /** Whether any task is being stopped, or could be preempted for this job. */
  boolean mayFreeCapacity(Job job) {
    boolean guaranteed = quota.withinGuarantee(job);
    return stoppable.anyHalting() || stoppable.anyMatch(sort -> preemptible(sort, job, guaranteed));
  }

  /** The tasks to preempt on a machine to free this room; empty if that is not possible. */
  List<Placement> victims(
      Machine machine, Job job, Resources asked, MonotonicTime now, WallTime wall) {
    boolean guaranteed = quota.withinGuarantee(job);
    Set<PreemptionIndex.PreemptionKey> preemptible =
        stoppable.keys(sort -> preemptible(sort, job, guaranteed));
    PreemptionPlan plan = planFor(machine, job, asked, preemptible, now, wall);
    return plan == null ? List.of() : plan.victims();
  }

  /** Whether a task may be preempted for a job. */
  boolean preemptible(Placement placement, Job job) {
    return preemptible(placement.preemptionKey(), job, quota.withinGuarantee(job))
        && !exchange.excludesPreemption(job, placement);
  }

  private PreemptionPlan planFor(
      Machine machine,
      Job job,
      Resources asked,
      Set<PreemptionIndex.PreemptionKey> preemptible,
      MonotonicTime now,
      WallTime wall) {
    inspections++;
    Resources free = reserve.freeFor(job.spec(), machine);
    List<Placement> candidates = new ArrayList<>();
    Resources maxFree = free;
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        // Its room is freed without another preemption.
        free = free.plus(placement.job().spec().resources());
        maxFree = maxFree.plus(placement.job().spec().resources());
      } else if (preemptible.contains(placement.preemptionKey())
          && !exchange.excludesPreemption(job, placement)) {
        candidates.add(placement);
        maxFree = maxFree.plus(placement.job().spec().resources());
      }
    }
    if (!asked.fitsInto(maxFree)) {
      return null;
    }
    if (asked.fitsInto(free)) {
      return new PreemptionPlan(machine, List.of(), imageCost(job, machine));
    }
    List<VictimCost> victimCosts = new ArrayList<>();
    candidates.forEach(
        each -> victimCosts.add(new VictimCost(each, preemptionCost(each, now, wall))));
    victimCosts.sort(Comparator.comparingDouble(VictimCost::seconds));
    List<Placement> victims = new ArrayList<>();
    double cost = imageCost(job, machine);
    for (VictimCost victimCost : victimCosts) {
      if (asked.fitsInto(free)) {
        break;
      }
      victims.add(victimCost.placement());
      cost += 1 + victimCost.seconds();
      free = free.plus(victimCost.placement().job().spec().resources());
    }
    return asked.fitsInto(free) ? new PreemptionPlan(machine, victims, cost) : null;
  }

  /** The cost of fetching the image, in the same unit as the cost of preemptions. */
  private static double imageCost(Job job, Machine machine) {
    return machine.hasImage(job.spec().image()) ? 0 : 5;
  }

  /**
   * Whether these are tasks of the lowest priority that save checkpoints. They fill idle machines
   * and may be preempted for jobs of normal priority. Without checkpoints the work would be lost,
   * so such jobs wait for the tasks to end.
   */
  static boolean lowPriorityWithCheckpoints(PreemptionIndex.PreemptionKey key) {
    return key.priority() == Priority.LOW && key.checkpoints();
  }

  private boolean preemptible(PreemptionIndex.PreemptionKey key, Job job, boolean guaranteed) {
    Priority asking = job.spec().priority();
    boolean mayPreempt = guaranteed || asking.compareTo(Priority.NORMAL) > 0;
    if (mayPreempt && key.priority().compareTo(asking) < 0) {
      return true;
    }
    // Tasks of an underserved class would be preempted each time they start.
    if (asking == Priority.NORMAL
        && lowPriorityWithCheckpoints(key)
        && !servedShares.underserved(new ServedShares.TeamClass(key.team(), key.jobClass()))) {
      return true;
    }
    return guaranteed
        && !key.service()
        && !key.team().equals(job.spec().team())
        && quota.exceedsGuarantee(key.team());
  }

  /**
   * The seconds of work that a preemption would lose, plus a surcharge if it would make the job
   * miss a target: one task that is restarted makes its whole array late.
   */
  private double preemptionCost(Placement placement, MonotonicTime now, WallTime wall) {
    MonotonicTime since = placement.runningSince();
    TimeSpan ran = since == null ? TimeSpan.millis(0) : now.since(since);
    Job job = placement.job();
    long maxRun = maxRestartableRuns.computeIfAbsent(job, each -> maxRestartableRun(each, wall));
    // Stopping one task of a gang loses the work of all its tasks. The only running task of a job
    // with several tasks gets the surcharge too, since the job would be back at its beginning.
    boolean lastActive = job.doneCount() == 0 && job.assignedCount() == 1 && job.spec().tasks() > 1;
    int restarted = job.spec().gang() ? Math.max(1, job.assignedCount()) : 1;
    return restarted * ran.asSeconds()
        + (ran.millis() >= maxRun || lastActive ? MISSED_TARGET_COST_SECONDS : 0);
  }

  /**
   * The longest time, in milliseconds, that a task of the job may have run so that a restart still
   * meets the same target as the present run. Cached for a round, since it is needed for every task
   * that could be preempted.
   */
  private long maxRestartableRun(Job job, WallTime wall) {
    TimeSpan afterARun = wall.since(job.acceptedAt()).plus(runTimes.expected(job.spec()));
    return targets
        .latestBefore(job.spec(), afterARun)
        .map(missed -> afterARun.minus(missed).millis())
        .orElse(Long.MAX_VALUE);
  }
}
