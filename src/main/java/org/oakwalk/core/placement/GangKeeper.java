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
 * class goes first once it has waited for {@link Largest#PATIENCE}. It is kept for only where it
 * can start soon, and another has its turn when it did not.
 */
final class GangKeeper {
  /** Of the fleet, one in so many machines may be kept for a gang that has not waited for long. */
  private static final int MOST_KEPT = 2;

  /** So many gangs are looked at in a round. */
  private static final int MOST_GANGS = 4;

  /** Within this time a gang has to be able to start; what runs for longer is not waited for. */
  private static final Span SOON = Span.seconds(30);

  /** And this for the largest that have waited for long. */
  private static final Span SOON_FOR_LARGE = Span.seconds(60);

  /** So long after it should have started another gang has its turn. */
  private static final Span OVERDUE = Span.seconds(15);

  private static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  private final Fleet fleet;
  private final Candidates candidates;
  private final Quota quota;
  private final Preemption preemption;
  private final RoomMaker roomMaker;
  private final ServedShares servedShares;
  private final Largest largest;
  private final Reserve reserve;

  private final TreeSet<Job> waiting =
      new TreeSet<>(
          Comparator.comparing((Job job) -> job.spec().priority())
              .reversed()
              .thenComparing(job -> job.accepted().millis())
              .thenComparing(job -> job.id().value()));

  /** What this keeps, until the next regular round. */
  private final Map<Machine, Job> kept = new HashMap<>();

  /** Gangs that did not start when they should have, and until when others have their turn. */
  private final Map<Job, Moment> resting = new HashMap<>();

  GangKeeper(
      Fleet fleet,
      Candidates candidates,
      Quota quota,
      Preemption preemption,
      RoomMaker roomMaker,
      ServedShares servedShares,
      Largest largest,
      Reserve reserve) {
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
  void touched(Job job) {
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
  private record Opening(Moment at, Machine machine, int more) {}

  /** Where a gang could start at the soonest. */
  private record Choice(Moment at, Map<Machine, Integer> shares) {}

  /**
   * Keeps machines for the most urgent of those that have waited the longest.
   *
   * @param tried since when a gang has found no room, in regular rounds
   */
  void keep(int regularRounds, int tried, Moment now, WallTime wall) {
    // What a plan keeps for a gang is not touched.
    kept.forEach((machine, gang) -> candidates.reserved().remove(machine, gang));
    kept.clear();
    resting.values().removeIf(until -> !until.isAfter(now));
    Job held = null;
    int looked = 0;
    List<Job> order = new ArrayList<>(waiting);
    order.sort(Comparator.comparing((Job gang) -> !presses(gang, wall)));
    for (Job gang : order) {
      int patience = preemption.helps(gang) ? 0 : tried;
      boolean inVain = gang.rankedFrom() >= 0 && regularRounds - gang.rankedFrom() >= patience;
      if (!inVain || resting.containsKey(gang) || gang.nextPending(0, now) < 0) {
        continue;
      }
      if (looked++ >= MOST_GANGS) {
        break;
      }
      if (keep(gang, now, wall)) {
        held = gang;
        break;
      }
    }
    quota.await(held == null ? Map.of() : Map.of(held.spec().team(), held));
  }

  /** Whether it is among the largest and has waited for long. */
  private boolean presses(Job gang, WallTime wall) {
    return wall.since(gang.accepted()).compareTo(Largest.PATIENCE) >= 0
        && (largest.large(gang) || servedShares.behind(ServedShares.Key.of(gang)));
  }

  private boolean keep(Job gang, Moment now, WallTime wall) {
    Moment allowed = allowedFrom(gang, now);
    Choice choice = allowed == NEVER ? null : choose(gang, now);
    if (choice == null) {
      return false;
    }
    boolean presses = presses(gang, wall);
    Moment opens = choice.at().isAfter(allowed) ? choice.at() : allowed;
    if (opens.isAfter(now.plus(presses ? SOON_FOR_LARGE : SOON))
        || !presses && choice.shares().size() > Math.max(1, fleet.machines().size() / MOST_KEPT)) {
      return false;
    }
    Moment first = candidates.awaited().merge(gang, opens, (a, b) -> a.isAfter(b) ? b : a);
    if (now.isPast(first, OVERDUE)) {
      candidates.awaited().remove(gang);
      resting.put(gang, now.plus(SOON));
      return false;
    }
    for (Machine machine : choice.shares().keySet()) {
      if (candidates.reserved().put(machine, gang) != gang) {
        kept.put(machine, gang);
      }
    }
    choice.shares().forEach((machine, tasks) -> roomMaker.stopFor(gang, machine, tasks));
    return true;
  }

  /** When its team's limit should have room for all of a gang, if nothing else of it starts. */
  private Moment allowedFrom(Job gang, Moment now) {
    Room needed = gang.spec().room().times(gang.pendingCount());
    Room rest = quota.rest(gang.spec().team());
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

  private Choice choose(Job gang, Moment now) {
    Map<String, List<Opening>> byZone = new LinkedHashMap<>();
    for (Machine machine : candidates.forGang(gang)) {
      String zone = gang.spec().oneZone() ? machine.zone() : "";
      openings(machine, gang, now, byZone.computeIfAbsent(zone, name -> new ArrayList<>()));
    }
    Choice best = null;
    for (List<Opening> openings : byZone.values()) {
      Choice choice = soonest(gang, openings);
      if (choice != null && (best == null || best.at().isAfter(choice.at()))) {
        best = choice;
      }
    }
    return best;
  }

  /** When how much of a machine comes free. */
  private void openings(Machine machine, Job gang, Moment now, List<Opening> openings) {
    Room task = gang.spec().room();
    Room free = reserve.free(gang.spec(), machine);
    int count = free.count(task);
    if (count > 0) {
      openings.add(new Opening(now, machine, count));
    }
    if (!task.fits(machine.type().room())) {
      return;
    }
    List<Placement> ending = new ArrayList<>();
    Map<Placement, Moment> ends = new HashMap<>();
    for (Placement placement : machine.placements()) {
      Moment end = end(placement, gang, now);
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
        openings.add(new Opening(ends.get(placement), machine, then - count));
        count = then;
      }
    }
  }

  private Moment end(Placement placement, Job gang, Moment now) {
    if (placement.halting() || preemption.yields(placement, gang)) {
      return now.plus(placement.job().spec().saveTime());
    }
    if (placement.job().spec().service()) {
      return NEVER;
    }
    return placement.endsBy().isAfter(now) ? placement.endsBy() : now;
  }

  private static Choice soonest(Job gang, List<Opening> openings) {
    openings.sort(Comparator.comparing(Opening::at));
    Map<Machine, Integer> room = new LinkedHashMap<>();
    int needed = gang.pendingCount();
    Zones zones = new Zones(gang);
    Moment at = null;
    for (Opening opening : openings) {
      room.merge(opening.machine(), opening.more(), Integer::sum);
      zones.take(opening.machine(), opening.more());
      if (zones.taken() >= needed) {
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
    Zones chosen = new Zones(gang);
    for (Machine machine : most) {
      int share = chosen.take(machine, Math.min(room.get(machine), needed - chosen.taken()));
      if (share > 0) {
        shares.put(machine, share);
      }
    }
    return new Choice(at, shares);
  }

  /** How many tasks of a gang go to each zone, where it is to be spread. */
  static final class Zones {
    private final Job gang;
    private final Map<String, Integer> taken = new HashMap<>();
    private int all;

    Zones(Job gang) {
      this.gang = gang;
    }

    /** Takes as many of these places as the zone's share allows; returns how many. */
    int take(Machine machine, int places) {
      int before = taken.getOrDefault(machine.zone(), 0);
      int most = gang.spec().spread() ? gang.spec().zoneLimit() - before : places;
      int share = Math.max(0, Math.min(places, most));
      taken.put(machine.zone(), before + share);
      all += share;
      return share;
    }

    int taken() {
      return all;
    }
  }
}
