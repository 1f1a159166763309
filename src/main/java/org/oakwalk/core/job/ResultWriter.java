package org.oakwalk.core.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.DoneBits;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores what has been done: the end of jobs at once, parts of jobs in batches.
 *
 * <p>A part is written on condition that it is as last written or found, and that its job's record
 * is the open one. A write whose answer was lost may be applied much later: by then a newer one has
 * changed the part, or the job's end its record, so it fails. Without that it would take back what
 * workers have been told to forget. What is not as it was taken to be is read before it is written
 * again.
 */
public final class ResultWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ResultWriter.class);
  private static final Span FLUSH_EVERY = Span.seconds(2);
  private static final Span RETRY = Span.millis(300);
  private static final int UNAVAILABLE = 503;

  /** Of the 64 KiB that a transaction may have, what parts take, their conditions left aside. */
  private static final int MOST_BYTES = 44 * 1024;

  private final Outbox outbox;
  private final JobBook jobs;
  private final StoreView view;
  private final Guard guard;
  private final Set<JobId> chunked = new HashSet<>();

  /** How the parts of open jobs were last written or found; any other does not exist. */
  private final Map<String, Revision> stamps = new HashMap<>();

  /** Parts that are not as they were taken to be, and have to be read. */
  private final Set<String> doubtful = new LinkedHashSet<>();

  /**
   * Open jobs whose records are not as this leader knows them. An open record never changes but for
   * its end, which the copy of the store will tell; else it was damaged, and nothing is written.
   */
  private final Set<JobId> aside = new HashSet<>();

  private final List<String> obsolete = new ArrayList<>();
  private final int most;

  /** How many changes go out at once: where much is refused, few are taken sooner than many. */
  private int part;

  private boolean flushing;

  /** The service refuses to write ends, as far as is known. */
  private boolean refused;

  private boolean reading;
  private Moment nextFlush = new Moment(Long.MIN_VALUE / 2);
  private Moment nextEnd = new Moment(Long.MIN_VALUE / 2);

  public ResultWriter(
      Outbox outbox, JobBook jobs, StoreView view, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.jobs = jobs;
    this.view = view;
    this.guard = guard;
    this.most =
        (int) Math.max(1, Math.min(limits.changesPerCommit(), limits.writesPerSecond() * 0.6));
    this.part = most;
  }

  /** A part of a job's results was found in the store. */
  public void found(JobId id, String key, Revision stamp) {
    if (view.job(id).filter(job -> job.phase().isFinal()).isPresent()) {
      obsolete.add(key);
    } else {
      chunked.add(id);
      stamps.put(key, stamp);
    }
  }

  public void tick(Moment now) {
    if (!nextEnd.isAfter(now)) {
      // While the service refuses, one finds out when it does no more: all of them, several times a
      // second for as long as an outage lasts, would take up what it grants to the other nodes.
      jobs.complete().stream()
          .filter(job -> !aside.contains(job.id()))
          .limit(refused ? 1 : Long.MAX_VALUE)
          .forEach(job -> finish(job, now));
    }
    if (!doubtful.isEmpty() && !reading) {
      read(doubtful.iterator().next());
    }
    if (!flushing && !nextFlush.isAfter(now)) {
      flush(now);
    }
  }

  private void finish(Job job, Moment now) {
    job.finishing();
    JobRecord record = new JobRecord(job.spec(), JobRecord.Phase.DONE, job.accepted());
    String key = Keys.job(job.id());
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(key, job.stamp())),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.RESULT),
        answer -> {
          refused = answer instanceof Answer.Refused no && no.status() == UNAVAILABLE;
          if (answer instanceof Answer.Committed) {
            LOG.info("job {} is done after {}", job.id(), now.since(job.seen()));
          }
          if (job.state() != Job.State.FINISHING) {
            // The watch was faster.
            return;
          }
          if (answer instanceof Answer.Committed committed) {
            job.ended(false, committed.revision());
            ended(job);
            // Users are told only by the store's copy, so let it catch up at once.
            view.catchUp(now, known -> {});
          } else {
            // Withdrawn meanwhile, or unknown: the store's copy tells, else it is tried again.
            job.notFinished();
            setAside(answer, job);
            nextEnd = now.plus(RETRY);
            view.catchUp(now, known -> {});
          }
        });
  }

  /** The job is stored as over, so the parts of its results are not needed any more. */
  public void ended(Job job) {
    aside.remove(job.id());
    if (chunked.remove(job.id())) {
      for (int chunk = 0; chunk * DoneBits.CHUNK < job.spec().tasks(); chunk++) {
        String key = Keys.done(job.id(), chunk);
        stamps.remove(key);
        doubtful.remove(key);
        obsolete.add(key);
      }
    }
  }

  private void setAside(Answer answer, Job job) {
    if (answer instanceof Answer.Conflict conflict
        && conflict.failedKeys().contains(Keys.job(job.id()))) {
      aside.add(job.id());
    }
  }

  /** Finds out how a part stands. */
  private void read(String key) {
    reading = true;
    outbox.call(
        new Request.ReadPage(key, Optional.empty(), Request.Urgency.RESULT),
        answer -> {
          reading = false;
          if (answer instanceof Answer.Page page && doubtful.remove(key)) {
            stamps.remove(key);
            page.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .forEach(entry -> stamps.put(key, entry.stamp()));
          }
        });
  }

  private record Part(Job job, BitSet snapshot, int from, int to) {
    String key() {
      return Keys.done(job.id(), from / DoneBits.CHUNK);
    }
  }

  private void flush(Moment now) {
    nextFlush = now.plus(FLUSH_EVERY);
    int budget = Math.max(1, Math.min(most, part));
    List<Guard> guards = new ArrayList<>(List.of(guard));
    List<Change> changes = new ArrayList<>();
    List<Part> parts = new ArrayList<>();
    int bytes = 0;
    List<Job> dirty = jobs.unstored();
    dirty.removeIf(job -> aside.contains(job.id()));
    dirty.sort((a, b) -> a.dirtySince().compareTo(b.dirtySince()));
    for (Job job : dirty) {
      BitSet snapshot = job.doneSnapshot();
      int before = parts.size();
      for (int from = 0; from < job.spec().tasks() && changes.size() < budget; ) {
        int to = Math.min(job.spec().tasks(), from + DoneBits.CHUNK);
        Part part = new Part(job, snapshot, from, to);
        if (job.hasUnstored(from, to) && !doubtful.contains(part.key()) && bytes < MOST_BYTES) {
          String bits = DoneBits.encode(snapshot.get(from, to));
          bytes += bits.length();
          parts.add(part);
          guards.add(new Guard(part.key(), stamps.getOrDefault(part.key(), Revision.NONE)));
          changes.add(
              new Change.Put(part.key(), new StoredValue.DoneChunk(bits), Optional.empty()));
        }
        from = to;
      }
      if (parts.size() > before) {
        guards.add(new Guard(Keys.job(job.id()), job.stamp()));
      }
    }
    List<String> removed = new ArrayList<>();
    while (changes.size() < budget && removed.size() < obsolete.size()) {
      String key = obsolete.get(removed.size());
      removed.add(key);
      changes.add(new Change.Remove(key));
    }
    if (changes.isEmpty()) {
      return;
    }
    flushing = true;
    outbox.call(
        new Request.Commit(guards, changes, Request.Urgency.ROUTINE),
        answer -> {
          flushing = false;
          if (answer instanceof Answer.Committed committed) {
            part = most;
            parts.forEach(written -> stored(written, committed.revision(), now));
            obsolete.removeAll(removed);
          } else if (answer instanceof Answer.Conflict conflict) {
            nextFlush = now.plus(RETRY);
            parts.forEach(written -> differs(written, conflict));
          } else {
            part = Math.max(1, part / 2);
            if (answer instanceof Answer.OutcomeUnknown) {
              parts.forEach(written -> mayBeStored(written.job()));
            }
          }
        });
  }

  private void stored(Part written, Revision at, Moment now) {
    stamps.put(written.key(), at);
    written.job().stored(written.snapshot(), written.from(), written.to(), now);
    mayBeStored(written.job());
  }

  /** Nothing was written, since something is not as it was taken to be. */
  private void differs(Part part, Answer.Conflict conflict) {
    setAside(conflict, part.job());
    if (conflict.failedKeys().contains(part.key())) {
      doubtful.add(part.key());
    }
    mayBeStored(part.job());
  }

  /** Parts of the job may be in the store, so that they are to be removed at its end. */
  private void mayBeStored(Job job) {
    chunked.add(job.id());
    if (job.over()) {
      ended(job);
    }
  }
}
