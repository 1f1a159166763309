package org.oakwalk.core.placement;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;

/** The times by which jobs should start and be complete: their deadlines and class objectives. */
public final class JobTargets {
  private final List<Settings.Objective> objectives;
  private final PlannedDeadlines planned;

  /** Creates targets without a plan. */
  public JobTargets(List<Settings.Objective> objectives) {
    this(objectives, PlannedDeadlines.NONE);
  }

  public JobTargets(List<Settings.Objective> objectives, PlannedDeadlines planned) {
    this.objectives = objectives;
    this.planned = planned;
  }

  /** The deadlines that a plan sets in addition to these targets. */
  PlannedDeadlines planned() {
    return planned;
  }

  /**
   * The earliest completion target, measured from the submission, that a job can still meet.
   *
   * @param earliest the earliest time at which the job could be complete, measured from the
   *     submission
   */
  public Optional<TimeSpan> earliestReachable(JobSpec spec, TimeSpan earliest) {
    TimeSpan best = spec.deadline().orElse(null);
    if (best != null && best.compareTo(earliest) < 0) {
      best = null;
    }
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass())) {
        TimeSpan target = target(objective, spec);
        if (target != null
            && target.compareTo(earliest) >= 0
            && (best == null || target.compareTo(best) < 0)) {
          best = target;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** The latest completion target of a job before this time, both measured from the submission. */
  Optional<TimeSpan> latestBefore(JobSpec spec, TimeSpan bound) {
    TimeSpan best = spec.deadline().filter(due -> due.compareTo(bound) < 0).orElse(null);
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass())) {
        TimeSpan target = target(objective, spec);
        if (target != null
            && target.compareTo(bound) < 0
            && (best == null || target.compareTo(best) > 0)) {
          best = target;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private static TimeSpan target(Settings.Objective objective, JobSpec spec) {
    return switch (objective.kind()) {
      case "finished" -> TimeSpan.seconds(objective.withinSeconds());
      case "deadline" ->
          spec.deadline().map(due -> due.times(objective.deadlineFactor())).orElse(null);
      default -> null;
    };
  }

  /** The time within which a task of this job should start, if its class has such an objective. */
  public Optional<TimeSpan> startTarget(JobSpec spec) {
    return objectives.stream()
        .filter(o -> o.kind().equals("wait") && o.jobClass().equals(spec.jobClass()))
        .map(o -> TimeSpan.seconds(o.withinSeconds()))
        .min(TimeSpan::compareTo);
  }
}
