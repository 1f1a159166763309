package org.oakwalk.core.job;

/** Processors, accelerators and memory: of a machine, or taken by tasks. */
public record Room(double cpus, double gpus, double memoryGb) {
  public static final Room NONE = new Room(0, 0, 0);
  private static final double SLACK = 1e-6;

  public Room plus(Room other) {
    return new Room(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  public Room minus(Room other) {
    return new Room(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  public Room times(double factor) {
    return new Room(cpus * factor, gpus * factor, memoryGb * factor);
  }

  /** Whether this fits into what is free. */
  public boolean fits(Room free) {
    return cpus <= free.cpus + SLACK
        && gpus <= free.gpus + SLACK
        && memoryGb <= free.memoryGb + SLACK;
  }

  /** How many of {@code unit} fit side by side into this. */
  public int count(Room unit) {
    double most = Integer.MAX_VALUE;
    if (unit.cpus > 0) {
      most = Math.min(most, (cpus + SLACK) / unit.cpus);
    }
    if (unit.gpus > 0) {
      most = Math.min(most, (gpus + SLACK) / unit.gpus);
    }
    if (unit.memoryGb > 0) {
      most = Math.min(most, (memoryGb + SLACK) / unit.memoryGb);
    }
    return (int) Math.max(0, Math.floor(most));
  }

  /** The largest share that this takes of any resource of {@code whole}. */
  public double share(Room whole) {
    return Math.max(
        part(cpus, whole.cpus), Math.max(part(gpus, whole.gpus), part(memoryGb, whole.memoryGb)));
  }

  private static double part(double amount, double of) {
    return amount <= 0 ? 0 : of <= 0 ? 1 : amount / of;
  }
}
