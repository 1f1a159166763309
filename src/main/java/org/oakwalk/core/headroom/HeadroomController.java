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
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.product.HeadroomTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.oakwalk.core.shared.SharedRecords;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps room for more replicas. The amounts by zone are stored; a higher one restrains at once, a
 * lower one only when it is stored, so that a new leader keeps at least what an older one kept.
 */
public final class HeadroomController implements Reserve {
  /** Name of its record. */
  public static final String RECORD_NAME = "headroom";

  private static final Logger LOG = LoggerFactory.getLogger(HeadroomController.class);
  private static final Span TICK_INTERVAL = Span.seconds(1);

  /** A zone without machines keeps its places for so long, which is more than most cuts last. */
  private static final Span ZONE_LOSS_DELAY = Span.seconds(30);

  /** More than all other terms of a machine's distance together. */
  private static final double IMAGE_EVICTION_PENALTY = 4;

  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Quota quota;
  private final Span suspectAfter;
  private final HeadroomCalculator calculator;
  private final HeadroomAllocator allocator = new HeadroomAllocator();
  private final HeadroomPreemptor preemptor;
  private final Map<String, Moment> zoneLastLive = new HashMap<>();
  private final Map<String, Double> warmShares = new HashMap<>();
  private final Set<HeadroomRow.HeadroomKey> reportedMissing = new HashSet<>();
  private Optional<SharedRecord<HeadroomRow>> record = Optional.empty();
  private List<HeadroomRow> targetRows = List.of();
  private List<HeadroomRow> activeRows = List.of();
  private Moment nextTick = new Moment(Long.MIN_VALUE / 2);
  private JobSpec cachedSpec;
  private HeadroomRow.HeadroomKey cachedKey;

