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

/** Users who call jobs off all at once, or at the moment at which they end. */
final class Cancellations {
  /** Within so many seconds all users of a rush have asked. */
  private static final double RUSH_SECONDS = 0.2;

  /** A job that ends sooner than this is not called off in a rush. */
  private static final double LONG_SECONDS = 10;

  private static final int MOST_HANGING = 8;

  /** Until when a share of the jobs that end is called off, and how long after the end at most. */
  private record AtEnd(long until, double share, double within, String jobClass) {}

  private final World world;
  private final UniformRandomProvider random;
  private final List<AtEnd> atEnd = new ArrayList<>();

  Cancellations(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Plays a line {@code at SECONDS cancelnow N ...}: those that have longest to go are taken. */
  void now(ScenarioLine line) {
    String jobClass = line.text("class", "");
    List<JobSpec> jobs =
        world.invariants.acceptedInOrder().stream()
            .filter(job -> !world.invariants.over(job) && !world.invariants.asked(job))
            .map(world.specs::get)
            .filter(spec -> jobClass.isEmpty() || spec.jobClass().equals(jobClass))
            .filter(spec -> world.invariants.on(spec.id()) > 0 && secondsLeft(spec) >= LONG_SECONDS)
            .sorted(Comparator.comparingDouble((JobSpec spec) -> -secondsLeft(spec)))
            .limit((int) line.number(3))
            .toList();
    double hang = line.number("hang", 0);
    if (hang > 0) {
      machinesOf(jobs).stream().limit(MOST_HANGING).forEach(machine -> machine.hang(hang));
    }
    for (JobSpec spec : jobs) {
      world.time.after(
          Math.round(1000 * RUSH_SECONDS * random.nextDouble()),
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

  /** How long the task that has most to do would still run. */
  private double secondsLeft(JobSpec spec) {
    if (spec.service()) {
      return Double.MAX_VALUE;
    }
    return IntStream.range(0, spec.tasks())
        .mapToObj(index -> new TaskId(spec.id(), index))
        .filter(task -> !world.invariants.completed(task))
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

  /** Plays a line {@code at SECONDS cancelatend ...}. */
  void atEnd(ScenarioLine line) {
    atEnd.add(
        new AtEnd(
            world.time.now() + Math.round(1000 * line.number("for", 10)),
            line.number("share", 1),
            line.number("within", 0),
            line.text("class", "")));
  }

  /** A task has completed, perhaps the last one of its job. */
  void completed(JobId job) {
    if (atEnd.isEmpty()) {
      return;
    }
    JobSpec spec = world.specs.get(job);
    boolean whole =
        IntStream.range(0, spec.tasks())
            .allMatch(index -> world.invariants.completed(new TaskId(job, index)));
    if (!whole || world.invariants.over(job) || world.invariants.asked(job)) {
      return;
    }
    for (AtEnd each : atEnd) {
      if (each.until() > world.time.now()
          && (each.jobClass().isEmpty() || each.jobClass().equals(spec.jobClass()))
          && random.nextDouble() < each.share()) {
        long after = Math.round(1000 * each.within() * random.nextDouble());
        world.time.after(after, () -> world.users.get(job).cancel());
        return;
      }
    }
  }
}
