package org.oakwalk.model;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;

/** How well a scenario was served, by what workers do and users are told. */
final class Figures {
  /** Why a task left its machine before it was complete. */
  enum Stop {
    /** The leader wanted it. */
    COMMAND,
    /** Its user has cancelled the job. */
    CANCELLED,
    /** The machine's lease ran out. */
    LEASE,
    /** The machine was returned or taken back. */
    GONE,
    /** The machine died. */
    DIED
  }

  /** Figures of one class of jobs. */
  private static final class Service {
    int jobs;
    int done;
    int inTime;
    int due;
    double replicaSeconds;
    double replicaSecondsUp;
    int begun;
  }

  private static final long TICK_MILLIS = 500;

  private final World world;
  private final Map<String, Service> classes = new TreeMap<>();
  private final Map<String, Map<Stop, Integer>> stops = new TreeMap<>();
  private final Map<JobId, Double> submitted = new LinkedHashMap<>();
  private final Map<JobId, Double> withdrawn = new HashMap<>();
  private final Map<JobId, Integer> on = new HashMap<>();
  private final Set<JobId> services = new HashSet<>();
  private final Map<TaskId, Double> downSince = new HashMap<>();
  private final Set<TaskId> everStarted = new HashSet<>();
  private final Set<TaskId> everCompleted = new HashSet<>();
  private final Map<String, Double> machineSeconds = new TreeMap<>();
  private double worstReplicaGap;
  private double lastOfTheFirst;
  private double lastStart;
  private double longestWithoutStart;

  Figures(World world) {
    this.world = world;
  }

  private Service of(JobSpec spec) {
    return classes.computeIfAbsent(spec.jobClass(), name -> new Service());
  }

  void submits(JobSpec spec) {
    Service service = of(spec);
    service.jobs++;
    submitted.put(spec.id(), world.time.seconds());
    if (spec.service()) {
      services.add(spec.id());
    }
    if (due(spec) != null) {
      service.due++;
    }
  }

  /** When somebody first tried to submit the job, in seconds; it has been tried. */
  double submittedAt(JobId job) {
    return submitted.get(job);
  }

  /** When the job should be done, from its submission on, or null. */
  private Double due(JobSpec spec) {
    Double best = spec.deadline().map(Span::asSeconds).orElse(null);
    for (Settings.Objective objective : world.settings.objectives()) {
      if (objective.kind().equals("finished") && objective.jobClass().equals(spec.jobClass())) {
        best = best == null ? objective.withinSeconds() : Math.min(best, objective.withinSeconds());
      }
    }
    return best;
  }

  void started(TaskId task, JobSpec spec) {
    on.merge(spec.id(), 1, Integer::sum);
    world.largeJobStarts.started(task);
    lastStart = world.time.seconds();
    Service service = of(spec);
    if (everStarted.add(task)) {
      service.begun++;
    }
    Double since = downSince.remove(task);
    if (since != null) {
      worstReplicaGap = Math.max(worstReplicaGap, world.time.seconds() - since);
    }
  }

  void left(TaskId task, JobSpec spec) {
    on.merge(spec.id(), -1, Integer::sum);
    if (spec.service() && !withdrawn.containsKey(spec.id())) {
      downSince.put(task, world.time.seconds());
    }
  }

  void stopped(TaskId task, JobSpec spec, Stop why) {
    Stop reason = withdrawn.containsKey(task.job()) ? Stop.CANCELLED : why;
    stops
        .computeIfAbsent(spec.team(), team -> new EnumMap<>(Stop.class))
        .merge(reason, 1, Integer::sum);
  }

  void completed(TaskId task) {
    everCompleted.add(task);
  }

  void done(JobId job, boolean first) {
    if (!first) {
      return;
    }
    JobSpec spec = world.specs.get(job);
    Service service = of(spec);
    service.done++;
    Double due = due(spec);
    if (due != null && world.time.seconds() - submitted.get(job) <= due) {
      service.inTime++;
    }
  }

  void cancelled(JobId job) {
    if (withdrawn.putIfAbsent(job, world.time.seconds()) == null) {
      JobSpec spec = world.specs.get(job);
      if (due(spec) != null) {
        of(spec).due--;
      }
      downSince.keySet().removeIf(task -> task.job().equals(job));
    }
  }

