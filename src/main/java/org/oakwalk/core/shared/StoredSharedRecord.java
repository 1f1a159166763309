package org.oakwalk.core.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads and writes one shared record. The record consists of a head, which names the revision in
 * force, and of parts, which alternate between two slots. Parts are written before the head, so
 * readers always see a complete revision. Rows that fit into the head need no parts.
 *
 * <p>Each commit is guarded by the leader key and by the store revision of the head. If the outcome
 * of a commit is unknown, the head is read and rewritten unchanged before anything else is written:
 * the rewrite makes the guard of any commit still in flight fail.
 */
final class StoredSharedRecord<R extends SharedRow> implements SharedRecord<R> {
  private static final Logger LOG = LoggerFactory.getLogger(StoredSharedRecord.class);

  /** States of the writer. */
  enum State {
    /** Not read yet. */
    UNREAD,
    /** No write in progress. */
    IDLE,
    /** Writing the parts of a revision. */
    WRITING_PARTS,
    /** Writing the head, which puts the revision in force. */
    WRITING_HEAD,
    /** Reading the head, because the outcome of a commit is unknown. */
    READING_HEAD,
    /** Rewriting the head unchanged, so that commits still in flight fail. */
    FENCING,
    /** The stored record can't be used. */
    UNUSABLE
  }

  /** Upper bound on the size of a value without its rows. */
  private static final int VALUE_OVERHEAD_BYTES = 256;

  private static final int SLOT_COUNT = 2;
  private static final TimeSpan MIN_RETRY_DELAY = TimeSpan.millis(500);
  private static final TimeSpan MAX_RETRY_DELAY = TimeSpan.seconds(4);

  private final String name;
  private final Class<R> type;
  private final Outbox outbox;
  private final Guard leaderGuard;
  private final int maxBytesPerPart;
  private final int maxChangesPerCommit;

  private State state = State.UNREAD;
  private List<R> storedRows = List.of();
  private long revision;
  private int slot;
  private Revision headStoreRevision = Revision.NONE;
  private Optional<List<R>> pendingRows = Optional.empty();
  private long pendingRevision;
  private List<R> writingRows = List.of();
  private List<List<SharedRow>> parts = List.of();
  private long writingRevision;
  private int storedPartCount;
  private int partsWritten;
  private boolean requestPending;
  private TimeSpan retryDelay = MIN_RETRY_DELAY;
  private MonotonicTime nextTry = new MonotonicTime(Long.MIN_VALUE / 2);

  StoredSharedRecord(
      String name, Class<R> type, Outbox outbox, Guard leaderGuard, Settings.StateLimits limits) {
    this.name = name;
    this.type = type;
    this.outbox = outbox;
    this.leaderGuard = leaderGuard;
    this.maxBytesPerPart = (int) (limits.valueKb() * 1024) - VALUE_OVERHEAD_BYTES;
    this.maxChangesPerCommit = Math.max(1, limits.changesPerCommit());
  }

  @Override
  public boolean isLoaded() {
    return state != State.UNREAD;
  }

  @Override
  public boolean isUnusable() {
    return state == State.UNUSABLE;
  }

  @Override
  public List<R> storedRows() {
    return storedRows;
  }

  @Override
  public long revision() {
    return revision;
  }

  @Override
  public long requestWrite(List<R> rows) {
    if (pendingRows.isEmpty() && state == State.IDLE && revision > 0 && rows.equals(storedRows)) {
      return revision;
    }
    if (pendingRows.isEmpty()) {
      pendingRevision = Math.max(Math.max(pendingRevision, writingRevision), revision) + 1;
    }
    pendingRows = Optional.of(List.copyOf(rows));
    return pendingRevision;
  }

  @Override
  public boolean isUpToDate() {
    return pendingRows.isEmpty() && state == State.IDLE;
  }

  /** Name, revision and row count for the log. */
  String summary() {
    return name
        + (isUnusable()
            ? " unusable"
            : " revision " + revision + " with " + storedRows.size() + " rows");
  }

