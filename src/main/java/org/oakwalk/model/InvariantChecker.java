package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.store.JobRecord;

/**
 * Checks the invariants of the protocol against what workers do and which answers users receive,
 * independent of the controllers' state.
 */
final class InvariantChecker {
  /** One copy of a task on a machine. */
  private record RunningCopy(SimWorker machine, JobSpec spec) {}

  /** Time after which a job without any answer counts as forgotten, once all faults are over. */
  private static final double MAX_UNANSWERED_SECONDS = 75;

  private final World world;
  private final DisruptionBudgetRule budgetRule;
  private final HeadroomRule headroomRule;
  private final ExchangeRule exchangeRule;
  private final StarvationRule starvationRule;
  private final AcceptanceRule acceptanceRule;
  private final Map<TaskId, List<RunningCopy>> runningCopies = new HashMap<>();
  private final Map<String, Resources> teamUsage = new HashMap<>();
  private final Map<TaskId, Integer> startCounts = new HashMap<>();
  private final Map<TaskId, Double> firstStartAt = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final Map<JobId, Double> cancellationReportedAt = new HashMap<>();
  private final Map<JobId, Response.JobState> reportedFinalStates = new HashMap<>();

  /** The {@link #answerCount} of the first answer with a final state. */
  private final Map<JobId, Long> finalAnswerNumbers = new HashMap<>();

  /** The {@link #answerCount} of the first answer that showed that a job was accepted. */
  private final Map<JobId, Long> acceptedAnswerNumbers = new HashMap<>();

  private final Set<JobId> submitted = new HashSet<>();
  private final Set<JobId> accepted = new LinkedHashSet<>();
  private final Set<JobId> cancelRequested = new HashSet<>();
  private final Map<JobId, Double> lastAnswerAt = new LinkedHashMap<>();
  private final Map<String, String> violations = new LinkedHashMap<>();

  private double faultsEndAt;
  private double latestStartAfterCancel;

  /** Number of answers that users have received. It serves as a logical clock for answers. */
  private long answerCount;

  InvariantChecker(World world) {
    this.world = world;
    this.budgetRule = new DisruptionBudgetRule(world);
    this.headroomRule = new HeadroomRule(world);
    this.exchangeRule = new ExchangeRule(world);
    this.starvationRule = new StarvationRule(world);
    this.acceptanceRule = new AcceptanceRule(world);
  }

  /**
   * Sets the time at which all faults are over, in seconds. From then on each request about a job
   * has to be answered.
   */
  void setFaultsEnd(double seconds) {
    faultsEndAt = seconds;
    exchangeRule.setFaultsEnd(seconds);
    starvationRule.setFaultsEnd(seconds);
  }

  /** Returns the violated rules, each with the time and description of the first violation. */
  Map<String, String> violations() {
    return violations;
  }

  private void recordViolation(String rule, String description) {
    violations.putIfAbsent(rule, String.format("%.1f s: %s", world.time.seconds(), description));
  }

  /**
   * Returns the latest start of a task of a cancelled job, in seconds after its user was told of
   * the cancellation.
   */
  double latestStartAfterCancel() {
    return latestStartAfterCancel;
  }

  /** Returns how often a task has been started. */
  int startCount(TaskId task) {
    return startCounts.getOrDefault(task, 0);
  }

