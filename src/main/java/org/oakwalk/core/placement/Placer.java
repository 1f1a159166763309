package org.oakwalk.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs placement rounds: takes waiting tasks in the order of their scores and places each on the
 * nearest machine with room. When a job found no room, equivalent jobs are skipped together, so
 * that the cost of a round depends on the number of tasks placed and not on the length of the
 * queue.
 */
public final class Placer {
  /**
   * Bound on the jobs of an equivalence class that are tried in a round without finding room, in
   * search of one for which a machine can be reserved.
   */
  private static final int MAX_MISSES_PER_CLASS = 8;

  private static final Logger LOG = LoggerFactory.getLogger(Placer.class);

  private final Fleet fleet;
  private final Policy policy;
  private final Quota quota;
  private final JobRegistry jobs;
  private final RunTimeEstimates runTimes;
  private final MachineDistance distances;
  private final CandidateMachines candidates;
  private final Ranking ranking;
  private final UnplacedJobHandler unplacedJobs;
  private final ServedShares servedShares = new ServedShares();
  private final CapacityReserve reserve;
  private final LargeJobBonus largeJobs;
  private final GangReservations gangReservations;

  /**
   * Services that have just begun to wait, for which room may be made where their image is cached.
   */
  private final Set<Job> newlyWaitingServices = new LinkedHashSet<>();

  private final PlacementBudget budget;

  private int regularRounds;
  private long searches;

  /**
   * Whether the last job that found no room only did so because machines with room still report an
   * older attempt of the task.
   */
  private boolean blockedByPastAttempt;

  private MonotonicTime now = new MonotonicTime(0);

