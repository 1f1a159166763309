package org.oakwalk.core.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A record in the store: a head, which names the revision that counts, and its parts, in one of two
 * slots by turns. Parts go first and the head last, so whoever reads sees a whole revision. Rows
 * that fit into the head need no parts.
 *
 * <p>Each commit guards the leader key and the head's version. When an answer was lost, the head is
 * read and then written anew, which voids whatever may still be on its way, before anything else is
 * written.
 */
final class KeptRecord<R extends SharedRow> implements SharedRecord<R> {
  private static final Logger LOG = LoggerFactory.getLogger(KeptRecord.class);

  /** States of the writer. */
  enum State {
    /** Not read yet. */
    UNREAD,
    /** Nothing is under way. */
    IDLE,
    /** Parts of a revision are being stored. */
    PARTS,
    /** The head that makes it count is being stored. */
    HEAD,
    /** An answer was lost: the head is being read. */
    READING,
    /** The head as it is, is written anew, which voids what may still be applied late. */
    FENCING,
    /** What is stored can't be made use of. */
    BROKEN
  }

  /** More than what stands around the rows of a value takes. */
  private static final int BYTES_OF_A_FRAME = 256;

  private static final int SLOTS = 2;
  private static final Span RETRY = Span.millis(500);
  private static final Span LONGEST_RETRY = Span.seconds(4);

  private final String name;
  private final Class<R> type;
  private final Outbox outbox;
  private final Guard leader;
  private final int bytesOfAPart;
  private final int changesOfACommit;

  private State state = State.UNREAD;
  private List<R> stored = List.of();
  private long revision;
  private int slot;
  private Revision stamp = Revision.NONE;
  private Optional<List<R>> wanted = Optional.empty();
  private long wantedAs;
  private List<R> writing = List.of();
  private List<List<SharedRow>> parts = List.of();
  private long writingAs;
  private int storedParts;
  private int partsWritten;
  private boolean calling;
  private Span pause = RETRY;
  private Moment nextTry = new Moment(Long.MIN_VALUE / 2);

  KeptRecord(String name, Class<R> type, Outbox outbox, Guard leader, Settings.StateLimits limits) {
    this.name = name;
    this.type = type;
    this.outbox = outbox;
    this.leader = leader;
    this.bytesOfAPart = (int) (limits.valueKb() * 1024) - BYTES_OF_A_FRAME;
    this.changesOfACommit = Math.max(1, limits.changesPerCommit());
  }

  @Override
  public boolean known() {
    return state != State.UNREAD;
  }

  @Override
  public boolean broken() {
    return state == State.BROKEN;
  }

  @Override
  public List<R> stored() {
    return stored;
  }

  @Override
  public long revision() {
    return revision;
  }

  @Override
  public long want(List<R> rows) {
    if (wanted.isEmpty() && state == State.IDLE && revision > 0 && rows.equals(stored)) {
      return revision;
    }
    if (wanted.isEmpty()) {
      wantedAs = Math.max(Math.max(wantedAs, writingAs), revision) + 1;
    }
    wanted = Optional.of(List.copyOf(rows));
    return wantedAs;
  }

  @Override
  public boolean settled() {
    return wanted.isEmpty() && state == State.IDLE;
  }

  String summary() {
    return name + (broken() ? " broken" : " " + revision + " of " + stored.size());
  }

  /** Takes over what was read of the store. */
  void take(Map<String, StoredValue> found, Map<String, Revision> stamps) {
    StoredValue value = found.get(Keys.sharedHead(name));
    stamp = stamps.getOrDefault(Keys.sharedHead(name), Revision.NONE);
    if (value == null) {
      enter(State.IDLE);
      return;
    }
    try {
      StoredValue.SharedHead head = head(value);
      List<R> rows = new ArrayList<>(cast(head.rows()));
      for (int i = 0; i < head.parts(); i++) {
        if (!(found.get(Keys.sharedPart(name, head.slot(), i))
                instanceof StoredValue.SharedPart part)
            || part.revision() != head.revision()) {
          throw new IllegalArgumentException("part " + i + " is missing");
        }
        rows.addAll(cast(part.rows()));
      }
      stored = List.copyOf(rows);
      revision = head.revision();
      slot = head.slot();
      storedParts = head.parts();
      enter(State.IDLE);
    } catch (IllegalArgumentException | ClassCastException e) {
      LOG.error("shared record {} can't be used, its feature is off: {}", name, e.getMessage());
      stored = List.of();
      enter(State.BROKEN);
    }
  }

  private static StoredValue.SharedHead head(StoredValue value) {
    if (value instanceof StoredValue.SharedHead head) {
      return head;
    }
    throw new IllegalArgumentException(
        value instanceof StoredValue.Unreadable damaged ? damaged.reason() : "not a head");
  }

  private List<R> cast(List<SharedRow> rows) {
    return rows.stream().map(type::cast).toList();
  }

  /** Goes on with what is to be stored; returns how many changes that asks for. */
  int tick(Moment now) {
    if (calling || nextTry.isAfter(now)) {
      return 0;
    }
    return switch (state) {
      case UNREAD, BROKEN -> 0;
      case IDLE -> wanted.isPresent() ? begin(now) : 0;
      case PARTS -> writeParts(now);
      case HEAD -> writeHead(now);
      case READING -> {
        readHead(now);
        yield 0;
      }
      case FENCING -> fence(now);
    };
  }

