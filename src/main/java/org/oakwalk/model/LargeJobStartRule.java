package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * Checks that the largest jobs of each class start in time. These are the top tenth by tasks times
 * resources, at least one, and all jobs as large as the smallest of them. A service has started
 * when all replicas have, a gang when all of its tasks run, an array when as many tasks have
 * started as the team limit and the largest possible fleet allow at once. A start that is stopped
 * on a leader's order soon after does not count.
 */
final class LargeJobStartRule {
  /** Time after the first submission attempt within which a large job has to start. */
  private static final double START_DEADLINE_SECONDS = 240;

  /** Share of the jobs of a class that count as its largest. */
  private static final double LARGEST_SHARE = 0.1;

  /** Time within which a stop on a leader's order invalidates a start. */
  private static final double MIN_RUN_SECONDS = 30;

  private final World world;
  private final Map<TaskId, Double> lastStartAt = new HashMap<>();
  private final Map<TaskId, Double> countedStartAt = new HashMap<>();
  private final Map<JobId, Double> gangStartAt = new HashMap<>();
  private final Map<SimCloud.CapacityPool, Integer> maxFleet = new HashMap<>();

  LargeJobStartRule(World world) {
    this.world = world;
  }

  /**
   * Records the largest possible fleet: the initial machines and the remaining capacity of the
   * cloud. Called when all initial machines have been created.
   */
  void recordMaxFleet() {
    maxFleet.putAll(world.cloud.capacity);
    world.workers.values().forEach(worker -> maxFleet.merge(worker.pool, 1, Integer::sum));
  }

  void taskStarted(TaskId task) {
    lastStartAt.put(task, world.time.seconds());
    countedStartAt.putIfAbsent(task, world.time.seconds());
  }

  /** Records that all tasks of a gang run. */
  void gangStarted(JobId gang) {
    gangStartAt.putIfAbsent(gang, world.time.seconds());
  }

  /**
   * Records that a task was stopped on a leader's order, and discards its start if it was recent.
   */
  void taskStoppedByCommand(TaskId task) {
    double now = world.time.seconds();
    if (now - lastStartAt.getOrDefault(task, 0.0) < MIN_RUN_SECONDS) {
      countedStartAt.remove(task, lastStartAt.get(task));
    }
    if (now - gangStartAt.getOrDefault(task.job(), 0.0) < MIN_RUN_SECONDS) {
      gangStartAt.remove(task.job());
    }
  }

  /** Returns the largest of these jobs, by class. */
  Map<String, List<JobSpec>> largestByClass(List<JobSpec> jobs) {
    Map<String, List<JobSpec>> classes = new TreeMap<>();
    jobs.forEach(
        spec -> classes.computeIfAbsent(spec.jobClass(), c -> new ArrayList<>()).add(spec));
    classes.replaceAll(
        (name, all) -> {
          int count = Math.max(1, (int) (all.size() * LARGEST_SHARE));
          double minSize =
              all.stream()
                  .map(this::relativeSize)
                  .sorted((a, b) -> Double.compare(b, a))
                  .toList()
                  .get(count - 1);
          return all.stream().filter(spec -> relativeSize(spec) >= minSize - 1e-9).toList();
        });
    return classes;
  }

  /**
   * Returns the tasks times the dominant resource share of one task, relative to the largest amount
   * of each resource in any machine type.
   */
  private double relativeSize(JobSpec spec) {
    Resources maximum =
        new Resources(
            maxAmount(room -> room.cpus()),
            maxAmount(room -> room.gpus()),
            maxAmount(room -> room.memoryGb()));
    return spec.tasks() * spec.resources().dominantShare(maximum);
  }

  private double maxAmount(ToDoubleFunction<Resources> resource) {
    return world.cloud.types.values().stream()
        .map(MachineType::resources)
        .mapToDouble(resource)
        .max()
        .orElse(0);
  }

  /**
   * Returns the classes whose largest jobs started too late, with a description of each. Jobs that
   * could still start in time at the end of the scenario do not count.
   */
  Map<String, String> lateByClass(List<JobSpec> jobs) {
    Map<String, String> late = new TreeMap<>();
    largestByClass(jobs)
        .forEach(
            (name, largest) -> {
              for (JobSpec spec : largest) {
                double submittedAt = world.metrics.submittedAt(spec.id());
                Double at = startedAt(spec);
                boolean deadlinePassed =
                    submittedAt + START_DEADLINE_SECONDS <= world.time.seconds();
                if (deadlinePassed && (at == null || at - submittedAt > START_DEADLINE_SECONDS)) {
                  String startTime =
                      at == null ? "not at all" : "after " + Math.round(at - submittedAt) + " s";
                  late.put(
                      name,
                      String.format(
                          Locale.ROOT,
                          "largest jobs of class %s: %s started %s",
                          name,
                          spec.id(),
                          startTime));
                }
              }
            });
    return late;
  }

  /** Returns when the job had started, in seconds, or null if it has not. */
  private Double startedAt(JobSpec spec) {
    if (spec.gang()) {
      return gangStartAt.get(spec.id());
    }
    List<Double> starts =
        IntStream.range(0, spec.tasks())
            .mapToObj(index -> countedStartAt.get(new TaskId(spec.id(), index)))
            .filter(at -> at != null)
            .sorted()
            .toList();
    int needed = spec.service() ? spec.tasks() : Math.max(1, maxTasksAtOnce(spec));
    return starts.size() < needed ? null : starts.get(needed - 1);
  }

  /** Returns how many tasks the team limit and the largest possible fleet allow at once. */
  private int maxTasksAtOnce(JobSpec spec) {
    Settings.Team team = world.settings.teams().get(spec.team());
    Resources limit =
        new Resources(
            team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE,
            team.gpusMax() > 0 ? team.gpusMax() : Double.MAX_VALUE,
            Double.MAX_VALUE,
            Double.MAX_VALUE);
    int slots = 0;
    for (Map.Entry<SimCloud.CapacityPool, Integer> part : maxFleet.entrySet()) {
      SimCloud.CapacityPool pool = part.getKey();
      if (spec.allows(pool.type(), pool.zone(), pool.spot())) {
        Resources resources = world.cloud.types.get(pool.type()).resources();
        slots += part.getValue() * resources.capacityFor(spec.resources());
      }
    }
    return Math.min(spec.tasks(), Math.min(slots, limit.capacityFor(spec.resources())));
  }
}
