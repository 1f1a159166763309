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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
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
 * Reserves room for additional replicas of services (headroom). The slot counts by zone are stored.
 * A higher count takes effect at once, a lower one only after it has been stored, so that a new
 * leader reserves at least as much as its predecessor did.
 */
public final class HeadroomController implements CapacityReserve {
  /** Name of the shared record that holds the headroom rows. */
  public static final String RECORD_NAME = "headroom";

  private static final Logger LOG = LoggerFactory.getLogger(HeadroomController.class);
  private static final TimeSpan TICK_INTERVAL = TimeSpan.seconds(1);

  /**
   * Time after which the slots of a zone without usable machines move to other zones; longer than
   * most network partitions last.
   */
  private static final TimeSpan ZONE_LOSS_DELAY = TimeSpan.seconds(30);

  /** Larger than all other terms of the distance between a task and a machine together. */
  private static final double IMAGE_EVICTION_PENALTY = 4;

  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Quota quota;
  private final TimeSpan suspectAfter;
  private final HeadroomCalculator calculator;
  private final HeadroomAllocator allocator = new HeadroomAllocator();
  private final HeadroomPreemptor preemptor;
  private final Map<String, MonotonicTime> zoneLastLive = new HashMap<>();
  private final Map<String, Double> warmShares = new HashMap<>();
  private final Set<HeadroomRow.HeadroomKey> reportedMissing = new HashSet<>();
  private Optional<SharedRecord<HeadroomRow>> record = Optional.empty();
  private List<HeadroomRow> targetRows = List.of();
  private List<HeadroomRow> activeRows = List.of();
  private MonotonicTime nextTick = new MonotonicTime(Long.MIN_VALUE / 2);
  private JobSpec cachedSpec;
  private HeadroomRow.HeadroomKey cachedKey;

  /**
   * Creates a controller that reserves nothing until its record has been loaded.
   *
   * @param mayStop tells whether the disruption budgets allow stopping the given tasks
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

  /** Declares the shared record of the headroom rows. */
  public void declareRecord(SharedRecords shared) {
    record = Optional.of(shared.declare(RECORD_NAME, HeadroomRow.class));
  }

  /** Stops reserving; called when no terms are declared or the stored data is unusable. */
  public void disable() {
    activeRows = List.of();
    targetRows = List.of();
  }

  /**
   * Applies the declared terms. Must be called only after the record has been loaded.
   *
   * @param recovered whether recovery of the state that earlier leaders left is complete
   */
  public void tick(List<HeadroomTerms> terms, boolean recovered, MonotonicTime now) {
    SharedRecord<HeadroomRow> sharedRecord = record.orElseThrow();
    if (sharedRecord.isUnusable()) {
      disable();
      return;
    }
    activeRows = maxPerZone(sharedRecord.storedRows(), targetRows);
    warmShares.clear();
    terms.forEach(each -> warmShares.put(each.name(), each.warmShare()));
    if (nextTick.isAfter(now)) {
      return;
    }
    nextTick = now.plus(TICK_INTERVAL);
    Set<String> liveZones = liveZones(now);
    if (!recovered) {
      return;
    }
    List<HeadroomRow> target =
        calculator.targetRows(terms, activeRows, jobs.all(), liveZones, fleet.anyUnverified(), now);
    if (!target.equals(targetRows)
        || sharedRecord.isUpToDate() && !target.equals(sharedRecord.storedRows())) {
      logChanges(sharedRecord.storedRows(), target);
      targetRows = target;
      sharedRecord.requestWrite(target);
      activeRows = maxPerZone(sharedRecord.storedRows(), targetRows);
    }
    logMissingSlots();
    preemptor.tick(activeRows, allocator, now);
  }

  /** Merges the stored and the target rows, with the higher slot count for each zone. */
  private static List<HeadroomRow> maxPerZone(List<HeadroomRow> stored, List<HeadroomRow> target) {
    if (stored.equals(target)) {
      return target;
    }
    Map<HeadroomRow.HeadroomKey, HeadroomRow> rows = new LinkedHashMap<>();
    stored.forEach(row -> rows.put(row.key(), row));
    for (HeadroomRow row : target) {
      HeadroomRow storedRow = rows.get(row.key());
      Map<String, Integer> slots = new TreeMap<>(row.slotsByZone());
      if (storedRow != null) {
        storedRow.slotsByZone().forEach((zone, count) -> slots.merge(zone, count, Math::max));
      }
      rows.put(row.key(), row.withSlots(row.peakReplicas(), slots));
    }
    return List.copyOf(rows.values());
  }