  /** To be called every half second. */
  void tick() {
    double seconds = TICK_MILLIS / 1000.0;
    boolean waiting = false;
    for (JobId job : services) {
      if (world.invariants.accepted(job) && !withdrawn.containsKey(job)) {
        JobSpec spec = world.specs.get(job);
        Service service = of(spec);
        int up = on.getOrDefault(job, 0);
        service.replicaSeconds += seconds * spec.tasks();
        service.replicaSecondsUp += seconds * Math.min(spec.tasks(), up);
        waiting |= up < spec.tasks();
      }
    }
    if (waiting) {
      longestWithoutStart = Math.max(longestWithoutStart, world.time.seconds() - lastStart);
    } else {
      lastStart = world.time.seconds();
    }
    for (SimWorker worker : world.workers.values()) {
      if (worker.isBilled()) {
        lastOfTheFirst = worker.initial ? world.time.seconds() : lastOfTheFirst;
        String kind = worker.pool.spot() ? "spot" : "ordinary";
        machineSeconds.merge(worker.isAlive() ? kind : kind + "_booting", seconds, Double::sum);
      }
    }
  }

  /** Jobs that are to be served: not withdrawn, not refused, and not such as fail everywhere. */
  List<JobSpec> wanted() {
    return submitted.keySet().stream()
        .filter(job -> !withdrawn.containsKey(job) && !world.failingJobs.contains(job))
        .filter(job -> world.users.get(job).refusalStatus == null)
        .map(world.specs::get)
        .toList();
  }

  /**
   * Classes and teams, and largest jobs of classes, of which less than half was served, each with
   * how: of arrays and gangs the tasks that are done, of services the replicas that have begun.
   */
  Map<String, String> underserved() {
    Map<String, double[]> shares = new TreeMap<>();
    for (JobSpec spec : wanted()) {
      count(shares, "class " + spec.jobClass(), spec);
      count(shares, "team " + spec.team(), spec);
    }
    world
        .largeJobStarts
        .of(wanted())
        .forEach((name, jobs) -> jobs.forEach(spec -> count(shares, "largest " + name, spec)));
    Map<String, String> under = new TreeMap<>();
    shares.forEach(
        (name, share) -> {
          if (share[0] < share[1] / 2) {
            under.put(
                name,
                String.format(
                    Locale.ROOT,
                    "%s is served by less than half: %.0f of %.0f",
                    name,
                    share[0],
                    share[1]));
          }
        });
    return under;
  }

  private void count(Map<String, double[]> shares, String name, JobSpec spec) {
    double[] share = shares.computeIfAbsent(name, n -> new double[2]);
    for (int index = 0; index < spec.tasks(); index++) {
      TaskId task = new TaskId(spec.id(), index);
      share[0] += (spec.service() ? everStarted : everCompleted).contains(task) ? 1 : 0;
    }
    share[1] += spec.tasks();
  }

  /** The figures by name, in a fixed order. */
  Map<String, Double> lines() {
    Map<String, Double> lines = new LinkedHashMap<>();
    classes.forEach(
        (name, service) -> {
          lines.put(name + ".jobs", (double) service.jobs);
          lines.put(name + ".tasks_started", (double) service.begun);
          if (service.replicaSeconds > 0) {
            lines.put(name + ".up", service.replicaSecondsUp / service.replicaSeconds);
          } else {
            lines.put(name + ".done", service.jobs == 0 ? 0 : service.done / (double) service.jobs);
          }
          if (service.due > 0) {
            lines.put(name + ".in_time", service.inTime / (double) service.due);
          }
        });
    stops.forEach(
        (team, reasons) ->
            reasons.forEach(
                (why, count) ->
                    lines.put(
                        "stopped." + team + "." + why.name().toLowerCase(Locale.ROOT),
                        (double) count)));
    machineSeconds.forEach((kind, seconds) -> lines.put("machine_hours." + kind, seconds / 3600));
    lines.put("state.requests", (double) world.state.requestCount());
    lines.put("state.changes", (double) world.state.writeCount());
    lines.put("cloud.rented", (double) world.cloud.rentedCount);
    lines.put("cloud.released", (double) world.cloud.releasedCount);
    lines.put("machines_of_the_beginning_until_s", lastOfTheFirst);
    lines.put("longest_replica_gap_s", worstReplicaGap);
    lines.put("longest_gap_in_placing_s", longestWithoutStart);
    lines.putAll(world.workerTraffic.figures());
    return lines;
  }
}
