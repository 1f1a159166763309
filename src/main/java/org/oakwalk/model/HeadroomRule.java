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
import org.oakwalk.core.headroom.Headroom;
import org.oakwalk.core.headroom.HeadroomRow;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Checks that no batch task starts in room that the stored record keeps for replicas, by what truly
 * is on the machines. A start is ordered some time before it is seen here, and the one who ordered
 * it may not have known yet what has died; so a start is a breach if at no moment within a lease
 * and a little there was a place beyond those that are kept. Each such place excuses one start.
 *
 * <p>For as long, a machine that has died counts with the places that it had: its leader keeps them
 * in good faith, and what comes free elsewhere is beyond them. In the drawn cases 30066 and 30272
 * two of three kept places were on a machine that had died 1.2 s before, and the leader found it
 * silent 4.3 s later.
 */
final class HeadroomRule {
  private static final long LOOKBACK_MARGIN_MS = 5000;
  private static final long SAMPLE_INTERVAL_MS = 500;

  /** The room of a shape in a zone. */
  private record HeadroomPool(HeadroomRow.Key key, String zone) {}

  private static final class SlotSample {
    final long at;
    int unreservedSlots;

    SlotSample(long at, int slack) {
      this.at = at;
      this.unreservedSlots = slack;
    }
  }

  /** A machine has died, with so many places. */
  private record LostMachine(long diedAt, int slots) {}

  /** What was seen of a spot. */
  private static final class SlotTally {
    final Deque<SlotSample> samples = new ArrayDeque<>();
    final Map<SimWorker, Integer> slotsByMachine = new HashMap<>();
    final Map<SimWorker, LostMachine> lostMachines = new HashMap<>();
    int totalSlots;

    void setSlots(SimWorker worker, int count) {
      Integer before = slotsByMachine.put(worker, count);
      totalSlots += count - (before == null ? 0 : before);
    }

    /** Forgets where places are, but for those that died with their machines. */
    void reset(long at, long window) {
      slotsByMachine.forEach(
          (worker, count) -> {
            if (!worker.alive()) {
              lostMachines.putIfAbsent(worker, new LostMachine(at, count));
            }
          });
      lostMachines.values().removeIf(loss -> loss.diedAt() < at - window);
      slotsByMachine.clear();
      totalSlots = 0;
    }

    void addSample(long at, int amount, long window) {
      int lost = lostMachines.values().stream().mapToInt(LostMachine::slots).sum();
      samples.add(new SlotSample(at, totalSlots + lost - amount));
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

  /** The rows that are in force, as they are stored. */
  static List<HeadroomRow> storedRows(World world) {
    boolean declared =
        world
            .state
            .value(StoreKeys.PRODUCT_TERMS)
            .filter(StoredValue.ProductRecord.class::isInstance)
            .isPresent();
    Optional<StoredValue> found = world.state.value(StoreKeys.sharedHead(Headroom.RECORD));
    if (!declared || !(found.orElse(null) instanceof StoredValue.SharedHead head)) {
      return List.of();
    }
    List<SharedRow> rows = new ArrayList<>(head.rows());
    for (int i = 0; i < head.partCount(); i++) {
      String key = StoreKeys.sharedPart(Headroom.RECORD, head.slot(), i);
      if (world.state.value(key).orElse(null) instanceof StoredValue.SharedPart part) {
        rows.addAll(part.rows());
      } else {
        return List.of();
      }
    }
    return rows.stream().map(HeadroomRow.class::cast).toList();
  }

  /** To be called now and then: looks at all machines anew. */
  void tick() {
    Set<HeadroomPool> present = new HashSet<>();
    for (HeadroomRow row : storedRows(world)) {
      row.places()
          .forEach(
              (zone, amount) -> {
                HeadroomPool spot = new HeadroomPool(row.key(), zone);
                present.add(spot);
                SlotTally account = tallies.computeIfAbsent(spot, s -> new SlotTally());
                account.reset(world.time.now(), lookbackMillis());
                for (SimWorker worker : world.workers.values()) {
                  if (canProvide(row, zone, worker)) {
                    account.setSlots(worker, freeResources(worker).capacityFor(row.key().room()));
                  }
                }
                account.addSample(world.time.now(), amount, lookbackMillis());
              });
    }
    tallies.keySet().retainAll(present);
  }

  private long lookbackMillis() {
    return world.settings.workers().lease().millis() + LOOKBACK_MARGIN_MS;
  }

  private static Resources freeResources(SimWorker worker) {
    return worker.type.room().minus(worker.used());
  }

  private static boolean canProvide(HeadroomRow row, String zone, SimWorker worker) {
    return worker.market.zone().equals(zone)
        && worker.alive()
        && (row.types().isEmpty() || row.types().contains(worker.type.name()))
        && (row.spot() || !worker.market.spot());
  }

  /** A worker has room again. */
  void resourcesFreed(SimWorker worker) {
    if (!tallies.isEmpty()) {
      recordAllocation(worker, Resources.NONE, false);
    }
  }

  /** A worker is about to give room to a task; returns what is broken by it. */
  Optional<String> beforeAllocation(SimWorker worker, JobSpec spec) {
    return tallies.isEmpty()
        ? Optional.empty()
        : recordAllocation(worker, spec.resources(), !spec.service());
  }

  private Optional<String> recordAllocation(SimWorker worker, Resources taken, boolean batch) {
    Optional<String> breach = Optional.empty();
    String zone = worker.market.zone();
    long now = world.time.now();
    for (HeadroomRow row : storedRows(world)) {
      SlotTally account = tallies.get(new HeadroomPool(row.key(), zone));
      if (account == null || !canProvide(row, zone, worker)) {
        continue;
      }
      Resources free = freeResources(worker);
      int before = free.capacityFor(row.key().room());
      int after = free.minus(taken).capacityFor(row.key().room());
      account.setSlots(worker, before);
      account.addSample(now, row.places().getOrDefault(zone, 0), lookbackMillis());
      account.setSlots(worker, after);
      int fewer = before - after;
      if (batch && fewer > 0) {
        boolean longKnown =
            now - account.samples.peek().at > lookbackMillis() - 2 * SAMPLE_INTERVAL_MS;
        if (longKnown
            && account.samples.stream().noneMatch(sample -> sample.unreservedSlots >= fewer)) {
          breach = Optional.of("starts in room of headroom " + row.key());
        }
        account.samples.forEach(sample -> sample.unreservedSlots -= fewer);
      }
    }
    return breach;
  }
}
