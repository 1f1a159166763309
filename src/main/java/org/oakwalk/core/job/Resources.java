package org.oakwalk.core.job;

/** Processors, accelerators and memory: of a machine, or taken by tasks. */
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

  /** Whether this fits into what is free. */
  public boolean fitsInto(Resources free) {
    return cpus <= free.cpus + ROUNDING_TOLERANCE
        && gpus <= free.gpus + ROUNDING_TOLERANCE
        && memoryGb <= free.memoryGb + ROUNDING_TOLERANCE;
  }

  /** How many of {@code unit} fit side by side into this. */
  public int capacityFor(Resources unit) {
    double most = Integer.MAX_VALUE;
    if (unit.cpus > 0) {
      most = Math.min(most, (cpus + ROUNDING_TOLERANCE) / unit.cpus);
    }
    if (unit.gpus > 0) {
      most = Math.min(most, (gpus + ROUNDING_TOLERANCE) / unit.gpus);
    }
    if (unit.memoryGb > 0) {
      most = Math.min(most, (memoryGb + ROUNDING_TOLERANCE) / unit.memoryGb);
    }
    return (int) Math.max(0, Math.floor(most));
  }

  /** The largest share that this takes of any resource of {@code whole}. */
  public double dominantShare(Resources whole) {
    return Math.max(
        part(cpus, whole.cpus), Math.max(part(gpus, whole.gpus), part(memoryGb, whole.memoryGb)));
  }

  private static double part(double amount, double of) {
    return amount <= 0 ? 0 : of <= 0 ? 1 : amount / of;
  }
}
