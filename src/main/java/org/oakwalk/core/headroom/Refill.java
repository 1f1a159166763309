package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops tasks of lower priority for places that neither what ended nor what was rented has filled,
 * one place at a time and within budgets.
 */
final class Refill {
  private static final Logger LOG = LoggerFactory.getLogger(Refill.class);

  /** What ends and what boots goes first. */
  private static final double BOOTS = 1.5;

  private static final Span WAIT = Span.seconds(5);
  private static final int MOST_STOPS = 4;

  private final Fleet fleet;
  private final Predicate<List<Placement>> mayStop;
  private final Span suspectAfter;
  private final Map<HeadroomRow.Key, Moment> lackingSince = new HashMap<>();

  Refill(Fleet fleet, Predicate<List<Placement>> mayStop, Span suspectAfter) {
    this.fleet = fleet;
    this.mayStop = mayStop;
    this.suspectAfter = suspectAfter;
  }

  private record Plan(Machine machine, List<Placement> stops) {}

  /** Looks what has been lacking for long, and makes one place of each shape. */
  void tick(List<HeadroomRow> rows, Rooms rooms, Moment now) {
    lackingSince.keySet().retainAll(rooms.lacking().keySet());
    for (HeadroomRow row : rows) {
      Map<String, Integer> lacking = rooms.lacking().get(row.key());
      if (lacking == null) {
        continue;
      }
      Moment since = lackingSince.computeIfAbsent(row.key(), key -> now);
      lacking.forEach((zone, places) -> fill(row, zone, places, since, rooms, now));
    }
  }

  private void fill(
      HeadroomRow row, String zone, int lacks, Moment since, Rooms rooms, Moment now) {
    JobSpec spec = row.spec();
    int coming = 0;
    Plan best = null;
    for (Machine machine : fleet.machines()) {
      if (!machine.zone().equals(zone)
          || machine.schedulingMode() != SchedulingMode.ACTIVE
          || !machine.acceptsTasks(now, suspectAfter)
          || !spec.allows(machine.type().name(), zone, machine.spot())) {
        continue;
      }
      coming +=
          soon(machine, rooms).capacityFor(spec.resources())
              - rooms.beyond(machine).capacityFor(spec.resources());
      Span patience = machine.type().bootTime().times(BOOTS).plus(WAIT);
      Plan plan = now.isPast(since, patience) ? plan(machine, row, rooms, now) : null;
      if (plan != null && (best == null || cost(plan, row) < cost(best, row))) {
        best = plan;
      }
    }
    if (best != null && coming < lacks && mayStop.test(best.stops())) {
      for (Placement stop : best.stops()) {
        LOG.info(
            "headroom {}: {} of {} places lack in {}, task {} on {} gives way",
            row.key(),
            lacks,
            row.places().get(zone),
            zone,
            stop.task(),
            best.machine().id());
        fleet.halt(stop, stop.job().spec().checkpointDuration(), Fleet.StopReason.PREEMPTED);
      }
    }
  }

  /** Few stops, and where the image is. */
  private static int cost(Plan plan, HeadroomRow row) {
    return 2 * plan.stops().size() + (plan.machine().hasImage(row.image()) ? 0 : 1);
  }

  /** What is free once all that is told to stop has stopped. */
  private static Resources soon(Machine machine, Rooms rooms) {
    Resources free = rooms.beyond(machine);
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        free = free.plus(placement.job().spec().resources());
      }
    }
    return free;
  }

  private static Plan plan(Machine machine, HeadroomRow row, Rooms rooms, Moment now) {
    Resources free = soon(machine, rooms);
    if (!row.key().room().fitsInto(machine.type().room()) || row.key().room().fitsInto(free)) {
      return null;
    }
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : machine.placements()) {
      JobSpec spec = placement.job().spec();
      if (!placement.halting()
          && !spec.service()
          && !spec.gang()
          && spec.priority().compareTo(row.priority()) < 0) {
        candidates.add(placement);
      }
    }
    candidates.sort(Comparator.comparingDouble(placement -> loss(placement, now)));
    List<Placement> stops = new ArrayList<>();
    for (Placement candidate : candidates) {
      stops.add(candidate);
      free = free.plus(candidate.job().spec().resources());
      if (row.key().room().fitsInto(free)) {
        return new Plan(machine, stops);
      }
      if (stops.size() == MOST_STOPS) {
        return null;
      }
    }
    return null;
  }

  /** Seconds of work that a stop would lose; what saves loses none. */
  private static double loss(Placement placement, Moment now) {
    Moment running = placement.runningSince();
    boolean saves = placement.job().spec().checkpointInterval().millis() > 0;
    return saves || running == null ? 0 : now.since(running).asSeconds();
  }
}
