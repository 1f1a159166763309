package org.oakwalk.core.store;

import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;

/** A job as the state service keeps it. */
public record JobRecord(JobSpec spec, Phase phase, WallTime acceptedAt) implements StoredValue {

  /** How far a job is, as far as it is stored. The last two are final. */
  public enum Phase {
    OPEN,
    DONE,
    WITHDRAWN;

    public boolean isFinal() {
      return this != OPEN;
    }
  }

  public JobRecord withPhase(Phase next) {
    return new JobRecord(spec, next, acceptedAt);
  }
}
