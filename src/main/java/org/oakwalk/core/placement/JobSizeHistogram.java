package org.oakwalk.core.placement;

import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * A histogram of the sizes of a class's jobs, where the size is the number of tasks times the
 * resources of a task. Adjacent buckets differ by about a fifth. It identifies the largest jobs
 * without keeping the earlier ones.
 */
final class JobSizeHistogram {
  /** If more than this part of a class has the same size as a job, the job is not a large one. */
  private static final double MAX_EQUAL_SHARE = 0.5;

  private static final int BUCKETS = 160;
  private static final int BUCKETS_PER_DOUBLING = 4;

  /** The bucket of size 1; those below it are for smaller sizes. */
  private static final int UNIT_BUCKET = 32;

  /** The resources of size 1. Sizes are compared only within a class, so any unit will do. */
  private static final Resources UNIT = new Resources(1, 1, 4);

  private final int[] counts = new int[BUCKETS];
  private int total;

  /** The number of tasks times the resources of a task. */
  static double size(JobSpec spec) {
    return spec.tasks() * spec.resources().dominantShare(UNIT);
  }

  private static int bucket(double size) {
    long index = UNIT_BUCKET + Math.round(BUCKETS_PER_DOUBLING * Math.log(size) / Math.log(2));
    return (int) Math.max(0, Math.min(BUCKETS - 1, index));
  }

  /** Adds a job. */
  void add(JobSpec spec) {
    counts[bucket(size(spec))]++;
    total++;
  }

  /**
   * Whether the job is among the largest of its class.
   *
   * @param part the part of the class that counts as largest; no job does if most have its size
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