  int totalStarts() {
    return startCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns when each task was first started, in seconds. */
  Map<TaskId, Double> firstStarts() {
    return firstStartAt;
  }

  /** Returns when a task was first started, in seconds, or null if it never was. */
  Double firstStart(TaskId task) {
    return firstStartAt.get(task);
  }

  /** Returns the number of tasks of a job that are on a machine. */
  long runningTaskCount(JobId job) {
    return runningCopies.entrySet().stream()
        .filter(e -> e.getKey().job().equals(job) && !e.getValue().isEmpty())
        .count();
  }

  /** Records that a plan promises less than before in the same window. */
  void promiseReduced(String description) {
    recordViolation("promise_taken_back", description);
  }

  /**
   * Records that a controller ordered a start of a task although it knows that the job has ended.
   */
  void endedJobStarted(SimNode node, StartAfterEndDetector.ForbiddenStart start) {
    boolean done = start.end() == JobRecord.Phase.DONE;
    recordViolation(
        done ? "started_after_done" : "started_after_cancel",
        node.id + " ordered a start of " + start.order().task());
  }

  /** Records the orders of a message that a worker received, to check its size. */
  void ordersReceived(SimWorker machine, List<Order> orders) {
    MessageSizeRule.violation(orders)
        .ifPresent(description -> recordViolation("oversized", description + " for " + machine.id));
  }

  /** Records that a controller refused a worker's report because it is too large. */
  void reportRefused(SimWorker machine, int tasks) {
    recordViolation("oversized", "the report of " + machine.id + " lists " + tasks + " tasks");
  }

  /** Whether the user has asked to cancel a job. */
  boolean isCancelRequested(JobId job) {
    return cancelRequested.contains(job);
  }

  /** Records that a task starts on a machine, and checks its placement and the team's quota. */
  void taskStarted(SimWorker machine, TaskId task, JobSpec spec) {
    List<RunningCopy> copies = runningCopies.computeIfAbsent(task, t -> new ArrayList<>());
    if (!copies.isEmpty()) {
      recordViolation(
          "ran_twice", task + " on " + machine.id + " and " + copies.get(0).machine().id);
    }
    copies.add(new RunningCopy(machine, spec));
    teamUsage.merge(spec.team(), spec.resources(), Resources::plus);
    world.metrics.taskStarted(task, spec);
    budgetRule.taskStarted(task, spec);
    startCounts.merge(task, 1, Integer::sum);
    firstStartAt.putIfAbsent(task, world.time.seconds());
    world.waitTimes.waitEnded(JobWaitTimes.WaitPhase.BEGUN, task.job());
    checkPlacement(machine, task, spec);
    checkQuota(spec.team());
    Double cancelledAt = cancellationReportedAt.get(task.job());
    if (cancelledAt != null) {
      latestStartAfterCancel = Math.max(latestStartAfterCancel, world.time.seconds() - cancelledAt);
    }
    if (cancelledAt != null && world.time.seconds() - cancelledAt > cancelSeconds()) {
      recordViolation("ran_cancelled", task + " starts on " + machine.id);
    }
  }

  /** Records that a worker is about to allocate resources to a task. */
  void beforeAllocation(SimWorker machine, TaskId task, JobSpec spec) {
    headroomRule
        .beforeAllocation(machine, spec)
        .ifPresent(
            description ->
                recordViolation("crowded", task + " on " + machine.id + " " + description));
  }

  /** Records that a worker has released resources. */
  void resourcesFreed(SimWorker machine) {
    headroomRule.resourcesFreed(machine);
  }

  private double cancelSeconds() {
    return world.settings.workers().cancelDeadline().asSeconds();
  }

  private void checkPlacement(SimWorker machine, TaskId task, JobSpec spec) {
    if (!spec.allows(machine.type.name(), machine.pool.zone(), machine.pool.spot())) {
      recordViolation("wrong_place", task + " on " + machine.id);
    }
    if (!spec.oneZone() && !spec.spread()) {
      return;
    }
    Map<String, Integer> zones = new HashMap<>();
    runningCopies.forEach(
        (other, copies) -> {
          if (other.job().equals(task.job()) && !copies.isEmpty()) {
            zones.merge(copies.get(0).machine().pool.zone(), 1, Integer::sum);
          }
        });
    if (spec.oneZone() && zones.size() > 1) {
      recordViolation("wrong_place", task + " puts its job into a second zone");
    }
    if (zones.getOrDefault(machine.pool.zone(), 0) > spec.maxTasksPerZone()) {
      recordViolation("wrong_place", task + " exceeds the number of tasks per zone");
    }
  }

  private void checkQuota(String name) {
    Settings.Team team = world.settings.teams().get(name);
    if (team.cpusMax() <= 0 && team.gpusMax() <= 0) {
      return;
    }
    Resources use = teamUsage.getOrDefault(name, Resources.NONE);
    if (team.cpusMax() > 0 && use.cpus() > team.cpusMax() + 1e-6
        || team.gpusMax() > 0 && use.gpus() > team.gpusMax() + 1e-6) {
      recordViolation("quota", name + " uses " + use);
    }
  }

  /** Records that a worker was ordered to stop a running task. */
  void taskHalted(SimWorker machine, TaskId task, JobSpec spec) {
    if (!cancellationReportedAt.containsKey(task.job())
        && !cancelRequested.contains(task.job())
        && !completed.contains(task)
        && !machine.hasReclaimNotice()) {
      budgetRule
          .taskStopped(task, spec)
          .ifPresent(description -> recordViolation("budget", description));
      exchangeRule
          .taskStopped(task, spec)
          .ifPresent(description -> recordViolation("taken_unwritten", description));
    }
  }

  /** Records that a task is no longer on a machine. */
  void taskLeft(SimWorker machine, TaskId task) {
    List<RunningCopy> copies = runningCopies.getOrDefault(task, new ArrayList<>());
    for (RunningCopy copy : List.copyOf(copies)) {
      if (copy.machine() == machine) {
        copies.remove(copy);
        Double cancelledAt = cancellationReportedAt.get(task.job());
        if (cancelledAt != null && world.time.seconds() - cancelledAt > cancelSeconds() + 0.1) {
          // The periodic check in tick may miss a short overrun.
          recordViolation(
              "ran_cancelled", task + " left " + machine.id + " after the cancel deadline");
        }
        world.metrics.taskLeft(task, copy.spec());
        teamUsage.computeIfPresent(
            copy.spec().team(), (team, use) -> use.minus(copy.spec().resources()));
      }
    }
  }

  /** Whether a worker has completed a task. */
  boolean isCompleted(TaskId task) {
    return completed.contains(task);
  }

  /** Records that a worker has completed a task. */
  void taskCompleted(TaskId task) {
    completed.add(task);
    world.waitTimes.taskCompleted(task.job());
    world.metrics.taskCompleted(task);
    budgetRule.taskCompleted(task);
    world.cancellations.taskCompleted(task.job());
    world.consistencyProbes.taskCompleted(task);
  }

  /**
   * Runs the periodic checks, among them that cancelled jobs have left all machines in time and
   * that no job goes unanswered.
   */
  void tick() {
    headroomRule.tick();
    exchangeRule.tick().forEach(this::recordViolation);
    starvationRule.tick().ifPresent(description -> recordViolation("left_waiting", description));
    runningCopies.forEach(
        (task, copies) -> {
          Double cancelledAt = cancellationReportedAt.get(task.job());
          if (cancelledAt != null
              && !copies.isEmpty()
              && world.time.seconds() - cancelledAt > cancelSeconds() + 0.1) {
            recordViolation("ran_cancelled", task + " is still on " + copies.get(0).machine().id);
          }
        });
    lastAnswerAt.forEach(
        (job, at) -> {
          if (world.time.seconds() - at > 90) {
            recordViolation("forgotten", job + " has not been answered for 90 s");
          }
          if (world.time.seconds() - Math.max(at, faultsEndAt) > MAX_UNANSWERED_SECONDS) {
            recordViolation("unanswered", job + " has not been answered since " + at + " s");
          }
        });
  }

  /** Records that a user submits a job; returns true for its first submission. */
  boolean recordSubmission(JobId job) {
    return submitted.add(job);
  }

  /** Records that a user asks to cancel a job. */
  void recordCancelRequest(JobId job) {
    cancelRequested.add(job);
  }

  /**
   * Returns the number of answers so far. A request sent now has to be answered in line with these.
   */
  long answerCount() {
    return answerCount;
  }

  /** Returns the final state that the user of a job was told, or null if there is none yet. */
  Response.JobState reported(JobId job) {
    return reportedFinalStates.get(job);
  }

  /** Returns the accepted jobs, in the order in which their users were told of it. */
  Set<JobId> acceptedJobs() {
    return accepted;
  }

  /** Whether the user of a job knows that it is done or cancelled. */
  boolean isReportedEnded(JobId job) {
    return reportedFinalStates.containsKey(job);
  }

  /** Whether the user of a job knows that it was accepted. */
  boolean isAccepted(JobId job) {
    return accepted.contains(job);
  }

  /**
   * Records the answer to a duplicate request. It is checked like any other, but does not count as
   * an answer to the user.
   */
  void duplicateReported(
      JobId job, boolean submission, long askedAt, Response response, SimNode by) {
    Double previousAnswerAt = lastAnswerAt.get(job);
    reported(job, submission, askedAt, response, Optional.of(by));
    if (previousAnswerAt == null) {
      lastAnswerAt.remove(job);
    } else {
      lastAnswerAt.computeIfPresent(job, (j, at) -> previousAnswerAt);
    }
  }

  /**
   * Records that a user has received an answer.
   *
   * @param askedAt value of {@link #answerCount} when the request was sent: the answer may be older
   *     than any answer received after that, but not older than those received before
   */
  void reported(
      JobId job, boolean submission, long askedAt, Response response, Optional<SimNode> by) {
    answerCount++;
    if (response instanceof Response.Problem problem) {
      if (problem.status() == 404
          && askedAt >= acceptedAnswerNumbers.getOrDefault(job, Long.MAX_VALUE)) {
        recordViolation("forgotten", job + " was accepted and is answered 404");
      }
      if (accepted.contains(job)
          && submission
          && (problem.status() == 400 || problem.status() == 422)) {
        recordViolation("forgotten", job + " was accepted and is answered " + problem.status());
      }
      return;
    }
    Response.JobStatus status = (Response.JobStatus) response;
    if (!submitted.contains(job)) {
      recordViolation("invented", job + " was never submitted and is answered 200");
      return;
    }
    Optional<String> rejection = acceptanceRule.rejectionReason(job);
    if (rejection.isPresent()) {
      recordViolation("accepted_wrongly", job + " " + rejection.get());
      return;
    }
    Response.JobState before = reportedFinalStates.get(job);
    boolean isFinal =
        status.state() == Response.JobState.DONE || status.state() == Response.JobState.CANCELLED;
    if (before != null && !isFinal && askedAt < finalAnswerNumbers.get(job)) {
      return;
    }
    accepted.add(job);
    acceptedAnswerNumbers.putIfAbsent(job, answerCount);
    lastAnswerAt.put(job, world.time.seconds());
    if (isFinal) {
      finalAnswerNumbers.putIfAbsent(job, answerCount);
    }
    if (before != null && before != status.state()) {
      recordViolation(
          "went_back", job + " was reported " + before + " and is now reported " + status.state());
    }
    if (status.state() == Response.JobState.DONE) {
      world.metrics.jobDone(job, before == null);
      reportedFinalStates.put(job, status.state());
      lastAnswerAt.remove(job);
      JobSpec spec = world.specs.get(job);
      for (int i = 0; i < spec.tasks(); i++) {
        if (!completed.contains(new TaskId(job, i))) {
          recordViolation(
              "not_done", job + " is reported done, but task " + i + " is not complete");
          break;
        }
      }
    } else if (status.state() == Response.JobState.CANCELLED) {
      reportedFinalStates.put(job, status.state());
      world.metrics.jobCancelled(job);
      budgetRule.jobCancelled(job);
      cancellationReportedAt.putIfAbsent(job, world.time.seconds());
      lastAnswerAt.remove(job);
      if (!cancelRequested.contains(job)) {
        recordViolation("went_back", job + " is reported cancelled without a cancel request");
      }
    }
    world.consistencyProbes.stateReported(job, isFinal, by);
  }
}