  /**
   * Keeps nothing until its record is known.
   *
   * @param mayStop whether budgets allow that tasks are stopped
   */
  public HeadroomController(
      Fleet fleet,
      JobRegistry jobs,
      Quota quota,
      Settings settings,
      Predicate<List<Placement>> mayStop) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.quota = quota;
    this.suspectAfter = settings.workers().suspectAfter();
    this.calculator = new HeadroomCalculator(quota, settings.zones());
    this.preemptor = new HeadroomPreemptor(fleet, mayStop, suspectAfter);
  }

  /** Declares its record. */
  public void declareRecord(SharedRecords shared) {
    record = Optional.of(shared.declare(RECORD_NAME, HeadroomRow.class));
  }

  /** Nothing is declared, or what is declared can't be read. */
  public void disable() {
    activeRows = List.of();
    targetRows = List.of();
  }

  /**
   * Follows the terms; to be called once the record is known.
   *
   * @param recovered whether it is known what older leaders left
   */
  public void tick(List<HeadroomTerms> terms, boolean recovered, Moment now) {
    SharedRecord<HeadroomRow> kept = record.orElseThrow();
    if (kept.isUnusable()) {
      disable();
      return;
    }
    activeRows = maxPerZone(kept.storedRows(), targetRows);
    warmShares.clear();
    terms.forEach(found -> warmShares.put(found.name(), found.warmShare()));
    if (nextTick.isAfter(now)) {
      return;
    }
    nextTick = now.plus(TICK_INTERVAL);
    Set<String> live = liveZones(now);
    if (!recovered) {
      return;
    }
    List<HeadroomRow> target =
        calculator.targetRows(terms, activeRows, jobs.all(), live, fleet.anyUnconfirmed(), now);
    if (!target.equals(targetRows) || kept.isUpToDate() && !target.equals(kept.storedRows())) {
      logChanges(kept.storedRows(), target);
      targetRows = target;
      kept.requestWrite(target);
      activeRows = maxPerZone(kept.storedRows(), targetRows);
    }
    logMissingSlots();
    preemptor.tick(activeRows, allocator, now);
  }

  /** What is stored and what is wanted, whichever is more in each zone. */
  private static List<HeadroomRow> maxPerZone(List<HeadroomRow> stored, List<HeadroomRow> wanted) {
    if (stored.equals(wanted)) {
      return wanted;
    }
    Map<HeadroomRow.HeadroomKey, HeadroomRow> rows = new LinkedHashMap<>();
    stored.forEach(row -> rows.put(row.key(), row));
    for (HeadroomRow row : wanted) {
      HeadroomRow other = rows.get(row.key());
      Map<String, Integer> places = new TreeMap<>(row.slotsByZone());
      if (other != null) {
        other.slotsByZone().forEach((zone, count) -> places.merge(zone, count, Math::max));
      }
      rows.put(row.key(), row.withSlots(row.peakReplicas(), places));
    }
    return List.copyOf(rows.values());
  }

  private Set<String> liveZones(Moment now) {
    for (Machine machine : fleet.machines()) {
      if (machine.takesTasks(now, suspectAfter)) {
        zoneLastLive.put(machine.zone(), now);
      } else {
        // For a new leader, too, patience begins with its rise.
        zoneLastLive.putIfAbsent(machine.zone(), now);
      }
    }
    Set<String> live = new HashSet<>();
    zoneLastLive.forEach(
        (zone, seen) -> {
          if (!now.past(seen, ZONE_LOSS_DELAY)) {
            live.add(zone);
          }
        });
    return live;
  }

  private void logChanges(List<HeadroomRow> stored, List<HeadroomRow> target) {
    Map<HeadroomRow.HeadroomKey, HeadroomRow> before = new HashMap<>();
    stored.forEach(row -> before.put(row.key(), row));
    for (HeadroomRow row : target) {
      HeadroomRow old = before.remove(row.key());
      if (old == null || !old.slotsByZone().equals(row.slotsByZone())) {
        LOG.info(
            "headroom {}: {} places instead of {}, peak {}, {}",
            row.key(),
            row.slotsByZone(),
            old == null ? "none" : old.slotsByZone(),
            row.peakReplicas(),
            calculator.reasonFor(row.key()));
      }
    }
    before.keySet().forEach(key -> LOG.info("headroom {}: ended, no terms or no peak left", key));
  }

  private void logMissingSlots() {
    reportedMissing.removeIf(
        key -> {
          boolean filled = !allocator.missingSlots().containsKey(key);
          if (filled) {
            LOG.info(
                "headroom {}: is full again, {} where the image is", key, allocator.warmSlots(key));
          }
          return filled;
        });
    allocator
        .missingSlots()
        .forEach(
            (key, zones) -> {
              if (reportedMissing.add(key)) {
                LOG.info("headroom {}: places lack, {}", key, zones);
              }
            });
  }

  /** What machines should be held for, beside the open jobs. */
  public List<JobSpec> reservedSpecs() {
    List<JobSpec> specs = new ArrayList<>();
    for (HeadroomRow row : activeRows) {
      if (row.totalSlots() > 0) {
        specs.add(row.spec());
      }
    }
    return specs;
  }

  @Override
  public void survey(Collection<Machine> taking, Map<Machine, Job> held) {
    cachedSpec = null;
    allocator.allocate(activeRows, taking, held, warmShares);
  }

  /** The shape that a job's replicas have, or null. */
  private HeadroomRow.HeadroomKey keyOf(JobSpec spec) {
    if (cachedSpec != spec) {
      cachedSpec = spec;
      cachedKey = null;
      for (HeadroomRow row : activeRows) {
        if (row.key().covers(spec)) {
          cachedKey = row.key();
        }
      }
    }
    return cachedKey;
  }

  @Override
  public Resources free(JobSpec spec, Machine machine) {
    return activeRows.isEmpty() ? machine.free() : allocator.freeFor(keyOf(spec), machine);
  }

  @Override
  public Resources beyond(Machine machine) {
    return allocator.unreserved(machine);
  }

  @Override
  public boolean serves(JobSpec spec, Machine machine) {
    HeadroomRow.HeadroomKey key = activeRows.isEmpty() ? null : keyOf(spec);
    return key != null && allocator.slotsOn(key, machine) > 0;
  }

  @Override
  public boolean withholds(Job job) {
    if (allocator.missingSlots().isEmpty() || job.spec().service()) {
      return false;
    }
    denied(job);
    return allocator.missingSlots().values().stream()
        .flatMap(zones -> zones.keySet().stream())
        .anyMatch(zone -> job.spec().zone().map(zone::equals).orElse(true));
  }

  @Override
  public double strain(JobSpec spec, Machine machine) {
    return !activeRows.isEmpty() && allocator.evictsReservedImage(spec, machine)
        ? IMAGE_EVICTION_PENALTY
        : 0;
  }

  @Override
  public void denied(Job job) {
    boolean kept =
        activeRows.stream()
            .anyMatch(row -> row.totalSlots() > 0 && !row.key().team().equals(job.spec().team()));
    if (kept && quota.guarantees(job)) {
      calculator.addUnplacedGuaranteed(job);
    }
  }

  /** One line on it, for the log. */
  public Optional<String> summary() {
    if (activeRows.isEmpty()) {
      return Optional.empty();
    }
    int places = activeRows.stream().mapToInt(HeadroomRow::totalSlots).sum();
    int lacking =
        allocator.missingSlots().values().stream()
            .flatMap(zones -> zones.values().stream())
            .mapToInt(Integer::intValue)
            .sum();
    return Optional.of("headroom " + places + ", lacking " + lacking);
  }
}
