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
public final class LateStore {
  /** What becomes of a transaction. */
  public enum Fate {
    SERVED,
    REFUSED,
    ANSWER_LOST,
    /** No answer; it is carried out when {@link #carryOut} says so. */
    LATE
  }

  /** Whose transactions meet which fate. */
  public interface Fates {
    Fate of(Request.Commit commit);
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<News> history = new ArrayList<>();
  private final List<Request.Commit> late = new ArrayList<>();
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

  public List<Entry> below(String prefix) {
    return entries.values().stream().filter(e -> e.key().startsWith(prefix)).toList();
  }

  /** How many transactions are still to be carried out. */
  public int waiting() {
    return late.size();
  }

  /** Carries out one that had no answer. */
  public Answer carryOut(int index) {
    return apply(late.remove(index));
  }

  /**
   * Serves all that a node has asked for, and what it asks for upon that, until nothing is left.
   */
  public void serve(Outbox outbox, Fates fates) {
    for (List<Effect> effects = outbox.takeEffects();
        !effects.isEmpty();
        effects = outbox.takeEffects()) {
      for (Effect effect : effects) {
        if (effect instanceof Effect.Call call) {
          outbox.deliverAnswer(
              call.call(), answer((Request.StateServiceRequest) call.request(), fates));
        }
      }
    }
  }

  private Answer answer(Request.StateServiceRequest request, Fates fates) {
    if (request instanceof Request.ReadPage read) {
      return new Answer.Page(below(read.prefix()), false, new Revision(epoch));
    }
    if (request instanceof Request.Watch watch) {
      return new Answer.Changes(
          new Revision(epoch),
          history.stream()
              .filter(news -> news.stamp().compareTo(watch.after()) > 0)
              .filter(news -> news.key().startsWith(watch.prefix()))
              .toList());
    }
    Request.Commit commit = (Request.Commit) request;
    return switch (fates.of(commit)) {
      case SERVED -> apply(commit);
      case REFUSED -> new Answer.Refused(503, "");
      case ANSWER_LOST -> {
        apply(commit);
        yield new Answer.OutcomeUnknown("lost");
      }
      case LATE -> {
        late.add(commit);
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
                        .map(Entry::stamp)
                        .orElse(Revision.NONE)
                        .equals(guard.stamp()))
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
      history.add(new News(put.key(), Optional.of(put.value()), at));
    } else if (change instanceof Change.Remove remove && entries.remove(remove.key()) != null) {
      history.add(new News(remove.key(), Optional.empty(), at));
    }
  }
}
