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
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;

/** Measures how well a scenario was served, by what workers do and which answers users receive. */
final class ScenarioMetrics {
  /** Reason for which a task left its machine before it was complete. */
  enum StopCause {
    /** The leader ordered the stop. */
    COMMAND,
    /** The user had cancelled the job. */
    CANCELLED,
    /** The machine's lease expired. */
    LEASE,
    /** The machine was released, or reclaimed by the cloud. */
    GONE,
    /** The machine failed. */
    DIED
  }

  /** Metrics of one job class. */
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

  /** Records the first submission of a job. */
  void jobSubmitted(JobSpec spec) {
    ClassMetrics metrics = metricsFor(spec);
    metrics.jobs++;
    submittedAt.put(spec.id(), world.time.seconds());
    if (spec.service()) {
      serviceJobs.add(spec.id());
    }
    if (deadlineSeconds(spec) != null) {
      metrics.jobsWithDeadline++;
    }
  }

  /**
   * Returns when a user first tried to submit the job, in seconds. The job must have been
   * submitted.
   */
  double submittedAt(JobId job) {
    return submittedAt.get(job);
  }

  /**
   * Returns the time within which a job should be done after its submission, in seconds, or null if
   * it has no deadline.
   */
  private Double deadlineSeconds(JobSpec spec) {
    Double deadline = spec.deadline().map(TimeSpan::asSeconds).orElse(null);
    for (Settings.Objective objective : world.settings.objectives()) {
      if (objective.kind().equals("finished") && objective.jobClass().equals(spec.jobClass())) {
        deadline =
            deadline == null
                ? objective.withinSeconds()
                : Math.min(deadline, objective.withinSeconds());
      }
    }
    return deadline;
  }

  void taskStarted(TaskId task, JobSpec spec) {
    runningTasks.merge(spec.id(), 1, Integer::sum);
    world.largeJobStarts.taskStarted(task);
    lastStartAt = world.time.seconds();
    ClassMetrics metrics = metricsFor(spec);
    if (everStarted.add(task)) {
      metrics.startedTasks++;
    }
    Double since = downSince.remove(task);
    if (since != null) {
      longestReplicaGap = Math.max(longestReplicaGap, world.time.seconds() - since);
    }
  }

  /** Records that a task left its machine, for any reason. */
  void taskLeft(TaskId task, JobSpec spec) {
    runningTasks.merge(spec.id(), -1, Integer::sum);
    if (spec.service() && !cancelledAt.containsKey(spec.id())) {
      downSince.put(task, world.time.seconds());
    }
  }

  /** Records that a task left its machine before it was complete. */
  void taskStopped(TaskId task, JobSpec spec, StopCause cause) {
    StopCause reason = cancelledAt.containsKey(task.job()) ? StopCause.CANCELLED : cause;
    stopCounts
        .computeIfAbsent(spec.team(), team -> new EnumMap<>(StopCause.class))
        .merge(reason, 1, Integer::sum);
  }

  void taskCompleted(TaskId task) {
    everCompleted.add(task);
  }

  /** Records that a user was told that a job is done; only the first time counts. */
  void jobDone(JobId job, boolean first) {
    if (!first) {
      return;
    }
    JobSpec spec = world.specs.get(job);
    ClassMetrics metrics = metricsFor(spec);
    metrics.doneJobs++;
    Double due = deadlineSeconds(spec);
    if (due != null && world.time.seconds() - submittedAt.get(job) <= due) {
      metrics.jobsInTime++;
    }
  }

  /** Records that a user was told that a job is cancelled; it no longer counts as due. */
  void jobCancelled(JobId job) {
    if (cancelledAt.putIfAbsent(job, world.time.seconds()) == null) {
      JobSpec spec = world.specs.get(job);
      if (deadlineSeconds(spec) != null) {
        metricsFor(spec).jobsWithDeadline--;
      }
      downSince.keySet().removeIf(task -> task.job().equals(job));
    }
  }

