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
 * On which machines the places of a round are kept. Amounts alone are promised, so this is found
 * out anew each round: where the image is first, then where they were kept before, then anywhere.
 */
final class Rooms {
  /** What is kept on one machine. */
  private static final class Kept {
    Resources room = Resources.NONE;
    final Map<HeadroomRow.Key, Integer> places = new HashMap<>(2);
    final List<String> images = new ArrayList<>(1);
  }

  private Map<Machine, Kept> kept = new IdentityHashMap<>();
  private Map<Machine, Kept> before = new IdentityHashMap<>();
  private final Map<HeadroomRow.Key, Map<String, Integer>> lacking = new HashMap<>();
  private final Map<HeadroomRow.Key, Integer> warm = new HashMap<>();
  private Map<String, Double> shares = Map.of();

  /**
   * Keeps as many of the places as there are.
   *
   * @param held machines on which room is being made for a job
   * @param warmShares by name, what share of the places of some terms that should be where the
   *     image is
   */
  void survey(
      Collection<HeadroomRow> rows,
      Collection<Machine> taking,
      Map<Machine, Job> held,
      Map<String, Double> warmShares) {
    before = kept;
    kept = new IdentityHashMap<>();
    lacking.clear();
    warm.clear();
    shares = warmShares;
    if (rows.isEmpty()) {
      return;
    }
    Map<String, List<Machine>> byZone = new HashMap<>();
    for (Machine machine : taking) {
      byZone.computeIfAbsent(machine.zone(), zone -> new ArrayList<>()).add(machine);
    }
    for (HeadroomRow row : rows) {
      JobSpec spec = row.spec();
      row.places()
          .forEach(
              (zone, places) -> {
                List<Machine> machines = byZone.getOrDefault(zone, List.of());
                int left = keep(row, spec, places, machines, held);
                if (left > 0) {
                  lacking.computeIfAbsent(row.key(), key -> new HashMap<>()).put(zone, left);
                }
              });
    }
  }

  private int keep(
      HeadroomRow row, JobSpec spec, int places, List<Machine> machines, Map<Machine, Job> held) {
    int left = places;
    for (int pass = 0; pass < 3 && left > 0; pass++) {
      for (Machine machine : machines) {
        if (left > 0 && counts(machine) && pass(machine, row) == pass) {
          left -= keepOn(machine, row, spec, left, held);
        }
      }
    }
    int lacks = left;
    // What is left of machines that go soon is no place for replicas, and not given away either.
    for (Machine machine : machines) {
      if (left > 0 && !counts(machine)) {
        left -= keepOn(machine, row, spec, left, held);
      }
    }
    return lacks;
  }

  private static boolean counts(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.ACTIVE;
  }

  private int pass(Machine machine, HeadroomRow row) {
    if (machine.hasImage(row.image())) {
      return 0;
    }
    Kept old = before.get(machine);
    return old != null && old.places.containsKey(row.key()) ? 1 : 2;
  }

  private int keepOn(
      Machine machine, HeadroomRow row, JobSpec spec, int most, Map<Machine, Job> held) {
    if (!spec.allows(machine.type().name(), machine.zone(), machine.spot())) {
      return 0;
    }
    Resources free = beyond(machine);
    Job holder = held.get(machine);
    if (holder != null && holder.spec().service() && !row.key().covers(holder.spec())) {
      free = free.minus(holder.spec().resources());
    }
    int places = Math.min(most, free.capacityFor(row.key().room()));
    if (places > 0) {
      Kept here = kept.computeIfAbsent(machine, m -> new Kept());
      here.room = here.room.plus(row.key().room().times(places));
      here.places.merge(row.key(), places, Integer::sum);
      if (machine.hasImage(row.image())) {
        // Beyond the stated share it is no loss if another image takes its place.
        if (warm(row.key()) < warmWanted(row)) {
          here.images.add(row.image());
        }
        warm.merge(row.key(), places, Integer::sum);
      }
    }
    return places;
  }

  /** What is free on a machine beyond all that is kept. */
  Resources beyond(Machine machine) {
    Kept here = kept.get(machine);
    return here == null ? machine.free() : machine.free().minus(here.room);
  }

  /** What is free on a machine for replicas of a shape, or for any other task if there is none. */
  Resources free(HeadroomRow.Key key, Machine machine) {
    Kept here = kept.get(machine);
    if (here == null) {
      return machine.free();
    }
    Resources free = machine.free().minus(here.room);
    int places = key == null ? 0 : here.places.getOrDefault(key, 0);
    return places == 0 ? free : free.plus(key.room().times(places));
  }

  /** Places that are kept on a machine for replicas of a shape. */
  int on(HeadroomRow.Key key, Machine machine) {
    Kept here = kept.get(machine);
    return here == null ? 0 : here.places.getOrDefault(key, 0);
  }

  /** Whether an image that is kept on a machine would have to go for another one. */
  boolean pushesOut(JobSpec spec, Machine machine) {
    Kept here = kept.get(machine);
    if (here == null || machine.hasImage(spec.image())) {
      return false;
    }
    for (String image : here.images) {
      if (machine.wouldEvictImage(image, spec.imageGb())) {
        return true;
      }
    }
    return false;
  }

  /** For each shape, how many places there should be more in each zone. */
  Map<HeadroomRow.Key, Map<String, Integer>> lacking() {
    return lacking;
  }

  private double warmWanted(HeadroomRow row) {
    return Math.ceil(shares.getOrDefault(row.key().name(), 0.0) * row.total() - 1e-9);
  }

  /** Places that are kept where the image is. */
  int warm(HeadroomRow.Key key) {
    return warm.getOrDefault(key, 0);
  }
}
