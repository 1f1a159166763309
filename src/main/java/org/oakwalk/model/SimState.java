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

/** Stand-in for the state service, after its published protocol. */
final class SimState {
  private static final int PAGE = 200;

  private record Kept(StoredValue value, long stamp, Long hold) {}

  private static final class Hold {
    long ttl;
    long end;
  }

  /** An open watch. It waits while its node is refused, and then tells all that it has missed. */
  private record Watcher(
      Request.Watch request, Consumer<Answer> then, long end, BooleanSupplier refused) {}

  private final Timeline time;
  private final TreeMap<String, Kept> keys = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final ChangeHistory history;
  private final Optional<StoreRates> rates;
  private final List<Watcher> watchers = new ArrayList<>();
  private final Set<Watcher> behind = Collections.newSetFromMap(new IdentityHashMap<>());
  private long epoch;
  private long holdNumbers;
  private long downUntil;
  private int writes;
  private int requests;
  private int reads;
  private int tooMany;

  /**
   * A service without any keys.
   *
   * @param rates how much it takes a second; without them any amount
   * @param changes how many it keeps for watches
   */
  SimState(Timeline time, Optional<StoreRates> rates, int changes) {
    this.time = time;
    this.rates = rates;
    this.history = new ChangeHistory(changes);
    time.after(50, this::tick);
  }

  int writes() {
    return writes;
  }

  int requests() {
    return requests;
  }

  /** Requests that ask what is new without waiting for it. */
  int reads() {
    return reads;
  }

  /** Requests that were refused as too much. */
  int tooMany() {
    return tooMany;
  }

  /** What is stored. */
  Optional<StoredValue> value(String key) {
    return Optional.ofNullable(keys.get(key)).map(Kept::value);
  }

  /** How many keys there are below a prefix. */
  long keys(String prefix) {
    return keys.keySet().stream().filter(key -> key.startsWith(prefix)).count();
  }

