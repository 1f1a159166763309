package org.oakwalk.core.store;

import org.oakwalk.core.JobId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;

/**
 * What this node knows of a stored job. The spec of a job that is done is dropped (null) to save
 * memory; that of a withdrawn one is kept, since its tasks may still be on machines.
 */
public record KnownJob(
    JobId id,
    JobRecord.Phase phase,
    Revision revision,
    WallTime acceptedAt,
    JobSpec spec,
    int tasks) {

  static KnownJob of(JobRecord record, Revision stamp) {
    JobSpec kept = record.phase() == JobRecord.Phase.DONE ? null : record.spec();
    return new KnownJob(
        record.spec().id(),
        record.phase(),
        stamp,
        record.acceptedAt(),
        kept,
        record.spec().tasks());
  }

  public JobRecord record() {
    return new JobRecord(spec, phase, acceptedAt);
  }
}
