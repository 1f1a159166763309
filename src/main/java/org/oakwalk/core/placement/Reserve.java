package org.oakwalk.core.placement;

import java.util.Collection;
import java.util.Map;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/** Room that is kept for some jobs, so that others see less of it. Nothing is kept by default. */
public interface Reserve {
  /** Nothing is kept. */
  Reserve NONE = new Reserve() {};

  /**
   * A round begins: finds out on which machines room is kept.
   *
   * @param taking the machines that take tasks
   * @param held machines on which room is being made for a job
   */
  default void survey(Collection<Machine> taking, Map<Machine, Job> held) {}

  /** What is free on a machine for tasks of this kind. */
  default Resources free(JobSpec spec, Machine machine) {
    return machine.free();
  }

  /** What is free on a machine beyond all that is kept there. */
  default Resources beyond(Machine machine) {
    return machine.free();
  }

  /** Whether room is kept on the machine for tasks of this kind, whoever else waits for it. */
  default boolean serves(JobSpec spec, Machine machine) {
    return false;
  }

  /** Whether what a stop would set free goes to those for whom room is kept. */
  default boolean withholds(Job job) {
    return false;
  }

  /** How far a machine is for a task whose image would push one out that is kept there. */
  default double strain(JobSpec spec, Machine machine) {
    return 0;
  }

  /** A job found no room; what is kept gives way to guarantees. */
  default void denied(Job job) {}
}
