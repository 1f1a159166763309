package org.oakwalk.core.job;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;

/**
 * A job as its user submitted it. Immutable once accepted.
 *
 * @param resources resources of one task
 * @param machineTypes machine types that the job may use; any type if empty
 * @param zone the only zone that the job may use, if given
 * @param oneZone whether all tasks must run in the same zone
 * @param spread whether the tasks must be spread over zones, see {@link #maxTasksPerZone}
 * @param spotAllowed whether tasks may run on spot machines
 * @param estimatedRunTime the user's estimate of the run time of one task
 * @param checkpointInterval time between two checkpoints of a task; zero if it takes none
 * @param checkpointDuration time that a task needs to save a checkpoint
 * @param deadline time after submission within which the job should be done, if given
 */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    Resources resources,
    Set<String> machineTypes,
    Optional<String> zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    String image,
    double imageGb,
    TimeSpan estimatedRunTime,
    TimeSpan checkpointInterval,
    TimeSpan checkpointDuration,
    Optional<TimeSpan> deadline) {

  /** Largest number of tasks a job may have. */
  public static final int MAX_TASKS = 100_000;

  /** How the tasks of a job belong together. */
  public enum Shape {
    /** Independent tasks, which may run one after the other. */
    ARRAY,
    /** Tasks that must all run at the same time. */
    GANG,
    /** Replicas of a long-running service. */
    SERVICE
  }

  public boolean service() {
    return shape == Shape.SERVICE;
  }

  public boolean gang() {
    return shape == Shape.GANG;
  }

  /** Returns whether the job's priority is HIGH or above. */
  public boolean urgent() {
    return priority.compareTo(Priority.HIGH) >= 0;
  }

  /** Returns whether the job may run on a machine of this type and zone, spot or not. */
  public boolean allows(String type, String machineZone, boolean spot) {
    return (machineTypes.isEmpty() || machineTypes.contains(type))
        && (zone.isEmpty() || zone.get().equals(machineZone))
        && (!spot || spotAllowed);
  }

  /** Returns the largest number of the job's tasks that may be in one zone. */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