  /**
   * Takes the record from the values read from the store.
   *
   * @param values by key
   * @param revisions store revisions by key
   */
  void load(Map<String, StoredValue> values, Map<String, Revision> revisions) {
    StoredValue value = values.get(StoreKeys.sharedHead(name));
    headStoreRevision = revisions.getOrDefault(StoreKeys.sharedHead(name), Revision.NONE);
    if (value == null) {
      enter(State.IDLE);
      return;
    }
    try {
      StoredValue.SharedHead head = head(value);
      List<R> rows = new ArrayList<>(cast(head.rows()));
      for (int i = 0; i < head.partCount(); i++) {
        if (!(values.get(StoreKeys.sharedPart(name, head.slot(), i))
                instanceof StoredValue.SharedPart part)
            || part.revision() != head.revision()) {
          throw new IllegalArgumentException(
              "part " + i + " of " + head.partCount() + " is missing or of another revision");
        }
        rows.addAll(cast(part.rows()));
      }
      storedRows = List.copyOf(rows);
      revision = head.revision();
      slot = head.slot();
      storedPartCount = head.partCount();
      enter(State.IDLE);
    } catch (IllegalArgumentException | ClassCastException e) {
      LOG.error(
          "shared record {} is unusable, the feature that depends on it is disabled: {}",
          name,
          e.getMessage());
      storedRows = List.of();
      enter(State.UNUSABLE);
    }
  }

  private static StoredValue.SharedHead head(StoredValue value) {
    if (value instanceof StoredValue.SharedHead head) {
      return head;
    }
    throw new IllegalArgumentException(
        value instanceof StoredValue.Unreadable damaged
            ? damaged.reason()
            : "value is not a shared record head");
  }

  private List<R> cast(List<SharedRow> rows) {
    return rows.stream().map(type::cast).toList();
  }

  /** Continues writing the pending rows; returns the number of changes it sent. */
  int tick(MonotonicTime now) {
    if (requestPending || nextTry.isAfter(now)) {
      return 0;
    }
    return switch (state) {
      case UNREAD, UNUSABLE -> 0;
      case IDLE -> pendingRows.isPresent() ? startWrite(now) : 0;
      case WRITING_PARTS -> writeParts(now);
      case WRITING_HEAD -> writeHead(now);
      case READING_HEAD -> {
        readHead(now);
        yield 0;
      }
      case FENCING -> rewriteHead(now);
    };
  }

  private int startWrite(MonotonicTime now) {
    writingRows = pendingRows.orElseThrow();
    writingRevision = pendingRevision;
    pendingRows = Optional.empty();
    parts = split(writingRows);
    partsWritten = 0;
    if (parts.size() < maxChangesPerCommit) {
      enter(State.WRITING_HEAD);
      return writeHead(now);
    }
    enter(State.WRITING_PARTS);
    return writeParts(now);
  }

