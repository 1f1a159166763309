package org.oakwalk.core.placement;

import java.util.Collection;
import java.util.Map;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * Room on machines that is reserved for certain jobs and not offered to others. The default methods
 * reserve nothing.
 */
public interface CapacityReserve {
  /** A reserve without reservations. */
  CapacityReserve NONE = new CapacityReserve() {};

  /**
   * Starts a round: determines on which machines room is reserved.
   *
   * @param machines the machines that accept tasks
   * @param reservations machines that are reserved for a job as a whole
   */
  default void beginRound(Collection<Machine> machines, Map<Machine, Job> reservations) {}

  /** The room that is free on a machine for tasks of this job. */
  default Resources freeFor(JobSpec spec, Machine machine) {
    return machine.free();
  }

  /** The free room on a machine, less all room that is reserved there. */
  default Resources unreserved(Machine machine) {
    return machine.free();
  }

  /**
   * Whether room is reserved on the machine for tasks of this job. They may then use it even if the
   * machine is reserved for another job.
   */
  default boolean hasResourcesReservedFor(JobSpec spec, Machine machine) {
    return false;
  }

  /**
   * Whether the reserve lacks room and takes what a preemption frees, so that nothing should be
   * preempted for this job.
   */
  default boolean claimsFreedResources(Job job) {
    return false;
  }

  /**
   * The distance added to a machine if the task's image would evict a cached image that the reserve
   * needs there.
   */
  default double imageEvictionPenalty(JobSpec spec, Machine machine) {
    return 0;
  }

  /** To be called when a job found no room; the reserve shrinks for jobs within a guarantee. */
  default void onPlacementFailed(Job job) {}
}