  private Set<String> liveZones(MonotonicTime now) {
    for (Machine machine : fleet.machines()) {
      if (machine.acceptsTasks(now, suspectAfter)) {
        zoneLastLive.put(machine.zone(), now);
      } else {
        // For a new leader the delay starts with its term.
        zoneLastLive.putIfAbsent(machine.zone(), now);
      }
    }
    Set<String> liveZones = new HashSet<>();
    zoneLastLive.forEach(
        (zone, seen) -> {
          if (!now.isPast(seen, ZONE_LOSS_DELAY)) {
            liveZones.add(zone);
          }
        });
    return liveZones;
  }

  private void logChanges(List<HeadroomRow> stored, List<HeadroomRow> target) {
    Map<HeadroomRow.HeadroomKey, HeadroomRow> previous = new HashMap<>();
    stored.forEach(row -> previous.put(row.key(), row));
    for (HeadroomRow row : target) {
      HeadroomRow previousRow = previous.remove(row.key());
      if (previousRow == null || !previousRow.slotsByZone().equals(row.slotsByZone())) {
        LOG.info(
            "headroom {}: slots by zone {} instead of {}, peak {} replicas, {}",
            row.key(),
            row.slotsByZone(),
            previousRow == null ? "none" : previousRow.slotsByZone(),
            row.peakReplicas(),
            calculator.reasonFor(row.key()));
      }
    }
    previous
        .keySet()
        .forEach(key -> LOG.info("headroom {}: removed, no terms or no recent demand left", key));
  }

  private void logMissingSlots() {
    reportedMissing.removeIf(
        key -> {
          boolean filled = !allocator.missingSlots().containsKey(key);
          if (filled) {
            LOG.info(
                "headroom {}: all slots reserved again, {} on machines with the image",
                key,
                allocator.warmSlots(key));
          }
          return filled;
        });
    allocator
        .missingSlots()
        .forEach(
            (key, zones) -> {
              if (reportedMissing.add(key)) {
                LOG.info("headroom {}: missing slots by zone {}", key, zones);
              }
            });
  }

  /**
   * Returns the reserved slots as job specs, for which machines are needed beside the open jobs.
   */
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
  public void beginRound(Collection<Machine> taking, Map<Machine, Job> held) {
    cachedSpec = null;
    allocator.allocate(activeRows, taking, held, warmShares);
  }

  /** Returns the headroom key that covers a job's replicas, or null. */
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
  public Resources freeFor(JobSpec spec, Machine machine) {
    return activeRows.isEmpty() ? machine.free() : allocator.freeFor(keyOf(spec), machine);
  }

  @Override
  public Resources unreserved(Machine machine) {
    return allocator.unreserved(machine);
  }

  @Override
  public boolean hasResourcesReservedFor(JobSpec spec, Machine machine) {
    HeadroomRow.HeadroomKey key = activeRows.isEmpty() ? null : keyOf(spec);
    return key != null && allocator.slotsOn(key, machine) > 0;
  }

  @Override
  public boolean claimsFreedResources(Job job) {
    if (allocator.missingSlots().isEmpty() || job.spec().service()) {
      return false;
    }
    onPlacementFailed(job);
    return allocator.missingSlots().values().stream()
        .flatMap(zones -> zones.keySet().stream())
        .anyMatch(zone -> job.spec().zone().map(zone::equals).orElse(true));
  }

  @Override
  public double imageEvictionPenalty(JobSpec spec, Machine machine) {
    return !activeRows.isEmpty() && allocator.evictsReservedImage(spec, machine)
        ? IMAGE_EVICTION_PENALTY
        : 0;
  }

  @Override
  public void onPlacementFailed(Job job) {
    boolean reservedForOthers =
        activeRows.stream()
            .anyMatch(row -> row.totalSlots() > 0 && !row.key().team().equals(job.spec().team()));
    if (reservedForOthers && quota.withinGuarantee(job)) {
      calculator.addUnplacedGuaranteed(job);
    }
  }

  /** Returns a short summary for the status log line; empty if no headroom is reserved. */
  public Optional<String> summary() {
    if (activeRows.isEmpty()) {
      return Optional.empty();
    }
    int slots = activeRows.stream().mapToInt(HeadroomRow::totalSlots).sum();
    int missing =
        allocator.missingSlots().values().stream()
            .flatMap(zones -> zones.values().stream())
            .mapToInt(Integer::intValue)
            .sum();
    return Optional.of("headroom " + slots + ", missing " + missing);
  }
}
