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
final class ScenarioMetrics {
  /** Why a task left its machine before it was complete. */
  enum StopCause {
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
  private static final class ClassMetrics {
    int jobs;
    int doneJobs;
    int jobsInTime;
    int jobsWithDeadline;
    double requestedReplicaSeconds;
    double runningReplicaSeconds;
    int startedTasks;
  }

  private static final long TICK_INTERVAL_MS = 500;

  private final World world;
  private final Map<String, ClassMetrics> classes = new TreeMap<>();
  private final Map<String, Map<StopCause, Integer>> stopCounts = new TreeMap<>();
  private final Map<JobId, Double> submittedAt = new LinkedHashMap<>();
  private final Map<JobId, Double> cancelledAt = new HashMap<>();
  private final Map<JobId, Integer> runningTasks = new HashMap<>();
  private final Set<JobId> serviceJobs = new HashSet<>();
  private final Map<TaskId, Double> downSince = new HashMap<>();
  private final Set<TaskId> everStarted = new HashSet<>();
  private final Set<TaskId> everCompleted = new HashSet<>();
  private final Map<String, Double> machineSeconds = new TreeMap<>();
  private double longestReplicaGap;
  private double initialMachinesUntil;
  private double lastStartAt;
  private double longestStartGap;

  ScenarioMetrics(World world) {
    this.world = world;
  }

  private ClassMetrics metricsFor(JobSpec spec) {
    return classes.computeIfAbsent(spec.jobClass(), name -> new ClassMetrics());
  }

  void jobSubmitted(JobSpec spec) {
    ClassMetrics service = metricsFor(spec);
    service.jobs++;
    submittedAt.put(spec.id(), world.time.seconds());
    if (spec.service()) {
      serviceJobs.add(spec.id());
    }
    if (deadlineSeconds(spec) != null) {
      service.jobsWithDeadline++;
    }
  }

  /** When somebody first tried to submit the job, in seconds; it has been tried. */
  double submittedAt(JobId job) {
    return submittedAt.get(job);
  }

  /** When the job should be done, from its submission on, or null. */
  private Double deadlineSeconds(JobSpec spec) {
    Double best = spec.deadline().map(Span::asSeconds).orElse(null);
    for (Settings.Objective objective : world.settings.objectives()) {
      if (objective.kind().equals("finished") && objective.jobClass().equals(spec.jobClass())) {
        best = best == null ? objective.withinSeconds() : Math.min(best, objective.withinSeconds());
      }
    }
    return best;
  }

  void taskStarted(TaskId task, JobSpec spec) {
    runningTasks.merge(spec.id(), 1, Integer::sum);
    world.largest.taskStarted(task);
    lastStartAt = world.time.seconds();
    ClassMetrics service = metricsFor(spec);
    if (everStarted.add(task)) {
      service.startedTasks++;
    }
    Double since = downSince.remove(task);
    if (since != null) {
      longestReplicaGap = Math.max(longestReplicaGap, world.time.seconds() - since);
    }
  }

  void taskLeft(TaskId task, JobSpec spec) {
    runningTasks.merge(spec.id(), -1, Integer::sum);
    if (spec.service() && !cancelledAt.containsKey(spec.id())) {
      downSince.put(task, world.time.seconds());
    }
  }

  void taskStopped(TaskId task, JobSpec spec, StopCause why) {
    StopCause reason = cancelledAt.containsKey(task.job()) ? StopCause.CANCELLED : why;
    stopCounts
        .computeIfAbsent(spec.team(), team -> new EnumMap<>(StopCause.class))
        .merge(reason, 1, Integer::sum);
  }

  void taskCompleted(TaskId task) {
    everCompleted.add(task);
  }

  void jobDone(JobId job, boolean first) {
    if (!first) {
      return;
    }
    JobSpec spec = world.specs.get(job);
    ClassMetrics service = metricsFor(spec);
    service.doneJobs++;
    Double due = deadlineSeconds(spec);
    if (due != null && world.time.seconds() - submittedAt.get(job) <= due) {
      service.jobsInTime++;
    }
  }

  void jobCancelled(JobId job) {
    if (cancelledAt.putIfAbsent(job, world.time.seconds()) == null) {
      JobSpec spec = world.specs.get(job);
      if (deadlineSeconds(spec) != null) {
        metricsFor(spec).jobsWithDeadline--;
      }
      downSince.keySet().removeIf(task -> task.job().equals(job));
    }
  }

