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
import org.oakwalk.core.HoldId;
import org.oakwalk.core.JobId;
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

/** Stand-in for the state service, after its published protocol. */
final class SimState {
  private static final int PAGE_SIZE = 200;

  private record StoredEntry(StoredValue value, long revision, Long leaseId) {}

  private static final class StoredLease {
    long ttlMillis;
    long expiresAt;
  }

  /** An open watch. It waits while its node is refused, and then tells all that it has missed. */
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
   * A service without any keys.
   *
   * @param rateLimiter how much it takes a second; without them any amount
   * @param changes how many it keeps for watches
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

  /** Requests that ask what is new without waiting for it. */
  int pollCount() {
    return pollCount;
  }

  /** Requests that were refused as too much. */
  int rateLimitedCount() {
    return rateLimitedCount;
  }

  /** What is stored. */
  Optional<StoredValue> value(String key) {
    return Optional.ofNullable(keys.get(key)).map(StoredEntry::value);
  }

  /** How many keys there are below a prefix. */
  long countKeys(String prefix) {
    return keys.keySet().stream().filter(key -> key.startsWith(prefix)).count();
  }

  /** Whether a job is stored, and not as over. */
  boolean isOpen(JobId job) {
    return value(StoreKeys.job(job)).orElse(null) instanceof JobRecord record
        && record.phase() == JobRecord.Phase.OPEN;
  }

  /** The rows of a record that leaders keep, in the revision that counts. */
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

  /** Adds a row to a record, which no leader would do this way. */
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

  /** After an outage every lease has its full time again. */
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
    List<String> gone = new ArrayList<>();
    keys.forEach(
        (key, kept) -> {
          if (kept.leaseId() != null && kept.leaseId() == id) {
            gone.add(key);
          }
        });
    if (!gone.isEmpty()) {
      revision++;
      gone.forEach(this::remove);
      notifyWatches();
    }
  }

  private void remove(String key) {
    keys.remove(key);
    history.add(new KeyChange(key, Optional.empty(), new Revision(revision)));
  }

  /** A transaction is carried out late, to nobody's knowledge; an outage holds it up as well. */
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
   * @param refused whether the node that asks is refused at present, alone
   */
  void serve(Request.State request, Consumer<Answer> then, BooleanSupplier refused) {
    requestCount++;
    pollCount += request instanceof Request.Watch watch && watch.hold().millis() == 0 ? 1 : 0;
    if (isDown()) {
      then.accept(new Answer.Refused(503, "down"));
    } else if (rateLimiter.isPresent() && !rateLimiter.get().tryAcquire(request.writes())) {
      rateLimitedCount++;
      then.accept(new Answer.Refused(429, "too many"));
    } else if (request instanceof Request.ReadPage read) {
      then.accept(page(read));
    } else if (request instanceof Request.Watch watch) {
      watch(watch, then, refused);
    } else if (request instanceof Request.Commit commit) {
      then.accept(commit(commit));
    } else if (request instanceof Request.Grant grant) {
      StoredLease hold = new StoredLease();
      hold.ttlMillis = grant.ttl().millis();
      hold.expiresAt = time.now() + hold.ttlMillis;
      leases.put(++lastLeaseId, hold);
      then.accept(new Answer.Granted(new HoldId(lastLeaseId)));
    } else if (request instanceof Request.Renew renew) {
      StoredLease hold = leases.get(renew.hold().value());
      if (hold == null) {
        then.accept(new Answer.Refused(404, "no such lease"));
      } else {
        hold.expiresAt = time.now() + hold.ttlMillis;
        then.accept(new Answer.Ok());
      }
    } else if (request instanceof Request.Drop drop) {
      endLease(drop.hold().value());
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
      StoredEntry kept = entry.getValue();
      entries.add(new Entry(entry.getKey(), kept.value(), new Revision(kept.revision())));
    }
    return new Answer.Page(entries, false, new Revision(revision));
  }

  private void watch(Request.Watch watch, Consumer<Answer> then, BooleanSupplier refused) {
    List<KeyChange> news = history.since(watch);
    if (history.tooOld(watch.after())) {
      then.accept(new Answer.Refused(410, "too old"));
    } else if (!news.isEmpty() || watch.hold().millis() == 0) {
      then.accept(new Answer.Changes(new Revision(revision), news));
    } else {
      pendingWatches.add(
          new PendingWatch(watch, then, time.now() + watch.hold().millis(), refused));
    }
  }

  private Answer commit(Request.Commit commit) {
    writeCount += commit.changes().size();
    List<String> failed = new ArrayList<>();
    for (Guard guard : commit.guards()) {
      StoredEntry kept = keys.get(guard.key());
      if ((kept == null ? 0 : kept.revision()) != guard.revision().value()) {
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
            new StoredEntry(put.value(), revision, put.lease().map(HoldId::value).orElse(null)));
        history.add(new KeyChange(put.key(), Optional.of(put.value()), new Revision(revision)));
      } else if (change instanceof Change.Remove remove) {
        remove(remove.key());
      }
    }
    notifyWatches();
    return new Answer.Committed(new Revision(revision));
  }

  /** A key is lost. */
  void loseKey(String key) {
    revision++;
    remove(key);
    notifyWatches();
  }

  /** Values below this prefix become such as no version can read. */
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

  /** Answers a watch if there is anything new for it. */
  private boolean notifyWatch(PendingWatch watcher) {
    List<KeyChange> news = history.since(watcher.request());
    if (history.tooOld(watcher.request().after())) {
      pendingWatches.remove(watcher);
      delayedWatches.remove(watcher);
      watcher.callback().accept(new Answer.Refused(410, "too old"));
      return true;
    }
    if (news.isEmpty()) {
      return false;
    }
    pendingWatches.remove(watcher);
    delayedWatches.remove(watcher);
    watcher.callback().accept(new Answer.Changes(new Revision(revision), news));
    return true;
  }
}
