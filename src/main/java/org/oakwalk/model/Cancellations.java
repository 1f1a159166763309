package org.oakwalk.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;

/**
 * Simulates users who cancel many jobs at once, or cancel jobs at the moment of their completion.
 */
final class Cancellations {
  /** Time within which all users of a burst send their cancel requests. */
  private static final double BURST_SECONDS = 0.2;

  /** Least remaining run time of a job that is cancelled in a burst. */
  private static final double MIN_SECONDS_LEFT = 10;

  /** Largest number of machines that a burst makes hang. */
  private static final int MAX_HUNG_MACHINES = 8;

  /**
   * Parameters of cancellations at completion: a share of the jobs that complete before an end
   * time, each cancelled within a maximum delay.
   */
  private record CompletionCancels(
      long until, double share, double maxDelaySeconds, String jobClass) {}

  private final World world;
  private final UniformRandomProvider random;
  private final List<CompletionCancels> completionCancels = new ArrayList<>();

  Cancellations(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Executes a scenario line {@code at SECONDS cancelnow N ...}. The jobs with the longest
   * remaining run time are cancelled.
   */
  void cancelNow(ScenarioLine line) {
    String jobClass = line.text("class", "");
    List<JobSpec> jobs =
        world.invariants.acceptedJobs().stream()
            .filter(
                job ->
                    !world.invariants.isReportedEnded(job)
                        && !world.invariants.isCancelRequested(job))
            .map(world.specs::get)
            .filter(spec -> jobClass.isEmpty() || spec.jobClass().equals(jobClass))
            .filter(
                spec ->
                    world.invariants.runningTaskCount(spec.id()) > 0
                        && secondsLeft(spec) >= MIN_SECONDS_LEFT)
            .sorted(Comparator.comparingDouble((JobSpec spec) -> -secondsLeft(spec)))
            .limit((int) line.number(3))
            .toList();
    double hangSeconds = line.number("hang", 0);
    if (hangSeconds > 0) {
      machinesOf(jobs).stream()
          .limit(MAX_HUNG_MACHINES)
          .forEach(machine -> machine.hang(hangSeconds));
    }
    for (JobSpec spec : jobs) {
      world.time.after(
          Math.round(1000 * BURST_SECONDS * random.nextDouble()),
          () -> world.users.get(spec.id()).cancel());
    }
  }

  private Set<SimWorker> machinesOf(List<JobSpec> jobs) {
    Set<SimWorker> machines = new LinkedHashSet<>();
    for (JobSpec spec : jobs) {
      world.workers.values().stream()
          .filter(worker -> worker.isAlive() && worker.holdsTaskOf(spec.id()))
          .forEach(machines::add);
    }
    return machines;
  }

  /** Returns the longest remaining run time of any task of a job, in seconds. */
  private double secondsLeft(JobSpec spec) {
    if (spec.service()) {
      return Double.MAX_VALUE;
    }
    return IntStream.range(0, spec.tasks())
        .mapToObj(index -> new TaskId(spec.id(), index))
        .filter(task -> !world.invariants.isCompleted(task))
        .mapToDouble(this::secondsLeft)
        .max()
        .orElse(0);
  }

  private double secondsLeft(TaskId task) {
    return world.runSeconds(task)
        - world.checkpointedSeconds.getOrDefault(task, 0.0)
        - world.workers.values().stream()
            .mapToDouble(worker -> worker.workedSeconds(task))
            .max()
            .orElse(0);
  }

  /** Executes a scenario line {@code at SECONDS cancelatend ...}. */
  void cancelAtCompletion(ScenarioLine line) {
    completionCancels.add(
        new CompletionCancels(
            world.time.now() + Math.round(1000 * line.number("for", 10)),
            line.number("share", 1),
            line.number("within", 0),
            line.text("class", "")));
  }

  /** Records that a task has completed, which may have been the last of its job. */
  void taskCompleted(JobId job) {
    if (completionCancels.isEmpty()) {
      return;
    }
    JobSpec spec = world.specs.get(job);
    boolean jobComplete =
        IntStream.range(0, spec.tasks())
            .allMatch(index -> world.invariants.isCompleted(new TaskId(job, index)));
    if (!jobComplete
        || world.invariants.isReportedEnded(job)
        || world.invariants.isCancelRequested(job)) {
      return;
    }
    for (CompletionCancels cancels : completionCancels) {
      if (cancels.until() > world.time.now()
          && (cancels.jobClass().isEmpty() || cancels.jobClass().equals(spec.jobClass()))
          && random.nextDouble() < cancels.share()) {
        long delay = Math.round(1000 * cancels.maxDelaySeconds() * random.nextDouble());
        world.time.after(delay, () -> world.users.get(job).cancel());
        return;
      }
    }
  }
}
