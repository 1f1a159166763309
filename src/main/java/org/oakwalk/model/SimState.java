package org.oakwalk.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.oakwalk.core.JobId;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KeyChange;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/** Simulated state service that follows the published protocol. */
final class SimState {
  private static final int PAGE_SIZE = 200;

  private record StoredEntry(StoredValue value, long revision, Long leaseId) {}

  private static final class StoredLease {
    long ttlMillis;
    long expiresAt;
  }

  /**
   * An open watch. While its node is refused it is not answered; afterwards it delivers all missed
   * changes.
   */
  private record PendingWatch(
      Request.Watch request,
      Consumer<Answer> callback,
      long expiresAt,
      BooleanSupplier nodeRefused) {}

  private final Timeline time;
  private final TreeMap<String, StoredEntry> keys = new TreeMap<>();
  private final Map<Long, StoredLease> leases = new HashMap<>();
  private final ChangeHistory history;
  private final Optional<StoreRateLimiter> rateLimiter;
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private final Set<PendingWatch> delayedWatches =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private long revision;
  private long lastLeaseId;
  private long downUntil;
  private int writeCount;
  private int requestCount;
  private int pollCount;
  private int rateLimitedCount;

  /**
   * Creates a service without any keys.
   *
   * @param rates limits on requests and writes; unlimited if empty
   * @param changes number of changes kept in the history for watches
   */
  SimState(Timeline time, Optional<StoreRateLimiter> rates, int changes) {
    this.time = time;
    this.rateLimiter = rates;
    this.history = new ChangeHistory(changes);
    time.after(50, this::tick);
  }

  int writeCount() {
    return writeCount;
  }

  int requestCount() {
    return requestCount;
  }

  /** Returns the number of watch requests that do not wait for changes. */
  int pollCount() {
    return pollCount;
  }

  /** Returns the number of requests refused by the rate limit. */
  int rateLimitedCount() {
    return rateLimitedCount;
  }

  /** Returns the value stored under a key. */
  Optional<StoredValue> value(String key) {
    return Optional.ofNullable(keys.get(key)).map(StoredEntry::value);
  }

  /** Returns the number of keys with a prefix. */
  long countKeys(String prefix) {
    return keys.keySet().stream().filter(key -> key.startsWith(prefix)).count();
  }

  /** Returns true if a job is stored in phase {@code OPEN}. */
  boolean isOpen(JobId job) {
    return value(StoreKeys.job(job)).orElse(null) instanceof JobRecord record
        && record.phase() == JobRecord.Phase.OPEN;
  }

  /** Returns the rows of a shared record, as its head refers to them. */
  List<SharedRow> rows(String name) {
    if (!(value(StoreKeys.sharedHead(name)).orElse(null) instanceof StoredValue.SharedHead head)) {
      return List.of();
    }
    List<SharedRow> rows = new ArrayList<>(head.rows());
    for (int i = 0; i < head.partCount(); i++) {
      if (value(StoreKeys.sharedPart(name, head.slot(), i)).orElse(null)
          instanceof StoredValue.SharedPart part) {
        rows.addAll(part.rows());
      }
    }
    return rows;
  }

  /** Appends a row to a shared record, bypassing the transactions that leaders use. */
  void appendRow(String name, SharedRow row) {
    List<SharedRow> rows = new ArrayList<>(rows(name));
    rows.add(row);
    revision++;
    keys.put(
        StoreKeys.sharedHead(name),
        new StoredEntry(new StoredValue.SharedHead(revision, 0, 0, rows), revision, null));
  }

  boolean isDown() {
    return time.now() < downUntil;
  }

  /** Makes the service unavailable. At the end of the outage every lease has its full TTL again. */
  void outage(double seconds) {
    downUntil = time.now() + Math.round(seconds * 1000);
    leases.values().forEach(hold -> hold.expiresAt = downUntil + hold.ttlMillis);
  }

  private void tick() {
    if (!isDown()) {
      List<Long> ended = new ArrayList<>();
      leases.forEach(
          (id, hold) -> {
            if (hold.expiresAt < time.now()) {
              ended.add(id);
            }
          });
      ended.forEach(this::endLease);
      for (PendingWatch watcher : List.copyOf(pendingWatches)) {
        if (watcher.nodeRefused().getAsBoolean()) {
          delayedWatches.add(watcher);
        } else if (delayedWatches.remove(watcher) && notifyWatch(watcher)) {
          continue;
        } else if (watcher.expiresAt() <= time.now()) {
          pendingWatches.remove(watcher);
          watcher.callback().accept(new Answer.Changes(new Revision(revision), List.of()));
        }
      }
    }
    time.after(50, this::tick);
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> removedKeys = new ArrayList<>();
    keys.forEach(
        (key, kept) -> {
          if (kept.leaseId() != null && kept.leaseId() == id) {
            removedKeys.add(key);
          }
        });
    if (!removedKeys.isEmpty()) {
      revision++;
      removedKeys.forEach(this::remove);
      notifyWatches();
    }
  }

  private void remove(String key) {
    keys.remove(key);
    history.add(new KeyChange(key, Optional.empty(), new Revision(revision)));
  }

  /** Commits a transaction late and without an answer. An outage delays it further. */
  void commitLate(Request.Commit commit) {
    if (isDown()) {
      time.after(downUntil - time.now(), () -> commitLate(commit));
    } else {
      requestCount++;
      commit(commit);
    }
  }

