package org.oakwalk.core.job;

/**
 * An amount of CPUs, accelerators, memory and task slots: of a machine, or requested or used by
 * tasks.
 *
 * @param cpus number of CPUs
 * @param gpus number of accelerators
 * @param memoryGb memory in gigabytes
 * @param taskSlots places in a worker's report; each task takes one, however little else it takes
 */
public record Resources(double cpus, double gpus, double memoryGb, double taskSlots) {
  /**
   * Task slots of a machine: its reports and the responses to them list all its tasks, each in up
   * to 125 bytes, and the protocol limits both to 64 KiB.
   */
  public static final int TASK_SLOTS_PER_MACHINE = 512;

  /**
   * Task slots of a machine that tasks limited by slots leave to larger ones. Otherwise a job of
   * tiny tasks would keep all others from a machine that is almost idle.
   */
  public static final int TASK_SLOTS_FOR_LARGER_TASKS = 64;

  public static final Resources NONE = new Resources(0, 0, 0);
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** Creates an amount without task slots, such as a sum over work that is not placed. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this(cpus, gpus, memoryGb, 0);
  }

  /** The resources that one task takes. */
  public static Resources ofTask(double cpus, double gpus, double memoryGb) {
    return new Resources(cpus, gpus, memoryGb, 1);
  }

  /** The resources that one machine has. */
  public static Resources ofMachine(double cpus, double gpus, double memoryGb) {
    return new Resources(cpus, gpus, memoryGb, TASK_SLOTS_PER_MACHINE);
  }

  /** An amount of task slots alone. */
  public static Resources ofTaskSlots(int count) {
    return new Resources(0, 0, 0, count);
  }

  /** Returns the same amount without its task slots, which workers don't check. */
  public Resources withoutTaskSlots() {
    return new Resources(cpus, gpus, memoryGb);
  }

  public Resources plus(Resources other) {
    return new Resources(
        cpus + other.cpus,
        gpus + other.gpus,
        memoryGb + other.memoryGb,
        taskSlots + other.taskSlots);
  }

  public Resources minus(Resources other) {
    return new Resources(
        cpus - other.cpus,
        gpus - other.gpus,
        memoryGb - other.memoryGb,
        taskSlots - other.taskSlots);
  }

  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor, taskSlots * factor);
  }

  /** Returns whether this amount fits into {@code free}. */
  public boolean fitsInto(Resources free) {
    return cpus <= free.cpus + ROUNDING_TOLERANCE
        && gpus <= free.gpus + ROUNDING_TOLERANCE
        && memoryGb <= free.memoryGb + ROUNDING_TOLERANCE
        && taskSlots <= free.taskSlots + ROUNDING_TOLERANCE;
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
    if (unit.taskSlots > 0) {
      count = Math.min(count, (taskSlots + ROUNDING_TOLERANCE) / unit.taskSlots);
    }
    return (int) Math.max(0, Math.floor(count));
  }

  /**
   * Returns the dominant share: the largest fraction that this takes of any resource of {@code
   * whole}. Task slots don't count: they are a limit of the protocol, not something that is bought.
   */
  public double dominantShare(Resources whole) {
    return Math.max(
        fraction(cpus, whole.cpus),
        Math.max(fraction(gpus, whole.gpus), fraction(memoryGb, whole.memoryGb)));
  }

  /**
   * Returns whether task slots, rather than other resources, limit how many tasks of this size a
   * machine holds.
   */
  public boolean limitedByTaskSlots(Resources machine) {
    return dominantShare(machine) * TASK_SLOTS_PER_MACHINE < 1;
  }

  private static double fraction(double amount, double total) {
    return amount <= 0 ? 0 : total <= 0 ? 1 : amount / total;
  }
}
