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
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;

/**
 * One round: waiting tasks leave in the order of their scores for the nearest fitting machine. Jobs
 * that fare like one that found no room are not looked at one by one, so that a round costs what it
 * places and not what waits.
 */
public final class Placer {
  /** So many jobs of a kind may be met without a place, in search of one to keep a machine for. */
  private static final int MAX_MISSES_PER_CLASS = 8;

  private final Fleet fleet;
  private final Policy policy;
  private final Quota quota;
  private final JobBook jobs;
  private final RunTimeEstimates runTimes;
  private final MachineDistance distances;
  private final CandidateMachines candidates;
  private final Ranking ranking;
  private final UnplacedJobHandler unplacedJobs;
  private final ServedShares servedShares = new ServedShares();
  private final CapacityReserve reserve;
  private final LargeJobBonus largeJobs;
  private final GangReservations gangReservations;

  /** Services that began to wait a moment ago, each of which may be worth a warm place. */
  private final Set<Job> newlyWaitingServices = new LinkedHashSet<>();

  private int regularRounds;
  private int placed;
  private long searches;

  /** Whether the last job to find no place was kept from one by what its machines remember. */
  private boolean blockedByPastAttempt;

  private Moment now = new Moment(0);

  /**
   * Places tasks on a fleet.
   *
   * @param mayStop whether budgets allow that tasks are stopped for others
   * @param reserve room that is kept for some jobs
   * @param takes who takes room under terms of their own
   */
  public Placer(
      Fleet fleet,
      JobBook jobs,
      Policy policy,
      JobTargets targets,
      Quota quota,
      RunTimeEstimates runTimes,
      Span suspectAfter,
      Predicate<List<Placement>> mayStop,
      CapacityReserve reserve,
      CapacityExchange takes) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.jobs = jobs;
    this.policy = policy;
    this.quota = quota;
    this.runTimes = runTimes;
    this.distances = new MachineDistance(policy.hosts(), reserve);
    this.candidates = new CandidateMachines(fleet, runTimes, suspectAfter, reserve);
    this.ranking = new Ranking(jobs, runTimes, new JobScorer(policy.scoring(), targets), quota);
    PreemptionPlanner preemption =
        new PreemptionPlanner(
            fleet.stoppable(), quota, targets, runTimes, servedShares, reserve, takes);
    this.unplacedJobs =
        new UnplacedJobHandler(
            fleet, candidates, quota, targets, mayStop, preemption, reserve, takes);
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

  /** Keeps a machine for a gang that has to start whole. */
  public void reserveMachine(Machine machine, Job job) {
    unplacedJobs.reserveMachine(machine, job);
  }

  /** How many scores and searches for hosts there were so far, for tests that bound the work. */
  public long evaluations() {
    return ranking.evaluations() + searches;
  }

