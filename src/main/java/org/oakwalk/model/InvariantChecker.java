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
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.store.JobRecord;

/**
 * Checks every rule of the protocol against what the workers do and the users are told. It knows
 * nothing of the controllers.
 */
final class InvariantChecker {
  private record RunningCopy(SimWorker machine, JobSpec spec) {}

  /** Once all troubles are over, a job that nobody hears of for so long counts as forgotten. */
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
  private final Map<JobId, Long> finalAnswerNumbers = new HashMap<>();
  private final Map<JobId, Long> acceptedAnswerNumbers = new HashMap<>();
  private final Set<JobId> submitted = new HashSet<>();
  private final Set<JobId> accepted = new LinkedHashSet<>();
  private final Set<JobId> cancelRequested = new HashSet<>();
  private final Map<JobId, Double> lastAnswerAt = new LinkedHashMap<>();
  private final Map<String, String> violations = new LinkedHashMap<>();

  private double faultsEndAt;
  private double latestStartAfterCancel;

  /** How many answers users have received. */
  private long answerCount;

  InvariantChecker(World world) {
    this.world = world;
    this.budgetRule = new DisruptionBudgetRule(world);
    this.headroomRule = new HeadroomRule(world);
    this.exchangeRule = new ExchangeRule(world);
    this.starvationRule = new StarvationRule(world);
    this.acceptanceRule = new AcceptanceRule(world);
  }

  /** All troubles are over then; from then on every question about a job has to find an answer. */
  void setFaultsEnd(double seconds) {
    faultsEndAt = seconds;
    exchangeRule.setFaultsEnd(seconds);
    starvationRule.setFaultsEnd(seconds);
  }

  /** The broken rules, each with when and how it was first. */
  Map<String, String> violations() {
    return violations;
  }

  private void recordViolation(String rule, String how) {
    violations.putIfAbsent(rule, String.format("%.1f s: %s", world.time.seconds(), how));
  }

  /** The latest start of a task of a cancelled job, in seconds after its user was told. */
  double latestStartAfterCancel() {
    return latestStartAfterCancel;
  }

  int startCount(TaskId task) {
    return startCounts.getOrDefault(task, 0);
  }

