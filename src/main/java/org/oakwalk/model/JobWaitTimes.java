package org.oakwalk.model;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;

/** Measures how long jobs wait in each phase, and keeps the longest wait of each. */
final class JobWaitTimes {
  /** Phase of a job in which its user waits. */
  enum WaitPhase {
    /** From the first submission attempt until an answer that accepts or refuses the job. */
    ACCEPTED,
    /** From the acceptance until the first task is on a machine. */
    BEGUN,
    /** From the completion of the last task until the end of the job is stored. */
    ENDED,
    /** From the cancel request until an answer that settles it. */
    CANCELLED
  }

  private final World world;
  private final Map<WaitPhase, Map<JobId, Double>> waitingSince = new EnumMap<>(WaitPhase.class);
  private final Map<WaitPhase, Double> longest = new EnumMap<>(WaitPhase.class);

  JobWaitTimes(World world) {
    this.world = world;
    for (WaitPhase phase : WaitPhase.values()) {
      waitingSince.put(phase, new HashMap<>());
      longest.put(phase, 0.0);
    }
  }

  /** Starts the wait of a job in a phase, unless it waits already. */
  void waitStarted(WaitPhase phase, JobId job) {
    waitingSince.get(phase).putIfAbsent(job, world.time.seconds());
  }

  /** Ends the wait of a job in a phase, if it waits. */
  void waitEnded(WaitPhase phase, JobId job) {
    Double startedAt = waitingSince.get(phase).remove(job);
    if (startedAt != null) {
      longest.merge(phase, world.time.seconds() - startedAt, Math::max);
    }
  }

  /**
   * Records that a user was told of the acceptance of a job. The job may have started before that.
   */
  void jobAccepted(JobId job) {
    waitEnded(WaitPhase.ACCEPTED, job);
    int tasks = world.specs.get(job).tasks();
    for (int index = 0; index < tasks; index++) {
      if (world.invariants.firstStart(new TaskId(job, index)) != null) {
        return;
      }
    }
    waitStarted(WaitPhase.BEGUN, job);
  }

  /** Removes the wait of a job in a phase without counting it. */
  void discardWait(WaitPhase phase, JobId job) {
    waitingSince.get(phase).remove(job);
  }

  /** Records that a task has completed, which may have been the last of its job. */
  void taskCompleted(JobId job) {
    int tasks = world.specs.get(job).tasks();
    for (int index = 0; index < tasks; index++) {
      if (!world.invariants.isCompleted(new TaskId(job, index))) {
        return;
      }
    }
    waitStarted(WaitPhase.ENDED, job);
  }

  /** Ends the wait of jobs whose end has been stored. Called periodically. */
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

  /** Returns the longest wait of any job in a phase, in seconds, including waits that go on. */
  double longest(WaitPhase phase) {
    double maxSeconds = longest.get(phase);
    for (double startedAt : waitingSince.get(phase).values()) {
      maxSeconds = Math.max(maxSeconds, world.time.seconds() - startedAt);
    }
    return maxSeconds;
  }

  /** Returns the number of jobs that wait in a phase now. */
  int waitingCount(WaitPhase phase) {
    return waitingSince.get(phase).size();
  }

  static WaitPhase parsePhase(String name) {
    return WaitPhase.valueOf(name.toUpperCase(Locale.ROOT));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (WaitPhase phase : WaitPhase.values()) {
      text.append(
          String.format(Locale.ROOT, " %s %.1f (%d)", phase, longest(phase), waitingCount(phase)));
    }
    return text.toString().trim();
  }
}
