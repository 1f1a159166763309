package org.oakwalk.core.shared;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shared records that a leader keeps in the store for its successors. They are read once, and
 * from then on written by this leader alone, guarded by the leader key. All records together are
 * limited to a fixed share of the state service's write rate, so that job acceptance, withdrawals
 * and results take precedence.
 */
public final class SharedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(SharedRecords.class);
  private static final TimeSpan READ_RETRY_DELAY = TimeSpan.millis(250);

  /** Fraction of the state service's write rate that all records together may use. */
  private static final double WRITE_RATE_SHARE = 0.1;

  private final Outbox outbox;
  private final Guard leaderGuard;
  private final Settings.StateLimits limits;
  private final Map<String, StoredSharedRecord<?>> records = new TreeMap<>();
  private final Map<String, StoredValue> loadedValues = new HashMap<>();
  private final Map<String, Revision> loadedRevisions = new HashMap<>();
  private Optional<String> lastLoadedKey = Optional.empty();
  private boolean readPending;
  private boolean loaded;
  private MonotonicTime nextTry = new MonotonicTime(Long.MIN_VALUE / 2);
  private int firstRecord;
  private double writeTokens;
  private MonotonicTime refilledAt;

  /**
   * Creates the set of records; nothing is read before the first tick.
   *
   * @param leaderGuard holds as long as this node is the leader
   */
  public SharedRecords(Outbox outbox, Guard leaderGuard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.leaderGuard = leaderGuard;
    this.limits = limits;
  }

  /**
   * Declares a record; must be called before the first tick.
   *
   * @param name unique name, letters only; part of the record's keys
   * @param rows type of the rows; the record is unusable if a stored row is of another type
   */
  public <R extends SharedRow> SharedRecord<R> declare(String name, Class<R> rows) {
    StoredSharedRecord<R> record =
        new StoredSharedRecord<>(name, rows, outbox, leaderGuard, limits);
    records.put(name, record);
    return record;
  }

  /** Returns true once all records have been read. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Reads the records once, then writes pending rows as far as the write rate share allows. */
  public void tick(MonotonicTime now) {
    if (!loaded) {
      read(now);
      return;
    }
    refill(now);
    // Starts with another record each time, so that none starves the others.
    List<StoredSharedRecord<?>> ordered = new ArrayList<>(records.values());
    Collections.rotate(ordered, -firstRecord);
    for (StoredSharedRecord<?> record : ordered) {
      if (writeTokens <= 0) {
        return;
      }
      writeTokens -= record.tick(now);
    }
    firstRecord = ordered.isEmpty() ? 0 : (firstRecord + 1) % ordered.size();
  }

  /**
   * Refills the write tokens, up to one second's worth but at least one. A commit may overdraw
   * them.
   */
  private void refill(MonotonicTime now) {
    double perSecond = limits.writesPerSecond() * WRITE_RATE_SHARE;
    if (refilledAt != null) {
      writeTokens += now.since(refilledAt).asSeconds() * perSecond;
    }
    writeTokens = Math.min(writeTokens, Math.max(1, perSecond));
    refilledAt = now;
  }

  private void read(MonotonicTime now) {
    if (readPending || nextTry.isAfter(now)) {
      return;
    }
    readPending = true;
    outbox.call(
        new Request.ReadPage(StoreKeys.SHARED_PREFIX, lastLoadedKey, Request.Urgency.LEADERSHIP),
        answer -> {
          readPending = false;
          if (!(answer instanceof Answer.Page page)) {
            nextTry = now.plus(READ_RETRY_DELAY);
            return;
          }
          for (Entry entry : page.entries()) {
            loadedValues.put(entry.key(), entry.value());
            loadedRevisions.put(entry.key(), entry.revision());
          }
          if (page.hasMore() && !page.entries().isEmpty()) {
            lastLoadedKey = Optional.of(page.entries().get(page.entries().size() - 1).key());
          } else {
            finishLoad();
          }
        });
  }

  private void finishLoad() {
    loaded = true;
    List<String> names = new ArrayList<>();
    for (StoredSharedRecord<?> record : records.values()) {
      record.load(loadedValues, loadedRevisions);
      names.add(record.summary());
    }
    loadedValues.clear();
    loadedRevisions.clear();
    if (!names.isEmpty()) {
      LOG.info("shared records loaded: {}", String.join(", ", names));
    }
  }
}
