package org.oakwalk.core.placement;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.JobSpec;

/** When jobs should be complete: by their own deadlines and by what is expected of their class. */
public final class Targets {
  private final List<Settings.Objective> objectives;
  private final Deadlines planned;

  /** Targets without any plan. */
  public Targets(List<Settings.Objective> objectives) {
    this(objectives, Deadlines.NONE);
  }

  public Targets(List<Settings.Objective> objectives, Deadlines planned) {
    this.objectives = objectives;
    this.planned = planned;
  }

  /** What a plan says beside these targets. */
  Deadlines planned() {
    return planned;
  }

  /**
   * The earliest target, measured from the submission, that a job can still meet.
   *
   * @param earliest when it could be complete at the earliest, measured from the submission
   */
  public Optional<Span> next(JobSpec spec, Span earliest) {
    Span best = spec.due().orElse(null);
    if (best != null && best.compareTo(earliest) < 0) {
      best = null;
    }
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass())) {
        Span target = target(objective, spec);
        if (target != null
            && target.compareTo(earliest) >= 0
            && (best == null || target.compareTo(best) < 0)) {
          best = target;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** The latest target of a job, measured from the submission, that lies before this; or none. */
  Optional<Span> lastBefore(JobSpec spec, Span bound) {
    Span best = spec.due().filter(due -> due.compareTo(bound) < 0).orElse(null);
    for (Settings.Objective objective : objectives) {
      if (objective.jobClass().equals(spec.jobClass())) {
        Span target = target(objective, spec);
        if (target != null
            && target.compareTo(bound) < 0
            && (best == null || target.compareTo(best) > 0)) {
          best = target;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private static Span target(Settings.Objective objective, JobSpec spec) {
    return switch (objective.kind()) {
      case "finished" -> Span.seconds(objective.withinSeconds());
      case "deadline" -> spec.due().map(due -> due.times(objective.deadlineFactor())).orElse(null);
      default -> null;
    };
  }

  /** Within what time a task of this class should start, if anything is expected. */
  public Optional<Span> start(JobSpec spec) {
    return objectives.stream()
        .filter(o -> o.kind().equals("wait") && o.jobClass().equals(spec.jobClass()))
        .map(o -> Span.seconds(o.withinSeconds()))
        .min(Span::compareTo);
  }
}
