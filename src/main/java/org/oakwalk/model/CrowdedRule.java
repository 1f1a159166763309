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
final class CrowdedRule {
  private static final long BEYOND_THE_LEASE = 5000;
  private static final long SAMPLES_APART = 500;

  /** The room of a shape in a zone. */
  private record Spot(HeadroomRow.Key key, String zone) {}

  private static final class Sample {
    final long at;
    int slack;

    Sample(long at, int slack) {
      this.at = at;
      this.slack = slack;
    }
  }

  /** A machine has died, with so many places. */
  private record Loss(long at, int places) {}

  /** What was seen of a spot. */
  private static final class Account {
    final Deque<Sample> samples = new ArrayDeque<>();
    final Map<SimWorker, Integer> places = new HashMap<>();
    final Map<SimWorker, Loss> losses = new HashMap<>();
    int total;

    void places(SimWorker worker, int count) {
      Integer before = places.put(worker, count);
      total += count - (before == null ? 0 : before);
    }

    /** Forgets where places are, but for those that died with their machines. */
    void recount(long at, long window) {
      places.forEach(
          (worker, count) -> {
            if (!worker.isAlive()) {
              losses.putIfAbsent(worker, new Loss(at, count));
            }
          });
      losses.values().removeIf(loss -> loss.at() < at - window);
      places.clear();
      total = 0;
    }

    void sample(long at, int amount, long window) {
      int lost = losses.values().stream().mapToInt(Loss::places).sum();
      samples.add(new Sample(at, total + lost - amount));
      while (samples.peek().at < at - window) {
        samples.poll();
      }
    }
  }

  private final World world;
  private final Map<Spot, Account> accounts = new HashMap<>();

  CrowdedRule(World world) {
    this.world = world;
  }

  /** The rows that are in force, as they are stored. */
  static List<HeadroomRow> rows(World world) {
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
    Set<Spot> present = new HashSet<>();
    for (HeadroomRow row : rows(world)) {
      row.places()
          .forEach(
              (zone, amount) -> {
                Spot spot = new Spot(row.key(), zone);
                present.add(spot);
                Account account = accounts.computeIfAbsent(spot, s -> new Account());
                account.recount(world.time.now(), window());
                for (SimWorker worker : world.workers.values()) {
                  if (takes(row, zone, worker)) {
                    account.places(worker, free(worker).capacityFor(row.key().room()));
                  }
                }
                account.sample(world.time.now(), amount, window());
              });
    }
    accounts.keySet().retainAll(present);
  }

  private long window() {
    return world.settings.workers().lease().millis() + BEYOND_THE_LEASE;
  }

  private static Resources free(SimWorker worker) {
    return worker.type.room().minus(worker.usedResources());
  }

  private static boolean takes(HeadroomRow row, String zone, SimWorker worker) {
    return worker.pool.zone().equals(zone)
        && worker.isAlive()
        && (row.types().isEmpty() || row.types().contains(worker.type.name()))
        && (row.spot() || !worker.pool.spot());
  }

  /** A worker has room again. */
  void freesRoom(SimWorker worker) {
    if (!accounts.isEmpty()) {
      look(worker, Resources.NONE, false);
    }
  }

  /** A worker is about to give room to a task; returns what is broken by it. */
  Optional<String> takesRoom(SimWorker worker, JobSpec spec) {
    return accounts.isEmpty() ? Optional.empty() : look(worker, spec.resources(), !spec.service());
  }

  private Optional<String> look(SimWorker worker, Resources taken, boolean batch) {
    Optional<String> breach = Optional.empty();
    String zone = worker.pool.zone();
    long now = world.time.now();
    for (HeadroomRow row : rows(world)) {
      Account account = accounts.get(new Spot(row.key(), zone));
      if (account == null || !takes(row, zone, worker)) {
        continue;
      }
      Resources free = free(worker);
      int before = free.capacityFor(row.key().room());
      int after = free.minus(taken).capacityFor(row.key().room());
      account.places(worker, before);
      account.sample(now, row.places().getOrDefault(zone, 0), window());
      account.places(worker, after);
      int fewer = before - after;
      if (batch && fewer > 0) {
        boolean longKnown = now - account.samples.peek().at > window() - 2 * SAMPLES_APART;
        if (longKnown && account.samples.stream().noneMatch(sample -> sample.slack >= fewer)) {
          breach = Optional.of("starts in room of headroom " + row.key());
        }
        account.samples.forEach(sample -> sample.slack -= fewer);
      }
    }
    return breach;
  }
}