  /** Adds up the metrics over time. Called every {@link #TICK_INTERVAL_MS}. */
  void tick() {
    double seconds = TICK_INTERVAL_MS / 1000.0;
    boolean waiting = false;
    for (JobId job : serviceJobs) {
      if (world.invariants.isAccepted(job) && !cancelledAt.containsKey(job)) {
        JobSpec spec = world.specs.get(job);
        ClassMetrics metrics = metricsFor(spec);
        int running = runningTasks.getOrDefault(job, 0);
        metrics.requestedReplicaSeconds += seconds * spec.tasks();
        metrics.runningReplicaSeconds += seconds * Math.min(spec.tasks(), running);
        waiting |= running < spec.tasks();
      }
    }
    if (waiting) {
      longestStartGap = Math.max(longestStartGap, world.time.seconds() - lastStartAt);
    } else {
      lastStartAt = world.time.seconds();
    }
    for (SimWorker worker : world.workers.values()) {
      if (worker.isBilled()) {
        initialMachinesUntil = worker.initial ? world.time.seconds() : initialMachinesUntil;
        String kind = worker.pool.spot() ? "spot" : "ordinary";
        machineSeconds.merge(worker.isAlive() ? kind : kind + "_booting", seconds, Double::sum);
      }
    }
  }

  /**
   * Returns the jobs that have to be served: neither cancelled nor refused, and not failing on
   * every machine.
   */
  List<JobSpec> jobsToServe() {
    return submittedAt.keySet().stream()
        .filter(job -> !cancelledAt.containsKey(job) && !world.failingJobs.contains(job))
        .filter(job -> world.users.get(job).refusalStatus == null)
        .map(world.specs::get)
        .toList();
  }

  /**
   * Returns the classes, teams and groups of largest jobs of which less than half was served, with
   * a description of each. An array or gang is served by its completed tasks, a service by its
   * started replicas.
   */
  Map<String, String> underserved() {
    Map<String, double[]> shares = new TreeMap<>();
    for (JobSpec spec : jobsToServe()) {
      addShare(shares, "class " + spec.jobClass(), spec);
      addShare(shares, "team " + spec.team(), spec);
    }
    world
        .largeJobStarts
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
                    "%s: less than half of the tasks were served: %.0f of %.0f",
                    name,
                    share[0],
                    share[1]));
          }
        });
    return under;
  }

  /** Adds the served and the requested tasks of a job to the share of that name. */
  private void addShare(Map<String, double[]> shares, String name, JobSpec spec) {
    double[] share = shares.computeIfAbsent(name, n -> new double[2]);
    for (int index = 0; index < spec.tasks(); index++) {
      TaskId task = new TaskId(spec.id(), index);
      share[0] += (spec.service() ? everStarted : everCompleted).contains(task) ? 1 : 0;
    }
    share[1] += spec.tasks();
  }

  /** Returns the metrics by name, in a fixed order. */
  Map<String, Double> values() {
    Map<String, Double> values = new LinkedHashMap<>();
    classes.forEach(
        (name, metrics) -> {
          values.put(name + ".jobs", (double) metrics.jobs);
          values.put(name + ".tasks_started", (double) metrics.startedTasks);
          if (metrics.requestedReplicaSeconds > 0) {
            values.put(
                name + ".up", metrics.runningReplicaSeconds / metrics.requestedReplicaSeconds);
          } else {
            values.put(
                name + ".done", metrics.jobs == 0 ? 0 : metrics.doneJobs / (double) metrics.jobs);
          }
          if (metrics.jobsWithDeadline > 0) {
            values.put(name + ".in_time", metrics.jobsInTime / (double) metrics.jobsWithDeadline);
          }
        });
    stopCounts.forEach(
        (team, reasons) ->
            reasons.forEach(
                (cause, count) ->
                    values.put(
                        "stopped." + team + "." + cause.name().toLowerCase(Locale.ROOT),
                        (double) count)));
    machineSeconds.forEach((kind, seconds) -> values.put("machine_hours." + kind, seconds / 3600));
    values.put("state.requests", (double) world.state.requestCount());
    values.put("state.changes", (double) world.state.writeCount());
    values.put("cloud.rented", (double) world.cloud.rentedCount);
    values.put("cloud.released", (double) world.cloud.releasedCount);
    values.put("machines_of_the_beginning_until_s", initialMachinesUntil);
    values.put("longest_replica_gap_s", longestReplicaGap);
    values.put("longest_gap_in_placing_s", longestStartGap);
    values.putAll(world.workerTraffic.figures());
    return values;
  }
}
