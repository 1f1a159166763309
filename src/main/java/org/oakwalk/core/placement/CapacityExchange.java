package org.oakwalk.core.placement;

import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;

/** Room that some jobs may take from others under terms of their own, beside ordinary stops. */
public interface CapacityExchange {
  /** Nobody takes. */
  CapacityExchange NONE =
      new CapacityExchange() {
        @Override
        public boolean excludesPreemption(Job asking, Placement placement) {
          return false;
        }

        @Override
        public boolean requestRoom(Job job, List<Machine> machines, Moment now, WallTime wall) {
          return false;
        }
      };

  /** Whether a task is stopped for this job under such terms only, and not by an ordinary stop. */
  boolean excludesPreemption(Job asking, Placement placement);

  /**
   * A job found no room on any of these machines.
   *
   * @return whether room for one of its tasks is on its way
   */
  boolean requestRoom(Job job, List<Machine> machines, Moment now, WallTime wall);
}
