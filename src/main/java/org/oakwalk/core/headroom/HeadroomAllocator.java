package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * On which machines the places of a round are kept. Amounts alone are promised, so this is found
 * out anew each round: where the image is first, then where they were kept before, then anywhere.
 */
final class HeadroomAllocator {
  /** What is kept on one machine. */
  private static final class MachineReservation {
    Resources resources = Resources.NONE;
    final Map<HeadroomRow.HeadroomKey, Integer> slots = new HashMap<>(2);
    final List<String> images = new ArrayList<>(1);
  }

  private Map<Machine, MachineReservation> reservations = new IdentityHashMap<>();
  private Map<Machine, MachineReservation> previous = new IdentityHashMap<>();
  private final Map<HeadroomRow.HeadroomKey, Map<String, Integer>> missingSlots = new HashMap<>();
  private final Map<HeadroomRow.HeadroomKey, Integer> warmSlots = new HashMap<>();
  private Map<String, Double> warmShareByName = Map.of();

  /**
   * Keeps as many of the places as there are.
   *
   * @param held machines on which room is being made for a job
   * @param warmShares by name, what share of the places of some terms that should be where the
   *     image is
   */
  void allocate(
      Collection<HeadroomRow> rows,
      Collection<Machine> taking,
      Map<Machine, Job> held,
      Map<String, Double> warmShares) {
    previous = reservations;
    reservations = new IdentityHashMap<>();
    missingSlots.clear();
    warmSlots.clear();
    warmShareByName = warmShares;
    if (rows.isEmpty()) {
      return;
    }
    Map<String, List<Machine>> byZone = new HashMap<>();
    for (Machine machine : taking) {
      byZone.computeIfAbsent(machine.zone(), zone -> new ArrayList<>()).add(machine);
    }
    for (HeadroomRow row : rows) {
      JobSpec spec = row.spec();
      row.slotsByZone()
          .forEach(
              (zone, places) -> {
                List<Machine> machines = byZone.getOrDefault(zone, List.of());
                int left = reserveInZone(row, spec, places, machines, held);
                if (left > 0) {
                  missingSlots.computeIfAbsent(row.key(), key -> new HashMap<>()).put(zone, left);
                }
              });
    }
  }

  private int reserveInZone(
      HeadroomRow row, JobSpec spec, int places, List<Machine> machines, Map<Machine, Job> held) {
    int left = places;
    for (int pass = 0; pass < 3 && left > 0; pass++) {
      for (Machine machine : machines) {
        if (left > 0 && countsAsSlot(machine) && preferencePass(machine, row) == pass) {
          left -= reserveOn(machine, row, spec, left, held);
        }
      }
    }
    int lacks = left;
    // What is left of machines that go soon is no place for replicas, and not given away either.
    for (Machine machine : machines) {
      if (left > 0 && !countsAsSlot(machine)) {
        left -= reserveOn(machine, row, spec, left, held);
      }
    }
    return lacks;
  }

  private static boolean countsAsSlot(Machine machine) {
    return machine.duty() == Duty.IN_USE;
  }

  private int preferencePass(Machine machine, HeadroomRow row) {
    if (machine.hasImage(row.image())) {
      return 0;
    }
    MachineReservation old = previous.get(machine);
    return old != null && old.slots.containsKey(row.key()) ? 1 : 2;
  }

  private int reserveOn(
      Machine machine, HeadroomRow row, JobSpec spec, int most, Map<Machine, Job> held) {
    if (!spec.allows(machine.type().name(), machine.zone(), machine.spot())) {
      return 0;
    }
    Resources free = unreserved(machine);
    Job holder = held.get(machine);
    if (holder != null && holder.spec().service() && !row.key().covers(holder.spec())) {
      free = free.minus(holder.spec().resources());
    }
    int places = Math.min(most, free.capacityFor(row.key().resources()));
    if (places > 0) {
      MachineReservation here =
          reservations.computeIfAbsent(machine, m -> new MachineReservation());
      here.resources = here.resources.plus(row.key().resources().times(places));
      here.slots.merge(row.key(), places, Integer::sum);
      if (machine.hasImage(row.image())) {
        // Beyond the stated share it is no loss if another image takes its place.
        if (warmSlots(row.key()) < targetWarmSlots(row)) {
          here.images.add(row.image());
        }
        warmSlots.merge(row.key(), places, Integer::sum);
      }
    }
    return places;
  }

  /** What is free on a machine beyond all that is kept. */
  Resources unreserved(Machine machine) {
    MachineReservation here = reservations.get(machine);
    return here == null ? machine.free() : machine.free().minus(here.resources);
  }

  /** What is free on a machine for replicas of a shape, or for any other task if there is none. */
  Resources freeFor(HeadroomRow.HeadroomKey key, Machine machine) {
    MachineReservation here = reservations.get(machine);
    if (here == null) {
      return machine.free();
    }
    Resources free = machine.free().minus(here.resources);
    int places = key == null ? 0 : here.slots.getOrDefault(key, 0);
    return places == 0 ? free : free.plus(key.resources().times(places));
  }

  /** Places that are kept on a machine for replicas of a shape. */
  int slotsOn(HeadroomRow.HeadroomKey key, Machine machine) {
    MachineReservation here = reservations.get(machine);
    return here == null ? 0 : here.slots.getOrDefault(key, 0);
  }

  /** Whether an image that is kept on a machine would have to go for another one. */
  boolean evictsReservedImage(JobSpec spec, Machine machine) {
    MachineReservation here = reservations.get(machine);
    if (here == null || machine.hasImage(spec.image())) {
      return false;
    }
    for (String image : here.images) {
      if (machine.pushesOut(image, spec.imageGb())) {
        return true;
      }
    }
    return false;
  }

  /** For each shape, how many places there should be more in each zone. */
  Map<HeadroomRow.HeadroomKey, Map<String, Integer>> missingSlots() {
    return missingSlots;
  }

  private double targetWarmSlots(HeadroomRow row) {
    return Math.ceil(warmShareByName.getOrDefault(row.key().name(), 0.0) * row.totalSlots() - 1e-9);
  }

  /** Places that are kept where the image is. */
  int warmSlots(HeadroomRow.HeadroomKey key) {
    return warmSlots.getOrDefault(key, 0);
  }
}