  /**
   * Creates a placer for a fleet.
   *
   * @param mayStop whether disruption budgets allow these placements to be preempted
   * @param reserve room that is reserved for certain jobs
   * @param exchange the exchange terms under which some jobs take room from others
   */
  public Placer(
      Fleet fleet,
      JobRegistry jobs,
      Policy policy,
      JobTargets targets,
      Quota quota,
      RunTimeEstimates runTimes,
      TimeSpan suspectAfter,
      Predicate<List<Placement>> mayStop,
      CapacityReserve reserve,
      CapacityExchange exchange) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.budget = new PlacementBudget(fleet);
    this.jobs = jobs;
    this.policy = policy;
    this.quota = quota;
    this.runTimes = runTimes;
    this.distances = new MachineDistance(policy.placement(), reserve);
    this.candidates = new CandidateMachines(fleet, runTimes, suspectAfter, reserve);
    this.ranking = new Ranking(jobs, runTimes, new JobScorer(policy.scoring(), targets), quota);
    PreemptionPlanner preemption =
        new PreemptionPlanner(
            fleet.preemptionIndex(), quota, targets, runTimes, servedShares, reserve, exchange);
    this.unplacedJobs =
        new UnplacedJobHandler(
            fleet, candidates, quota, targets, mayStop, preemption, reserve, exchange);
    this.largeJobs =
        new LargeJobBonus(
            policy.scoring().guaranteeBonus(),
            servedShares,
            targets.planned(),
            this::maxTasksAtOnce);
    this.gangReservations =
        new GangReservations(
            fleet, candidates, quota, preemption, unplacedJobs, servedShares, largeJobs, reserve);
  }

  /** Reserves a machine for a gang. */
  public void reserveMachine(Machine machine, Job job) {
    unplacedJobs.reserveMachine(machine, job);
  }

  /**
   * The number of scores computed and machine searches begun so far; used by tests that bound the
   * work.
   */
  public long evaluations() {
    return ranking.evaluations() + searches;
  }

  /**
   * Runs a round and places as many tasks as possible.
   *
   * @param inheritedToo whether jobs accepted under earlier leaders may be placed, since it is
   *     known which of their tasks are running
   * @param regular whether this is a regular, periodic round rather than one triggered by an event
   * @return the number of tasks placed
   */
  public int runRound(boolean inheritedToo, boolean regular, MonotonicTime time, WallTime wall) {
    budget.beginRound();
    now = time;
    regularRounds += regular ? 1 : 0;
    unplacedJobs.beginRound(now, wall);
    candidates.refresh(now);
    servedShares.beginRound(now);
    List<Job> touched =
        ranking.refresh(candidates.machineCounts(), quota.updateGuarantees(jobs), now, wall);
    for (Job job : touched) {
      servedShares.update(job);
      largeJobs.update(job);
      gangReservations.update(job);
      if (job.unplacedSinceRound() < 0) {
        job.unplacedSinceRound(regular ? regularRounds - 1 : regularRounds);
      }
      if (job.spec().service()) {
        newlyWaitingServices.add(job);
      }
    }
    newlyWaitingServices.removeIf(
        job ->
            !job.isOpen()
                || job.pendingCount() <= 0
                || !UnplacedJobHandler.mayWaitForImage(job, now));
    largeJobs.beginRound(now, wall);
    if (regular && inheritedToo) {
      gangReservations.reserve(regularRounds, policy.placement().reserveAfterRounds(), now, wall);
    }
    placeInOrder(inheritedToo);
    return budget.placedInRound();
  }

  /** Whether the last round ended at its limit, so that the next one should follow soon. */
  public boolean roundCutShort() {
    return budget.roundFull();
  }

  private void placeInOrder(boolean inheritedToo) {
    // These may find room where others of their equivalence class do not.
    Set<Job> individual = new LinkedHashSet<>(newlyWaitingServices);
    individual.addAll(candidates.reservations().values());
    individual.addAll(largeJobs.boostedJobs());
    Ranking.RankingTraversal traversal =
        ranking.new RankingTraversal(inheritedToo, individual, this::bonus, largeJobs::bonus);
    Map<Ranking.EquivalenceClass, Integer> misses = new HashMap<>();
    for (Job job = traversal.next(); job != null && !budget.roundFull(); job = traversal.next()) {
      if (job.nextPending(0, now) < 0
          || largeJobs.isClassUnplaced(job) && !newlyWaitingServices.contains(job)) {
        continue;
      }
      ClassDecision decision = placeAndHandleMiss(job);
      if (decision != ClassDecision.CONTINUE) {
        largeJobs.recordUnplaced(job);
      }
      if (decision == ClassDecision.SKIP_CLASS
          || decision == ClassDecision.MISSED
              && misses.merge(traversal.equivalenceClass(), 1, Integer::sum)
                  >= MAX_MISSES_PER_CLASS) {
        traversal.skipClass();
      }
    }
  }

  /** The bonus of an underserved class: one to two times that of a guarantee. */
  private double bonus(Ranking.EquivalenceClass equivalenceClass) {
    if (equivalenceClass.priority().compareTo(Priority.HIGH) >= 0 || !servedShares.mayBoost()) {
      return 0;
    }
    double shortfall =
        servedShares.shortfall(
            new ServedShares.TeamClass(equivalenceClass.team(), equivalenceClass.jobClass()));
    return shortfall <= 0 ? 0 : (1 + shortfall) * policy.scoring().guaranteeBonus();
  }

  /** What the result for a job implies for the others of its equivalence class. */
  private enum ClassDecision {
    /** The next job is tried as usual. */
    CONTINUE,
    /** The job found no room, but the next one may. */
    MISSED,
    /** The others would find no room either. */
    SKIP_CLASS
  }

  private ClassDecision placeAndHandleMiss(Job job) {
    int before = budget.placedInRound();
    JobOutcome outcome = place(job);
    int placed = budget.placedInRound() - before;
    if (placed > 0 && job.spec().priority().compareTo(Priority.HIGH) < 0) {
      servedShares.recordPlaced(ServedShares.TeamClass.of(job), placed);
      largeJobs.recordPlaced(job, placed);
    }
    switch (outcome) {
      case DONE_FOR_ROUND -> {
        noLongerWaiting(job);
        return ClassDecision.CONTINUE;
      }
      case HELD_BACK -> {
        if (!job.spec().gang() || job.assignedCount() > 0) {
          noLongerWaiting(job);
        }
        return ClassDecision.SKIP_CLASS;
      }
      case PREEMPTING_FOR_IMAGE -> {
        return ClassDecision.CONTINUE;
      }
      case NO_ROOM -> {
        reserve.onPlacementFailed(job);
        if (job.spec().gang()) {
          // Gangs with reserved machines are tried individually.
          return ClassDecision.SKIP_CLASS;
        }
        boolean stopped = unplacedJobs.preemptFor(job);
        if (regularRounds - job.unplacedSinceRound() >= policy.placement().reserveAfterRounds()
            && !unplacedJobs.reserveNearest(job)) {
          return stopped ? ClassDecision.CONTINUE : ClassDecision.SKIP_CLASS;
        }
        if (stopped) {
          return ClassDecision.CONTINUE;
        }
        return unplacedJobs.mayReserve() || blockedByPastAttempt
            ? ClassDecision.MISSED
            : ClassDecision.SKIP_CLASS;
      }
      default -> throw new IllegalStateException("unknown outcome");
    }
  }

  private void noLongerWaiting(Job job) {
    job.unplacedSinceRound(regularRounds);
    unplacedJobs.releaseReservations(job);
  }

  private enum JobOutcome {
    /** All tasks that the job may start in this round were placed. */
    DONE_FOR_ROUND,
    /** No machine has room. */
    NO_ROOM,
    /** The team's or the leader's limit was reached, or the rest of a gang is being stopped. */
    HELD_BACK,
    /** Room is being made on a machine that has the image. */
    PREEMPTING_FOR_IMAGE
  }

  private JobOutcome place(Job job) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = candidates.tasksPerZone(job);
    blockedByPastAttempt = false;
    if (spec.gang()) {
      return placeGang(job, zones);
    }
    if (!mayPlaceAnother(job)) {
      return JobOutcome.HELD_BACK;
    }
    // All tasks of a job share one search, unless a placement restricts the zones of the next.
    boolean zonesMatter = spec.oneZone() || spec.spread();
    MachineSearch search = search(job, zones);
    int index = job.nextPending(0, now);
    while (index >= 0) {
      Machine machine = search.nearest(new TaskId(job.id(), index));
      if (spec.service()
          && (machine == null || unplacedJobs.fetchTooSlow(spec, machine))
          && unplacedJobs.preemptWhereImageIs(job, zones)) {
        return JobOutcome.PREEMPTING_FOR_IMAGE;
      }
      if (machine == null && !search.anyFits()) {
        return JobOutcome.NO_ROOM;
      }
      if (machine == null) {
        // The machines with room refuse this task only; the job's other tasks may start there.
        blockedByPastAttempt = true;
        if (LOG.isDebugEnabled()) {
          LOG.debug("task {}/{} is blocked: {}", job.id(), index, search.blockReasons(index));
        }
        index = job.nextPending(index + 1, now);
        continue;
      }
      fleet.place(job, index, fleet.nextAttempt(), machine, runTimes.expected(spec), now);
      budget.recordPlaced();
      zones.merge(machine.zone(), 1, Integer::sum);
      if (zonesMatter) {
        search = search(job, zones);
      } else {
        search.placedOnLastFound();
      }
      if (largeJobs.oneTaskOnly(job)) {
        // The other tasks follow in the ordinary order, from the next round on.
        return JobOutcome.DONE_FOR_ROUND;
      }
      index = job.nextPending(index + 1, now);
      if (index >= 0 && (budget.roundFull() || !mayPlaceAnother(job))) {
        return JobOutcome.HELD_BACK;
      }
    }
    return blockedByPastAttempt ? JobOutcome.NO_ROOM : JobOutcome.DONE_FOR_ROUND;
  }

  /** Whether the limits of the job's team and of the leader allow one more of the job's tasks. */
  private boolean mayPlaceAnother(Job job) {
    return quota.allows(job, 1) && withinBudget(job, 1);
  }

  private boolean withinBudget(Job job, int count) {
    return budget.allows(job.spec(), count, candidates.machineCounts().keySet());
  }

  /** The number of tasks of a job that could run at the same time if nothing else ran. */
  private int maxTasksAtOnce(JobSpec spec) {
    return Math.min(
        quota.maxTasksAtOnce(spec), Ranking.places(candidates.machineCounts(), spec.resources()));
  }

  private MachineSearch search(Job job, Map<String, Integer> zones) {
    searches++;
    TimeSpan run = runTimes.expected(job.spec());
    return new MachineSearch(
        distances, job, candidates.eligibleWithFreeResources(job, zones), run, now);
  }

  /** Places all tasks of a gang in one round, or none. */
  private JobOutcome placeGang(Job job, Map<String, Integer> zones) {
    int needed = job.pendingCount();
    if (job.assignedCount() > 0) {
      // The gang has lost a task: the remaining ones are stopped before all restart together.
      haltGang(job);
      return JobOutcome.HELD_BACK;
    }
    if (!quota.allows(job, needed) || !withinBudget(job, needed)) {
      return JobOutcome.HELD_BACK;
    }
    Map<Machine, Integer> shares = new LinkedHashMap<>();
    GangReservations.ZoneAllocation allocation = new GangReservations.ZoneAllocation(job);
    List<Machine> machines = candidates.eligibleWithFreeResources(job, zones);
    // Machines reserved for the gang come first.
    machines.sort(Comparator.comparing(machine -> candidates.reservations().get(machine) != job));
    for (Machine machine : machines) {
      int room =
          Math.min(
              Math.min(needed - allocation.total(), machine.freeTaskSlots(job.spec())),
              reserve.freeFor(job.spec(), machine).capacityFor(job.spec().resources()));
      int share = room > 0 ? allocation.allocate(machine, room) : 0;
      if (share > 0) {
        shares.put(machine, share);
      }
    }
    if (allocation.total() < needed) {
      return JobOutcome.NO_ROOM;
    }
    Attempt attempt = fleet.nextAttempt();
    for (Map.Entry<Machine, Integer> share : shares.entrySet()) {
      for (int i = share.getValue(); i > 0; i--) {
        int index = job.nextPending(0, now);
        if (index < 0) {
          return JobOutcome.NO_ROOM;
        }
        fleet.place(job, index, attempt, share.getKey(), runTimes.expected(job.spec()), now);
        budget.recordPlaced();
      }
    }
    return JobOutcome.DONE_FOR_ROUND;
  }

  private void haltGang(Job job) {
    for (Placement placement : fleet.placementsOf(job)) {
      if (!placement.halting()) {
        fleet.halt(placement, job.spec().checkpointDuration(), Fleet.StopReason.GANG);
      }
    }
  }
}
