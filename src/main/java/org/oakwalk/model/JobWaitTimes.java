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
final class JobWaitTimes {
  enum WaitPhase {
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
  private final Map<WaitPhase, Map<JobId, Double>> waitingSince = new EnumMap<>(WaitPhase.class);
  private final Map<WaitPhase, Double> longest = new EnumMap<>(WaitPhase.class);

  JobWaitTimes(World world) {
    this.world = world;
    for (WaitPhase step : WaitPhase.values()) {
      waitingSince.put(step, new HashMap<>());
      longest.put(step, 0.0);
    }
  }

  void waitStarted(WaitPhase step, JobId job) {
    waitingSince.get(step).putIfAbsent(job, world.time.seconds());
  }

  void waitEnded(WaitPhase step, JobId job) {
    Double begun = waitingSince.get(step).remove(job);
    if (begun != null) {
      longest.merge(step, world.time.seconds() - begun, Math::max);
    }
  }

  /** Its user was told that it is accepted; it may have begun before that. */
  void jobAccepted(JobId job) {
    waitEnded(WaitPhase.ACCEPTED, job);
    int tasks = world.specs.get(job).tasks();
    for (int index = 0; index < tasks; index++) {
      if (world.rules.firstStart(new TaskId(job, index)) != null) {
        return;
      }
    }
    waitStarted(WaitPhase.BEGUN, job);
  }

  /** It does not wait for this step any more, nor counts for having waited. */
  void discardWait(WaitPhase step, JobId job) {
    waitingSince.get(step).remove(job);
  }

  /** A task has completed; perhaps it was its job's last. */
  void taskCompleted(JobId job) {
    int tasks = world.specs.get(job).tasks();
    for (int index = 0; index < tasks; index++) {
      if (!world.rules.isCompleted(new TaskId(job, index))) {
        return;
      }
    }
    waitStarted(WaitPhase.ENDED, job);
  }

  /** To be called now and then: what has been stored as over waits for that no more. */
  void tick() {
    for (JobId job : Map.copyOf(waitingSince.get(WaitPhase.ENDED)).keySet()) {
      boolean stored =
          world
              .state
              .value(StoreKeys.job(job))
              .filter(value -> !(value instanceof JobRecord r) || r.phase().isFinal())
              .isPresent();
      if (stored) {
        waitEnded(WaitPhase.ENDED, job);
      }
    }
  }

  /** The longest that any job has waited, or waits now. */
  double longest(WaitPhase step) {
    double most = longest.get(step);
    for (double begun : waitingSince.get(step).values()) {
      most = Math.max(most, world.time.seconds() - begun);
    }
    return most;
  }

  /** How many wait for it now. */
  int waitingCount(WaitPhase step) {
    return waitingSince.get(step).size();
  }

  static WaitPhase parsePhase(String name) {
    return WaitPhase.valueOf(name.toUpperCase(Locale.ROOT));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (WaitPhase step : WaitPhase.values()) {
      text.append(
          String.format(Locale.ROOT, " %s %.1f (%d)", step, longest(step), waitingCount(step)));
    }
    return text.toString().trim();
  }
}
