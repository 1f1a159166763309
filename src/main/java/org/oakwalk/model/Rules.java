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
final class Rules {
  private record Place(SimWorker machine, JobSpec spec) {}

  /** Once all troubles are over, a job that nobody hears of for so long counts as forgotten. */
  private static final double UNANSWERED_SECONDS = 75;

  private final World world;
  private final BudgetRule budgets;
  private final CrowdedRule crowds;
  private final ExchangeRule exchanges;
  private final WaitingRule waiting;
  private final CanRun canRun;
  private final Map<TaskId, List<Place>> places = new HashMap<>();
  private final Map<String, Resources> teamUse = new HashMap<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Map<TaskId, Double> firstStart = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final Map<JobId, Double> toldCancelled = new HashMap<>();
  private final Map<JobId, Response.JobState> toldFinal = new HashMap<>();
  private final Map<JobId, Long> toldFinalAt = new HashMap<>();
  private final Map<JobId, Long> toldAcceptedAt = new HashMap<>();
  private final Set<JobId> submitted = new HashSet<>();
  private final Set<JobId> accepted = new LinkedHashSet<>();
  private final Set<JobId> cancelAsked = new HashSet<>();
  private final Map<JobId, Double> lastAnswer = new LinkedHashMap<>();
  private final Map<String, String> broken = new LinkedHashMap<>();

  private double calmAfter;
  private double latestStart;

  /** How many answers users have received. */
  private long answers;

  Rules(World world) {
    this.world = world;
    this.budgets = new BudgetRule(world);
    this.crowds = new CrowdedRule(world);
    this.exchanges = new ExchangeRule(world);
    this.waiting = new WaitingRule(world);
    this.canRun = new CanRun(world);
  }

  /** All troubles are over then; from then on every question about a job has to find an answer. */
  void calmAfter(double seconds) {
    calmAfter = seconds;
    exchanges.calmAfter(seconds);
    waiting.calmAfter(seconds);
  }

  /** The broken rules, each with when and how it was first. */
  Map<String, String> broken() {
    return broken;
  }

  private void breaks(String rule, String how) {
    broken.putIfAbsent(rule, String.format("%.1f s: %s", world.time.seconds(), how));
  }

  /** The latest start of a task of a cancelled job, in seconds after its user was told. */
  double latestStart() {
    return latestStart;
  }

  int starts(TaskId task) {
    return starts.getOrDefault(task, 0);
  }

