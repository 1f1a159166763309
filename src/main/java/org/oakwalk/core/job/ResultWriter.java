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
  private static final Span FLUSH_INTERVAL = Span.seconds(2);
  private static final Span RETRY_DELAY = Span.millis(300);
  private static final int STATUS_UNAVAILABLE = 503;

  /** Of the 64 KiB that a transaction may have, what parts take, their conditions left aside. */
  private static final int MAX_CHUNK_BYTES_PER_COMMIT = 44 * 1024;

  private final Outbox outbox;
  private final JobRegistry jobs;
  private final StoreView view;
  private final Guard guard;
  private final Set<JobId> jobsWithChunks = new HashSet<>();

  /** How the parts of open jobs were last written or found; any other does not exist. */
  private final Map<String, Revision> chunkRevisions = new HashMap<>();

  /** Parts that are not as they were taken to be, and have to be read. */
  private final Set<String> staleChunks = new LinkedHashSet<>();

  /**
   * Open jobs whose records are not as this leader knows them. An open record never changes but for
   * its end, which the copy of the store will tell; else it was damaged, and nothing is written.
   */
  private final Set<JobId> blockedJobs = new HashSet<>();

  private final List<String> obsoleteChunks = new ArrayList<>();
  private final int maxBatchSize;

  /** How many changes go out at once: where much is refused, few are taken sooner than many. */
  private int batchSize;

  private boolean flushing;

  /** The service refuses to write ends, as far as is known. */
  private boolean finishRefused;

  private boolean reading;
  private Moment nextFlush = new Moment(Long.MIN_VALUE / 2);
  private Moment nextFinish = new Moment(Long.MIN_VALUE / 2);

  public ResultWriter(
      Outbox outbox, JobRegistry jobs, StoreView view, Guard guard, Settings.StateLimits limits) {
    this.outbox = outbox;
    this.jobs = jobs;
    this.view = view;
    this.guard = guard;
    this.maxBatchSize =
        (int) Math.max(1, Math.min(limits.changesPerCommit(), limits.writesPerSecond() * 0.6));
    this.batchSize = maxBatchSize;
  }

  /** A part of a job's results was found in the store. */
  public void addStoredChunk(JobId id, String key, Revision stamp) {
    if (view.job(id).filter(job -> job.phase().isFinal()).isPresent()) {
      obsoleteChunks.add(key);
    } else {
      jobsWithChunks.add(id);
      chunkRevisions.put(key, stamp);
    }
  }

  public void tick(Moment now) {
    if (!nextFinish.isAfter(now)) {
      // While the service refuses, one finds out when it does no more: all of them, several times a
      // second for as long as an outage lasts, would take up what it grants to the other nodes.
      jobs.readyToFinish().stream()
          .filter(job -> !blockedJobs.contains(job.id()))
          .limit(finishRefused ? 1 : Long.MAX_VALUE)
          .forEach(job -> finish(job, now));
    }
    if (!staleChunks.isEmpty() && !reading) {
      readChunk(staleChunks.iterator().next());
    }
    if (!flushing && !nextFlush.isAfter(now)) {
      flush(now);
    }
  }

  private void finish(Job job, Moment now) {
    job.markFinishing();
    JobRecord record = new JobRecord(job.spec(), JobRecord.Phase.DONE, job.acceptedAt());
    String key = Keys.job(job.id());
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(key, job.revision())),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.RESULT),
        answer -> {
          finishRefused = answer instanceof Answer.Refused no && no.status() == STATUS_UNAVAILABLE;
          if (answer instanceof Answer.Committed) {
            LOG.info("job {} is done after {}", job.id(), now.since(job.firstSeen()));
          }
          if (job.state() != Job.State.FINISHING) {
            // The watch was faster.
            return;
          }
          if (answer instanceof Answer.Committed committed) {
            job.markEnded(false, committed.epoch());
            jobEnded(job);
            // Users are told only by the store's copy, so let it catch up at once.
            view.catchUp(now, known -> {});
          } else {
            // Withdrawn meanwhile, or unknown: the store's copy tells, else it is tried again.
            job.reopen();
            blockOnRecordConflict(answer, job);
            nextFinish = now.plus(RETRY_DELAY);
            view.catchUp(now, known -> {});
          }
        });
  }

  /** The job is stored as over, so the parts of its results are not needed any more. */
  public void jobEnded(Job job) {
    blockedJobs.remove(job.id());
    if (jobsWithChunks.remove(job.id())) {
      for (int chunk = 0; chunk * DoneBits.CHUNK < job.spec().tasks(); chunk++) {
        String key = Keys.done(job.id(), chunk);
        chunkRevisions.remove(key);
        staleChunks.remove(key);
        obsoleteChunks.add(key);
      }
    }
  }

  private void blockOnRecordConflict(Answer answer, Job job) {
    if (answer instanceof Answer.Conflict conflict
        && conflict.failed().contains(Keys.job(job.id()))) {
      blockedJobs.add(job.id());
    }
  }

  /** Finds out how a part stands. */
  private void readChunk(String key) {
    reading = true;
    outbox.call(
        new Request.ReadPage(key, Optional.empty(), Request.Urgency.RESULT),
        answer -> {
          reading = false;
          if (answer instanceof Answer.Page page && staleChunks.remove(key)) {
            chunkRevisions.remove(key);
            page.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .forEach(entry -> chunkRevisions.put(key, entry.stamp()));
          }
        });
  }

  private record ChunkWrite(Job job, BitSet snapshot, int from, int to) {
    String key() {
      return Keys.done(job.id(), from / DoneBits.CHUNK);
    }
  }

  private void flush(Moment now) {
    nextFlush = now.plus(FLUSH_INTERVAL);
    int budget = Math.max(1, Math.min(maxBatchSize, batchSize));
    List<Guard> guards = new ArrayList<>(List.of(guard));
    List<Change> changes = new ArrayList<>();
    List<ChunkWrite> parts = new ArrayList<>();
    int bytes = 0;
    List<Job> dirty = jobs.withUnstoredResults();
    dirty.removeIf(job -> blockedJobs.contains(job.id()));
    dirty.sort((a, b) -> a.dirtySince().compareTo(b.dirtySince()));
    for (Job job : dirty) {
      BitSet snapshot = job.doneSnapshot();
      int before = parts.size();
      for (int from = 0; from < job.spec().tasks() && changes.size() < budget; ) {
        int to = Math.min(job.spec().tasks(), from + DoneBits.CHUNK);
        ChunkWrite part = new ChunkWrite(job, snapshot, from, to);
        if (job.hasUnstoredResults(from, to)
            && !staleChunks.contains(part.key())
            && bytes < MAX_CHUNK_BYTES_PER_COMMIT) {
          String bits = DoneBits.encode(snapshot.get(from, to));
          bytes += bits.length();
          parts.add(part);
          guards.add(new Guard(part.key(), chunkRevisions.getOrDefault(part.key(), Revision.NONE)));
          changes.add(
              new Change.Put(part.key(), new StoredValue.DoneChunk(bits), Optional.empty()));
        }
        from = to;
      }
      if (parts.size() > before) {
        guards.add(new Guard(Keys.job(job.id()), job.revision()));
      }
    }
    List<String> removed = new ArrayList<>();
    while (changes.size() < budget && removed.size() < obsoleteChunks.size()) {
      String key = obsoleteChunks.get(removed.size());
      removed.add(key);
      changes.add(new Change.Remove(key));
    }
    if (changes.isEmpty()) {
      return;
    }
    flushing = true;
    outbox.call(
        new Request.Commit(guards, changes, Request.Urgency.REST),
        answer -> {
          flushing = false;
          if (answer instanceof Answer.Committed committed) {
            batchSize = maxBatchSize;
            parts.forEach(written -> chunkStored(written, committed.epoch(), now));
            obsoleteChunks.removeAll(removed);
          } else if (answer instanceof Answer.Conflict conflict) {
            nextFlush = now.plus(RETRY_DELAY);
            parts.forEach(written -> chunkConflicted(written, conflict));
          } else {
            batchSize = Math.max(1, batchSize / 2);
            if (answer instanceof Answer.Nothing) {
              parts.forEach(written -> trackStoredChunks(written.job()));
            }
          }
        });
  }

  private void chunkStored(ChunkWrite written, Revision at, Moment now) {
    chunkRevisions.put(written.key(), at);
    written.job().markStored(written.snapshot(), written.from(), written.to(), now);
    trackStoredChunks(written.job());
  }

  /** Nothing was written, since something is not as it was taken to be. */
  private void chunkConflicted(ChunkWrite part, Answer.Conflict conflict) {
    blockOnRecordConflict(conflict, part.job());
    if (conflict.failed().contains(part.key())) {
      staleChunks.add(part.key());
    }
    trackStoredChunks(part.job());
  }

  /** Parts of the job may be in the store, so that they are to be removed at its end. */
  private void trackStoredChunks(Job job) {
    jobsWithChunks.add(job.id());
    if (job.isEnded()) {
      jobEnded(job);
    }
  }
}
