package org.oakwalk.core.placement;

import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * How large the jobs of a class are, by tasks times room, in steps of a fifth. It tells the larger
 * ones without keeping what has been.
 */
final class Sizes {
  /** Where more than this part of a class is as large, its largest are no sort of their own. */
  private static final double MOST_ALIKE = 0.5;

  private static final int STEPS = 160;
  private static final int STEPS_PER_DOUBLING = 4;

  /** The step of the size one, so that small fractions have steps as well. */
  private static final int ONE = 32;

  /** What counts as one: sizes are compared within a class, so any measure will do. */
  private static final Resources UNIT = new Resources(1, 1, 4);

  private final int[] counts = new int[STEPS];
  private int all;

  /** Tasks times room. */
  static double of(JobSpec spec) {
    return spec.tasks() * spec.resources().dominantShare(UNIT);
  }

  private static int step(double size) {
    long step = ONE + Math.round(STEPS_PER_DOUBLING * Math.log(size) / Math.log(2));
    return (int) Math.max(0, Math.min(STEPS - 1, step));
  }

  /** Another job has come. */
  void add(JobSpec spec) {
    counts[step(of(spec))]++;
    all++;
  }

  /**
   * Whether the job is among this part of its class, counted from the largest. No job is where most
   * are as large: then they are the class.
   */
  boolean amongLargest(JobSpec spec, double part) {
    int larger = 0;
    int own = step(of(spec));
    for (int i = own + 1; i < STEPS; i++) {
      larger += counts[i];
    }
    return larger < part * all && counts[own] <= MOST_ALIKE * all;
  }
}