  /** To be called every half second. */
  void tick() {
    double seconds = TICK_INTERVAL_MS / 1000.0;
    boolean waiting = false;
    for (JobId job : serviceJobs) {
      if (world.rules.isAccepted(job) && !cancelledAt.containsKey(job)) {
        JobSpec spec = world.specs.get(job);
        ClassMetrics service = metricsFor(spec);
        int up = runningTasks.getOrDefault(job, 0);
        service.requestedReplicaSeconds += seconds * spec.tasks();
        service.runningReplicaSeconds += seconds * Math.min(spec.tasks(), up);
        waiting |= up < spec.tasks();
      }
    }
    if (waiting) {
      longestStartGap = Math.max(longestStartGap, world.time.seconds() - lastStartAt);
    } else {
      lastStartAt = world.time.seconds();
    }
    for (SimWorker worker : world.workers.values()) {
      if (worker.charged()) {
        initialMachinesUntil = worker.first ? world.time.seconds() : initialMachinesUntil;
        String kind = worker.market.spot() ? "spot" : "ordinary";
        machineSeconds.merge(worker.alive() ? kind : kind + "_booting", seconds, Double::sum);
      }
    }
  }

  /** Jobs that are to be served: not withdrawn, not refused, and not such as fail everywhere. */
  List<JobSpec> jobsToServe() {
    return submittedAt.keySet().stream()
        .filter(job -> !cancelledAt.containsKey(job) && !world.failing.contains(job))
        .filter(job -> world.users.get(job).refusedWith == null)
        .map(world.specs::get)
        .toList();
  }

  /**
   * Classes and teams, and largest jobs of classes, of which less than half was served, each with
   * how: of arrays and gangs the tasks that are done, of services the replicas that have begun.
   */
  Map<String, String> underserved() {
    Map<String, double[]> shares = new TreeMap<>();
    for (JobSpec spec : jobsToServe()) {
      addShare(shares, "class " + spec.jobClass(), spec);
      addShare(shares, "team " + spec.team(), spec);
    }
    world
        .largest
        .largestByClass(jobsToServe())
        .forEach((name, jobs) -> jobs.forEach(spec -> addShare(shares, "largest " + name, spec)));
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

  private void addShare(Map<String, double[]> shares, String name, JobSpec spec) {
    double[] share = shares.computeIfAbsent(name, n -> new double[2]);
    for (int index = 0; index < spec.tasks(); index++) {
      TaskId task = new TaskId(spec.id(), index);
      share[0] += (spec.service() ? everStarted : everCompleted).contains(task) ? 1 : 0;
    }
    share[1] += spec.tasks();
  }

  /** The figures by name, in a fixed order. */
  Map<String, Double> values() {
    Map<String, Double> lines = new LinkedHashMap<>();
    classes.forEach(
        (name, service) -> {
          lines.put(name + ".jobs", (double) service.jobs);
          lines.put(name + ".tasks_started", (double) service.startedTasks);
          if (service.requestedReplicaSeconds > 0) {
            lines.put(
                name + ".up", service.runningReplicaSeconds / service.requestedReplicaSeconds);
          } else {
            lines.put(
                name + ".done", service.jobs == 0 ? 0 : service.doneJobs / (double) service.jobs);
          }
          if (service.jobsWithDeadline > 0) {
            lines.put(name + ".in_time", service.jobsInTime / (double) service.jobsWithDeadline);
          }
        });
    stopCounts.forEach(
        (team, reasons) ->
            reasons.forEach(
                (why, count) ->
                    lines.put(
                        "stopped." + team + "." + why.name().toLowerCase(Locale.ROOT),
                        (double) count)));
    machineSeconds.forEach((kind, seconds) -> lines.put("machine_hours." + kind, seconds / 3600));
    lines.put("state.requests", (double) world.state.requests());
    lines.put("state.changes", (double) world.state.writes());
    lines.put("cloud.rented", (double) world.cloud.rented);
    lines.put("cloud.released", (double) world.cloud.released);
    lines.put("machines_of_the_beginning_until_s", initialMachinesUntil);
    lines.put("longest_replica_gap_s", longestReplicaGap);
    lines.put("longest_gap_in_placing_s", longestStartGap);
    lines.putAll(world.reportLoad.lines());
    return lines;
  }
}
