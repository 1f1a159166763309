package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Resources;

/**
 * Reserves machines, and the free part of the team's limit, for a waiting gang. All tasks of a gang
 * start together, and without a reservation single tasks would take each place before enough of
 * them are free. The machines chosen are those that together have room for the whole gang at the
 * earliest time, as their tasks end; service replicas do not end. The choice is made anew in each
 * regular round, so that it never depends on a lost machine. Tasks that end well before the gang
 * can start may be backfilled on the reserved machines.
 *
 * <p>Only one gang gets reservations at a time: several gangs that each hold part of the machines
 * they need would never start, and reserved machines that stand idle are lost to all jobs. The gang
 * with the highest priority comes first, then the oldest; a gang that has waited for {@link
 * LargeJobBonus#BONUS_AFTER} and is among the largest jobs of its class, or of an underserved
 * class, goes before all others. Machines are reserved only if the gang can start soon; if it does
 * not start in time, another gang gets its turn.
 */
final class GangReservations {
  /** At most one in this many machines may be reserved for a gang that is not overdue. */
  private static final int MAX_FLEET_DIVISOR = 2;

  /** Bound on the gangs examined in a round. */
  private static final int MAX_GANGS_PER_ROUND = 4;

  /** Machines are reserved only for a gang that can start within this time. */
  private static final TimeSpan MAX_TIME_TO_START = TimeSpan.seconds(30);

  /** The same limit for overdue gangs. */
  private static final TimeSpan MAX_TIME_TO_START_OVERDUE = TimeSpan.seconds(60);

  /** A gang that has not started this long after its expected start loses its reservations. */
  private static final TimeSpan START_GRACE = TimeSpan.seconds(15);

  private static final MonotonicTime NEVER = new MonotonicTime(Long.MAX_VALUE / 4);

  private final Fleet fleet;
  private final CandidateMachines candidates;
  private final Quota quota;
  private final PreemptionPlanner preemption;
  private final UnplacedJobHandler unplacedJobs;
  private final ServedShares servedShares;
  private final LargeJobBonus largeJobs;
  private final CapacityReserve reserve;

  private final TreeSet<Job> waiting =
      new TreeSet<>(
          Comparator.comparing((Job job) -> job.spec().priority())
              .reversed()
              .thenComparing(job -> job.acceptedAt().millis())
              .thenComparing(job -> job.id().value()));

  /** Reservations made by this class, which last until the next regular round. */
  private final Map<Machine, Job> reservedHere = new HashMap<>();

  /** Gangs that did not start when expected, and the time until which they get no reservation. */
  private final Map<Job, MonotonicTime> pausedUntil = new HashMap<>();

  GangReservations(
      Fleet fleet,
      CandidateMachines candidates,
      Quota quota,
      PreemptionPlanner preemption,
      UnplacedJobHandler unplacedJobs,
      ServedShares servedShares,
      LargeJobBonus largeJobs,
      CapacityReserve reserve) {
    this.reserve = reserve;
    this.servedShares = servedShares;
    this.largeJobs = largeJobs;
    this.fleet = fleet;
    this.candidates = candidates;
    this.quota = quota;
    this.preemption = preemption;
    this.unplacedJobs = unplacedJobs;
  }

  /** To be called when a job was accepted, changed or ended. */
  void update(Job job) {
    if (!job.spec().gang()) {
      return;
    }
    if (job.isOpen() && job.assignedCount() == 0 && job.pendingCount() > 0 && !job.isSuspect()) {
      waiting.add(job);
    } else {
      waiting.remove(job);
    }
  }

  /** Places for further tasks of a gang that become free on a machine at a given time. */
  private record CapacityRelease(MonotonicTime at, Machine machine, int places) {}

  /** The earliest time at which a gang could start, and the number of its tasks on each machine. */
  private record GangStart(MonotonicTime at, Map<Machine, Integer> tasksPerMachine) {}

