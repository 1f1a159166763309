package org.oakwalk.core.capacity;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.placement.Deadlines;
import org.oakwalk.core.placement.RunTimes;

/** How much room the open jobs need to be in time. */
final class Demand {
  private static final double BOOT_TIME_MARGIN = 1.4;
  private static final Span DEFAULT_TARGET = Span.seconds(120);

  /**
   * Part of the time until dawn that is to be enough for what is known: machines cost the same
   * whether they do it now or later, and what is still to come has the rest.
   */
  private static final double PLANNED_TIME_SHARE = 0.5;

  private static final Span NO_TARGET = Span.millis(Long.MAX_VALUE);

  /** Over this time work is spread that nobody waits for. */
  private static final Span BACKGROUND_PERIOD = Span.seconds(600);

  private final List<Settings.Objective> objectives;
  private final RunTimes runTimes;
  private final Deadlines plannedDeadlines;

  Demand(List<Settings.Objective> objectives, RunTimes runTimes, Deadlines planned) {
    this.objectives = objectives;
    this.runTimes = runTimes;
    this.plannedDeadlines = planned;
  }

  /**
   * Tasks of a job that should be on machines at once. All replicas of a service; of an array so
   * many that what is left ends in time, if each place is used again and again.
   */
  double concurrentTasks(Job job, MachineType type, WallTime now) {
    JobSpec spec = job.spec();
    int open = job.spec().tasks() - job.doneCount();
    if (spec.service() || spec.gang()) {
      return open;
    }
    if (job.suspect()) {
      return Math.max(1, job.activeCount());
    }
    double run = Math.max(1, runTimes.expected(spec).asSeconds());
    Optional<Span> dawn = plannedDeadlines.ends(job, now);
    if (dawn.isPresent() && !hasEarlierTarget(spec, now.since(job.accepted()), dawn.get())) {
      // All groups of a plan share the machines one after the other, so parts of places add up.
      double time = dawn.get().minus(type.fetch(spec.imageGb())).asSeconds() * PLANNED_TIME_SHARE;
      return open / Math.max(1, Math.floor(time / run));
    }
    if (isBackground(spec)) {
      // It fills what is idle anyhow, so what it uses at present is no measure of what to rent.
      return Math.min(open, Math.ceil(open * run / BACKGROUND_PERIOD.asSeconds()));
    }
    double left = effectiveTarget(spec).minus(now.since(job.accepted())).asSeconds() * 0.8;
    left -= type.fetch(spec.imageGb()).asSeconds();
    double waves = Math.max(1, Math.floor(left / run));
    return Math.min(open, Math.max(Math.ceil(open / waves), job.activeCount()));
  }

  /**
   * Whether machines rented when a job of this kind comes would be too late for it, so that room
   * for the next one has to stand ready.
   */
  boolean needsStandbyCapacity(Job job, MachineType type, WallTime now) {
    JobSpec spec = job.spec();
    if (spec.service()) {
      return true;
    }
    Optional<Span> dawn = plannedDeadlines.ends(job, now);
    if (isBackground(spec)
        || dawn.isPresent() && !hasEarlierTarget(spec, now.since(job.accepted()), dawn.get())) {
      return false;
    }
    Span slack =
        effectiveTarget(spec).minus(runTimes.expected(spec)).minus(type.fetch(spec.imageGb()));
    return slack.compareTo(type.boot().times(BOOT_TIME_MARGIN)) < 0;
  }

  /** Whether nobody waits for the job: it is of the lowest priority, and no time is set for it. */
  private boolean isBackground(JobSpec spec) {
    return spec.priority() == Priority.LOW
        && spec.due().isEmpty()
        && objectives.stream()
            .noneMatch(o -> o.kind().equals("finished") && o.jobClass().equals(spec.jobClass()));
  }

  /** Whether a job's own target comes before what is planned for it. */
  private boolean hasEarlierTarget(JobSpec spec, Span age, Span dawn) {
    return ownTarget(spec).filter(due -> due.minus(age).compareTo(dawn) < 0).isPresent();
  }

  private Span effectiveTarget(JobSpec spec) {
    Span own = ownTarget(spec).orElse(DEFAULT_TARGET);
    return spec.due().isEmpty() && own.compareTo(DEFAULT_TARGET) > 0 ? DEFAULT_TARGET : own;
  }

  private Optional<Span> ownTarget(JobSpec spec) {
    Span target = spec.due().orElse(NO_TARGET);
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass()) && objective.kind().equals("finished")) {
        Span within = Span.seconds(objective.withinSeconds());
        target = within.compareTo(target) < 0 ? within : target;
      }
    }
    return target == NO_TARGET ? Optional.empty() : Optional.of(target);
  }

  /** The type that costs least for one task. */
  static MachineType cheapestType(JobSpec spec, Collection<MachineType> types) {
    MachineType best = null;
    double least = Double.MAX_VALUE;
    for (MachineType type : types) {
      boolean allowed =
          type.zones().stream().anyMatch(zone -> spec.allows(type.name(), zone, false));
      int each = type.room().count(spec.room());
      if (allowed && each > 0 && type.price() / each < least) {
        least = type.price() / each;
        best = type;
      }
    }
    return best;
  }

  /** Room for that many tasks, as a number of machines of a type. */
  static double machineCount(Room task, double slots, MachineType type) {
    int each = type.room().count(task);
    return each <= 0 ? 0 : slots / each;
  }
}
