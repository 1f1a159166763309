package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Room;

/**
 * Keeps machines, and what is free of team limits, for a gang that waits. A gang starts whole, and
 * single tasks would take each place before there are enough. The machines are those that together
 * have room for all soonest, as their tasks end; replicas don't. They are chosen anew in each
 * regular round, so that nothing rests on a machine that is lost, and whatever ends well before the
 * gang can start may use them meanwhile.
 *
 * <p>One gang at a time, since several that each held some would never start, and what runs empty
 * for them is lost to all: the most urgent and of those the oldest, but one of the largest of its
 * class goes first once it has waited for {@link LargeJobBonus#BONUS_AFTER}. It is kept for only
 * where it can start soon, and another has its turn when it did not.
 */
final class GangReservations {
  /** Of the fleet, one in so many machines may be kept for a gang that has not waited for long. */
  private static final int MAX_FLEET_DIVISOR = 2;

  /** So many gangs are looked at in a round. */
  private static final int MAX_GANGS_PER_ROUND = 4;

  /** Within this time a gang has to be able to start; what runs for longer is not waited for. */
  private static final Span MAX_TIME_TO_START = Span.seconds(30);

  /** And this for the largest that have waited for long. */
  private static final Span MAX_TIME_TO_START_OVERDUE = Span.seconds(60);

  /** So long after it should have started another gang has its turn. */
  private static final Span START_GRACE = Span.seconds(15);

  private static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  private final Fleet fleet;
  private final CandidateMachines candidates;
  private final Quota quota;
  private final PreemptionPlanner preemption;
  private final UnplacedJobHandler roomMaker;
  private final ServedShares servedShares;
  private final LargeJobBonus largest;
  private final CapacityReserve reserve;

  private final TreeSet<Job> waiting =
      new TreeSet<>(
          Comparator.comparing((Job job) -> job.spec().priority())
              .reversed()
              .thenComparing(job -> job.accepted().millis())
              .thenComparing(job -> job.id().value()));

  /** What this keeps, until the next regular round. */
  private final Map<Machine, Job> reservedHere = new HashMap<>();

  /** Gangs that did not start when they should have, and until when others have their turn. */
  private final Map<Job, Moment> pausedUntil = new HashMap<>();

  GangReservations(
      Fleet fleet,
      CandidateMachines candidates,
      Quota quota,
      PreemptionPlanner preemption,
      UnplacedJobHandler roomMaker,
      ServedShares servedShares,
      LargeJobBonus largest,
      CapacityReserve reserve) {
    this.reserve = reserve;
    this.servedShares = servedShares;
    this.largest = largest;
    this.fleet = fleet;
    this.candidates = candidates;
    this.quota = quota;
    this.preemption = preemption;
    this.roomMaker = roomMaker;
  }

  /** A job has come, changed or ended. */
  void update(Job job) {
    if (!job.spec().gang()) {
      return;
    }
    if (job.open() && job.activeCount() == 0 && job.pendingCount() > 0 && !job.suspect()) {
      waiting.add(job);
    } else {
      waiting.remove(job);
    }
  }

  /** So many tasks will have room on a machine from some time on. */
  private record CapacityRelease(Moment at, Machine machine, int places) {}

  /** Where a gang could start at the soonest. */
  private record GangStart(Moment at, Map<Machine, Integer> tasksPerMachine) {}

  /**
   * Keeps machines for the most urgent of those that have waited the longest.
   *
   * @param tried since when a gang has found no room, in regular rounds
   */
  void reserve(int regularRounds, int tried, Moment now, WallTime wall) {
    // What a plan keeps for a gang is not touched.
    reservedHere.forEach((machine, gang) -> candidates.reservations().remove(machine, gang));
    reservedHere.clear();
    pausedUntil.values().removeIf(until -> !until.isAfter(now));
    Job held = null;
    int looked = 0;
    List<Job> order = new ArrayList<>(waiting);
    order.sort(Comparator.comparing((Job gang) -> !overdue(gang, wall)));
    for (Job gang : order) {
      int patience = preemption.mayFreeRoom(gang) ? 0 : tried;
      boolean inVain = gang.rankedFrom() >= 0 && regularRounds - gang.rankedFrom() >= patience;
      if (!inVain || pausedUntil.containsKey(gang) || gang.nextPending(0, now) < 0) {
        continue;
      }
      if (looked++ >= MAX_GANGS_PER_ROUND) {
        break;
      }
      if (reserve(gang, now, wall)) {
        held = gang;
        break;
      }
    }
    quota.reserveFor(held == null ? Map.of() : Map.of(held.spec().team(), held));
  }

  /** Whether it is among the largest and has waited for long. */
  private boolean overdue(Job gang, WallTime wall) {
    return wall.since(gang.accepted()).compareTo(LargeJobBonus.BONUS_AFTER) >= 0
        && (largest.isLarge(gang) || servedShares.underserved(ServedShares.TeamClass.of(gang)));
  }

