package org.oakwalk.core.job;

/** An amount of CPUs, accelerators and memory: of a machine, or requested or used by tasks. */
public record Resources(double cpus, double gpus, double memoryGb) {
  public static final Resources NONE = new Resources(0, 0, 0);
  private static final double ROUNDING_TOLERANCE = 1e-6;

  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
  }

  /** Returns whether this amount fits into {@code free}. */
  public boolean fitsInto(Resources free) {
    return cpus <= free.cpus + ROUNDING_TOLERANCE
        && gpus <= free.gpus + ROUNDING_TOLERANCE
        && memoryGb <= free.memoryGb + ROUNDING_TOLERANCE;
  }

  /** Returns how many times {@code unit} fits into this amount. */
  public int capacityFor(Resources unit) {
    double count = Integer.MAX_VALUE;
    if (unit.cpus > 0) {
      count = Math.min(count, (cpus + ROUNDING_TOLERANCE) / unit.cpus);
    }
    if (unit.gpus > 0) {
      count = Math.min(count, (gpus + ROUNDING_TOLERANCE) / unit.gpus);
    }
    if (unit.memoryGb > 0) {
      count = Math.min(count, (memoryGb + ROUNDING_TOLERANCE) / unit.memoryGb);
    }
    return (int) Math.max(0, Math.floor(count));
  }

  /**
   * Returns the dominant share: the largest fraction that this takes of any resource of {@code
   * whole}.
   */
  public double dominantShare(Resources whole) {
    return Math.max(
        fraction(cpus, whole.cpus),
        Math.max(fraction(gpus, whole.gpus), fraction(memoryGb, whole.memoryGb)));
  }

  private static double fraction(double amount, double total) {
    return amount <= 0 ? 0 : total <= 0 ? 1 : amount / total;
  }
}
