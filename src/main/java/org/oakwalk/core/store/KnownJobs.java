package org.oakwalk.core.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Revision;

/**
 * The jobs of this node's copy of the store.
 *
 * <p>The end of a job may be learned from another controller before the copy shows it. Ends are
 * final, so it counts from then on, whatever older record of the job the copy is yet to show.
 */
final class KnownJobs {
  /** How many ends may be known ahead of the copy; each is kept until the copy shows it. */
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

  /** Takes over a stored record; returns the job if the record is newer than what was known. */
  Optional<KnownJob> applyStored(JobRecord record, Revision stamp) {
    JobId id = record.spec().id();
    KnownJob before = jobs.get(id);
    if (before != null && before.revision().compareTo(stamp) >= 0) {
      return Optional.empty();
    }
    return Optional.of(put(before, KnownJob.of(withLearnedEnd(record), stamp), record));
  }

  /**
   * Takes over that a job is over, as another controller has told.
   *
   * @return whether that is known from here on; false if there is no room for it
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

  /** The job as it is now if its end was learned but does not count in it yet. */
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
