package org.oakwalk.core.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Revision;

/**
 * The jobs in this node's copy of the store.
 *
 * <p>This node may learn from another controller that a job has ended, before its copy shows it.
 * Ends are final, so a learned end takes effect at once and overrides any older record of the job
 * that the copy receives later.
 */
final class KnownJobs {
  /** Maximum number of ends known ahead of the copy. Each is kept until the copy shows it. */
  static final int MAX_LEARNED_ENDS = 10_000;

  private final Map<JobId, KnownJob> jobs = new HashMap<>();
  private final Map<JobId, JobRecord.Phase> learnedEnds = new HashMap<>();
  private final OpenJobCounts open = new OpenJobCounts();

  Optional<KnownJob> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  Collection<KnownJob> all() {
    return jobs.values();
  }

  OpenJobCounts open() {
    return open;
  }

  /** Applies a stored record; returns the job if the record is newer than the known one. */
  Optional<KnownJob> applyStored(JobRecord record, Revision revision) {
    JobId id = record.spec().id();
    KnownJob before = jobs.get(id);
    if (before != null && before.revision().compareTo(revision) >= 0) {
      return Optional.empty();
    }
    return Optional.of(put(before, KnownJob.of(withLearnedEnd(record), revision), record));
  }

  /**
   * Records that a job has ended, as reported by another controller.
   *
   * @return false if there is no room to keep it until the copy shows it
   */
  boolean learnEnd(JobId id, JobRecord.Phase end) {
    if (find(id).filter(job -> job.phase().isFinal()).isPresent()) {
      return true;
    }
    if (learnedEnds.size() >= MAX_LEARNED_ENDS && !learnedEnds.containsKey(id)) {
      return false;
    }
    learnedEnds.put(id, end);
    return true;
  }

  /** Applies a learned end to the known job; returns the changed job, or empty if none changed. */
  Optional<KnownJob> applyLearnedEnd(JobId id) {
    KnownJob before = jobs.get(id);
    JobRecord.Phase end = learnedEnds.get(id);
    if (before == null || end == null || before.phase().isFinal()) {
      return Optional.empty();
    }
    JobRecord record = before.record().withPhase(end);
    return Optional.of(put(before, KnownJob.of(record, before.revision()), record));
  }

  private JobRecord withLearnedEnd(JobRecord record) {
    if (record.phase().isFinal()) {
      learnedEnds.remove(record.spec().id());
      return record;
    }
    JobRecord.Phase end = learnedEnds.get(record.spec().id());
    return end == null ? record : record.withPhase(end);
  }

  private KnownJob put(KnownJob before, KnownJob job, JobRecord record) {
    jobs.put(job.id(), job);
    open.update(record.spec().team(), before, job);
    return job;
  }
}