  int totalStarts() {
    return starts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** When each task was started for the first time. */
  Map<TaskId, Double> firstStarts() {
    return firstStart;
  }

  Double firstStart(TaskId task) {
    return firstStart.get(task);
  }

  long on(JobId job) {
    return places.entrySet().stream()
        .filter(e -> e.getKey().job().equals(job) && !e.getValue().isEmpty())
        .count();
  }

  /** A plan promises less than before in the same window. */
  void promiseTakenBack(String how) {
    breaks("promise_taken_back", how);
  }

  /** A controller that knows that a job is over orders a start of one of its tasks. */
  void startsEnded(SimNode node, KnownEnds.ForbiddenStart start) {
    boolean done = start.end() == JobRecord.Phase.DONE;
    breaks(
        done ? "started_after_done" : "started_after_cancel",
        node.id + " orders a start of " + start.order().task());
  }

  boolean hasCompleted(TaskId task) {
    return completed.contains(task);
  }

  /** Whether the user has asked for it to be cancelled. */
  boolean asked(JobId job) {
    return cancelAsked.contains(job);
  }

  void started(SimWorker machine, TaskId task, JobSpec spec) {
    List<Place> here = places.computeIfAbsent(task, t -> new ArrayList<>());
    if (!here.isEmpty()) {
      breaks("ran_twice", task + " on " + machine.id + " and " + here.get(0).machine().id);
    }
    here.add(new Place(machine, spec));
    teamUse.merge(spec.team(), spec.resources(), Resources::plus);
    world.metrics.started(task, spec);
    budgets.started(task, spec);
    starts.merge(task, 1, Integer::sum);
    firstStart.putIfAbsent(task, world.time.seconds());
    world.waitTimes.ends(Waits.Step.BEGUN, task.job());
    checkPlace(machine, task, spec);
    checkQuota(spec.team());
    Double told = toldCancelled.get(task.job());
    if (told != null) {
      latestStart = Math.max(latestStart, world.time.seconds() - told);
    }
    if (told != null && world.time.seconds() - told > cancelSeconds()) {
      breaks("ran_cancelled", task + " starts on " + machine.id);
    }
  }

  /** A worker is about to give room to a task. */
  void takesRoom(SimWorker machine, TaskId task, JobSpec spec) {
    crowds
        .takesRoom(machine, spec)
        .ifPresent(how -> breaks("crowded", task + " on " + machine.id + " " + how));
  }

  /** A worker has room again. */
  void freesRoom(SimWorker machine) {
    crowds.freesRoom(machine);
  }

  private double cancelSeconds() {
    return world.settings.workers().cancel().asSeconds();
  }

  private void checkPlace(SimWorker machine, TaskId task, JobSpec spec) {
    if (!spec.allows(machine.type.name(), machine.pool.zone(), machine.pool.spot())) {
      breaks("wrong_place", task + " on " + machine.id);
    }
    if (!spec.oneZone() && !spec.spread()) {
      return;
    }
    Map<String, Integer> zones = new HashMap<>();
    places.forEach(
        (other, at) -> {
          if (other.job().equals(task.job()) && !at.isEmpty()) {
            zones.merge(at.get(0).machine().pool.zone(), 1, Integer::sum);
          }
        });
    if (spec.oneZone() && zones.size() > 1) {
      breaks("wrong_place", task + " is in a second zone");
    }
    if (zones.getOrDefault(machine.pool.zone(), 0) > spec.maxTasksPerZone()) {
      breaks("wrong_place", task + " is one too many in its zone");
    }
  }

  private void checkQuota(String name) {
    Settings.Team team = world.settings.teams().get(name);
    if (team.cpusMax() <= 0 && team.gpusMax() <= 0) {
      return;
    }
    Resources use = teamUse.getOrDefault(name, Resources.NONE);
    if (team.cpusMax() > 0 && use.cpus() > team.cpusMax() + 1e-6
        || team.gpusMax() > 0 && use.gpus() > team.gpusMax() + 1e-6) {
      breaks("quota", name + " uses " + use);
    }
  }

  /** A worker has been told to stop a task that runs. */
  void halted(SimWorker machine, TaskId task, JobSpec spec) {
    if (!toldCancelled.containsKey(task.job())
        && !cancelAsked.contains(task.job())
        && !completed.contains(task)
        && !machine.hasReclaimNotice()) {
      budgets.stopped(task, spec).ifPresent(how -> breaks("budget", how));
      exchanges.stopped(task, spec).ifPresent(how -> breaks("taken_unwritten", how));
    }
  }

  void left(SimWorker machine, TaskId task) {
    List<Place> here = places.getOrDefault(task, new ArrayList<>());
    for (Place place : List.copyOf(here)) {
      if (place.machine() == machine) {
        here.remove(place);
        Double told = toldCancelled.get(task.job());
        if (told != null && world.time.seconds() - told > cancelSeconds() + 0.1) {
          // Too little too late for what looks now and then.
          breaks("ran_cancelled", task + " leaves " + machine.id + " too late");
        }
        world.metrics.left(task, place.spec());
        teamUse.computeIfPresent(
            place.spec().team(), (team, use) -> use.minus(place.spec().resources()));
      }
    }
  }

  boolean completed(TaskId task) {
    return completed.contains(task);
  }

  void completes(TaskId task) {
    completed.add(task);
    world.waitTimes.completed(task.job());
    world.metrics.completed(task);
    budgets.completed(task);
    world.cancellations.completed(task.job());
    world.consistencyProbes.completes(task);
  }

  /** To be called now and then: tasks of cancelled jobs must be gone in time. */
  void tick() {
    crowds.tick();
    exchanges.tick().forEach(this::breaks);
    waiting.tick().ifPresent(how -> breaks("left_waiting", how));
    places.forEach(
        (task, at) -> {
          Double told = toldCancelled.get(task.job());
          if (told != null
              && !at.isEmpty()
              && world.time.seconds() - told > cancelSeconds() + 0.1) {
            breaks("ran_cancelled", task + " is still on " + at.get(0).machine().id);
          }
        });
    lastAnswer.forEach(
        (job, at) -> {
          if (world.time.seconds() - at > 90) {
            breaks("forgotten", job + " has had no answer for 90 s");
          }
          if (world.time.seconds() - Math.max(at, calmAfter) > UNANSWERED_SECONDS) {
            breaks("unanswered", job + " has had no answer since " + at + " s");
          }
        });
  }

  /** A user submits; true if it is the first time for this job. */
  boolean submits(JobId job) {
    return submitted.add(job);
  }

  void asksToCancel(JobId job) {
    cancelAsked.add(job);
  }

  /** A moment between two answers: what was told before it is known to whoever asks now. */
  long moment() {
    return answers;
  }

  Response.JobState told(JobId job) {
    return toldFinal.get(job);
  }

  /** Accepted jobs in the order in which their users came to know. */
  Set<JobId> acceptedInOrder() {
    return accepted;
  }

  /** Whether its user knows that a job is done or cancelled. */
  boolean over(JobId job) {
    return toldFinal.containsKey(job);
  }

  boolean accepted(JobId job) {
    return accepted.contains(job);
  }

  /** The answer to a late copy of a question: it may say nothing wrong, but answers no user. */
  void toldAgain(JobId job, boolean submission, long asked, Response response, SimNode by) {
    Double last = lastAnswer.get(job);
    told(job, submission, asked, response, Optional.of(by));
    if (last == null) {
      lastAnswer.remove(job);
    } else {
      lastAnswer.computeIfPresent(job, (j, at) -> last);
    }
  }

  /**
   * A user has received an answer.
   *
   * @param asked the {@link #moment} at which the question was sent: its answer may be older than
   *     what anybody was told after that, but not older than what anybody was told before
   */
  void told(JobId job, boolean submission, long asked, Response response, Optional<SimNode> by) {
    answers++;
    if (response instanceof Response.Problem problem) {
      if (problem.status() == 404 && asked >= toldAcceptedAt.getOrDefault(job, Long.MAX_VALUE)) {
        breaks("forgotten", job + " is answered 404");
      }
      if (accepted.contains(job)
          && submission
          && (problem.status() == 400 || problem.status() == 422)) {
        breaks("forgotten", job + " is answered " + problem.status());
      }
      return;
    }
    Response.JobStatus status = (Response.JobStatus) response;
    if (!submitted.contains(job)) {
      breaks("invented", job + " is answered 200");
      return;
    }
    Optional<String> whyNot = canRun.whyNot(job);
    if (whyNot.isPresent()) {
      breaks("accepted_wrongly", job + " " + whyNot.get());
      return;
    }
    Response.JobState before = toldFinal.get(job);
    boolean isFinal =
        status.state() == Response.JobState.DONE || status.state() == Response.JobState.CANCELLED;
    if (before != null && !isFinal && asked < toldFinalAt.get(job)) {
      return;
    }
    accepted.add(job);
    toldAcceptedAt.putIfAbsent(job, answers);
    lastAnswer.put(job, world.time.seconds());
    if (isFinal) {
      toldFinalAt.putIfAbsent(job, answers);
    }
    if (before != null && before != status.state()) {
      breaks("went_back", job + " was " + before + " and is " + status.state());
    }
    if (status.state() == Response.JobState.DONE) {
      world.metrics.done(job, before == null);
      toldFinal.put(job, status.state());
      lastAnswer.remove(job);
      JobSpec spec = world.specs.get(job);
      for (int i = 0; i < spec.tasks(); i++) {
        if (!completed.contains(new TaskId(job, i))) {
          breaks("not_done", job + " is called done, task " + i + " is not");
          break;
        }
      }
    } else if (status.state() == Response.JobState.CANCELLED) {
      toldFinal.put(job, status.state());
      world.metrics.cancelled(job);
      budgets.cancelled(job);
      toldCancelled.putIfAbsent(job, world.time.seconds());
      lastAnswer.remove(job);
      if (!cancelAsked.contains(job)) {
        breaks("went_back", job + " is called cancelled although nobody asked");
      }
    }
    world.consistencyProbes.told(job, isFinal, by);
  }
}
