package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Preempts tasks of lower priority for headroom slots that neither ended tasks nor newly rented
 * machines have provided, one slot per zone and row at a time and within the disruption budgets.
 */
final class HeadroomPreemptor {
  private static final Logger LOG = LoggerFactory.getLogger(HeadroomPreemptor.class);

  /**
   * Multiple of a machine's boot time to wait before preempting, so that ending tasks and booting
   * machines can provide the slot first.
   */
  private static final double BOOT_TIME_FACTOR = 1.5;

  /** Added to the wait for booting machines. */
  private static final TimeSpan EXTRA_WAIT = TimeSpan.seconds(5);

  private static final int MAX_STOPS_PER_SLOT = 4;

  private final Fleet fleet;
  private final Predicate<List<Placement>> budgetsAllow;
  private final TimeSpan suspectAfter;
  private final Map<HeadroomRow.HeadroomKey, MonotonicTime> missingSince = new HashMap<>();

  HeadroomPreemptor(Fleet fleet, Predicate<List<Placement>> budgetsAllow, TimeSpan suspectAfter) {
    this.fleet = fleet;
    this.budgetsAllow = budgetsAllow;
    this.suspectAfter = suspectAfter;
  }

  /** Tasks to stop on one machine to free one slot. */
  private record PreemptionOption(Machine machine, List<Placement> stops) {}

  /** Frees one slot for each row and zone that has lacked slots for long enough. */
  void tick(List<HeadroomRow> rows, HeadroomAllocator allocator, MonotonicTime now) {
    missingSince.keySet().retainAll(allocator.missingSlots().keySet());
    for (HeadroomRow row : rows) {
      Map<String, Integer> missingByZone = allocator.missingSlots().get(row.key());
      if (missingByZone == null) {
        continue;
      }
      MonotonicTime since = missingSince.computeIfAbsent(row.key(), key -> now);
      missingByZone.forEach((zone, missing) -> fillSlot(row, zone, missing, since, allocator, now));
    }
  }

  private void fillSlot(
      HeadroomRow row,
      String zone,
      int missing,
      MonotonicTime since,
      HeadroomAllocator allocator,
      MonotonicTime now) {
    JobSpec spec = row.spec();
    int beingFreed = 0;
    PreemptionOption best = null;
    for (Machine machine : fleet.machines()) {
      if (!machine.zone().equals(zone)
          || machine.schedulingMode() != SchedulingMode.ACTIVE
          || !machine.acceptsTasks(now, suspectAfter)
          || !spec.allows(machine.type().name(), zone, machine.spot())) {
        continue;
      }
      beingFreed +=
          freeAfterStops(machine, allocator).capacityFor(spec.resources())
              - allocator.unreserved(machine).capacityFor(spec.resources());
      TimeSpan waitTime = machine.type().bootTime().times(BOOT_TIME_FACTOR).plus(EXTRA_WAIT);
      PreemptionOption option =
          now.isPast(since, waitTime) ? findOption(machine, row, allocator, now) : null;
      if (option != null && (best == null || cost(option, row) < cost(best, row))) {
        best = option;
      }
    }
    if (best != null && beingFreed < missing && budgetsAllow.test(best.stops())) {
      for (Placement stop : best.stops()) {
        LOG.info(
            "headroom {}: {} of {} slots missing in zone {}, preempting task {} on machine {}",
            row.key(),
            missing,
            row.slotsByZone().get(zone),
            zone,
            stop.task(),
            best.machine().id());
        fleet.halt(stop, stop.job().spec().checkpointDuration(), Fleet.StopReason.PREEMPTED);
      }
    }
  }

  /** Ranks options: fewer stops first, then machines that have the image. */
  private static int cost(PreemptionOption option, HeadroomRow row) {
    return 2 * option.stops().size() + (option.machine().hasImage(row.image()) ? 0 : 1);
  }

  /** Returns the unreserved room of a machine after all requested stops. */
  private static Resources freeAfterStops(Machine machine, HeadroomAllocator allocator) {
    Resources free = allocator.unreserved(machine);
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        free = free.plus(placement.job().spec().resources());
      }
    }
    return free;
  }

  private static PreemptionOption findOption(
      Machine machine, HeadroomRow row, HeadroomAllocator allocator, MonotonicTime now) {
    Resources free = freeAfterStops(machine, allocator);
    if (!row.key().resources().fitsInto(machine.type().resources())
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

  /** Returns the seconds of work lost by a stop; none if the job checkpoints. */
  private static double lostWorkSeconds(Placement placement, MonotonicTime now) {
    MonotonicTime running = placement.runningSince();
    boolean checkpoints = placement.job().spec().checkpointInterval().millis() > 0;
    return checkpoints || running == null ? 0 : now.since(running).asSeconds();
  }
}