  /** Splits rows into parts of limited size; returns no parts if the rows fit into the head. */
  private List<List<SharedRow>> split(List<R> rows) {
    List<List<SharedRow>> split = new ArrayList<>();
    List<SharedRow> part = new ArrayList<>();
    int bytes = 0;
    for (R row : rows) {
      if (!part.isEmpty() && bytes + row.maxJsonBytes() > maxBytesPerPart) {
        split.add(part);
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(row);
      bytes += row.maxJsonBytes();
    }
    if (!split.isEmpty()) {
      split.add(part);
    }
    return split;
  }

  private int otherSlot() {
    return (slot + 1) % SLOT_COUNT;
  }

  private Change part(int index) {
    return new Change.Put(
        StoreKeys.sharedPart(name, otherSlot(), index),
        new StoredValue.SharedPart(writingRevision, parts.get(index)),
        Optional.empty());
  }

  private int writeParts(MonotonicTime now) {
    int until = Math.min(parts.size(), partsWritten + maxChangesPerCommit);
    List<Change> changes = new ArrayList<>();
    for (int i = partsWritten; i < until; i++) {
      changes.add(part(i));
    }
    commit(
        changes,
        now,
        () -> {
          partsWritten = until;
          if (partsWritten == parts.size()) {
            enter(State.WRITING_HEAD);
          }
        });
    return changes.size();
  }

  private int writeHead(MonotonicTime now) {
    List<Change> changes = new ArrayList<>();
    for (int i = partsWritten; i < parts.size(); i++) {
      changes.add(part(i));
    }
    int headSlot = parts.isEmpty() ? slot : otherSlot();
    List<SharedRow> rows = parts.isEmpty() ? List.copyOf(writingRows) : List.of();
    changes.add(
        new Change.Put(
            StoreKeys.sharedHead(name),
            new StoredValue.SharedHead(writingRevision, headSlot, parts.size(), rows),
            Optional.empty()));
    commit(
        changes,
        now,
        () -> {
          confirmWritten(headSlot);
          enter(State.IDLE);
        });
    return changes.size();
  }

  private void confirmWritten(int headSlot) {
    storedRows = writingRows;
    revision = writingRevision;
    slot = headSlot;
    storedPartCount = parts.size();
  }

  private void commit(List<Change> changes, MonotonicTime now, Runnable onCommitted) {
    requestPending = true;
    outbox.call(
        new Request.Commit(
            List.of(leaderGuard, new Guard(StoreKeys.sharedHead(name), headStoreRevision)),
            changes,
            Request.Urgency.ROUTINE),
        answer -> {
          requestPending = false;
          if (answer instanceof Answer.Committed committed) {
            retryDelay = MIN_RETRY_DELAY;
            boolean headWritten = state == State.WRITING_HEAD || state == State.FENCING;
            headStoreRevision = headWritten ? committed.revision() : headStoreRevision;
            onCommitted.run();
          } else if (answer instanceof Answer.Refused) {
            backOff(now);
          } else {
            // The commit may have been applied or may still be, or the head is not the expected
            // one.
            backOff(now);
            enter(State.READING_HEAD);
          }
        });
  }

  private void backOff(MonotonicTime now) {
    nextTry = now.plus(retryDelay);
    retryDelay =
        retryDelay.times(2).compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : retryDelay.times(2);
  }

  private void readHead(MonotonicTime now) {
    requestPending = true;
    outbox.call(
        new Request.ReadPage(StoreKeys.sharedHead(name), Optional.empty(), Request.Urgency.ROUTINE),
        answer -> {
          requestPending = false;
          if (!(answer instanceof Answer.Page page)) {
            backOff(now);
            return;
          }
          headStoreRevision = Revision.NONE;
          page.entries().stream()
              .filter(entry -> entry.key().equals(StoreKeys.sharedHead(name)))
              .forEach(
                  entry -> {
                    headStoreRevision = entry.revision();
                    if (entry.value() instanceof StoredValue.SharedHead head
                        && head.revision() == writingRevision) {
                      confirmWritten(head.slot());
                    }
                  });
          enter(State.FENCING);
        });
  }

  /** Rewrites the head unchanged, so that the guards of commits sent earlier fail. */
  private int rewriteHead(MonotonicTime now) {
    List<SharedRow> rows = storedPartCount > 0 ? List.of() : List.copyOf(storedRows);
    commit(
        List.of(
            new Change.Put(
                StoreKeys.sharedHead(name),
                new StoredValue.SharedHead(revision, slot, storedPartCount, rows),
                Optional.empty())),
        now,
        () -> {
          enter(State.IDLE);
          if (revision < writingRevision && pendingRows.isEmpty()) {
            pendingRows = Optional.of(writingRows);
            pendingRevision = writingRevision;
          }
        });
    return 1;
  }

  /** Changes the state; the only place that does. */
  private void enter(State next) {
    boolean legal =
        switch (state) {
          case UNREAD -> next == State.IDLE || next == State.UNUSABLE;
          case IDLE -> next == State.WRITING_PARTS || next == State.WRITING_HEAD;
          case WRITING_PARTS -> next == State.WRITING_HEAD || next == State.READING_HEAD;
          case WRITING_HEAD -> next == State.IDLE || next == State.READING_HEAD;
          case READING_HEAD -> next == State.FENCING;
          case FENCING -> next == State.IDLE || next == State.READING_HEAD;
          case UNUSABLE -> false;
        };
    if (!legal) {
      throw new IllegalStateException(
          "illegal transition of shared record " + name + " from " + state + " to " + next);
    }
    state = next;
  }
}