  int totalStarts() {
    return startCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** When each task was started for the first time. */
  Map<TaskId, Double> firstStarts() {
    return firstStartAt;
  }

  Double firstStart(TaskId task) {
    return firstStartAt.get(task);
  }

  long runningTaskCount(JobId job) {
    return runningCopies.entrySet().stream()
        .filter(e -> e.getKey().job().equals(job) && !e.getValue().isEmpty())
        .count();
  }

  /** A plan promises less than before in the same window. */
  void promiseReduced(String how) {
    recordViolation("promise_taken_back", how);
  }

  /** A controller that knows that a job is over orders a start of one of its tasks. */
  void endedJobStarted(SimNode node, StartAfterEndDetector.ForbiddenStart start) {
    boolean done = start.end() == JobRecord.Phase.DONE;
    recordViolation(
        done ? "started_after_done" : "started_after_cancel",
        node.id + " orders a start of " + start.order().task());
  }

  boolean hasCompleted(TaskId task) {
    return completed.contains(task);
  }

  /** Whether the user has asked for it to be cancelled. */
  boolean isCancelRequested(JobId job) {
    return cancelRequested.contains(job);
  }

  void taskStarted(SimWorker machine, TaskId task, JobSpec spec) {
    List<RunningCopy> here = runningCopies.computeIfAbsent(task, t -> new ArrayList<>());
    if (!here.isEmpty()) {
      recordViolation("ran_twice", task + " on " + machine.id + " and " + here.get(0).machine().id);
    }
    here.add(new RunningCopy(machine, spec));
    teamUsage.merge(spec.team(), spec.resources(), Resources::plus);
    world.figures.taskStarted(task, spec);
    budgetRule.taskStarted(task, spec);
    startCounts.merge(task, 1, Integer::sum);
    firstStartAt.putIfAbsent(task, world.time.seconds());
    world.waits.waitEnded(JobWaitTimes.WaitPhase.BEGUN, task.job());
    checkPlacement(machine, task, spec);
    checkQuota(spec.team());
    Double told = cancellationReportedAt.get(task.job());
    if (told != null) {
      latestStartAfterCancel = Math.max(latestStartAfterCancel, world.time.seconds() - told);
    }
    if (told != null && world.time.seconds() - told > cancelSeconds()) {
      recordViolation("ran_cancelled", task + " starts on " + machine.id);
    }
  }

  /** A worker is about to give room to a task. */
  void beforeAllocation(SimWorker machine, TaskId task, JobSpec spec) {
    headroomRule
        .beforeAllocation(machine, spec)
        .ifPresent(how -> recordViolation("crowded", task + " on " + machine.id + " " + how));
  }

  /** A worker has room again. */
  void resourcesFreed(SimWorker machine) {
    headroomRule.resourcesFreed(machine);
  }

  private double cancelSeconds() {
    return world.settings.workers().cancel().asSeconds();
  }

  private void checkPlacement(SimWorker machine, TaskId task, JobSpec spec) {
    if (!spec.allows(machine.type.name(), machine.market.zone(), machine.market.spot())) {
      recordViolation("wrong_place", task + " on " + machine.id);
    }
    if (!spec.oneZone() && !spec.spread()) {
      return;
    }
    Map<String, Integer> zones = new HashMap<>();
    runningCopies.forEach(
        (other, at) -> {
          if (other.job().equals(task.job()) && !at.isEmpty()) {
            zones.merge(at.get(0).machine().market.zone(), 1, Integer::sum);
          }
        });
    if (spec.oneZone() && zones.size() > 1) {
      recordViolation("wrong_place", task + " is in a second zone");
    }
    if (zones.getOrDefault(machine.market.zone(), 0) > spec.maxTasksPerZone()) {
      recordViolation("wrong_place", task + " is one too many in its zone");
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

  /** A worker has been told to stop a task that runs. */
  void taskHalted(SimWorker machine, TaskId task, JobSpec spec) {
    if (!cancellationReportedAt.containsKey(task.job())
        && !cancelRequested.contains(task.job())
        && !completed.contains(task)
        && !machine.noticed()) {
      budgetRule.taskStopped(task, spec).ifPresent(how -> recordViolation("budget", how));
      exchangeRule
          .taskStopped(task, spec)
          .ifPresent(how -> recordViolation("taken_unwritten", how));
    }
  }

  void taskLeft(SimWorker machine, TaskId task) {
    List<RunningCopy> here = runningCopies.getOrDefault(task, new ArrayList<>());
    for (RunningCopy place : List.copyOf(here)) {
      if (place.machine() == machine) {
        here.remove(place);
        Double told = cancellationReportedAt.get(task.job());
        if (told != null && world.time.seconds() - told > cancelSeconds() + 0.1) {
          // Too little too late for what looks now and then.
          recordViolation("ran_cancelled", task + " leaves " + machine.id + " too late");
        }
        world.figures.taskLeft(task, place.spec());
        teamUsage.computeIfPresent(
            place.spec().team(), (team, use) -> use.minus(place.spec().resources()));
      }
    }
  }

  boolean isCompleted(TaskId task) {
    return completed.contains(task);
  }

  void taskCompleted(TaskId task) {
    completed.add(task);
    world.waits.taskCompleted(task.job());
    world.figures.taskCompleted(task);
    budgetRule.taskCompleted(task);
    world.cancellations.taskCompleted(task.job());
    world.closeLooks.taskCompleted(task);
  }

  /** To be called now and then: tasks of cancelled jobs must be gone in time. */
  void tick() {
    headroomRule.tick();
    exchangeRule.tick().forEach(this::recordViolation);
    starvationRule.tick().ifPresent(how -> recordViolation("left_waiting", how));
    runningCopies.forEach(
        (task, at) -> {
          Double told = cancellationReportedAt.get(task.job());
          if (told != null
              && !at.isEmpty()
              && world.time.seconds() - told > cancelSeconds() + 0.1) {
            recordViolation("ran_cancelled", task + " is still on " + at.get(0).machine().id);
          }
        });
    lastAnswerAt.forEach(
        (job, at) -> {
          if (world.time.seconds() - at > 90) {
            recordViolation("forgotten", job + " has had no answer for 90 s");
          }
          if (world.time.seconds() - Math.max(at, faultsEndAt) > MAX_UNANSWERED_SECONDS) {
            recordViolation("unanswered", job + " has had no answer since " + at + " s");
          }
        });
  }

  /** A user submits; true if it is the first time for this job. */
  boolean recordSubmission(JobId job) {
    return submitted.add(job);
  }

  void recordCancelRequest(JobId job) {
    cancelRequested.add(job);
  }

  /** A moment between two answers: what was told before it is known to whoever asks now. */
  long answerCount() {
    return answerCount;
  }

  Response.JobState reported(JobId job) {
    return reportedFinalStates.get(job);
  }

  /** Accepted jobs in the order in which their users came to know. */
  Set<JobId> acceptedJobs() {
    return accepted;
  }

  /** Whether its user knows that a job is done or cancelled. */
  boolean isReportedEnded(JobId job) {
    return reportedFinalStates.containsKey(job);
  }

  boolean isAccepted(JobId job) {
    return accepted.contains(job);
  }

  /** The answer to a late copy of a question: it may say nothing wrong, but answers no user. */
  void duplicateReported(JobId job, boolean submission, long asked, Response response, SimNode by) {
    Double last = lastAnswerAt.get(job);
    reported(job, submission, asked, response, Optional.of(by));
    if (last == null) {
      lastAnswerAt.remove(job);
    } else {
      lastAnswerAt.computeIfPresent(job, (j, at) -> last);
    }
  }

  /**
   * A user has received an answer.
   *
   * @param isCancelRequested the {@link #answerCount} at which the question was sent: its answer
   *     may be older than what anybody was told after that, but not older than what anybody was
   *     told before
   */
  void reported(
      JobId job, boolean submission, long asked, Response response, Optional<SimNode> by) {
    answerCount++;
    if (response instanceof Response.Problem problem) {
      if (problem.status() == 404
          && asked >= acceptedAnswerNumbers.getOrDefault(job, Long.MAX_VALUE)) {
        recordViolation("forgotten", job + " is answered 404");
      }
      if (accepted.contains(job)
          && submission
          && (problem.status() == 400 || problem.status() == 422)) {
        recordViolation("forgotten", job + " is answered " + problem.status());
      }
      return;
    }
    Response.JobStatus status = (Response.JobStatus) response;
    if (!submitted.contains(job)) {
      recordViolation("invented", job + " is answered 200");
      return;
    }
    Optional<String> whyNot = acceptanceRule.rejectionReason(job);
    if (whyNot.isPresent()) {
      recordViolation("accepted_wrongly", job + " " + whyNot.get());
      return;
    }
    Response.JobState before = reportedFinalStates.get(job);
    boolean isFinal =
        status.state() == Response.JobState.DONE || status.state() == Response.JobState.CANCELLED;
    if (before != null && !isFinal && asked < finalAnswerNumbers.get(job)) {
      return;
    }
    accepted.add(job);
    acceptedAnswerNumbers.putIfAbsent(job, answerCount);
    lastAnswerAt.put(job, world.time.seconds());
    if (isFinal) {
      finalAnswerNumbers.putIfAbsent(job, answerCount);
    }
    if (before != null && before != status.state()) {
      recordViolation("went_back", job + " was " + before + " and is " + status.state());
    }
    if (status.state() == Response.JobState.DONE) {
      world.figures.jobDone(job, before == null);
      reportedFinalStates.put(job, status.state());
      lastAnswerAt.remove(job);
      JobSpec spec = world.specs.get(job);
      for (int i = 0; i < spec.tasks(); i++) {
        if (!completed.contains(new TaskId(job, i))) {
          recordViolation("not_done", job + " is called done, task " + i + " is not");
          break;
        }
      }
    } else if (status.state() == Response.JobState.CANCELLED) {
      reportedFinalStates.put(job, status.state());
      world.figures.jobCancelled(job);
      budgetRule.jobCancelled(job);
      cancellationReportedAt.putIfAbsent(job, world.time.seconds());
      lastAnswerAt.remove(job);
      if (!cancelRequested.contains(job)) {
        recordViolation("went_back", job + " is called cancelled although nobody asked");
      }
    }
    world.closeLooks.stateReported(job, isFinal, by);
  }
}
