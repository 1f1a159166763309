package org.oakwalk.core.placement;

import java.util.List;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;

/**
 * Room that some jobs may take from others under agreed exchange terms, in addition to ordinary
 * preemption.
 */
public interface CapacityExchange {
  /** No exchange: no job takes room. */
  CapacityExchange NONE =
      new CapacityExchange() {
        @Override
        public boolean excludesPreemption(Job asking, Placement placement) {
          return false;
        }

        @Override
        public boolean requestCapacity(
            Job job, List<Machine> machines, MonotonicTime now, WallTime wall) {
          return false;
        }
      };

  /** Whether exchange terms apply between the job and the task, so it must not be preempted. */
  boolean excludesPreemption(Job asking, Placement placement);

  /**
   * Requests room for a job that found none on these machines.
   *
   * @return whether room for at least one of its tasks is being freed
   */
  boolean requestCapacity(Job job, List<Machine> machines, MonotonicTime now, WallTime wall);
}
