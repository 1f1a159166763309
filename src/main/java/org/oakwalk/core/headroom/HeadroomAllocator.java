package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * Assigns the reserved slots to machines. Only slot counts are guaranteed, so the assignment is
 * recomputed each round: first on machines that have the image, then on machines that held such
 * slots in the previous round, then on any other.
 */
final class HeadroomAllocator {
  /** Slots reserved on one machine. */
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
   * Reserves as many of the required slots as the machines have room for.
   *
   * @param acceptingMachines the machines that accept tasks
   * @param held machines on which room is being freed for a job
   * @param warmShares by the name of the terms, the share of slots that should be on machines with
   *     the image
   */
  void allocate(
      Collection<HeadroomRow> rows,
      Collection<Machine> acceptingMachines,
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
    for (Machine machine : acceptingMachines) {
      byZone.computeIfAbsent(machine.zone(), zone -> new ArrayList<>()).add(machine);
    }
    for (HeadroomRow row : rows) {
      JobSpec spec = row.spec();
      row.slotsByZone()
          .forEach(
              (zone, slots) -> {
                List<Machine> machines = byZone.getOrDefault(zone, List.of());
                int remaining = reserveInZone(row, spec, slots, machines, held);
                if (remaining > 0) {
                  missingSlots
                      .computeIfAbsent(row.key(), key -> new HashMap<>())
                      .put(zone, remaining);
                }
              });
    }
  }

  private int reserveInZone(
      HeadroomRow row, JobSpec spec, int slots, List<Machine> machines, Map<Machine, Job> held) {
    int remaining = slots;
    for (int pass = 0; pass < 3 && remaining > 0; pass++) {
      for (Machine machine : machines) {
        if (remaining > 0 && countsAsSlot(machine) && preferencePass(machine, row) == pass) {
          remaining -= reserveOn(machine, row, spec, remaining, held);
        }
      }
    }
    int missing = remaining;
    // Machines that are retired soon provide no slots, but their free room is not given away
    // either.
    for (Machine machine : machines) {
      if (remaining > 0 && !countsAsSlot(machine)) {
        remaining -= reserveOn(machine, row, spec, remaining, held);
      }
    }
    return missing;
  }

  private static boolean countsAsSlot(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.ACTIVE;
  }

  /** Returns the pass in which a machine is considered for a row's slots. */
  private int preferencePass(Machine machine, HeadroomRow row) {
    if (machine.hasImage(row.image())) {
      return 0;
    }
    MachineReservation previousReservation = previous.get(machine);
    return previousReservation != null && previousReservation.slots.containsKey(row.key()) ? 1 : 2;
  }

  private int reserveOn(
      Machine machine, HeadroomRow row, JobSpec spec, int maxSlots, Map<Machine, Job> held) {
    if (!spec.allows(machine.type().name(), machine.zone(), machine.spot())) {
      return 0;
    }
    Resources free = unreserved(machine);
    Job holder = held.get(machine);
    if (holder != null && holder.spec().service() && !row.key().covers(holder.spec())) {
      free = free.minus(holder.spec().resources());
    }
    int slots = Math.min(maxSlots, free.capacityFor(row.key().resources()));
    if (slots > 0) {
      MachineReservation reservation =
          reservations.computeIfAbsent(machine, m -> new MachineReservation());
      reservation.resources = reservation.resources.plus(row.key().resources().times(slots));
      reservation.slots.merge(row.key(), slots, Integer::sum);
      if (machine.hasImage(row.image())) {
        // Beyond the declared warm share the image may be evicted by another one.
        if (warmSlots(row.key()) < targetWarmSlots(row)) {
          reservation.images.add(row.image());
        }
        warmSlots.merge(row.key(), slots, Integer::sum);
      }
    }
    return slots;
  }

  /** Returns the free room of a machine beyond all reserved slots. */
  Resources unreserved(Machine machine) {
    MachineReservation reservation = reservations.get(machine);
    return reservation == null ? machine.free() : machine.free().minus(reservation.resources);
  }

  /** Returns the free room of a machine for replicas with this key, or for other tasks if null. */
  Resources freeFor(HeadroomRow.HeadroomKey key, Machine machine) {
    MachineReservation reservation = reservations.get(machine);
    if (reservation == null) {
      return machine.free();
    }
    Resources free = machine.free().minus(reservation.resources);
    int slots = key == null ? 0 : reservation.slots.getOrDefault(key, 0);
    return slots == 0 ? free : free.plus(key.resources().times(slots));
  }

  /** Returns the number of slots reserved on a machine for replicas with this key. */
  int slotsOn(HeadroomRow.HeadroomKey key, Machine machine) {
    MachineReservation reservation = reservations.get(machine);
    return reservation == null ? 0 : reservation.slots.getOrDefault(key, 0);
  }

  /** Returns whether fetching the task's image would evict an image needed by reserved slots. */
  boolean evictsReservedImage(JobSpec spec, Machine machine) {
    MachineReservation reservation = reservations.get(machine);
    if (reservation == null || machine.hasImage(spec.image())) {
      return false;
    }
    for (String image : reservation.images) {
      if (machine.wouldEvictImage(image, spec.imageGb())) {
        return true;
      }
    }
    return false;
  }

  /** Returns, by headroom key and zone, how many slots could not be reserved in the last round. */
  Map<HeadroomRow.HeadroomKey, Map<String, Integer>> missingSlots() {
    return missingSlots;
  }

  private double targetWarmSlots(HeadroomRow row) {
    return Math.ceil(warmShareByName.getOrDefault(row.key().name(), 0.0) * row.totalSlots() - 1e-9);
  }

  /** Returns the number of slots reserved on machines that have the image. */
  int warmSlots(HeadroomRow.HeadroomKey key) {
    return warmSlots.getOrDefault(key, 0);
  }
}
