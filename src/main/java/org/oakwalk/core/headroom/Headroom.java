package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.CapacityReserve;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.oakwalk.core.shared.SharedRecords;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps room for more replicas. The amounts by zone are stored; a higher one restrains at once, a
 * lower one only when it is stored, so that a new leader keeps at least what an older one kept.
 */
public final class Headroom implements CapacityReserve {
  /** Name of its record. */
  public static final String RECORD = "headroom";

  private static final Logger LOG = LoggerFactory.getLogger(Headroom.class);
  private static final Span EVERY = Span.seconds(1);

  /** A zone without machines keeps its places for so long, which is more than most cuts last. */
  private static final Span ZONE_PATIENCE = Span.seconds(30);

  /** More than all other terms of a machine's distance together. */
  private static final double STRAIN = 4;

  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Quota quota;
  private final Span suspectAfter;
  private final Amounts amounts;
  private final Rooms rooms = new Rooms();
  private final Refill refill;
  private final Map<String, Moment> zoneSeen = new HashMap<>();
  private final Map<String, Double> warmShares = new HashMap<>();
  private final Set<HeadroomRow.Key> told = new HashSet<>();
  private Optional<SharedRecord<HeadroomRow>> record = Optional.empty();
  private List<HeadroomRow> wanted = List.of();
  private List<HeadroomRow> inForce = List.of();
  private Moment nextTick = new Moment(Long.MIN_VALUE / 2);
  private JobSpec asked;
  private HeadroomRow.Key askedKey;