  private int begin(Moment now) {
    writing = wanted.orElseThrow();
    writingAs = wantedAs;
    wanted = Optional.empty();
    parts = split(writing);
    partsWritten = 0;
    if (parts.size() < changesOfACommit) {
      enter(State.HEAD);
      return writeHead(now);
    }
    enter(State.PARTS);
    return writeParts(now);
  }

  /** Rows in as many parts as it takes; no part at all if they fit into the head. */
  private List<List<SharedRow>> split(List<R> rows) {
    List<List<SharedRow>> split = new ArrayList<>();
    List<SharedRow> part = new ArrayList<>();
    int bytes = 0;
    for (R row : rows) {
      if (!part.isEmpty() && bytes + row.bytes() > bytesOfAPart) {
        split.add(part);
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(row);
      bytes += row.bytes();
    }
    if (!split.isEmpty()) {
      split.add(part);
    }
    return split;
  }

  private int otherSlot() {
    return (slot + 1) % SLOTS;
  }

  private Change part(int index) {
    return new Change.Put(
        Keys.sharedPart(name, otherSlot(), index),
        new StoredValue.SharedPart(writingAs, parts.get(index)),
        Optional.empty());
  }

  private int writeParts(Moment now) {
    int until = Math.min(parts.size(), partsWritten + changesOfACommit);
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
            enter(State.HEAD);
          }
        });
    return changes.size();
  }

  private int writeHead(Moment now) {
    List<Change> changes = new ArrayList<>();
    for (int i = partsWritten; i < parts.size(); i++) {
      changes.add(part(i));
    }
    int to = parts.isEmpty() ? slot : otherSlot();
    List<SharedRow> rows = parts.isEmpty() ? List.copyOf(writing) : List.of();
    changes.add(
        new Change.Put(
            Keys.sharedHead(name),
            new StoredValue.SharedHead(writingAs, to, parts.size(), rows),
            Optional.empty()));
    commit(
        changes,
        now,
        () -> {
          written(to);
          enter(State.IDLE);
        });
    return changes.size();
  }

  private void written(int to) {
    stored = writing;
    revision = writingAs;
    slot = to;
    storedParts = parts.size();
  }

  private void commit(List<Change> changes, Moment now, Runnable then) {
    calling = true;
    outbox.call(
        new Request.Commit(
            List.of(leader, new Guard(Keys.sharedHead(name), stamp)),
            changes,
            Request.Urgency.ROUTINE),
        answer -> {
          calling = false;
          if (answer instanceof Answer.Committed committed) {
            pause = RETRY;
            boolean headWritten = state == State.HEAD || state == State.FENCING;
            stamp = headWritten ? committed.revision() : stamp;
            then.run();
          } else if (answer instanceof Answer.Refused) {
            later(now);
          } else {
            // Applied, perhaps, or yet to be; or the head is not what it was taken for.
            later(now);
            enter(State.READING);
          }
        });
  }

  private void later(Moment now) {
    nextTry = now.plus(pause);
    pause = pause.times(2).compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : pause.times(2);
  }

  private void readHead(Moment now) {
    calling = true;
    outbox.call(
        new Request.ReadPage(Keys.sharedHead(name), Optional.empty(), Request.Urgency.ROUTINE),
        answer -> {
          calling = false;
          if (!(answer instanceof Answer.Page page)) {
            later(now);
            return;
          }
          stamp = Revision.NONE;
          page.entries().stream()
              .filter(entry -> entry.key().equals(Keys.sharedHead(name)))
              .forEach(
                  entry -> {
                    stamp = entry.stamp();
                    if (entry.value() instanceof StoredValue.SharedHead head
                        && head.revision() == writingAs) {
                      written(head.slot());
                    }
                  });
          enter(State.FENCING);
        });
  }

  /** Writes the head as it is: whatever was sent before this has a guard that fails from now on. */
  private int fence(Moment now) {
    List<SharedRow> rows = storedParts > 0 ? List.of() : List.copyOf(stored);
    commit(
        List.of(
            new Change.Put(
                Keys.sharedHead(name),
                new StoredValue.SharedHead(revision, slot, storedParts, rows),
                Optional.empty())),
        now,
        () -> {
          enter(State.IDLE);
          if (revision < writingAs && wanted.isEmpty()) {
            wanted = Optional.of(writing);
            wantedAs = writingAs;
          }
        });
    return 1;
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    boolean legal =
        switch (state) {
          case UNREAD -> next == State.IDLE || next == State.BROKEN;
          case IDLE -> next == State.PARTS || next == State.HEAD;
          case PARTS -> next == State.HEAD || next == State.READING;
          case HEAD -> next == State.IDLE || next == State.READING;
          case READING -> next == State.FENCING;
          case FENCING -> next == State.IDLE || next == State.READING;
          case BROKEN -> false;
        };
    if (!legal) {
      throw new IllegalStateException("record " + name + " from " + state + " to " + next);
    }
    state = next;
  }
}
