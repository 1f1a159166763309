package org.oakwalk.core.placement;

import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Room;

/**
 * How far a machine is from an ideal one, which has the lowest use of each resource seen on any
 * machine, and holds the task's image already. {@link HostSearch} finds the nearest.
 */
public final class IdealHost {
  private static final double LONG_FETCH_SECONDS = 10;
  private static final double SERVICE_FACTOR = 5;

  /** Long tasks keep together likewise; short ones don't matter, since they end soon. */
  private static final double LONG_HOLD_SECONDS = 60;

  /**
   * A machine that holds a replica can't be emptied for long, so replicas keep together: spread
   * evenly, they would hold on to the whole fleet when there is little else to do. Those of one job
   * keep apart all the same, since they should not be lost together.
   */
  private static final double ALONE = 0.3;

  private final Policy.PlacementPolicy policy;
  private final Reserve reserve;

  /** Judges machines on which nothing is kept for others. */
  public IdealHost(Policy.PlacementPolicy policy) {
    this(policy, Reserve.NONE);
  }

  IdealHost(Policy.PlacementPolicy policy, Reserve reserve) {
    this.policy = policy;
    this.reserve = reserve;
  }

  /**
   * What counts for a machine's distance beside its use: the image, company or the time that it is
   * kept busy, and errors.
   *
   * @param run how long the task should run
   */
  double otherTerms(Job job, Machine machine, Span run, Moment now) {
    JobSpec spec = job.spec();
    return square(imageWeight(spec) * fetchShare(spec, machine))
        + (spec.service() ? company(spec, machine) : square(held(machine, run, now)))
        + machine.errorsOf(job)
        + reserve.strain(spec, machine);
  }

  /** Whether the task fits under the mark. */
  public boolean fits(JobSpec spec, Machine machine) {
    Room room = spec.room();
    Room free = reserve.free(spec, machine);
    if (!room.fits(free)) {
      return false;
    }
    Room whole = machine.type().room();
    return underMark(room.cpus(), free.cpus(), whole.cpus())
        && underMark(room.memoryGb(), free.memoryGb(), whole.memoryGb());
  }

  /**
   * The mark keeps a tenth of a machine free against overload. Where a single task takes more than
   * that tenth, the mark would leave a whole place unused, so such a task may use all.
   */
  private boolean underMark(double asked, double free, double whole) {
    double spared = (1 - policy.maxUtilization()) * whole;
    return asked > spared || free - asked >= spared - 1e-9;
  }

  /** How much longer a task would keep the machine from being empty. */
  private static double held(Machine machine, Span run, Moment now) {
    if (machine.holdsReplica()) {
      return 0;
    }
    Moment from = machine.emptyBy().isAfter(now) ? machine.emptyBy() : now;
    double longer = now.plus(run).since(from).asSeconds();
    return Math.min(1, Math.max(0, longer) / LONG_HOLD_SECONDS);
  }

  private static double company(JobSpec spec, Machine machine) {
    double own = spec.tasks() == 1 ? 0 : machine.countOf(spec.id());
    // Where a machine leaves soon, a replica would have to move again.
    return (machine.holdsReplica() ? own : ALONE) + (machine.leavesSoon() ? 1 : 0);
  }

  /** Replicas are waited for, so for them the image counts more than an even load. */
  private double imageWeight(JobSpec spec) {
    return spec.service() ? SERVICE_FACTOR * policy.imageWeight() : policy.imageWeight();
  }

  private static double fetchShare(JobSpec spec, Machine machine) {
    if (machine.hasImage(spec.image())) {
      return 0;
    }
    double seconds = machine.type().fetch(spec.imageGb()).asSeconds();
    return Math.min(1, seconds / LONG_FETCH_SECONDS);
  }

  static double cpuUse(Machine machine) {
    return use(machine.used().cpus(), machine.type().room().cpus());
  }

  static double memoryUse(Machine machine) {
    return use(machine.used().memoryGb(), machine.type().room().memoryGb());
  }

  static double gpuUse(Machine machine) {
    return use(machine.used().gpus(), machine.type().room().gpus());
  }

  private static double use(double used, double whole) {
    return whole <= 0 ? 0 : used / whole;
  }

  private static double square(double value) {
    return value * value;
  }
}
