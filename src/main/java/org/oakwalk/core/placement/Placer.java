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
  private static final int MOST_IN_VAIN = 8;

  private final Fleet fleet;
  private final Policy policy;
  private final Quota quota;
  private final JobBook jobs;
  private final RunTimes runTimes;
  private final IdealHost hosts;
  private final Candidates candidates;
  private final Ranking ranking;
  private final RoomMaker roomMaker;
  private final ServedShares servedShares = new ServedShares();
  private final Reserve reserve;
  private final Largest largest;
  private final GangKeeper gangs;

  /** Services that began to wait a moment ago, each of which may be worth a warm place. */
  private final Set<Job> fresh = new LinkedHashSet<>();

  private int regularRounds;
  private int placed;
  private long searches;

  /** Whether the last job to find no place was kept from one by what its machines remember. */
  private boolean foundRoom;

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
      Targets targets,
      Quota quota,
      RunTimes runTimes,
      Span suspectAfter,
      Predicate<List<Placement>> mayStop,
      Reserve reserve,
      Takes takes) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.jobs = jobs;
    this.policy = policy;
    this.quota = quota;
    this.runTimes = runTimes;
    this.hosts = new IdealHost(policy.placement(), reserve);
    this.candidates = new Candidates(fleet, runTimes, suspectAfter, reserve);
    this.ranking = new Ranking(jobs, runTimes, new Score(policy.scoring(), targets), quota);
    Preemption preemption =
        new Preemption(fleet.stoppable(), quota, targets, runTimes, servedShares, reserve, takes);
    this.roomMaker =
        new RoomMaker(fleet, candidates, quota, targets, mayStop, preemption, reserve, takes);
    this.largest =
        new Largest(
            policy.scoring().guaranteeBonus(), servedShares, targets.planned(), this::atOnce);
    this.gangs =
        new GangKeeper(
            fleet, candidates, quota, preemption, roomMaker, servedShares, largest, reserve);
  }

  /** Keeps a machine for a gang that has to start whole. */
  public void keep(Machine machine, Job job) {
    roomMaker.keep(machine, job);
  }

  /** How many scores and searches for hosts there were so far, for tests that bound the work. */
  public long work() {
    return ranking.evaluations() + searches;
  }

  /**
   * Places what can be placed.
   *
   * @param inheritedToo whether tasks of older jobs that have not been seen are surely nowhere
   * @return how many tasks were placed
   */
  public int round(boolean inheritedToo, boolean regular, Moment at, WallTime wall) {
    placed = 0;
    now = at;
    regularRounds += regular ? 1 : 0;
    roomMaker.begin(now, wall);
    candidates.survey(now);
    servedShares.round(now);
    List<Job> touched = ranking.refresh(candidates.kinds(), quota.survey(jobs), now, wall);
    for (Job job : touched) {
      servedShares.touched(job);
      largest.touched(job);
      gangs.touched(job);
      if (job.rankedFrom() < 0) {
        job.rankedFrom(regular ? regularRounds - 1 : regularRounds);
      }
      if (job.spec().service()) {
        fresh.add(job);
      }
    }
    fresh.removeIf(job -> !job.open() || job.pendingCount() <= 0 || !RoomMaker.mayWarm(job, now));
    largest.round(now, wall);
    if (regular && inheritedToo) {
      gangs.keep(regularRounds, policy.placement().reserveAfterRounds(), now, wall);
    }
    walk(inheritedToo);
    return placed;
  }

  private void walk(boolean inheritedToo) {
    // These may fare better than others of their kind.
    Set<Job> each = new LinkedHashSet<>(fresh);
    each.addAll(candidates.reserved().values());
    each.addAll(largest.favoured());
    Ranking.Walk walk = ranking.new Walk(inheritedToo, each, this::bonus, largest::favour);
    Map<Ranking.Kind, Integer> inVain = new HashMap<>();
    for (Job job = walk.next(); job != null; job = walk.next()) {
      if (job.nextPending(0, now) < 0 || largest.hopeless(job) && !fresh.contains(job)) {
        continue;
      }
      Verdict verdict = serve(job);
      if (verdict != Verdict.GO_ON) {
        largest.inVain(job);
      }
      if (verdict == Verdict.ALL_ALIKE
          || verdict == Verdict.IN_VAIN
              && inVain.merge(walk.kind(), 1, Integer::sum) >= MOST_IN_VAIN) {
        walk.leaveOut();
      }
    }
  }

  /** What a class that is left behind gains: as much as by a guarantee, or up to twice that. */
  private double bonus(Ranking.Kind kind) {
    if (kind.priority().compareTo(Priority.HIGH) >= 0 || !servedShares.helps()) {
      return 0;
    }
    double far = servedShares.farBehind(new ServedShares.Key(kind.team(), kind.jobClass()));
    return far <= 0 ? 0 : (1 + far) * policy.scoring().guaranteeBonus();
  }

  /** What meeting a job tells of the others of its kind. */
  private enum Verdict {
    /** Nothing. */
    GO_ON,
    /** It found no place, but the next one may. */
    IN_VAIN,
    /** They would fare alike. */
    ALL_ALIKE
  }

  private Verdict serve(Job job) {
    int before = placed;
    Outcome outcome = place(job);
    if (placed > before && job.spec().priority().compareTo(Priority.HIGH) < 0) {
      servedShares.placed(ServedShares.Key.of(job), placed - before);
      largest.placed(job, placed - before);
    }
    switch (outcome) {
      case ALL -> {
        settled(job);
        return Verdict.GO_ON;
      }
      case LIMITED -> {
        if (!job.spec().gang() || job.activeCount() > 0) {
          settled(job);
        }
        return Verdict.ALL_ALIKE;
      }
      case WARMING -> {
        return Verdict.GO_ON;
      }
      case NO_ROOM -> {
        reserve.denied(job);
        if (job.spec().gang()) {
          // The oldest have machines kept for them, and are met beside the others.
          return Verdict.ALL_ALIKE;
        }
        boolean stopped = roomMaker.stop(job);
        if (regularRounds - job.rankedFrom() >= policy.placement().reserveAfterRounds()
            && !roomMaker.reserve(job)) {
          return stopped ? Verdict.GO_ON : Verdict.ALL_ALIKE;
        }
        if (stopped) {
          return Verdict.GO_ON;
        }
        return roomMaker.mayReserve() || foundRoom ? Verdict.IN_VAIN : Verdict.ALL_ALIKE;
      }
      default -> throw new IllegalStateException("unknown outcome");
    }
  }

  private void settled(Job job) {
    job.rankedFrom(regularRounds);
    roomMaker.settled(job);
  }

  private enum Outcome {
    ALL,
    NO_ROOM,
    LIMITED,
    /** Room is being made where the image is. */
    WARMING
  }

  private Outcome place(Job job) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = candidates.zoneUse(job);
    foundRoom = false;
    if (spec.gang()) {
      return placeGang(job, zones);
    }
    if (!quota.allows(job, 1)) {
      return Outcome.LIMITED;
    }
    // All tasks of a job share the list, unless where one goes says where the next may go.
    boolean zonesMatter = spec.oneZone() || spec.spread();
    HostSearch search = search(job, zones);
    int index = job.nextPending(0, now);
    while (index >= 0) {
      Machine machine = search.nearest(new TaskId(job.id(), index));
      if (spec.service()
          && (machine == null || roomMaker.tooCold(spec, machine))
          && roomMaker.warm(job, zones)) {
        return Outcome.WARMING;
      }
      if (machine == null) {
        foundRoom = search.anyFits();
        return Outcome.NO_ROOM;
      }
      fleet.place(job, index, fleet.nextAttempt(), machine, runTimes.expected(spec), now);
      placed++;
      zones.merge(machine.zone(), 1, Integer::sum);
      if (zonesMatter) {
        search = search(job, zones);
      } else {
        search.taken();
      }
      if (largest.oneTaskOnly(job)) {
        // The others have their turn in the order, from the next round on.
        return Outcome.ALL;
      }
      index = job.nextPending(index + 1, now);
      if (index >= 0 && !quota.allows(job, 1)) {
        return Outcome.LIMITED;
      }
    }
    return Outcome.ALL;
  }

  /** How many tasks of a job could run at once if nothing else did. */
  private int atOnce(JobSpec spec) {
    return Math.min(quota.limitOf(spec), Ranking.places(candidates.kinds(), spec.room()));
  }

  private HostSearch search(Job job, Map<String, Integer> zones) {
    searches++;
    Span run = runTimes.expected(job.spec());
    return new HostSearch(hosts, job, candidates.withRoom(job, zones), run, now);
  }

  /** All tasks of a gang find a place in one round, or none is placed. */
  private Outcome placeGang(Job job, Map<String, Integer> zones) {
    int missing = job.pendingCount();
    if (job.activeCount() > 0) {
      // What is left of a broken gang ends first; then all start again together.
      disband(job);
      return Outcome.LIMITED;
    }
    if (!quota.allows(job, missing)) {
      return Outcome.LIMITED;
    }
    Map<Machine, Integer> shares = new LinkedHashMap<>();
    GangKeeper.Zones found = new GangKeeper.Zones(job);
    List<Machine> machines = candidates.withRoom(job, zones);
    // What is kept for it first.
    machines.sort(Comparator.comparing(machine -> candidates.reserved().get(machine) != job));
    for (Machine machine : machines) {
      int room =
          Math.min(
              missing - found.taken(), reserve.free(job.spec(), machine).count(job.spec().room()));
      int share = room > 0 ? found.take(machine, room) : 0;
      if (share > 0) {
        shares.put(machine, share);
      }
    }
    if (found.taken() < missing) {
      return Outcome.NO_ROOM;
    }
    Attempt attempt = fleet.nextAttempt();
    for (Map.Entry<Machine, Integer> share : shares.entrySet()) {
      for (int i = share.getValue(); i > 0; i--) {
        int index = job.nextPending(0, now);
        if (index < 0) {
          return Outcome.NO_ROOM;
        }
        fleet.place(job, index, attempt, share.getKey(), runTimes.expected(job.spec()), now);
        placed++;
      }
    }
    return Outcome.ALL;
  }

  private void disband(Job job) {
    for (Placement placement : fleet.placementsOf(job)) {
      if (!placement.halting()) {
        fleet.halt(placement, job.spec().saveTime(), Fleet.Why.GANG);
      }
    }
  }
}
