package org.oakwalk.core.capacity;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.PlannedDeadlines;
import org.oakwalk.core.placement.RunTimeEstimates;

/** Computes the capacity that open jobs need to finish in time. */
final class Demand {
  /** Jobs with less slack than this multiple of the boot time need standby capacity. */
  private static final double BOOT_TIME_MARGIN = 1.4;

  /** Completion target of jobs without a deadline or a shorter objective. */
  private static final TimeSpan DEFAULT_TARGET = TimeSpan.seconds(120);

  /**
   * Share of the time until the planned deadline within which the known work should finish.
   * Machines cost the same whether they do it early or late; the rest of the time is left for work
   * that is still to be submitted.
   */
  private static final double PLANNED_TIME_SHARE = 0.5;

  private static final TimeSpan NO_TARGET = TimeSpan.millis(Long.MAX_VALUE);

  /** Period over which background work is spread. */
  private static final TimeSpan BACKGROUND_PERIOD = TimeSpan.seconds(600);

  private final List<Settings.Objective> objectives;
  private final RunTimeEstimates runTimes;
  private final PlannedDeadlines plannedDeadlines;

  Demand(
      List<Settings.Objective> objectives,
      RunTimeEstimates runTimes,
      PlannedDeadlines plannedDeadlines) {
    this.objectives = objectives;
    this.runTimes = runTimes;
    this.plannedDeadlines = plannedDeadlines;
  }

  /**
   * Number of tasks of a job that should be placed at the same time. For a service or a gang these
   * are all unfinished tasks; for an array, as many as are needed to finish the remaining tasks in
   * time if each slot runs one task after another.
   */
  double concurrentTasks(Job job, MachineType type, WallTime now) {
    JobSpec spec = job.spec();
    int unfinished = job.spec().tasks() - job.doneCount();
    if (spec.service() || spec.gang()) {
      return unfinished;
    }
    if (job.isSuspect()) {
      return Math.max(1, job.assignedCount());
    }
    double runSeconds = Math.max(1, runTimes.expected(spec).asSeconds());
    Optional<TimeSpan> plannedEnd = plannedDeadlines.timeToEnd(job, now);
    if (plannedEnd.isPresent()
        && !hasEarlierTarget(spec, now.since(job.acceptedAt()), plannedEnd.get())) {
      // Jobs of a plan use the machines one after the other, so fractions of slots are added up.
      double time =
          plannedEnd.get().minus(type.fetchTime(spec.imageGb())).asSeconds() * PLANNED_TIME_SHARE;
      return unfinished / Math.max(1, Math.floor(time / runSeconds));
    }
    if (isBackground(spec)) {
      // Background jobs fill idle machines, so their current usage does not justify renting.
      return Math.min(
          unfinished, Math.ceil(unfinished * runSeconds / BACKGROUND_PERIOD.asSeconds()));
    }
    double left = effectiveTarget(spec).minus(now.since(job.acceptedAt())).asSeconds() * 0.8;
    left -= type.fetchTime(spec.imageGb()).asSeconds();
    double waves = Math.max(1, Math.floor(left / runSeconds));
    return Math.min(unfinished, Math.max(Math.ceil(unfinished / waves), job.assignedCount()));
  }

  /**
   * Returns whether machines rented only when such a job is submitted would be too late for it, so
   * that capacity for the next one has to be kept ready.
   */
  boolean needsStandbyCapacity(Job job, MachineType type, WallTime now) {
    JobSpec spec = job.spec();
    if (spec.service()) {
      return true;
    }
    Optional<TimeSpan> plannedEnd = plannedDeadlines.timeToEnd(job, now);
    if (isBackground(spec)
        || plannedEnd.isPresent()
            && !hasEarlierTarget(spec, now.since(job.acceptedAt()), plannedEnd.get())) {
      return false;
    }
    TimeSpan slack =
        effectiveTarget(spec).minus(runTimes.expected(spec)).minus(type.fetchTime(spec.imageGb()));
    return slack.compareTo(type.bootTime().times(BOOT_TIME_MARGIN)) < 0;
  }

  /** Returns whether a job has the lowest priority and neither a deadline nor an objective. */
  private boolean isBackground(JobSpec spec) {
    return spec.priority() == Priority.LOW
        && spec.deadline().isEmpty()
        && objectives.stream()
            .noneMatch(o -> o.kind().equals("finished") && o.jobClass().equals(spec.jobClass()));
  }

  /** Returns whether a job's own target is earlier than its planned deadline. */
  private boolean hasEarlierTarget(JobSpec spec, TimeSpan age, TimeSpan plannedEnd) {
    return ownTarget(spec).filter(due -> due.minus(age).compareTo(plannedEnd) < 0).isPresent();
  }

  /** A job's own target, but at most the default unless the job has a deadline. */
  private TimeSpan effectiveTarget(JobSpec spec) {
    TimeSpan own = ownTarget(spec).orElse(DEFAULT_TARGET);
    return spec.deadline().isEmpty() && own.compareTo(DEFAULT_TARGET) > 0 ? DEFAULT_TARGET : own;
  }

  /** The earlier of a job's deadline and the objective of its class, if there is one. */
  private Optional<TimeSpan> ownTarget(JobSpec spec) {
    TimeSpan target = spec.deadline().orElse(NO_TARGET);
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass()) && objective.kind().equals("finished")) {
        TimeSpan within = TimeSpan.seconds(objective.withinSeconds());
        target = within.compareTo(target) < 0 ? within : target;
      }
    }
    return target == NO_TARGET ? Optional.empty() : Optional.of(target);
  }

  /** Returns the machine type with the lowest price per task, or null if no type is suitable. */
  static MachineType cheapestType(JobSpec spec, Collection<MachineType> types) {
    MachineType best = null;
    double least = Double.MAX_VALUE;
    for (MachineType type : types) {
      boolean allowed =
          type.zones().stream().anyMatch(zone -> spec.allows(type.name(), zone, false));
      int perMachine = type.resources().capacityFor(spec.resources());
      if (allowed && perMachine > 0 && type.price() / perMachine < least) {
        least = type.price() / perMachine;
        best = type;
      }
    }
    return best;
  }

  /** Converts a number of concurrent tasks into machines of a type. */
  static double machineCount(Resources perTask, double tasks, MachineType type) {
    int perMachine = type.resources().capacityFor(perTask);
    return perMachine <= 0 ? 0 : tasks / perMachine;
  }
}
