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
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.PlannedDeadlines;
import org.oakwalk.core.placement.RunTimeEstimates;

/** How much room the open jobs need to be in time. */
final class Demand {
  private static final double SOONEST_BOOTS = 1.4;
  private static final Span DEFAULT_TARGET = Span.seconds(120);

  /**
   * Part of the time until dawn that is to be enough for what is known: machines cost the same
   * whether they do it now or later, and what is still to come has the rest.
   */
  private static final double EARLY = 0.5;

  private static final Span NEVER = Span.millis(Long.MAX_VALUE);

  /** Over this time work is spread that nobody waits for. */
  private static final Span IDLE_SPREAD = Span.seconds(600);

  private final List<Settings.Objective> objectives;
  private final RunTimeEstimates runTimes;
  private final PlannedDeadlines planned;

  Demand(List<Settings.Objective> objectives, RunTimeEstimates runTimes, PlannedDeadlines planned) {
    this.objectives = objectives;
    this.runTimes = runTimes;
    this.planned = planned;
  }

  /**
   * Tasks of a job that should be on machines at once. All replicas of a service; of an array so
   * many that what is left ends in time, if each place is used again and again.
   */
  double slots(Job job, MachineType type, WallTime now) {
    JobSpec spec = job.spec();
    int open = job.spec().tasks() - job.doneCount();
    if (spec.service() || spec.gang()) {
      return open;
    }
    if (job.isSuspect()) {
      return Math.max(1, job.assignedCount());
    }
    double run = Math.max(1, runTimes.expected(spec).asSeconds());
    Optional<Span> dawn = planned.timeToEnd(job, now);
    if (dawn.isPresent() && !urgent(spec, now.since(job.acceptedAt()), dawn.get())) {
      // All groups of a plan share the machines one after the other, so parts of places add up.
      double time = dawn.get().minus(type.fetchTime(spec.imageGb())).asSeconds() * EARLY;
      return open / Math.max(1, Math.floor(time / run));
    }
    if (idle(spec)) {
      // It fills what is idle anyhow, so what it uses at present is no measure of what to rent.
      return Math.min(open, Math.ceil(open * run / IDLE_SPREAD.asSeconds()));
    }
    double left = target(spec).minus(now.since(job.acceptedAt())).asSeconds() * 0.8;
    left -= type.fetchTime(spec.imageGb()).asSeconds();
    double waves = Math.max(1, Math.floor(left / run));
    return Math.min(open, Math.max(Math.ceil(open / waves), job.assignedCount()));
  }

  /**
   * Whether machines rented when a job of this kind comes would be too late for it, so that room
   * for the next one has to stand ready.
   */
  boolean tight(Job job, MachineType type, WallTime now) {
    JobSpec spec = job.spec();
    if (spec.service()) {
      return true;
    }
    Optional<Span> dawn = planned.timeToEnd(job, now);
    if (idle(spec) || dawn.isPresent() && !urgent(spec, now.since(job.acceptedAt()), dawn.get())) {
      return false;
    }
    Span slack = target(spec).minus(runTimes.expected(spec)).minus(type.fetchTime(spec.imageGb()));
    return slack.compareTo(type.bootTime().times(SOONEST_BOOTS)) < 0;
  }

  /** Whether nobody waits for the job: it is of the lowest priority, and no time is set for it. */
  private boolean idle(JobSpec spec) {
    return spec.priority() == Priority.LOW
        && spec.deadline().isEmpty()
        && objectives.stream()
            .noneMatch(o -> o.kind().equals("finished") && o.jobClass().equals(spec.jobClass()));
  }

  /** Whether a job's own target comes before what is planned for it. */
  private boolean urgent(JobSpec spec, Span age, Span dawn) {
    return own(spec).filter(due -> due.minus(age).compareTo(dawn) < 0).isPresent();
  }

  private Span target(JobSpec spec) {
    Span own = own(spec).orElse(DEFAULT_TARGET);
    return spec.deadline().isEmpty() && own.compareTo(DEFAULT_TARGET) > 0 ? DEFAULT_TARGET : own;
  }

  private Optional<Span> own(JobSpec spec) {
    Span target = spec.deadline().orElse(NEVER);
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass()) && objective.kind().equals("finished")) {
        Span within = Span.seconds(objective.withinSeconds());
        target = within.compareTo(target) < 0 ? within : target;
      }
    }
    return target == NEVER ? Optional.empty() : Optional.of(target);
  }

  /** The type that costs least for one task. */
  static MachineType cheapest(JobSpec spec, Collection<MachineType> types) {
    MachineType best = null;
    double least = Double.MAX_VALUE;
    for (MachineType type : types) {
      boolean allowed =
          type.zones().stream().anyMatch(zone -> spec.allows(type.name(), zone, false));
      int each = type.room().capacityFor(spec.resources());
      if (allowed && each > 0 && type.price() / each < least) {
        least = type.price() / each;
        best = type;
      }
    }
    return best;
  }

  /** Room for that many tasks, as a number of machines of a type. */
  static double machines(Resources task, double slots, MachineType type) {
    int each = type.room().capacityFor(task);
    return each <= 0 ? 0 : slots / each;
  }
}