  /**
   * Renews the reservations for the first waiting gang that can start soon.
   *
   * @param regularRounds the number of regular rounds so far
   * @param minRounds the number of regular rounds for which a gang must have found no room, unless
   *     preemption may free room for it
   */
  void reserve(int regularRounds, int minRounds, MonotonicTime now, WallTime wall) {
    // Reservations made elsewhere, such as by an exchange, are left alone.
    reservedHere.forEach((machine, gang) -> candidates.reservations().remove(machine, gang));
    reservedHere.clear();
    pausedUntil.values().removeIf(until -> !until.isAfter(now));
    Job reservedFor = null;
    int examined = 0;
    List<Job> order = new ArrayList<>(waiting);
    order.sort(Comparator.comparing((Job gang) -> !overdue(gang, wall)));
    for (Job gang : order) {
      int requiredRounds = preemption.mayFreeCapacity(gang) ? 0 : minRounds;
      boolean waitedEnough =
          gang.unplacedSinceRound() >= 0
              && regularRounds - gang.unplacedSinceRound() >= requiredRounds;
      if (!waitedEnough || pausedUntil.containsKey(gang) || gang.nextPending(0, now) < 0) {
        continue;
      }
      if (examined++ >= MAX_GANGS_PER_ROUND) {
        break;
      }
      if (reserve(gang, now, wall)) {
        reservedFor = gang;
        break;
      }
    }
    quota.reserveFor(
        reservedFor == null ? Map.of() : Map.of(reservedFor.spec().team(), reservedFor));
  }

  /** Whether a gang has waited for long and is a large job or of an underserved class. */
  private boolean overdue(Job gang, WallTime wall) {
    return wall.since(gang.acceptedAt()).compareTo(LargeJobBonus.BONUS_AFTER) >= 0
        && (largeJobs.isLarge(gang) || servedShares.underserved(ServedShares.TeamClass.of(gang)));
  }

  private boolean reserve(Job gang, MonotonicTime now, WallTime wall) {
    MonotonicTime quotaAt = quotaAvailableAt(gang, now);
    GangStart start = quotaAt == NEVER ? null : earliestStart(gang, now);
    if (start == null) {
      return false;
    }
    boolean isOverdue = overdue(gang, wall);
    MonotonicTime startAt = start.at().isAfter(quotaAt) ? start.at() : quotaAt;
    if (startAt.isAfter(now.plus(isOverdue ? MAX_TIME_TO_START_OVERDUE : MAX_TIME_TO_START))
        || !isOverdue
            && start.tasksPerMachine().size()
                > Math.max(1, fleet.machines().size() / MAX_FLEET_DIVISOR)) {
      return false;
    }
    MonotonicTime firstEstimate =
        candidates.expectedStarts().merge(gang, startAt, (a, b) -> a.isAfter(b) ? b : a);
    if (now.isPast(firstEstimate, START_GRACE)) {
      candidates.expectedStarts().remove(gang);
      pausedUntil.put(gang, now.plus(MAX_TIME_TO_START));
      return false;
    }
    for (Machine machine : start.tasksPerMachine().keySet()) {
      if (candidates.reservations().put(machine, gang) != gang) {
        reservedHere.put(machine, gang);
      }
    }
    start
        .tasksPerMachine()
        .forEach((machine, tasks) -> unplacedJobs.preemptForGang(gang, machine, tasks));
    return true;
  }

