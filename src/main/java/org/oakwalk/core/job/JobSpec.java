package org.oakwalk.core.job;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;

/** What a user asked for. Immutable once accepted. */
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
    Span estimatedRunTime,
    Span checkpointInterval,
    Span checkpointDuration,
    Optional<Span> deadline) {

  /** Largest number of tasks a job may have. */
  public static final int MAX_TASKS = 100_000;

  /** Kind of job. */
  public enum Shape {
    ARRAY,
    GANG,
    SERVICE
  }

  public boolean service() {
    return shape == Shape.SERVICE;
  }

  public boolean gang() {
    return shape == Shape.GANG;
  }

  /** Whether the job may run on a machine of this type, zone and kind. */
  public boolean allows(String type, String machineZone, boolean spot) {
    return (machineTypes.isEmpty() || machineTypes.contains(type))
        && (zone.isEmpty() || zone.get().equals(machineZone))
        && (!spot || spotAllowed);
  }

  /** The most tasks that one zone may hold. */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
