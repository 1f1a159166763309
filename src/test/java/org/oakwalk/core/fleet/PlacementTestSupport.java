package org.oakwalk.core.fleet;

import org.oakwalk.core.MonotonicTime;

/** Gives tests of other packages access to the state of placements, without worker reports. */
public final class PlacementTestSupport {
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
