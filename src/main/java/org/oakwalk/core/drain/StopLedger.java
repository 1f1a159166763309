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
public final class StopLedger {
  private static final long BUCKET_MILLIS = 300_000;
  private static final int BUCKETS = 13;
  private static final int MOST_AT_ONCE = 25;
  private static final Span RETRY = Span.seconds(1);

  private final Outbox outbox;
  private final Guard guard;
  private final Supplier<Revision> seen;
  private final Map<String, Integer> granted = new HashMap<>();
  private final Map<String, Integer> asked = new HashMap<>();
  private final Map<String, Integer> inheritedOpen = new HashMap<>();
  private Map<String, StoredValue.StopCounts> stored;

  /** How the record was last written or found. */
  private Revision stamp;

  private boolean writing;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  /**
   * A ledger that goes on from what older leaders have written.
   *
   * @param guard that this leader leads
   * @param seen how the record stands as far as the copy of the store tells
   */
  public StopLedger(
      Outbox outbox,
      Guard guard,
      Optional<StoredValue.StopsRecord> older,
      Supplier<Revision> seen) {
    this.outbox = outbox;
    this.guard = guard;
    this.seen = seen;
    this.stamp = seen.get();
    this.stored = older.map(StoredValue.StopsRecord::byBudget).orElse(Map.of());
    stored.forEach((budget, stops) -> inheritedOpen.put(budget, stops.notRestarted()));
  }

  /** Whether so many stops have been granted; if not, they are asked for. */
  boolean has(Budget budget, int count) {
    if (granted.getOrDefault(budget.name(), 0) >= count) {
      return true;
    }
    asked.merge(budget.name(), count, Math::max);
    return false;
  }

  /** A granted stop is made. */
  void use(Budget budget) {
    granted.computeIfPresent(budget.name(), (name, left) -> Math.max(0, left - 1));
  }

  /** Tasks that older leaders may have stopped and that may not run again yet. */
  int inheritedOpen(Budget budget) {
    return inheritedOpen.getOrDefault(budget.name(), 0);
  }

  /** Stops that may have been made within the last hour. */
  int withinAnHour(Budget budget, WallTime wall) {
    StoredValue.StopCounts stops = stored.get(budget.name());
    return stops == null
        ? 0
        : recent(stops.grantedByInterval(), wall).values().stream()
            .mapToInt(Integer::intValue)
            .sum();
  }

  private static TreeMap<Long, Integer> recent(Map<Long, Integer> buckets, WallTime wall) {
    long oldest = wall.millis() / BUCKET_MILLIS - BUCKETS + 1;
    TreeMap<Long, Integer> recent = new TreeMap<>(buckets);
    recent.headMap(oldest).clear();
    return recent;
  }

  /**
   * Writes down what was asked for, as far as budgets allow.
   *
   * @param open for each budget, how many of its stopped tasks don't run again yet
   */
  void tick(List<Budget> budgets, Map<Budget, Integer> open, Moment now, WallTime wall) {
    if (writing || asked.isEmpty() || nextTry.isAfter(now)) {
      return;
    }
    Map<String, StoredValue.StopCounts> next = new TreeMap<>(stored);
    Map<String, Integer> more = new HashMap<>();
    for (Budget budget : budgets) {
      int wanted = asked.getOrDefault(budget.name(), 0);
      if (wanted == 0) {
        continue;
      }
      int left =
          budget.stopsPerHour().map(most -> most - withinAnHour(budget, wall)).orElse(MOST_AT_ONCE);
      int chunk = budget.stopsPerHour().map(most -> Math.max(1, most / 20)).orElse(MOST_AT_ONCE);
      int grant = Math.min(left, Math.min(MOST_AT_ONCE, Math.max(wanted, chunk)));
      if (grant > 0) {
        StoredValue.StopCounts old =
            stored.getOrDefault(budget.name(), StoredValue.StopCounts.NONE);
        TreeMap<Long, Integer> buckets = recent(old.grantedByInterval(), wall);
        buckets.merge(wall.millis() / BUCKET_MILLIS, grant, Integer::sum);
        int stopped = open.getOrDefault(budget, 0) + granted.getOrDefault(budget.name(), 0);
        next.put(budget.name(), new StoredValue.StopCounts(stopped + grant, buckets));
        more.put(budget.name(), grant);
      }
    }
    asked.clear();
    if (more.isEmpty()) {
      return;
    }
    writing = true;
    nextTry = now.plus(RETRY);
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(StoreKeys.RECENT_STOPS, stamp)),
            List.of(
                new Change.Put(
                    StoreKeys.RECENT_STOPS, new StoredValue.StopsRecord(next), Optional.empty())),
            Request.Urgency.ROUTINE),
        answer -> {
          writing = false;
          // If the answer was lost it may be stored all the same, now or later; what is written
          // next holds all that was granted, and what was not granted is made by nobody. Applied
          // after that, it would take grants back that were made use of: so each is written only
          // on condition that the record is as last seen.
          if (answer instanceof Answer.Committed committed) {
            stamp = committed.revision();
            stored = next;
            more.forEach((name, grant) -> granted.merge(name, grant, Integer::sum));
          } else if (answer instanceof Answer.Conflict) {
            // The copy of the store tells; if it does not yet, the next try fails as well.
            stamp = seen.get();
          }
        });
  }
}