  /** Whether a job is stored, and not as over. */
  boolean open(JobId job) {
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
  void add(String name, SharedRow row) {
    List<SharedRow> rows = new ArrayList<>(rows(name));
    rows.add(row);
    epoch++;
    keys.put(
        StoreKeys.sharedHead(name),
        new Kept(new StoredValue.SharedHead(epoch, 0, 0, rows), epoch, null));
  }

  boolean down() {
    return time.now() < downUntil;
  }

  /** After an outage every lease has its full time again. */
  void outage(double seconds) {
    downUntil = time.now() + Math.round(seconds * 1000);
    holds.values().forEach(hold -> hold.end = downUntil + hold.ttl);
  }

  private void tick() {
    if (!down()) {
      List<Long> ended = new ArrayList<>();
      holds.forEach(
          (id, hold) -> {
            if (hold.end < time.now()) {
              ended.add(id);
            }
          });
      ended.forEach(this::endHold);
      for (Watcher watcher : List.copyOf(watchers)) {
        if (watcher.refused().getAsBoolean()) {
          behind.add(watcher);
        } else if (behind.remove(watcher) && tell(watcher)) {
          continue;
        } else if (watcher.end() <= time.now()) {
          watchers.remove(watcher);
          watcher.then().accept(new Answer.Changes(new Revision(epoch), List.of()));
        }
      }
    }
    time.after(50, this::tick);
  }

  private void endHold(long id) {
    holds.remove(id);
    List<String> gone = new ArrayList<>();
    keys.forEach(
        (key, kept) -> {
          if (kept.hold() != null && kept.hold() == id) {
            gone.add(key);
          }
        });
    if (!gone.isEmpty()) {
      epoch++;
      gone.forEach(this::remove);
      wake();
    }
  }

  private void remove(String key) {
    keys.remove(key);
    history.add(new KeyChange(key, Optional.empty(), new Revision(epoch)));
  }

  /** A transaction is carried out late, to nobody's knowledge; an outage holds it up as well. */
  void serveLate(Request.Commit commit) {
    if (down()) {
      time.after(downUntil - time.now(), () -> serveLate(commit));
    } else {
      requests++;
      commit(commit);
    }
  }

  /**
   * Serves a request.
   *
   * @param refused whether the node that asks is refused at present, alone
   */
  void serve(Request.StateServiceRequest request, Consumer<Answer> then, BooleanSupplier refused) {
    requests++;
    reads += request instanceof Request.Watch watch && watch.maxWait().millis() == 0 ? 1 : 0;
    if (down()) {
      then.accept(new Answer.Refused(503, "down"));
    } else if (rates.isPresent() && !rates.get().takes(request.writeCount())) {
      tooMany++;
      then.accept(new Answer.Refused(429, "too many"));
    } else if (request instanceof Request.ReadPage read) {
      then.accept(page(read));
    } else if (request instanceof Request.Watch watch) {
      watch(watch, then, refused);
    } else if (request instanceof Request.Commit commit) {
      then.accept(commit(commit));
    } else if (request instanceof Request.GrantLease grant) {
      Hold hold = new Hold();
      hold.ttl = grant.ttl().millis();
      hold.end = time.now() + hold.ttl;
      holds.put(++holdNumbers, hold);
      then.accept(new Answer.LeaseGranted(new LeaseId(holdNumbers)));
    } else if (request instanceof Request.RenewLease renew) {
      Hold hold = holds.get(renew.lease().value());
      if (hold == null) {
        then.accept(new Answer.Refused(404, "no such lease"));
      } else {
        hold.end = time.now() + hold.ttl;
        then.accept(new Answer.Ok());
      }
    } else if (request instanceof Request.RevokeLease drop) {
      endHold(drop.lease().value());
      then.accept(new Answer.Ok());
    }
  }

  private Answer page(Request.ReadPage read) {
    List<Entry> entries = new ArrayList<>();
    for (Map.Entry<String, Kept> entry :
        keys.tailMap(read.after().orElse(read.prefix()), read.after().isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(read.prefix())) {
        break;
      }
      if (entries.size() == PAGE) {
        return new Answer.Page(entries, true, new Revision(epoch));
      }
      Kept kept = entry.getValue();
      entries.add(new Entry(entry.getKey(), kept.value(), new Revision(kept.stamp())));
    }
    return new Answer.Page(entries, false, new Revision(epoch));
  }

  private void watch(Request.Watch watch, Consumer<Answer> then, BooleanSupplier refused) {
    List<KeyChange> news = history.changesFor(watch);
    if (history.isTruncatedAfter(watch.after())) {
      then.accept(new Answer.Refused(410, "too old"));
    } else if (!news.isEmpty() || watch.maxWait().millis() == 0) {
      then.accept(new Answer.Changes(new Revision(epoch), news));
    } else {
      watchers.add(new Watcher(watch, then, time.now() + watch.maxWait().millis(), refused));
    }
  }

  private Answer commit(Request.Commit commit) {
    writes += commit.changes().size();
    List<String> failed = new ArrayList<>();
    for (Guard guard : commit.guards()) {
      Kept kept = keys.get(guard.key());
      if ((kept == null ? 0 : kept.stamp()) != guard.revision().value()) {
        failed.add(guard.key());
      }
    }
    if (!failed.isEmpty()) {
      return new Answer.Conflict(failed);
    }
    for (Change change : commit.changes()) {
      if (change instanceof Change.Put put
          && put.lease().isPresent()
          && !holds.containsKey(put.lease().get().value())) {
        return new Answer.Refused(400, "no such lease");
      }
    }
    epoch++;
    for (Change change : commit.changes()) {
      if (change instanceof Change.Put put) {
        keys.put(
            put.key(), new Kept(put.value(), epoch, put.lease().map(LeaseId::value).orElse(null)));
        history.add(new KeyChange(put.key(), Optional.of(put.value()), new Revision(epoch)));
      } else if (change instanceof Change.Remove remove) {
        remove(remove.key());
      }
    }
    wake();
    return new Answer.Committed(new Revision(epoch));
  }

  /** A key is lost. */
  void forget(String key) {
    epoch++;
    remove(key);
    wake();
  }

  /** Values below this prefix become such as no version can read. */
  void damage(String prefix) {
    epoch++;
    for (Map.Entry<String, Kept> entry : keys.tailMap(prefix).entrySet()) {
      if (entry.getKey().startsWith(prefix)) {
        StoredValue.Unreadable value = new StoredValue.Unreadable("damaged");
        entry.setValue(new Kept(value, epoch, entry.getValue().hold()));
        history.add(new KeyChange(entry.getKey(), Optional.of(value), new Revision(epoch)));
      }
    }
    wake();
  }

  private void wake() {
    for (Watcher watcher : List.copyOf(watchers)) {
      if (watcher.refused().getAsBoolean()) {
        behind.add(watcher);
      } else {
        tell(watcher);
      }
    }
  }

  /** Answers a watch if there is anything new for it. */
  private boolean tell(Watcher watcher) {
    List<KeyChange> news = history.changesFor(watcher.request());
    if (history.isTruncatedAfter(watcher.request().after())) {
      watchers.remove(watcher);
      behind.remove(watcher);
      watcher.then().accept(new Answer.Refused(410, "too old"));
      return true;
    }
    if (news.isEmpty()) {
      return false;
    }
    watchers.remove(watcher);
    behind.remove(watcher);
    watcher.then().accept(new Answer.Changes(new Revision(epoch), news));
    return true;
  }
}
