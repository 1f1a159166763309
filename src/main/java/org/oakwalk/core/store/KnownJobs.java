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
  static final int MOST_LEARNED = 10_000;

  private final Map<JobId, KnownJob> jobs = new HashMap<>();
  private final Map<JobId, JobRecord.Phase> learned = new HashMap<>();
  private final OpenJobs open = new OpenJobs();

  Optional<KnownJob> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  Collection<KnownJob> all() {
    return jobs.values();
  }

  OpenJobs open() {
    return open;
  }

  /** Takes over a stored record; returns the job if the record is newer than what was known. */
  Optional<KnownJob> stored(JobRecord record, Revision stamp) {
    JobId id = record.spec().id();
    KnownJob before = jobs.get(id);
    if (before != null && before.stamp().compareTo(stamp) >= 0) {
      return Optional.empty();
    }
    return Optional.of(put(before, KnownJob.of(withLearnedEnd(record), stamp), record));
  }

  /**
   * Takes over that a job is over, as another controller has told.
   *
   * @return whether that is known from here on; false if there is no room for it
   */
  boolean learn(JobId id, JobRecord.Phase end) {
    if (find(id).filter(job -> job.phase().isFinal()).isPresent()) {
      return true;
    }
    if (learned.size() >= MOST_LEARNED && !learned.containsKey(id)) {
      return false;
    }
    learned.put(id, end);
    return true;
  }

  /** The job as it is now if its end was learned but does not count in it yet. */
  Optional<KnownJob> applyLearned(JobId id) {
    KnownJob before = jobs.get(id);
    JobRecord.Phase end = learned.get(id);
    if (before == null || end == null || before.phase().isFinal()) {
      return Optional.empty();
    }
    JobRecord record = before.record().in(end);
    return Optional.of(put(before, KnownJob.of(record, before.stamp()), record));
  }

  private JobRecord withLearnedEnd(JobRecord record) {
    if (record.phase().isFinal()) {
      learned.remove(record.spec().id());
      return record;
    }
    JobRecord.Phase end = learned.get(record.spec().id());
    return end == null ? record : record.in(end);
  }

  private KnownJob put(KnownJob before, KnownJob job, JobRecord record) {
    jobs.put(job.id(), job);
    open.count(record.spec().team(), before, job);
    return job;
  }
}
