package org.oakwalk.core.placement;

import java.util.Collection;
import java.util.Map;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Room;

/** Room that is kept for some jobs, so that others see less of it. Nothing is kept by default. */
public interface CapacityReserve {
  /** Nothing is kept. */
  CapacityReserve NONE = new CapacityReserve() {};

  /**
   * A round begins: finds out on which machines room is kept.
   *
   * @param taking the machines that take tasks
   * @param held machines on which room is being made for a job
   */
  default void beginRound(Collection<Machine> taking, Map<Machine, Job> held) {}

  /** What is free on a machine for tasks of this kind. */
  default Room freeFor(JobSpec spec, Machine machine) {
    return machine.free();
  }

  /** What is free on a machine beyond all that is kept there. */
  default Room unreserved(Machine machine) {
    return machine.free();
  }

  /** Whether room is kept on the machine for tasks of this kind, whoever else waits for it. */
  default boolean hasRoomReservedFor(JobSpec spec, Machine machine) {
    return false;
  }

  /** Whether what a stop would set free goes to those for whom room is kept. */
  default boolean claimsFreedRoom(Job job) {
    return false;
  }

  /** How far a machine is for a task whose image would push one out that is kept there. */
  default double imageEvictionPenalty(JobSpec spec, Machine machine) {
    return 0;
  }

  /** A job found no room; what is kept gives way to guarantees. */
  default void onNoRoom(Job job) {}
}
