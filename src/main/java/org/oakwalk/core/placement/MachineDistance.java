package org.oakwalk.core.placement;

import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * The distance of a machine from an ideal one for a task. The ideal machine has, for each resource,
 * the lowest utilization found on any machine, and has the task's image in its cache. {@link
 * MachineSearch} finds the nearest machine.
 */
public final class MachineDistance {
  /** Fetch time from which on the image term is at its maximum. */
  private static final double LONG_FETCH_SECONDS = 10;

  private static final double SERVICE_IMAGE_FACTOR = 5;

  /**
   * Time by which a task may prolong the use of a machine until the term reaches its maximum. The
   * term packs long tasks onto the same machines, so that the others can be emptied; short tasks
   * hardly count, since they end soon.
   */
  private static final double LONG_OCCUPATION_SECONDS = 60;

  /**
   * Distance added for a replica on a machine that holds no other replica. A machine with a replica
   * can't be emptied for a long time, so replicas are packed: spread evenly, they would keep the
   * whole fleet in use at times of low load. Replicas of the same job are kept apart all the same,
   * so that they are not lost together.
   */
  private static final double NO_REPLICA_PENALTY = 0.3;

  private final Policy.PlacementPolicy policy;
  private final CapacityReserve reserve;

  /** Computes distances where no room is reserved. */
  public MachineDistance(Policy.PlacementPolicy policy) {
    this(policy, CapacityReserve.NONE);
  }

  MachineDistance(Policy.PlacementPolicy policy, CapacityReserve reserve) {
    this.policy = policy;
    this.reserve = reserve;
  }

  /**
   * The terms of a machine's squared distance other than its utilization: the image to be fetched,
   * the packing of replicas or long tasks, recent errors of the job, and cached images that would
   * be evicted.
   *
   * @param run the expected run time of the task
   */
  double otherTerms(Job job, Machine machine, TimeSpan run, MonotonicTime now) {
    JobSpec spec = job.spec();
    return square(imageWeight(spec) * fetchCost(spec, machine))
        + (spec.service()
            ? replicaPenalty(spec, machine)
            : square(addedOccupation(machine, run, now)))
        + machine.errorsOf(job)
        + reserve.imageEvictionPenalty(spec, machine);
  }

  /** Whether the task fits on the machine within the utilization limit for CPU and memory. */
  public boolean fits(JobSpec spec, Machine machine) {
    Resources resources = spec.resources();
    Resources free = reserve.freeFor(spec, machine);
    if (!resources.fitsInto(free) || machine.freeTaskSlots(spec) < resources.taskSlots()) {
      return false;
    }
    Resources whole = machine.type().resources();
    return leavesSpare(resources.cpus(), free.cpus(), whole.cpus())
        && leavesSpare(resources.memoryGb(), free.memoryGb(), whole.memoryGb());
  }

  /**
   * Whether the utilization limit is kept. The limit leaves a tenth of a machine free by default,
   * as a protection against overload. A task larger than that part is exempt, since the limit would
   * leave a whole place unused.
   */
  private boolean leavesSpare(double asked, double free, double whole) {
    double spare = (1 - policy.maxUtilization()) * whole;
    return asked > spare || free - asked >= spare - 1e-9;
  }

  /**
   * The time by which a task would delay the moment when the machine is empty, scaled to 0 to 1.
   */
  private static double addedOccupation(Machine machine, TimeSpan run, MonotonicTime now) {
    if (machine.holdsReplica()) {
      return 0;
    }
    MonotonicTime from = machine.expectedEmptyAt().isAfter(now) ? machine.expectedEmptyAt() : now;
    double longer = now.plus(run).since(from).asSeconds();
    return Math.min(1, Math.max(0, longer) / LONG_OCCUPATION_SECONDS);
  }

  private static double replicaPenalty(JobSpec spec, Machine machine) {
    double own = spec.tasks() == 1 ? 0 : machine.taskCountOf(spec.id());
    // On a machine that is in use only for a while, the replica would soon have to move again.
    return (machine.holdsReplica() ? own : NO_REPLICA_PENALTY) + (machine.removalPlanned() ? 1 : 0);
  }

  /** Users wait for replicas, so a cached image counts more for them than an even load. */
  private double imageWeight(JobSpec spec) {
    return spec.service() ? SERVICE_IMAGE_FACTOR * policy.imageWeight() : policy.imageWeight();
  }

  private static double fetchCost(JobSpec spec, Machine machine) {
    if (machine.hasImage(spec.image())) {
      return 0;
    }
    double seconds = machine.type().fetchTime(spec.imageGb()).asSeconds();
    return Math.min(1, seconds / LONG_FETCH_SECONDS);
  }

  static double cpuUse(Machine machine) {
    return use(machine.used().cpus(), machine.type().resources().cpus());
  }

  static double memoryUse(Machine machine) {
    return use(machine.used().memoryGb(), machine.type().resources().memoryGb());
  }

  static double gpuUse(Machine machine) {
    return use(machine.used().gpus(), machine.type().resources().gpus());
  }

  private static double use(double used, double whole) {
    return whole <= 0 ? 0 : used / whole;
  }

  private static double square(double value) {
    return value * value;
  }
}