  /**
   * Keeps nothing until its record is known.
   *
   * @param mayStop whether budgets allow that tasks are stopped
   */
  public Headroom(
      Fleet fleet,
      JobRegistry jobs,
      Quota quota,
      Settings settings,
      Predicate<List<Placement>> mayStop) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.quota = quota;
    this.suspectAfter = settings.workers().suspectAfter();
    this.amounts = new Amounts(quota, settings.zones());
    this.refill = new Refill(fleet, mayStop, suspectAfter);
  }

  /** Declares its record. */
  public void share(SharedRecords shared) {
    record = Optional.of(shared.declare(RECORD, HeadroomRow.class));
  }

  /** Nothing is declared, or what is declared can't be read. */
  public void off() {
    inForce = List.of();
    wanted = List.of();
  }

  /**
   * Follows the terms; to be called once the record is known.
   *
   * @param recovered whether it is known what older leaders left
   */
  public void tick(List<HeadroomTerms> terms, boolean recovered, Moment now) {
    SharedRecord<HeadroomRow> kept = record.orElseThrow();
    if (kept.isUnusable()) {
      off();
      return;
    }
    inForce = larger(kept.storedRows(), wanted);
    warmShares.clear();
    terms.forEach(found -> warmShares.put(found.name(), found.warm()));
    if (nextTick.isAfter(now)) {
      return;
    }
    nextTick = now.plus(EVERY);
    Set<String> live = live(now);
    if (!recovered) {
      return;
    }
    List<HeadroomRow> target =
        amounts.target(terms, inForce, jobs.all(), live, fleet.anyUnverified(), now);
    if (!target.equals(wanted) || kept.isUpToDate() && !target.equals(kept.storedRows())) {
      say(kept.storedRows(), target);
      wanted = target;
      kept.requestWrite(target);
      inForce = larger(kept.storedRows(), wanted);
    }
    sayLacking();
    refill.tick(inForce, rooms, now);
  }

  /** What is stored and what is wanted, whichever is more in each zone. */
  private static List<HeadroomRow> larger(List<HeadroomRow> stored, List<HeadroomRow> wanted) {
    if (stored.equals(wanted)) {
      return wanted;
    }
    Map<HeadroomRow.Key, HeadroomRow> rows = new LinkedHashMap<>();
    stored.forEach(row -> rows.put(row.key(), row));
    for (HeadroomRow row : wanted) {
      HeadroomRow other = rows.get(row.key());
      Map<String, Integer> places = new TreeMap<>(row.places());
      if (other != null) {
        other.places().forEach((zone, count) -> places.merge(zone, count, Math::max));
      }
      rows.put(row.key(), row.with(row.peak(), places));
    }
    return List.copyOf(rows.values());
  }

  private Set<String> live(Moment now) {
    for (Machine machine : fleet.machines()) {
      if (machine.acceptsTasks(now, suspectAfter)) {
        zoneSeen.put(machine.zone(), now);
      } else {
        // For a new leader, too, patience begins with its rise.
        zoneSeen.putIfAbsent(machine.zone(), now);
      }
    }
    Set<String> live = new HashSet<>();
    zoneSeen.forEach(
        (zone, seen) -> {
          if (!now.isPast(seen, ZONE_PATIENCE)) {
            live.add(zone);
          }
        });
    return live;
  }

  private void say(List<HeadroomRow> stored, List<HeadroomRow> target) {
    Map<HeadroomRow.Key, HeadroomRow> before = new HashMap<>();
    stored.forEach(row -> before.put(row.key(), row));
    for (HeadroomRow row : target) {
      HeadroomRow old = before.remove(row.key());
      if (old == null || !old.places().equals(row.places())) {
        LOG.info(
            "headroom {}: {} places instead of {}, peak {}, {}",
            row.key(),
            row.places(),
            old == null ? "none" : old.places(),
            row.peak(),
            amounts.why(row.key()));
      }
    }
    before.keySet().forEach(key -> LOG.info("headroom {}: ended, no terms or no peak left", key));
  }

  private void sayLacking() {
    told.removeIf(
        key -> {
          boolean filled = !rooms.lacking().containsKey(key);
          if (filled) {
            LOG.info("headroom {}: is full again, {} where the image is", key, rooms.warm(key));
          }
          return filled;
        });
    rooms
        .lacking()
        .forEach(
            (key, zones) -> {
              if (told.add(key)) {
                LOG.info("headroom {}: places lack, {}", key, zones);
              }
            });
  }

  /** What machines should be held for, beside the open jobs. */
  public List<JobSpec> kept() {
    List<JobSpec> specs = new ArrayList<>();
    for (HeadroomRow row : inForce) {
      if (row.total() > 0) {
        specs.add(row.spec());
      }
    }
    return specs;
  }

  @Override
  public void beginRound(Collection<Machine> taking, Map<Machine, Job> held) {
    asked = null;
    rooms.survey(inForce, taking, held, warmShares);
  }

  /** The shape that a job's replicas have, or null. */
  private HeadroomRow.Key keyOf(JobSpec spec) {
    if (asked != spec) {
      asked = spec;
      askedKey = null;
      for (HeadroomRow row : inForce) {
        if (row.key().covers(spec)) {
          askedKey = row.key();
        }
      }
    }
    return askedKey;
  }

  @Override
  public Resources freeFor(JobSpec spec, Machine machine) {
    return inForce.isEmpty() ? machine.free() : rooms.free(keyOf(spec), machine);
  }

  @Override
  public Resources unreserved(Machine machine) {
    return rooms.beyond(machine);
  }

  @Override
  public boolean hasRoomReservedFor(JobSpec spec, Machine machine) {
    HeadroomRow.Key key = inForce.isEmpty() ? null : keyOf(spec);
    return key != null && rooms.on(key, machine) > 0;
  }

  @Override
  public boolean claimsFreedRoom(Job job) {
    if (rooms.lacking().isEmpty() || job.spec().service()) {
      return false;
    }
    onNoRoom(job);
    return rooms.lacking().values().stream()
        .flatMap(zones -> zones.keySet().stream())
        .anyMatch(zone -> job.spec().zone().map(zone::equals).orElse(true));
  }

  @Override
  public double imageEvictionPenalty(JobSpec spec, Machine machine) {
    return !inForce.isEmpty() && rooms.pushesOut(spec, machine) ? STRAIN : 0;
  }

  @Override
  public void onNoRoom(Job job) {
    boolean kept =
        inForce.stream()
            .anyMatch(row -> row.total() > 0 && !row.key().team().equals(job.spec().team()));
    if (kept && quota.withinGuarantee(job)) {
      amounts.claimed(job);
    }
  }

  /** One line on it, for the log. */
  public Optional<String> summary() {
    if (inForce.isEmpty()) {
      return Optional.empty();
    }
    int places = inForce.stream().mapToInt(HeadroomRow::total).sum();
    int lacking =
        rooms.lacking().values().stream()
            .flatMap(zones -> zones.values().stream())
            .mapToInt(Integer::intValue)
            .sum();
    return Optional.of("headroom " + places + ", lacking " + lacking);
  }
}