  private boolean reserve(Job gang, Moment now, WallTime wall) {
    Moment allowed = quotaAvailableAt(gang, now);
    GangStart choice = allowed == NEVER ? null : earliestStart(gang, now);
    if (choice == null) {
      return false;
    }
    boolean presses = overdue(gang, wall);
    Moment opens = choice.at().isAfter(allowed) ? choice.at() : allowed;
    if (opens.isAfter(now.plus(presses ? MAX_TIME_TO_START_OVERDUE : MAX_TIME_TO_START))
        || !presses
            && choice.tasksPerMachine().size()
                > Math.max(1, fleet.machines().size() / MAX_FLEET_DIVISOR)) {
      return false;
    }
    Moment first = candidates.expectedStarts().merge(gang, opens, (a, b) -> a.isAfter(b) ? b : a);
    if (now.past(first, START_GRACE)) {
      candidates.expectedStarts().remove(gang);
      pausedUntil.put(gang, now.plus(MAX_TIME_TO_START));
      return false;
    }
    for (Machine machine : choice.tasksPerMachine().keySet()) {
      if (candidates.reservations().put(machine, gang) != gang) {
        reservedHere.put(machine, gang);
      }
    }
    choice
        .tasksPerMachine()
        .forEach((machine, tasks) -> roomMaker.preemptForGang(gang, machine, tasks));
    return true;
  }

  /** When its team's limit should have room for all of a gang, if nothing else of it starts. */
  private Moment quotaAvailableAt(Job gang, Moment now) {
    Room needed = gang.spec().room().times(gang.pendingCount());
    Room rest = quota.remaining(gang.spec().team());
    if (needed.fits(rest)) {
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
    own.sort(Comparator.comparing(Placement::endsBy));
    for (Placement placement : own) {
      rest = rest.plus(placement.job().spec().room());
      if (needed.fits(rest)) {
        return placement.endsBy().isAfter(now) ? placement.endsBy() : now;
      }
    }
    return NEVER;
  }

  private GangStart earliestStart(Job gang, Moment now) {
    Map<String, List<CapacityRelease>> byZone = new LinkedHashMap<>();
    for (Machine machine : candidates.eligibleForGang(gang)) {
      String zone = gang.spec().oneZone() ? machine.zone() : "";
      addReleases(machine, gang, now, byZone.computeIfAbsent(zone, name -> new ArrayList<>()));
    }
    GangStart best = null;
    for (List<CapacityRelease> openings : byZone.values()) {
      GangStart choice = startWith(gang, openings);
      if (choice != null && (best == null || best.at().isAfter(choice.at()))) {
        best = choice;
      }
    }
    return best;
  }

  /** When how much of a machine comes free. */
  private void addReleases(Machine machine, Job gang, Moment now, List<CapacityRelease> openings) {
    Room task = gang.spec().room();
    Room free = reserve.freeFor(gang.spec(), machine);
    int count = free.count(task);
    if (count > 0) {
      openings.add(new CapacityRelease(now, machine, count));
    }
    if (!task.fits(machine.type().room())) {
      return;
    }
    List<Placement> ending = new ArrayList<>();
    Map<Placement, Moment> ends = new HashMap<>();
    for (Placement placement : machine.placements()) {
      Moment end = expectedEnd(placement, gang, now);
      if (end != NEVER) {
        ending.add(placement);
        ends.put(placement, end);
      }
    }
    ending.sort(Comparator.comparing(ends::get));
    for (Placement placement : ending) {
      free = free.plus(placement.job().spec().room());
      int then = free.count(task);
      if (then > count) {
        openings.add(new CapacityRelease(ends.get(placement), machine, then - count));
        count = then;
      }
    }
  }

  private Moment expectedEnd(Placement placement, Job gang, Moment now) {
    if (placement.halting() || preemption.preemptible(placement, gang)) {
      return now.plus(placement.job().spec().saveTime());
    }
    if (placement.job().spec().service()) {
      return NEVER;
    }
    return placement.endsBy().isAfter(now) ? placement.endsBy() : now;
  }

  private static GangStart startWith(Job gang, List<CapacityRelease> openings) {
    openings.sort(Comparator.comparing(CapacityRelease::at));
    Map<Machine, Integer> room = new LinkedHashMap<>();
    int needed = gang.pendingCount();
    ZoneAllocation zones = new ZoneAllocation(gang);
    Moment at = null;
    for (CapacityRelease opening : openings) {
      room.merge(opening.machine(), opening.places(), Integer::sum);
      zones.allocate(opening.machine(), opening.places());
      if (zones.total() >= needed) {
        at = opening.at();
        break;
      }
    }
    if (at == null) {
      return null;
    }
    List<Machine> most = new ArrayList<>(room.keySet());
    most.sort(
        Comparator.comparingInt((Machine machine) -> -room.get(machine))
            .thenComparing(Machine::id));
    Map<Machine, Integer> shares = new LinkedHashMap<>();
    ZoneAllocation chosen = new ZoneAllocation(gang);
    for (Machine machine : most) {
      int share = chosen.allocate(machine, Math.min(room.get(machine), needed - chosen.total()));
      if (share > 0) {
        shares.put(machine, share);
      }
    }
    return new GangStart(at, shares);
  }

  /** How many tasks of a gang go to each zone, where it is to be spread. */
  static final class ZoneAllocation {
    private final Job gang;
    private final Map<String, Integer> perZone = new HashMap<>();
    private int total;

    ZoneAllocation(Job gang) {
      this.gang = gang;
    }

    /** Takes as many of these places as the zone's share allows; returns how many. */
    int allocate(Machine machine, int places) {
      int before = perZone.getOrDefault(machine.zone(), 0);
      int most = gang.spec().spread() ? gang.spec().zoneLimit() - before : places;
      int share = Math.max(0, Math.min(places, most));
      perZone.put(machine.zone(), before + share);
      total += share;
      return share;
    }

    int total() {
      return total;
    }
  }
}