  /**
   * The time at which the team's limit should allow the whole gang, if the team starts nothing
   * else.
   */
  private MonotonicTime quotaAvailableAt(Job gang, MonotonicTime now) {
    Resources needed = gang.spec().resources().times(gang.pendingCount());
    Resources remaining = quota.remaining(gang.spec().team());
    if (needed.fitsInto(remaining)) {
      return now;
    }
    List<Placement> own = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      for (Placement placement : machine.placements()) {
        if (placement.job().spec().team().equals(gang.spec().team())
            && !placement.job().spec().service()) {
          own.add(placement);
        }
      }
    }
    own.sort(Comparator.comparing(Placement::expectedEnd));
    for (Placement placement : own) {
      remaining = remaining.plus(placement.job().spec().resources());
      if (needed.fitsInto(remaining)) {
        return placement.expectedEnd().isAfter(now) ? placement.expectedEnd() : now;
      }
    }
    return NEVER;
  }

  private GangStart earliestStart(Job gang, MonotonicTime now) {
    Map<String, List<CapacityRelease>> byZone = new LinkedHashMap<>();
    for (Machine machine : candidates.eligibleForGang(gang)) {
      String zone = gang.spec().oneZone() ? machine.zone() : "";
      addReleases(machine, gang, now, byZone.computeIfAbsent(zone, name -> new ArrayList<>()));
    }
    GangStart best = null;
    for (List<CapacityRelease> releases : byZone.values()) {
      GangStart start = earliestStartFrom(gang, releases);
      if (start != null && (best == null || best.at().isAfter(start.at()))) {
        best = start;
      }
    }
    return best;
  }

  /** Adds the times at which places for the gang become free on a machine. */
  private void addReleases(
      Machine machine, Job gang, MonotonicTime now, List<CapacityRelease> releases) {
    Resources task = gang.spec().resources();
    Resources free = reserve.freeFor(gang.spec(), machine);
    int count = free.capacityFor(task);
    if (count > 0) {
      releases.add(new CapacityRelease(now, machine, count));
    }
    if (!task.fitsInto(machine.type().resources())) {
      return;
    }
    List<Placement> ending = new ArrayList<>();
    Map<Placement, MonotonicTime> ends = new HashMap<>();
    for (Placement placement : machine.placements()) {
      MonotonicTime end = expectedEnd(placement, gang, now);
      if (end != NEVER) {
        ending.add(placement);
        ends.put(placement, end);
      }
    }
    ending.sort(Comparator.comparing(ends::get));
    for (Placement placement : ending) {
      free = free.plus(placement.job().spec().resources());
      int then = free.capacityFor(task);
      if (then > count) {
        releases.add(new CapacityRelease(ends.get(placement), machine, then - count));
        count = then;
      }
    }
  }

  private MonotonicTime expectedEnd(Placement placement, Job gang, MonotonicTime now) {
    if (placement.halting() || preemption.preemptible(placement, gang)) {
      return now.plus(placement.job().spec().checkpointDuration());
    }
    if (placement.job().spec().service()) {
      return NEVER;
    }
    return placement.expectedEnd().isAfter(now) ? placement.expectedEnd() : now;
  }

  private static GangStart earliestStartFrom(Job gang, List<CapacityRelease> releases) {
    releases.sort(Comparator.comparing(CapacityRelease::at));
    Map<Machine, Integer> room = new LinkedHashMap<>();
    int needed = gang.pendingCount();
    ZoneAllocation zones = new ZoneAllocation(gang);
    MonotonicTime at = null;
    for (CapacityRelease release : releases) {
      room.merge(release.machine(), release.places(), Integer::sum);
      zones.allocate(release.machine(), release.places());
      if (zones.total() >= needed) {
        at = release.at();
        break;
      }
    }
    if (at == null) {
      return null;
    }
    List<Machine> byPlaces = new ArrayList<>(room.keySet());
    byPlaces.sort(
        Comparator.comparingInt((Machine machine) -> -room.get(machine))
            .thenComparing(Machine::id));
    Map<Machine, Integer> perMachine = new LinkedHashMap<>();
    ZoneAllocation chosen = new ZoneAllocation(gang);
    for (Machine machine : byPlaces) {
      int share = chosen.allocate(machine, Math.min(room.get(machine), needed - chosen.total()));
      if (share > 0) {
        perMachine.put(machine, share);
      }
    }
    return new GangStart(at, perMachine);
  }

  /** Counts the tasks of a gang in each zone, and enforces the zone limit of a spread job. */
  static final class ZoneAllocation {
    private final Job gang;
    private final Map<String, Integer> perZone = new HashMap<>();
    private int total;

    ZoneAllocation(Job gang) {
      this.gang = gang;
    }

    /** Allocates as many of the places as the zone limit allows; returns the number allocated. */
    int allocate(Machine machine, int places) {
      int before = perZone.getOrDefault(machine.zone(), 0);
      int limit = gang.spec().spread() ? gang.spec().maxTasksPerZone() - before : places;
      int share = Math.max(0, Math.min(places, limit));
      perZone.put(machine.zone(), before + share);
      total += share;
      return share;
    }

    int total() {
      return total;
    }
  }
}
