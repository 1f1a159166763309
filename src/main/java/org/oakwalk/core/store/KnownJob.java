package org.oakwalk.core.store;

import org.oakwalk.core.JobId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;

/**
 * A stored job as this node knows it.
 *
 * @param revision of the stored record
 * @param spec null if the job is done, to save memory; a withdrawn job keeps its spec, since its
 *     tasks may still be on machines
 */
public record KnownJob(
    JobId id,
    JobRecord.Phase phase,
    Revision revision,
    WallTime acceptedAt,
    JobSpec spec,
    int tasks) {

  static KnownJob of(JobRecord record, Revision revision) {
    JobSpec spec = record.phase() == JobRecord.Phase.DONE ? null : record.spec();
    return new KnownJob(
        record.spec().id(),
        record.phase(),
        revision,
        record.acceptedAt(),
        spec,
        record.spec().tasks());
  }

  /** Returns the job as a record to be stored; not usable if the spec was dropped. */
  public JobRecord record() {
    return new JobRecord(spec, phase, acceptedAt);
  }
}
