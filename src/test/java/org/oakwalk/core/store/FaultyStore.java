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

/** In-memory state service that can refuse transactions, lose answers or apply commits late. */
public final class FaultyStore {
  /** Outcome of a transaction. */
  public enum CommitOutcome {
    APPLIED,
    REFUSED,
    /** Applied, but the caller gets no answer. */
    ANSWER_LOST,
    /** No answer; the transaction is applied by {@link #applyDelayed}. */
    DELAYED
  }

  /** Chooses the outcome of each transaction. */
  public interface CommitOutcomes {
    CommitOutcome outcomeOf(Request.Commit commit);
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<KeyChange> history = new ArrayList<>();
  private final List<Request.Commit> delayed = new ArrayList<>();
  private long revision = 1;

  /** Writes a value as another client of the store. */
  public Revision put(String key, StoredValue value) {
    revision++;
    change(new Change.Put(key, value, Optional.empty()));
    return new Revision(revision);
  }

  public Optional<Entry> find(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** All entries whose key begins with a prefix. */
  public List<Entry> entriesBelow(String prefix) {
    return entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
  }

  /** Number of transactions that are delayed and not applied yet. */
  public int delayedCount() {
    return delayed.size();
  }

  /** Applies a delayed transaction and returns the answer that its caller never got. */
  public Answer applyDelayed(int index) {
    return apply(delayed.remove(index));
  }

  /** Serves all requests of a node, including those that its answers cause, until none is left. */
  public void serve(Outbox outbox, CommitOutcomes outcomes) {
    for (List<Effect> effects = outbox.takeEffects();
        !effects.isEmpty();
        effects = outbox.takeEffects()) {
      for (Effect effect : effects) {
        if (effect instanceof Effect.Call call) {
          outbox.deliverAnswer(
              call.call(), answer((Request.StateServiceRequest) call.request(), outcomes));
        }
      }
    }
  }

  private Answer answer(Request.StateServiceRequest request, CommitOutcomes outcomes) {
    if (request instanceof Request.ReadPage read) {
      return new Answer.Page(entriesBelow(read.prefix()), false, new Revision(revision));
    }
    if (request instanceof Request.Watch watch) {
      return new Answer.Changes(
          new Revision(revision),
          history.stream()
              .filter(change -> change.revision().compareTo(watch.after()) > 0)
              .filter(change -> change.key().startsWith(watch.prefix()))
              .toList());
    }
    Request.Commit commit = (Request.Commit) request;
    return switch (outcomes.outcomeOf(commit)) {
      case APPLIED -> apply(commit);
      case REFUSED -> new Answer.Refused(503, "");
      case ANSWER_LOST -> {
        apply(commit);
        yield new Answer.OutcomeUnknown("lost");
      }
      case DELAYED -> {
        delayed.add(commit);
        yield new Answer.OutcomeUnknown("late");
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
    revision++;
    commit.changes().forEach(this::change);
    return new Answer.Committed(new Revision(revision));
  }

  private void change(Change change) {
    Revision at = new Revision(revision);
    if (change instanceof Change.Put put) {
      entries.put(put.key(), new Entry(put.key(), put.value(), at));
      history.add(new KeyChange(put.key(), Optional.of(put.value()), at));
    } else if (change instanceof Change.Remove remove && entries.remove(remove.key()) != null) {
      history.add(new KeyChange(remove.key(), Optional.empty(), at));
    }
  }
}
