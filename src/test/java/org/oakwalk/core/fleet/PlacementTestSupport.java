package org.oakwalk.core.fleet;

import org.oakwalk.core.Moment;

/** Lets placements run in tests of other packages, without reports of workers. */
public final class PlacementTestSupport {
  private PlacementTestSupport() {}

  /** The placement runs from this moment on. */
  public static void markRunning(Placement placement, Moment since) {
    placement.enter(Placement.State.RUNNING, since);
  }
}
