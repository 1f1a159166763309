package org.oakwalk.core.fleet;

import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;

/** Gives tests of other packages access to the state of placements, without worker reports. */
public final class PlacementTestSupport {
  /** A listener that ignores all events. */
  public static final Fleet.Listener NO_EVENTS =
      new Fleet.Listener() {
        @Override
        public void completed(Placement placement, TimeSpan runTime) {}

        @Override
        public void placed(Job job, MonotonicTime now) {}

        @Override
        public void capacityChanged() {}
      };

  private PlacementTestSupport() {}

  /** Marks a placement as running from this moment on. */
  public static void markRunning(Placement placement, MonotonicTime since) {
    placement.enter(Placement.State.RUNNING, since);
  }

  /** Records that a placement's task failed on its machine. */
  public static void fail(Placement placement, MonotonicTime now) {
    placement.job().recordFailure(placement.machine().id(), now);
    placement.machine().recordFailure(placement, now);
  }
}
