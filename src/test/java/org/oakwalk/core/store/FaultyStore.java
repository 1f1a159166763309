package org.oakwalk.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.Revision;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/** A state service that keeps values and may lose answers, or carry transactions out late. */
public final class FaultyStore {
  /** What becomes of a transaction. */
  public enum CommitOutcome {
    APPLIED,
    REFUSED,
    ANSWER_LOST,
    /** No answer; it is carried out when {@link #applyDelayed} says so. */
    DELAYED
  }

  /** Whose transactions meet which fate. */
  public interface CommitOutcomes {
    CommitOutcome outcomeOf(Request.Commit commit);
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<KeyChange> history = new ArrayList<>();
  private final List<Request.Commit> delayed = new ArrayList<>();
  private long epoch = 1;

  /** Writes a value as somebody else would. */
  public Revision put(String key, StoredValue value) {
    epoch++;
    change(new Change.Put(key, value, Optional.empty()));
    return new Revision(epoch);
  }

  public Optional<Entry> find(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  public List<Entry> entriesBelow(String prefix) {
    return entries.values().stream().filter(e -> e.key().startsWith(prefix)).toList();
  }

  /** How many transactions are still to be carried out. */
  public int delayedCount() {
    return delayed.size();
  }

  /** Carries out one that had no answer. */
  public Answer applyDelayed(int index) {
    return apply(delayed.remove(index));
  }

  /**
   * Serves all that a node has asked for, and what it asks for upon that, until nothing is left.
   */
  public void serve(Outbox outbox, CommitOutcomes fates) {
    for (List<Effect> effects = outbox.drain(); !effects.isEmpty(); effects = outbox.drain()) {
      for (Effect effect : effects) {
        if (effect instanceof Effect.Call call) {
          outbox.answered(call.call(), answer((Request.State) call.request(), fates));
        }
      }
    }
  }

  private Answer answer(Request.State request, CommitOutcomes fates) {
    if (request instanceof Request.ReadPage read) {
      return new Answer.Page(entriesBelow(read.prefix()), false, new Revision(epoch));
    }
    if (request instanceof Request.Watch watch) {
      return new Answer.Changes(
          new Revision(epoch),
          history.stream()
              .filter(news -> news.revision().compareTo(watch.after()) > 0)
              .filter(news -> news.key().startsWith(watch.prefix()))
              .toList());
    }
    Request.Commit commit = (Request.Commit) request;
    return switch (fates.outcomeOf(commit)) {
      case APPLIED -> apply(commit);
      case REFUSED -> new Answer.Refused(503, "");
      case ANSWER_LOST -> {
        apply(commit);
        yield new Answer.Nothing("lost");
      }
      case DELAYED -> {
        delayed.add(commit);
        yield new Answer.Nothing("late");
      }
    };
  }

  private Answer apply(Request.Commit commit) {
    List<String> failed =
        commit.guards().stream()
            .filter(
                guard ->
                    !find(guard.key())
                        .map(Entry::revision)
                        .orElse(Revision.NONE)
                        .equals(guard.revision()))
            .map(Guard::key)
            .toList();
    if (!failed.isEmpty()) {
      return new Answer.Conflict(failed);
    }
    epoch++;
    commit.changes().forEach(this::change);
    return new Answer.Committed(new Revision(epoch));
  }

  private void change(Change change) {
    Revision at = new Revision(epoch);
    if (change instanceof Change.Put put) {
      entries.put(put.key(), new Entry(put.key(), put.value(), at));
      history.add(new KeyChange(put.key(), Optional.of(put.value()), at));
    } else if (change instanceof Change.Remove remove && entries.remove(remove.key()) != null) {
      history.add(new KeyChange(remove.key(), Optional.empty(), at));
    }
  }
}
