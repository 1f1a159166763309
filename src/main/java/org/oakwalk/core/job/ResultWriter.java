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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.DoneBitmap;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores task results: the final record of a job at once, results of unfinished jobs in batches.
 *
 * <p>Results of unfinished jobs are stored in chunks of {@link DoneBitmap#TASKS_PER_CHUNK} tasks. A
 * chunk is written by compare-and-set: its own revision must be the one last written or read, and
 * the job's record must still be the open one. This guards against a write whose answer was lost
 * and that is applied much later. By then a newer write has changed the chunk, or the job's end its
 * record, so the late write fails. Otherwise it would remove results that workers have been told to
 * forget. A chunk whose revision differs from the expected one is read before it is written again.
 */
public final class ResultWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ResultWriter.class);
  private static final TimeSpan FLUSH_INTERVAL = TimeSpan.seconds(2);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final int STATUS_UNAVAILABLE = 503;

  /**
   * Limit on encoded chunks in one commit, out of the transaction limit of 64 KiB; guards excluded.
   */
  private static final int MAX_CHUNK_BYTES_PER_COMMIT = 44 * 1024;

  private final Outbox outbox;
  private final JobRegistry jobs;
  private final StoreView view;
  private final Guard guard;

  /** Jobs that may have chunks in the store, which are to be removed when the job ends. */
  private final Set<JobId> jobsWithChunks = new HashSet<>();

  /** Revisions of the stored chunks of open jobs; any other chunk does not exist. */
  private final Map<String, Revision> chunkRevisions = new HashMap<>();

  /** Keys of chunks whose revision is not the expected one, and that have to be read. */
  private final Set<String> staleChunks = new LinkedHashSet<>();

  /**
   * Open jobs whose stored record differs from the one that this leader knows. An open record only
   * changes when the job ends, which the copy of the store will show; otherwise the record is
   * damaged. In both cases no results of the job are written.
   */
  private final Set<JobId> blockedJobs = new HashSet<>();

  /** Keys of chunks of ended jobs, to be removed. */
  private final List<String> obsoleteChunks = new ArrayList<>();

  private final int maxBatchSize;

  /**
   * Changes per commit. Halved after a failed commit, because a state service that refuses many
   * requests accepts small commits sooner than large ones.
   */
  private int batchSize;

  private boolean flushing;

  /** Set if the state service was unavailable for the last write of a final record. */
  private boolean finishRefused;

  private boolean reading;
  private MonotonicTime nextFlush = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextFinish = new MonotonicTime(Long.MIN_VALUE / 2);

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

  /** Registers a chunk that this leader found in the store during recovery. */
  public void addStoredChunk(JobId id, String key, Revision revision) {
    if (view.job(id).filter(job -> job.phase().isFinal()).isPresent()) {
      obsoleteChunks.add(key);
    } else {
      jobsWithChunks.add(id);
      chunkRevisions.put(key, revision);
    }
  }

  /** Starts the writes and reads that are due. */
  public void tick(MonotonicTime now) {
    if (!nextFinish.isAfter(now)) {
      // While the state service is unavailable, a single write probes it. Retrying all of them
      // several times a second during an outage would use up the requests granted to other nodes.
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

  private void finish(Job job, MonotonicTime now) {
    job.markFinishing();
    JobRecord record = new JobRecord(job.spec(), JobRecord.Phase.DONE, job.acceptedAt());
    String key = StoreKeys.job(job.id());
    outbox.call(
        new Request.Commit(
            List.of(guard, new Guard(key, job.revision())),
            List.of(new Change.Put(key, record, Optional.empty())),
            Request.Urgency.RESULT),
        answer -> {
          finishRefused =
              answer instanceof Answer.Refused refusal && refusal.status() == STATUS_UNAVAILABLE;
          if (answer instanceof Answer.Committed) {
            LOG.info("job {} is done after {}", job.id(), now.since(job.firstSeen()));
          }
          if (job.state() != Job.State.FINISHING) {
            // The watch has shown the job's end before this answer arrived.
            return;
          }
          if (answer instanceof Answer.Committed committed) {
            job.markEnded(false, committed.revision());
            jobEnded(job);
            // Users are answered from the copy of the store only, so bring it up to date at once.
            view.catchUp(now, known -> {});
          } else {
            // The job was withdrawn meanwhile, or the outcome is unknown. The copy of the store
            // will show if the job has ended; otherwise the write is retried.
            job.reopen();
            blockOnRecordConflict(answer, job);
            nextFinish = now.plus(RETRY_DELAY);
            view.catchUp(now, known -> {});
          }
        });
  }

  /** Marks the chunks of a job for removal, because the job is stored as done or withdrawn. */
  public void jobEnded(Job job) {
    blockedJobs.remove(job.id());
    if (jobsWithChunks.remove(job.id())) {
      for (int chunk = 0; chunk * DoneBitmap.TASKS_PER_CHUNK < job.spec().tasks(); chunk++) {
        String key = StoreKeys.doneChunk(job.id(), chunk);
        chunkRevisions.remove(key);
        staleChunks.remove(key);
        obsoleteChunks.add(key);
      }
    }
  }

  private void blockOnRecordConflict(Answer answer, Job job) {
    if (answer instanceof Answer.Conflict conflict
        && conflict.failedKeys().contains(StoreKeys.job(job.id()))) {
      blockedJobs.add(job.id());
    }
  }

  /** Reads the current revision of a chunk. */
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
                .forEach(entry -> chunkRevisions.put(key, entry.revision()));
          }
        });
  }

  private record ChunkWrite(Job job, BitSet snapshot, int from, int to) {
    String key() {
      return StoreKeys.doneChunk(job.id(), from / DoneBitmap.TASKS_PER_CHUNK);
    }
  }

  private void flush(MonotonicTime now) {
    nextFlush = now.plus(FLUSH_INTERVAL);
    int maxChanges = Math.max(1, Math.min(maxBatchSize, batchSize));
    List<Guard> guards = new ArrayList<>(List.of(guard));
    List<Change> changes = new ArrayList<>();
    List<ChunkWrite> writes = new ArrayList<>();
    int bytes = 0;
    List<Job> unstored = jobs.withUnstoredResults();
    unstored.removeIf(job -> blockedJobs.contains(job.id()));
    unstored.sort((a, b) -> a.dirtySince().compareTo(b.dirtySince()));
    for (Job job : unstored) {
      BitSet snapshot = job.doneSnapshot();
      int before = writes.size();
      for (int from = 0; from < job.spec().tasks() && changes.size() < maxChanges; ) {
        int to = Math.min(job.spec().tasks(), from + DoneBitmap.TASKS_PER_CHUNK);
        ChunkWrite write = new ChunkWrite(job, snapshot, from, to);
        if (job.hasUnstoredResults(from, to)
            && !staleChunks.contains(write.key())
            && bytes < MAX_CHUNK_BYTES_PER_COMMIT) {
          String bits = DoneBitmap.encode(snapshot.get(from, to));
          bytes += bits.length();
          writes.add(write);
          guards.add(
              new Guard(write.key(), chunkRevisions.getOrDefault(write.key(), Revision.NONE)));
          changes.add(
              new Change.Put(write.key(), new StoredValue.DoneChunk(bits), Optional.empty()));
        }
        from = to;
      }
      if (writes.size() > before) {
        guards.add(new Guard(StoreKeys.job(job.id()), job.revision()));
      }
    }
    List<String> removed = new ArrayList<>();
    while (changes.size() < maxChanges && removed.size() < obsoleteChunks.size()) {
      String key = obsoleteChunks.get(removed.size());
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
            batchSize = maxBatchSize;
            writes.forEach(write -> chunkStored(write, committed.revision(), now));
            obsoleteChunks.removeAll(removed);
          } else if (answer instanceof Answer.Conflict conflict) {
            nextFlush = now.plus(RETRY_DELAY);
            writes.forEach(write -> chunkConflicted(write, conflict));
          } else {
            batchSize = Math.max(1, batchSize / 2);
            if (answer instanceof Answer.OutcomeUnknown) {
              writes.forEach(write -> trackStoredChunks(write.job()));
            }
          }
        });
  }

  private void chunkStored(ChunkWrite write, Revision revision, MonotonicTime now) {
    chunkRevisions.put(write.key(), revision);
    write.job().markStored(write.snapshot(), write.from(), write.to(), now);
    trackStoredChunks(write.job());
  }

  /** Handles a commit that wrote nothing because a guard failed. */
  private void chunkConflicted(ChunkWrite write, Answer.Conflict conflict) {
    blockOnRecordConflict(conflict, write.job());
    if (conflict.failedKeys().contains(write.key())) {
      staleChunks.add(write.key());
    }
    trackStoredChunks(write.job());
  }

  /** Notes that chunks of the job may be in the store; if it has ended, marks them for removal. */
  private void trackStoredChunks(Job job) {
    jobsWithChunks.add(job.id());
    if (job.isEnded()) {
      jobEnded(job);
    }
  }
}
