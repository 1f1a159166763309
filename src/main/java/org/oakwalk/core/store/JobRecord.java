package org.oakwalk.core.store;

import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;

/** A job as stored in the state service. */
public record JobRecord(JobSpec spec, Phase phase, WallTime acceptedAt) implements StoredValue {

  /** Stored phase of a job. {@link #DONE} and {@link #WITHDRAWN} are final. */
  public enum Phase {
    OPEN,
    DONE,
    WITHDRAWN;

    /** Returns true if a job in this phase never changes again. */
    public boolean isFinal() {
      return this != OPEN;
    }
  }

  /** Returns a copy of this record in another phase. */
  public JobRecord withPhase(Phase next) {
    return new JobRecord(spec, next, acceptedAt);
  }
}
