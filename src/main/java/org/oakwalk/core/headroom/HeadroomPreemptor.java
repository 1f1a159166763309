package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops tasks of lower priority for places that neither what ended nor what was rented has filled,
 * one place at a time and within budgets.
 */
final class HeadroomPreemptor {
  private static final Logger LOG = LoggerFactory.getLogger(HeadroomPreemptor.class);

  /** What ends and what boots goes first. */
  private static final double BOOT_TIME_FACTOR = 1.5;

  private static final Span EXTRA_WAIT = Span.seconds(5);
  private static final int MAX_STOPS_PER_SLOT = 4;

  private final Fleet fleet;
  private final Predicate<List<Placement>> budgetsAllow;
  private final Span suspectAfter;
  private final Map<HeadroomRow.HeadroomKey, Moment> missingSince = new HashMap<>();

  HeadroomPreemptor(Fleet fleet, Predicate<List<Placement>> mayStop, Span suspectAfter) {
    this.fleet = fleet;
    this.budgetsAllow = mayStop;
    this.suspectAfter = suspectAfter;
  }

  private record PreemptionOption(Machine machine, List<Placement> stops) {}

  /** Looks what has been lacking for long, and makes one place of each shape. */
  void tick(List<HeadroomRow> rows, HeadroomAllocator rooms, Moment now) {
    missingSince.keySet().retainAll(rooms.missingSlots().keySet());
    for (HeadroomRow row : rows) {
      Map<String, Integer> lacking = rooms.missingSlots().get(row.key());
      if (lacking == null) {
        continue;
      }
      Moment since = missingSince.computeIfAbsent(row.key(), key -> now);
      lacking.forEach((zone, places) -> fillSlot(row, zone, places, since, rooms, now));
    }
  }

  private void fillSlot(
      HeadroomRow row, String zone, int lacks, Moment since, HeadroomAllocator rooms, Moment now) {
    JobSpec spec = row.spec();
    int coming = 0;
    PreemptionOption best = null;
    for (Machine machine : fleet.machines()) {
      if (!machine.zone().equals(zone)
          || machine.duty() != Duty.IN_USE
          || !machine.takesTasks(now, suspectAfter)
          || !spec.allows(machine.type().name(), zone, machine.spot())) {
        continue;
      }
      coming +=
          freeAfterStops(machine, rooms).capacityFor(spec.resources())
              - rooms.unreserved(machine).capacityFor(spec.resources());
      Span patience = machine.type().boot().times(BOOT_TIME_FACTOR).plus(EXTRA_WAIT);
      PreemptionOption plan =
          now.past(since, patience) ? findOption(machine, row, rooms, now) : null;
      if (plan != null && (best == null || cost(plan, row) < cost(best, row))) {
        best = plan;
      }
    }
    if (best != null && coming < lacks && budgetsAllow.test(best.stops())) {
      for (Placement stop : best.stops()) {
        LOG.info(
            "headroom {}: {} of {} places lack in {}, task {} on {} gives way",
            row.key(),
            lacks,
            row.slotsByZone().get(zone),
            zone,
            stop.task(),
            best.machine().id());
        fleet.halt(stop, stop.job().spec().checkpointDuration(), Fleet.Why.PREEMPTED);
      }
    }
  }

  /** Few stops, and where the image is. */
  private static int cost(PreemptionOption plan, HeadroomRow row) {
    return 2 * plan.stops().size() + (plan.machine().hasImage(row.image()) ? 0 : 1);
  }

  /** What is free once all that is told to stop has stopped. */
  private static Resources freeAfterStops(Machine machine, HeadroomAllocator rooms) {
    Resources free = rooms.unreserved(machine);
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        free = free.plus(placement.job().spec().resources());
      }
    }
    return free;
  }

  private static PreemptionOption findOption(
      Machine machine, HeadroomRow row, HeadroomAllocator rooms, Moment now) {
    Resources free = freeAfterStops(machine, rooms);
    if (!row.key().resources().fitsInto(machine.type().room())
        || row.key().resources().fitsInto(free)) {
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
    candidates.sort(Comparator.comparingDouble(placement -> lostWorkSeconds(placement, now)));
    List<Placement> stops = new ArrayList<>();
    for (Placement candidate : candidates) {
      stops.add(candidate);
      free = free.plus(candidate.job().spec().resources());
      if (row.key().resources().fitsInto(free)) {
        return new PreemptionOption(machine, stops);
      }
      if (stops.size() == MAX_STOPS_PER_SLOT) {
        return null;
      }
    }
    return null;
  }

  /** Seconds of work that a stop would lose; what saves loses none. */
  private static double lostWorkSeconds(Placement placement, Moment now) {
    Moment running = placement.runningSince();
    boolean saves = placement.job().spec().checkpointInterval().millis() > 0;
    return saves || running == null ? 0 : now.since(running).asSeconds();
  }
}
