package org.oakwalk.core.drain;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Grants for voluntary stops under the disruption budgets, kept in the state store for an hour.
 * Grants are stored in small batches before the first stop of a batch is made, guarded by the
 * revisions of the leader key and of the record. A leader that fails, or resumes after a stall, has
 * therefore made no more stops than its successor knows of.
 */
public final class StopGrants {
  private static final long INTERVAL_MS = 300_000;

  /** Twelve intervals are an hour; one more is kept since the current interval is incomplete. */
  private static final int INTERVALS_KEPT = 13;

  /** Maximum number of stops granted to a budget in one write. */
  private static final int MAX_GRANT = 25;

  private static final TimeSpan RETRY_INTERVAL = TimeSpan.seconds(1);

  private final Outbox outbox;
  private final Guard guard;
  private final Supplier<Revision> latestRevision;
  private final Map<String, Integer> unusedGrants = new HashMap<>();
  private final Map<String, Integer> requested = new HashMap<>();
  private final Map<String, Integer> inheritedNotRestarted = new HashMap<>();
  private Map<String, StoredValue.StopCounts> stored;

  /** Revision at which the record was last written or read. */
  private Revision revision;

  private boolean writeInFlight;
  private MonotonicTime nextAttemptAt = new MonotonicTime(Long.MIN_VALUE / 2);

  /**
   * Creates the grants of a leader from those of earlier leaders.
   *
   * @param guard ensures that writes succeed only while this leader is in office
   * @param older the stored record
   * @param latestRevision returns the record's revision in the local copy of the store
   */
  public StopGrants(
      Outbox outbox,
      Guard guard,
      Optional<StoredValue.StopsRecord> older,
      Supplier<Revision> latestRevision) {
    this.outbox = outbox;
    this.guard = guard;
    this.latestRevision = latestRevision;
    this.revision = latestRevision.get();
    this.stored = older.map(StoredValue.StopsRecord::byBudget).orElse(Map.of());
    stored.forEach((budget, stops) -> inheritedNotRestarted.put(budget, stops.notRestarted()));
  }

  /** Returns whether {@code count} unused grants are available; if not, requests that many. */
  boolean checkOrRequest(DisruptionBudget budget, int count) {
    if (unusedGrants.getOrDefault(budget.name(), 0) >= count) {
      return true;
    }
    requested.merge(budget.name(), count, Math::max);
    return false;
  }

  /** Uses up one grant. */
  void consume(DisruptionBudget budget) {
    unusedGrants.computeIfPresent(budget.name(), (name, left) -> Math.max(0, left - 1));
  }

  /** Tasks that earlier leaders may have stopped and that may not have been restarted yet. */
  int inheritedNotRestarted(DisruptionBudget budget) {
    return inheritedNotRestarted.getOrDefault(budget.name(), 0);
  }

  /** Number of stops that may have been made within the last hour. */
  int grantedWithinHour(DisruptionBudget budget, WallTime wall) {
    StoredValue.StopCounts stops = stored.get(budget.name());
    return stops == null
        ? 0
        : recent(stops.grantedByInterval(), wall).values().stream()
            .mapToInt(Integer::intValue)
            .sum();
  }

  private static TreeMap<Long, Integer> recent(Map<Long, Integer> intervals, WallTime wall) {
    long oldest = wall.millis() / INTERVAL_MS - INTERVALS_KEPT + 1;
    TreeMap<Long, Integer> recent = new TreeMap<>(intervals);
    recent.headMap(oldest).clear();
    return recent;
  }

  /**
   * Stores new grants for the requested stops, as far as the budgets allow.
   *
   * @param notRestarted for each budget, how many of its stopped tasks have not been restarted
   */
  void tick(
      List<DisruptionBudget> budgets,
      Map<DisruptionBudget, Integer> notRestarted,
      MonotonicTime now,
      WallTime wall) {
    if (writeInFlight || requested.isEmpty() || nextAttemptAt.isAfter(now)) {
      return;
    }
    Map<String, StoredValue.StopCounts> next = new TreeMap<>(stored);
    Map<String, Integer> newGrants = new HashMap<>();
    for (DisruptionBudget budget : budgets) {
      int wanted = requested.getOrDefault(budget.name(), 0);
      if (wanted == 0) {
        continue;
      }
      int remaining =
          budget
              .maxStopsPerHour()
              .map(limit -> limit - grantedWithinHour(budget, wall))
              .orElse(MAX_GRANT);
      int batch = budget.maxStopsPerHour().map(limit -> Math.max(1, limit / 20)).orElse(MAX_GRANT);
      int grant = Math.min(remaining, Math.min(MAX_GRANT, Math.max(wanted, batch)));
      if (grant > 0) {
        StoredValue.StopCounts old =
            stored.getOrDefault(budget.name(), StoredValue.StopCounts.NONE);
        TreeMap<Long, Integer> intervals = recent(old.grantedByInterval(), wall);
        intervals.merge(wall.millis() / INTERVAL_MS, grant, Integer::sum);
        int stopped =
            notRestarted.getOrDefault(budget, 0) + unusedGrants.getOrDefault(budget.name(), 0);
        next.put(budget.name(), new StoredValue.StopCounts(stopped + grant, intervals));
        newGrants.put(budget.name(), grant);
      }
    }
    requested.clear();
    if (newGrants.isEmpty()) {
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
            Request.Urgency.ROUTINE),
        answer -> {
          writeInFlight = false;
          // A write whose answer was lost may still be applied, now or later. The next write
          // contains all grants in use, and without an answer no stop is made. If the lost write
          // were applied after the next one, it would revoke grants that have been used; each
          // write is therefore guarded by the revision last seen.
          if (answer instanceof Answer.Committed committed) {
            revision = committed.revision();
            stored = next;
            newGrants.forEach((name, grant) -> unusedGrants.merge(name, grant, Integer::sum));
          } else if (answer instanceof Answer.Conflict) {
            // The local copy provides the new revision; if it is not up to date yet, the next write
            // fails as well.
            revision = latestRevision.get();
          }
        });
  }
}