  /**
   * Places what can be placed.
   *
   * @param inheritedToo whether tasks of older jobs that have not been seen are surely nowhere
   * @return how many tasks were placed
   */
  public int runRound(boolean inheritedToo, boolean regular, Moment at, WallTime wall) {
    placed = 0;
    now = at;
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
      if (job.rankedFrom() < 0) {
        job.rankedFrom(regular ? regularRounds - 1 : regularRounds);
      }
      if (job.spec().service()) {
        newlyWaitingServices.add(job);
      }
    }
    newlyWaitingServices.removeIf(
        job ->
            !job.open()
                || job.pendingCount() <= 0
                || !UnplacedJobHandler.mayWaitForImage(job, now));
    largeJobs.beginRound(now, wall);
    if (regular && inheritedToo) {
      gangReservations.reserve(regularRounds, policy.hosts().reserveAfterRounds(), now, wall);
    }
    placeInOrder(inheritedToo);
    return placed;
  }

  private void placeInOrder(boolean inheritedToo) {
    // These may fare better than others of their kind.
    Set<Job> each = new LinkedHashSet<>(newlyWaitingServices);
    each.addAll(candidates.reservations().values());
    each.addAll(largeJobs.boostedJobs());
    Ranking.RankingTraversal walk =
        ranking.new RankingTraversal(inheritedToo, each, this::bonus, largeJobs::bonus);
    Map<Ranking.EquivalenceClass, Integer> inVain = new HashMap<>();
    for (Job job = walk.next(); job != null; job = walk.next()) {
      if (job.nextPending(0, now) < 0
          || largeJobs.classHasNoRoom(job) && !newlyWaitingServices.contains(job)) {
        continue;
      }
      ClassDecision verdict = placeAndHandleMiss(job);
      if (verdict != ClassDecision.CONTINUE) {
        largeJobs.recordNoRoom(job);
      }
      if (verdict == ClassDecision.SKIP_CLASS
          || verdict == ClassDecision.MISSED
              && inVain.merge(walk.equivalenceClass(), 1, Integer::sum) >= MAX_MISSES_PER_CLASS) {
        walk.skipClass();
      }
    }
  }

  /** What a class that is left behind gains: as much as by a guarantee, or up to twice that. */
  private double bonus(Ranking.EquivalenceClass kind) {
    if (kind.priority().compareTo(Priority.HIGH) >= 0 || !servedShares.mayBoost()) {
      return 0;
    }
    double far = servedShares.shortfall(new ServedShares.TeamClass(kind.team(), kind.jobClass()));
    return far <= 0 ? 0 : (1 + far) * policy.scoring().guaranteeBonus();
  }

  /** What meeting a job tells of the others of its kind. */
  private enum ClassDecision {
    /** Nothing. */
    CONTINUE,
    /** It found no place, but the next one may. */
    MISSED,
    /** They would fare alike. */
    SKIP_CLASS
  }

  private ClassDecision placeAndHandleMiss(Job job) {
    int before = placed;
    JobOutcome outcome = place(job);
    if (placed > before && job.spec().priority().compareTo(Priority.HIGH) < 0) {
      servedShares.recordPlaced(ServedShares.TeamClass.of(job), placed - before);
      largeJobs.recordPlaced(job, placed - before);
    }
    switch (outcome) {
      case DONE_FOR_ROUND -> {
        noLongerWaiting(job);
        return ClassDecision.CONTINUE;
      }
      case HELD_BACK -> {
        if (!job.spec().gang() || job.activeCount() > 0) {
          noLongerWaiting(job);
        }
        return ClassDecision.SKIP_CLASS;
      }
      case PREEMPTING_FOR_IMAGE -> {
        return ClassDecision.CONTINUE;
      }
      case NO_ROOM -> {
        reserve.onNoRoom(job);
        if (job.spec().gang()) {
          // The oldest have machines kept for them, and are met beside the others.
          return ClassDecision.SKIP_CLASS;
        }
        boolean stopped = unplacedJobs.preemptFor(job);
        if (regularRounds - job.rankedFrom() >= policy.hosts().reserveAfterRounds()
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
    job.rankedFrom(regularRounds);
    unplacedJobs.releaseReservations(job);
  }

  private enum JobOutcome {
    DONE_FOR_ROUND,
    NO_ROOM,
    HELD_BACK,
    /** Room is being made where the image is. */
    PREEMPTING_FOR_IMAGE
  }

  private JobOutcome place(Job job) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = candidates.tasksPerZone(job);
    blockedByPastAttempt = false;
    if (spec.gang()) {
      return placeGang(job, zones);
    }
    if (!quota.allows(job, 1)) {
      return JobOutcome.HELD_BACK;
    }
    // All tasks of a job share the list, unless where one goes says where the next may go.
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
      if (machine == null) {
        blockedByPastAttempt = search.anyFits();
        return JobOutcome.NO_ROOM;
      }
      fleet.place(job, index, fleet.nextAttempt(), machine, runTimes.expected(spec), now);
      placed++;
      zones.merge(machine.zone(), 1, Integer::sum);
      if (zonesMatter) {
        search = search(job, zones);
      } else {
        search.placedOnLastFound();
      }
      if (largeJobs.oneTaskOnly(job)) {
        // The others have their turn in the order, from the next round on.
        return JobOutcome.DONE_FOR_ROUND;
      }
      index = job.nextPending(index + 1, now);
      if (index >= 0 && !quota.allows(job, 1)) {
        return JobOutcome.HELD_BACK;
      }
    }
    return JobOutcome.DONE_FOR_ROUND;
  }

  /** How many tasks of a job could run at once if nothing else did. */
  private int maxTasksAtOnce(JobSpec spec) {
    return Math.min(
        quota.maxTasksAtOnce(spec), Ranking.places(candidates.machineCounts(), spec.room()));
  }

  private MachineSearch search(Job job, Map<String, Integer> zones) {
    searches++;
    Span run = runTimes.expected(job.spec());
    return new MachineSearch(distances, job, candidates.eligibleWithFreeRoom(job, zones), run, now);
  }

  /** All tasks of a gang find a place in one round, or none is placed. */
  private JobOutcome placeGang(Job job, Map<String, Integer> zones) {
    int missing = job.pendingCount();
    if (job.activeCount() > 0) {
      // What is left of a broken gang ends first; then all start again together.
      haltGang(job);
      return JobOutcome.HELD_BACK;
    }
    if (!quota.allows(job, missing)) {
      return JobOutcome.HELD_BACK;
    }
    Map<Machine, Integer> shares = new LinkedHashMap<>();
    GangReservations.ZoneAllocation found = new GangReservations.ZoneAllocation(job);
    List<Machine> machines = candidates.eligibleWithFreeRoom(job, zones);
    // What is kept for it first.
    machines.sort(Comparator.comparing(machine -> candidates.reservations().get(machine) != job));
    for (Machine machine : machines) {
      int room =
          Math.min(
              missing - found.total(),
              reserve.freeFor(job.spec(), machine).count(job.spec().room()));
      int share = room > 0 ? found.allocate(machine, room) : 0;
      if (share > 0) {
        shares.put(machine, share);
      }
    }
    if (found.total() < missing) {
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
        placed++;
      }
    }
    return JobOutcome.DONE_FOR_ROUND;
  }

  private void haltGang(Job job) {
    for (Placement placement : fleet.placementsOf(job)) {
      if (!placement.halting()) {
        fleet.halt(placement, job.spec().saveTime(), Fleet.Why.GANG);
      }
    }
  }
}
