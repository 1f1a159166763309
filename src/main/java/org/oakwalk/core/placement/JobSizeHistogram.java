package org.oakwalk.core.placement;

import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Room;

/**
 * How large the jobs of a class are, by tasks times room, in steps of a fifth. It tells the larger
 * ones without keeping what has been.
 */
final class JobSizeHistogram {
  /** Where more than this part of a class is as large, its largest are no sort of their own. */
  private static final double MAX_EQUAL_SHARE = 0.5;

  private static final int BUCKETS = 160;
  private static final int BUCKETS_PER_DOUBLING = 4;

  /** The step of the size one, so that small fractions have steps as well. */
  private static final int UNIT_BUCKET = 32;

  /** What counts as one: sizes are compared within a class, so any measure will do. */
  private static final Room UNIT = new Room(1, 1, 4);

  private final int[] counts = new int[BUCKETS];
  private int total;

  /** Tasks times room. */
  static double size(JobSpec spec) {
    return spec.tasks() * spec.room().share(UNIT);
  }

  private static int bucket(double size) {
    long step = UNIT_BUCKET + Math.round(BUCKETS_PER_DOUBLING * Math.log(size) / Math.log(2));
    return (int) Math.max(0, Math.min(BUCKETS - 1, step));
  }

  /** Another job has come. */
  void add(JobSpec spec) {
    counts[bucket(size(spec))]++;
    total++;
  }

  /**
   * Whether the job is among this part of its class, counted from the largest. No job is where most
   * are as large: then they are the class.
   */
  boolean amongLargest(JobSpec spec, double part) {
    int larger = 0;
    int own = bucket(size(spec));
    for (int i = own + 1; i < BUCKETS; i++) {
      larger += counts[i];
    }
    return larger < part * total && counts[own] <= MAX_EQUAL_SHARE * total;
  }
}
