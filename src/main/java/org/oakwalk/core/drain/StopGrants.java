package org.oakwalk.core.drain;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Stops that were granted within the last hour, in the store. They are written down a few at a time
 * before the first of them is made, under the guards of the leader key and of the record: so a
 * leader that ends, or wakes up late, has made no more stops than its successor knows of.
 */
public final class StopGrants {
  private static final long INTERVAL_MS = 300_000;
  private static final int INTERVALS_KEPT = 13;
  private static final int MAX_GRANT = 25;
  private static final Span RETRY_INTERVAL = Span.seconds(1);

  private final Outbox outbox;
  private final Guard guard;
  private final Supplier<Revision> latestRevision;
  private final Map<String, Integer> unusedGrants = new HashMap<>();
  private final Map<String, Integer> requested = new HashMap<>();
  private final Map<String, Integer> inheritedNotRestarted = new HashMap<>();
  private Map<String, StoredValue.StopCounts> stored;

  /** How the record was last written or found. */
  private Revision revision;

  private boolean writeInFlight;
  private Moment nextAttemptAt = new Moment(Long.MIN_VALUE / 2);

  /**
   * A ledger that goes on from what older leaders have written.
   *
   * @param guard that this leader leads
   * @param latestRevision how the record stands as far as the copy of the store tells
   */
  public StopGrants(
      Outbox outbox,
      Guard guard,
      Optional<StoredValue.StopsRecord> older,
      Supplier<Revision> seen) {
    this.outbox = outbox;
    this.guard = guard;
    this.latestRevision = seen;
    this.revision = seen.get();
    this.stored = older.map(StoredValue.StopsRecord::byBudget).orElse(Map.of());
    stored.forEach((budget, stops) -> inheritedNotRestarted.put(budget, stops.notRestarted()));
  }

  /** Whether so many stops have been granted; if not, they are asked for. */
  boolean checkOrRequest(DisruptionBudget budget, int count) {
    if (unusedGrants.getOrDefault(budget.name(), 0) >= count) {
      return true;
    }
    requested.merge(budget.name(), count, Math::max);
    return false;
  }

  /** A granted stop is made. */
  void consume(DisruptionBudget budget) {
    unusedGrants.computeIfPresent(budget.name(), (name, left) -> Math.max(0, left - 1));
  }

  /** Tasks that older leaders may have stopped and that may not run again yet. */
  int inheritedNotRestarted(DisruptionBudget budget) {
    return inheritedNotRestarted.getOrDefault(budget.name(), 0);
  }

  /** Stops that may have been made within the last hour. */
  int grantedWithinHour(DisruptionBudget budget, WallTime wall) {
    StoredValue.StopCounts stops = stored.get(budget.name());
    return stops == null
        ? 0
        : recent(stops.grantedByInterval(), wall).values().stream()
            .mapToInt(Integer::intValue)
            .sum();
  }

  private static TreeMap<Long, Integer> recent(Map<Long, Integer> buckets, WallTime wall) {
    long oldest = wall.millis() / INTERVAL_MS - INTERVALS_KEPT + 1;
    TreeMap<Long, Integer> recent = new TreeMap<>(buckets);
    recent.headMap(oldest).clear();
    return recent;
  }

  /**
   * Writes down what was asked for, as far as budgets allow.
   *
   * @param open for each budget, how many of its stopped tasks don't run again yet
   */
  void tick(
      List<DisruptionBudget> budgets,
      Map<DisruptionBudget, Integer> open,
      Moment now,
      WallTime wall) {
    if (writeInFlight || requested.isEmpty() || nextAttemptAt.isAfter(now)) {
      return;
    }
    Map<String, StoredValue.StopCounts> next = new TreeMap<>(stored);
    Map<String, Integer> more = new HashMap<>();
    for (DisruptionBudget budget : budgets) {
      int wanted = requested.getOrDefault(budget.name(), 0);
      if (wanted == 0) {
        continue;
      }
      int left =
          budget
              .maxStopsPerHour()
              .map(most -> most - grantedWithinHour(budget, wall))
              .orElse(MAX_GRANT);
      int chunk = budget.maxStopsPerHour().map(most -> Math.max(1, most / 20)).orElse(MAX_GRANT);
      int grant = Math.min(left, Math.min(MAX_GRANT, Math.max(wanted, chunk)));
      if (grant > 0) {
        StoredValue.StopCounts old =
            stored.getOrDefault(budget.name(), StoredValue.StopCounts.NONE);
        TreeMap<Long, Integer> buckets = recent(old.grantedByInterval(), wall);
        buckets.merge(wall.millis() / INTERVAL_MS, grant, Integer::sum);
        int stopped = open.getOrDefault(budget, 0) + unusedGrants.getOrDefault(budget.name(), 0);
        next.put(budget.name(), new StoredValue.StopCounts(stopped + grant, buckets));
        more.put(budget.name(), grant);
      }
    }
    requested.clear();
    if (more.isEmpty()) {
      return;
    }
    writeInFlight = true;
    nextAttemptAt = now.plus(RETRY_INTERVAL);
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(StoreKeys.RECENT_STOPS, revision)),
            List.of(
                new Change.Put(
                    StoreKeys.RECENT_STOPS, new StoredValue.StopsRecord(next), Optional.empty())),
            Request.Urgency.REST),
        answer -> {
          writeInFlight = false;
          // If the answer was lost it may be stored all the same, now or later; what is written
          // next holds all that was granted, and what was not granted is made by nobody. Applied
          // after that, it would take grants back that were made use of: so each is written only
          // on condition that the record is as last seen.
          if (answer instanceof Answer.Committed committed) {
            revision = committed.epoch();
            stored = next;
            more.forEach((name, grant) -> unusedGrants.merge(name, grant, Integer::sum));
          } else if (answer instanceof Answer.Conflict) {
            // The copy of the store tells; if it does not yet, the next try fails as well.
            revision = latestRevision.get();
          }
        });
  }
}
