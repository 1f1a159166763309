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
 * Whether the largest jobs of each class begin in time. They are the top tenth by tasks times room,
 * one at least, and all that are as large as the smallest of these. A service has begun when all
 * replicas have, a gang when it runs whole, an array when as many tasks have as its team's limit
 * and the whole fleet allow at once. A start counts unless it is stopped by command soon after.
 */
final class Largest {
  private static final double WITHIN_SECONDS = 240;
  private static final double SHARE = 0.1;

  /** A start that is stopped by command within so many seconds does not count. */
  private static final double LASTS_SECONDS = 30;

  private final World world;
  private final Map<TaskId, Double> lastStart = new HashMap<>();
  private final Map<TaskId, Double> counted = new HashMap<>();
  private final Map<JobId, Double> whole = new HashMap<>();
  private final Map<SimCloud.CapacityPool, Integer> fleet = new HashMap<>();

  Largest(World world) {
    this.world = world;
  }

  /** To be called when all machines of the beginning are there: the fleet can't be larger. */
  void begin() {
    fleet.putAll(world.cloud.capacity);
    world.workers.values().forEach(worker -> fleet.merge(worker.pool, 1, Integer::sum));
  }

  void started(TaskId task) {
    lastStart.put(task, world.time.seconds());
    counted.putIfAbsent(task, world.time.seconds());
  }

  /** All tasks of a gang run. */
  void runsWhole(JobId gang) {
    whole.putIfAbsent(gang, world.time.seconds());
  }

  void stoppedByCommand(TaskId task) {
    double now = world.time.seconds();
    if (now - lastStart.getOrDefault(task, 0.0) < LASTS_SECONDS) {
      counted.remove(task, lastStart.get(task));
    }
    if (now - whole.getOrDefault(task.job(), 0.0) < LASTS_SECONDS) {
      whole.remove(task.job());
    }
  }

  /** The largest of these jobs, by class. */
  Map<String, List<JobSpec>> of(List<JobSpec> jobs) {
    Map<String, List<JobSpec>> classes = new TreeMap<>();
    jobs.forEach(
        spec -> classes.computeIfAbsent(spec.jobClass(), c -> new ArrayList<>()).add(spec));
    classes.replaceAll(
        (name, all) -> {
          int count = Math.max(1, (int) (all.size() * SHARE));
          double least =
              all.stream()
                  .map(this::size)
                  .sorted((a, b) -> Double.compare(b, a))
                  .toList()
                  .get(count - 1);
          return all.stream().filter(spec -> size(spec) >= least - 1e-9).toList();
        });
    return classes;
  }

  /** Tasks times room, in the largest machines of each resource. */
  private double size(JobSpec spec) {
    Resources most =
        new Resources(
            most(room -> room.cpus()), most(room -> room.gpus()), most(room -> room.memoryGb()));
    return spec.tasks() * spec.resources().dominantShare(most);
  }

  private double most(ToDoubleFunction<Resources> resource) {
    return world.cloud.types.values().stream()
        .map(MachineType::room)
        .mapToDouble(resource)
        .max()
        .orElse(0);
  }

  /**
   * Classes whose largest jobs began too late, each with how; jobs that could still begin in time
   * at the end don't count.
   */
  Map<String, String> late(List<JobSpec> jobs) {
    Map<String, String> late = new TreeMap<>();
    of(jobs)
        .forEach(
            (name, largest) -> {
              for (JobSpec spec : largest) {
                double asked = world.metrics.submittedAt(spec.id());
                Double at = begun(spec);
                boolean over = asked + WITHIN_SECONDS <= world.time.seconds();
                if (over && (at == null || at - asked > WITHIN_SECONDS)) {
                  String how = at == null ? "not at all" : "after " + Math.round(at - asked) + " s";
                  late.put(
                      name,
                      String.format(
                          Locale.ROOT,
                          "the largest of class %s: %s began %s",
                          name,
                          spec.id(),
                          how));
                }
              }
            });
    return late;
  }

  /** When the job had begun, or null. */
  private Double begun(JobSpec spec) {
    if (spec.gang()) {
      return whole.get(spec.id());
    }
    List<Double> starts =
        IntStream.range(0, spec.tasks())
            .mapToObj(index -> counted.get(new TaskId(spec.id(), index)))
            .filter(at -> at != null)
            .sorted()
            .toList();
    int needed = spec.service() ? spec.tasks() : Math.max(1, atOnce(spec));
    return starts.size() < needed ? null : starts.get(needed - 1);
  }

  private int atOnce(JobSpec spec) {
    Settings.Team team = world.settings.teams().get(spec.team());
    Resources limit =
        new Resources(
            team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE,
            team.gpusMax() > 0 ? team.gpusMax() : Double.MAX_VALUE,
            Double.MAX_VALUE);
    int places = 0;
    for (Map.Entry<SimCloud.CapacityPool, Integer> part : fleet.entrySet()) {
      SimCloud.CapacityPool market = part.getKey();
      if (spec.allows(market.type(), market.zone(), market.spot())) {
        Resources room = world.cloud.types.get(market.type()).room();
        places += part.getValue() * room.capacityFor(spec.resources());
      }
    }
    return Math.min(spec.tasks(), Math.min(places, limit.capacityFor(spec.resources())));
  }
}
