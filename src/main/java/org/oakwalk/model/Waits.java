package org.oakwalk.model;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;

/** How long jobs wait for each step of their lives, and the longest that any has waited for it. */
final class Waits {
  enum Step {
    /** From the first attempt to submit until some answer that settles it. */
    ACCEPTED,
    /** From the acceptance until its first task is on a machine. */
    BEGUN,
    /** From when its last task has completed until its end is stored. */
    ENDED,
    /** From when its user asks to cancel it until some answer that settles it. */
    CANCELLED
  }

  private final World world;
  private final Map<Step, Map<JobId, Double>> since = new EnumMap<>(Step.class);
  private final Map<Step, Double> longest = new EnumMap<>(Step.class);

  Waits(World world) {
    this.world = world;
    for (Step step : Step.values()) {
      since.put(step, new HashMap<>());
      longest.put(step, 0.0);
    }
  }

  void begins(Step step, JobId job) {
    since.get(step).putIfAbsent(job, world.time.seconds());
  }

  void ends(Step step, JobId job) {
    Double begun = since.get(step).remove(job);
    if (begun != null) {
      longest.merge(step, world.time.seconds() - begun, Math::max);
    }
  }

  /** Its user was told that it is accepted; it may have begun before that. */
  void accepted(JobId job) {
    ends(Step.ACCEPTED, job);
    int tasks = world.specs.get(job).tasks();
    for (int index = 0; index < tasks; index++) {
      if (world.invariants.firstStart(new TaskId(job, index)) != null) {
        return;
      }
    }
    begins(Step.BEGUN, job);
  }

  /** It does not wait for this step any more, nor counts for having waited. */
  void gone(Step step, JobId job) {
    since.get(step).remove(job);
  }

  /** A task has completed; perhaps it was its job's last. */
  void completed(JobId job) {
    int tasks = world.specs.get(job).tasks();
    for (int index = 0; index < tasks; index++) {
      if (!world.invariants.completed(new TaskId(job, index))) {
        return;
      }
    }
    begins(Step.ENDED, job);
  }

  /** To be called now and then: what has been stored as over waits for that no more. */
  void tick() {
    for (JobId job : Map.copyOf(since.get(Step.ENDED)).keySet()) {
      boolean stored =
          world
              .state
              .value(StoreKeys.job(job))
              .filter(value -> !(value instanceof JobRecord r) || r.phase().isFinal())
              .isPresent();
      if (stored) {
        ends(Step.ENDED, job);
      }
    }
  }

  /** The longest that any job has waited, or waits now. */
  double longest(Step step) {
    double most = longest.get(step);
    for (double begun : since.get(step).values()) {
      most = Math.max(most, world.time.seconds() - begun);
    }
    return most;
  }

  /** How many wait for it now. */
  int waiting(Step step) {
    return since.get(step).size();
  }

  static Step step(String name) {
    return Step.valueOf(name.toUpperCase(Locale.ROOT));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (Step step : Step.values()) {
      text.append(String.format(Locale.ROOT, " %s %.1f (%d)", step, longest(step), waiting(step)));
    }
    return text.toString().trim();
  }
}