  /**
   * Serves a request.
   *
   * @param refused true while the service refuses the requesting node alone
   */
  void serve(Request.StateServiceRequest request, Consumer<Answer> then, BooleanSupplier refused) {
    requestCount++;
    pollCount += request instanceof Request.Watch watch && watch.maxWait().millis() == 0 ? 1 : 0;
    if (isDown()) {
      then.accept(new Answer.Refused(503, "state service unavailable"));
    } else if (rateLimiter.isPresent() && !rateLimiter.get().tryAcquire(request.writeCount())) {
      rateLimitedCount++;
      then.accept(new Answer.Refused(429, "rate limit exceeded"));
    } else if (request instanceof Request.ReadPage read) {
      then.accept(page(read));
    } else if (request instanceof Request.Watch watch) {
      watch(watch, then, refused);
    } else if (request instanceof Request.Commit commit) {
      then.accept(commit(commit));
    } else if (request instanceof Request.GrantLease grant) {
      StoredLease lease = new StoredLease();
      lease.ttlMillis = grant.ttl().millis();
      lease.expiresAt = time.now() + lease.ttlMillis;
      leases.put(++lastLeaseId, lease);
      then.accept(new Answer.LeaseGranted(new LeaseId(lastLeaseId)));
    } else if (request instanceof Request.RenewLease renew) {
      StoredLease lease = leases.get(renew.lease().value());
      if (lease == null) {
        then.accept(new Answer.Refused(404, "no such lease"));
      } else {
        lease.expiresAt = time.now() + lease.ttlMillis;
        then.accept(new Answer.Ok());
      }
    } else if (request instanceof Request.RevokeLease revoke) {
      endLease(revoke.lease().value());
      then.accept(new Answer.Ok());
    }
  }

  private Answer page(Request.ReadPage read) {
    List<Entry> entries = new ArrayList<>();
    for (Map.Entry<String, StoredEntry> entry :
        keys.tailMap(read.after().orElse(read.prefix()), read.after().isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(read.prefix())) {
        break;
      }
      if (entries.size() == PAGE_SIZE) {
        return new Answer.Page(entries, true, new Revision(revision));
      }
      StoredEntry stored = entry.getValue();
      entries.add(new Entry(entry.getKey(), stored.value(), new Revision(stored.revision())));
    }
    return new Answer.Page(entries, false, new Revision(revision));
  }

  private void watch(Request.Watch watch, Consumer<Answer> then, BooleanSupplier refused) {
    List<KeyChange> changes = history.changesFor(watch);
    if (history.isTruncatedAfter(watch.after())) {
      then.accept(new Answer.Refused(410, "revision too old"));
    } else if (!changes.isEmpty() || watch.maxWait().millis() == 0) {
      then.accept(new Answer.Changes(new Revision(revision), changes));
    } else {
      pendingWatches.add(
          new PendingWatch(watch, then, time.now() + watch.maxWait().millis(), refused));
    }
  }

  private Answer commit(Request.Commit commit) {
    writeCount += commit.changes().size();
    List<String> failed = new ArrayList<>();
    for (Guard guard : commit.guards()) {
      StoredEntry stored = keys.get(guard.key());
      if ((stored == null ? 0 : stored.revision()) != guard.revision().value()) {
        failed.add(guard.key());
      }
    }
    if (!failed.isEmpty()) {
      return new Answer.Conflict(failed);
    }
    for (Change change : commit.changes()) {
      if (change instanceof Change.Put put
          && put.lease().isPresent()
          && !leases.containsKey(put.lease().get().value())) {
        return new Answer.Refused(400, "no such lease");
      }
    }
    revision++;
    for (Change change : commit.changes()) {
      if (change instanceof Change.Put put) {
        keys.put(
            put.key(),
            new StoredEntry(put.value(), revision, put.lease().map(LeaseId::value).orElse(null)));
        history.add(new KeyChange(put.key(), Optional.of(put.value()), new Revision(revision)));
      } else if (change instanceof Change.Remove remove) {
        remove(remove.key());
      }
    }
    notifyWatches();
    return new Answer.Committed(new Revision(revision));
  }

  /** Loses a key, as by a fault of the service. */
  void loseKey(String key) {
    revision++;
    remove(key);
    notifyWatches();
  }

  /** Replaces the values under a prefix with values that no version can decode. */
  void corruptValues(String prefix) {
    revision++;
    for (Map.Entry<String, StoredEntry> entry : keys.tailMap(prefix).entrySet()) {
      if (entry.getKey().startsWith(prefix)) {
        StoredValue.Unreadable value = new StoredValue.Unreadable("damaged");
        entry.setValue(new StoredEntry(value, revision, entry.getValue().leaseId()));
        history.add(new KeyChange(entry.getKey(), Optional.of(value), new Revision(revision)));
      }
    }
    notifyWatches();
  }

  private void notifyWatches() {
    for (PendingWatch watcher : List.copyOf(pendingWatches)) {
      if (watcher.nodeRefused().getAsBoolean()) {
        delayedWatches.add(watcher);
      } else {
        notifyWatch(watcher);
      }
    }
  }

  /** Answers a watch if there are changes for it, and returns true if it was answered. */
  private boolean notifyWatch(PendingWatch watcher) {
    List<KeyChange> changes = history.changesFor(watcher.request());
    if (history.isTruncatedAfter(watcher.request().after())) {
      pendingWatches.remove(watcher);
      delayedWatches.remove(watcher);
      watcher.callback().accept(new Answer.Refused(410, "revision too old"));
      return true;
    }
    if (changes.isEmpty()) {
      return false;
    }
    pendingWatches.remove(watcher);
    delayedWatches.remove(watcher);
    watcher.callback().accept(new Answer.Changes(new Revision(revision), changes));
    return true;
  }
}
