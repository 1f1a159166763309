package org.oakwalk.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.headroom.HeadroomController;
import org.oakwalk.core.headroom.HeadroomRow;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Checks that no batch task starts in room that the stored headroom record reserves for replicas,
 * against the actual use of the simulated machines.
 *
 * <p>A start is ordered some time before it is seen here, and the leader may not have known of a
 * machine failure by then. A start is therefore a violation only if no sample within the lookback
 * period (the lease duration plus a margin) has an unreserved slot for it. Each unreserved slot
 * excuses one start.
 *
 * <p>For the same period, the slots of a failed machine still count: its leader keeps reserving
 * them until it detects the failure, and treats room that becomes free elsewhere as unreserved. In
 * the drawn cases 30066 and 30272, two of three reserved slots were on a machine that had failed
 * 1.2 s before, and the leader detected the silence 4.3 s later.
 */
final class HeadroomRule {
  /** Time beyond the lease duration after which a leader has to know of a failed machine. */
  private static final long LOOKBACK_MARGIN_MS = 5000;

  private static final long SAMPLE_INTERVAL_MS = 500;

  /** The headroom for one replica size in one zone. */
  private record HeadroomPool(HeadroomRow.HeadroomKey key, String zone) {}

  private static final class SlotSample {
    final long at;
    int unreservedSlots;

    SlotSample(long at, int unreservedSlots) {
      this.at = at;
      this.unreservedSlots = unreservedSlots;
    }
  }

  /** A failed machine, with the number of slots it had. */
  private record LostMachine(long diedAt, int slots) {}

  /** The slots of a pool: the current ones by machine, and samples of the unreserved ones. */
  private static final class SlotTally {
    final Deque<SlotSample> samples = new ArrayDeque<>();
    final Map<SimWorker, Integer> slotsByMachine = new HashMap<>();
    final Map<SimWorker, LostMachine> lostMachines = new HashMap<>();
    int totalSlots;

    void setSlots(SimWorker worker, int count) {
      Integer before = slotsByMachine.put(worker, count);
      totalSlots += count - (before == null ? 0 : before);
    }

    /**
     * Clears the slots by machine, but remembers those of failed machines for the lookback period.
     */
    void reset(long at, long window) {
      slotsByMachine.forEach(
          (worker, count) -> {
            if (!worker.isAlive()) {
              lostMachines.putIfAbsent(worker, new LostMachine(at, count));
            }
          });
      lostMachines.values().removeIf(lost -> lost.diedAt() < at - window);
      slotsByMachine.clear();
      totalSlots = 0;
    }

    void addSample(long at, int reservedSlots, long window) {
      int lost = lostMachines.values().stream().mapToInt(LostMachine::slots).sum();
      samples.add(new SlotSample(at, totalSlots + lost - reservedSlots));
      while (samples.peek().at < at - window) {
        samples.poll();
      }
    }
  }

  private final World world;
  private final Map<HeadroomPool, SlotTally> tallies = new HashMap<>();

  HeadroomRule(World world) {
    this.world = world;
  }

  /**
   * Returns the stored headroom rows, or none if no product terms are stored or the record is
   * incomplete.
   */
  static List<HeadroomRow> storedRows(World world) {
    boolean declared =
        world
            .state
            .value(StoreKeys.PRODUCT_TERMS)
            .filter(StoredValue.ProductRecord.class::isInstance)
            .isPresent();
    Optional<StoredValue> found =
        world.state.value(StoreKeys.sharedHead(HeadroomController.RECORD_NAME));
    if (!declared || !(found.orElse(null) instanceof StoredValue.SharedHead head)) {
      return List.of();
    }
    List<SharedRow> rows = new ArrayList<>(head.rows());
    for (int i = 0; i < head.partCount(); i++) {
      String key = StoreKeys.sharedPart(HeadroomController.RECORD_NAME, head.slot(), i);
      if (world.state.value(key).orElse(null) instanceof StoredValue.SharedPart part) {
        rows.addAll(part.rows());
      } else {
        return List.of();
      }
    }
    return rows.stream().map(HeadroomRow.class::cast).toList();
  }

  /** Recounts the slots of all machines. Called periodically. */
  void tick() {
    Set<HeadroomPool> reservedPools = new HashSet<>();
    for (HeadroomRow row : storedRows(world)) {
      row.slotsByZone()
          .forEach(
              (zone, reservedSlots) -> {
                HeadroomPool pool = new HeadroomPool(row.key(), zone);
                reservedPools.add(pool);
                SlotTally tally = tallies.computeIfAbsent(pool, p -> new SlotTally());
                tally.reset(world.time.now(), lookbackMillis());
                for (SimWorker worker : world.workers.values()) {
                  if (canProvide(row, zone, worker)) {
                    tally.setSlots(
                        worker, freeResources(worker).capacityFor(row.key().resources()));
                  }
                }
                tally.addSample(world.time.now(), reservedSlots, lookbackMillis());
              });
    }
    tallies.keySet().retainAll(reservedPools);
  }

  private long lookbackMillis() {
    return world.settings.workers().leaseDuration().millis() + LOOKBACK_MARGIN_MS;
  }

  private static Resources freeResources(SimWorker worker) {
    return worker.type.resources().minus(worker.usedResources());
  }

  /** Whether slots on a worker count towards a headroom row in a zone. */
  private static boolean canProvide(HeadroomRow row, String zone, SimWorker worker) {
    return worker.pool.zone().equals(zone)
        && worker.isAlive()
        && (row.machineTypes().isEmpty() || row.machineTypes().contains(worker.type.name()))
        && (row.spotAllowed() || !worker.pool.spot());
  }

  /** Records that a worker has released resources. */
  void resourcesFreed(SimWorker worker) {
    if (!tallies.isEmpty()) {
      recordAllocation(worker, Resources.NONE, false);
    }
  }

  /**
   * Records that a worker is about to allocate resources to a task, and returns a description of
   * the violated reservation, if any.
   */
  Optional<String> beforeAllocation(SimWorker worker, JobSpec spec) {
    return tallies.isEmpty()
        ? Optional.empty()
        : recordAllocation(worker, spec.resources(), !spec.service());
  }

  /** Samples the pools of a worker before an allocation and deducts the slots that it uses up. */
  private Optional<String> recordAllocation(SimWorker worker, Resources taken, boolean batch) {
    Optional<String> violation = Optional.empty();
    String zone = worker.pool.zone();
    long now = world.time.now();
    for (HeadroomRow row : storedRows(world)) {
      SlotTally tally = tallies.get(new HeadroomPool(row.key(), zone));
      if (tally == null || !canProvide(row, zone, worker)) {
        continue;
      }
      Resources free = freeResources(worker);
      int before = free.capacityFor(row.key().resources());
      int after = free.minus(taken).capacityFor(row.key().resources());
      tally.setSlots(worker, before);
      tally.addSample(now, row.slotsByZone().getOrDefault(zone, 0), lookbackMillis());
      tally.setSlots(worker, after);
      int slotsUsed = before - after;
      if (batch && slotsUsed > 0) {
        boolean fullHistory =
            now - tally.samples.peek().at > lookbackMillis() - 2 * SAMPLE_INTERVAL_MS;
        if (fullHistory
            && tally.samples.stream().noneMatch(sample -> sample.unreservedSlots >= slotsUsed)) {
          violation = Optional.of("starts in room reserved for headroom " + row.key());
        }
        tally.samples.forEach(sample -> sample.unreservedSlots -= slotsUsed);
      }
    }
    return violation;
  }
}
