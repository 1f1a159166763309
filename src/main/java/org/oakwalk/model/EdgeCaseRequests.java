package org.oakwalk.model;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/**
 * Simulates users who submit unfinished jobs again, cancel jobs that are done, and submit jobs that
 * fit no machine or lack a field. The four kinds take turns, and each uses the next suitable job.
 */
final class EdgeCaseRequests {
  private static final double INTERVAL_SECONDS = 0.5;
  private static final long ANSWER_TIMEOUT_MS = 5000;
  private static final double MAX_RETRY_SECONDS = 60;

  /** Number of the first invalid job, far from the numbers that scenarios use. */
  private static final long FIRST_JOB_NUMBER = 900_000_000;

  private final World world;
  private final List<Function<JobId, Optional<JobSpec>>> invalidJobs =
      List.of(
          id -> Optional.empty(),
          id -> Optional.of(tooLarge(id)),
          id -> Optional.of(ofTeam(id, "nobody", 1)),
          id -> Optional.of(ofType(id, Set.of("none"))),
          this::aboveTeamLimit);
  private long nextTurn;
  private long nextJobNumber = FIRST_JOB_NUMBER;

  EdgeCaseRequests(World world) {
    this.world = world;
  }

  /** Executes a scenario line {@code at SECONDS oddrequests for=S}. */
  void begin(ScenarioLine line) {
    sendNext(world.time.seconds() + line.number("for", 10));
  }

  private void sendNext(double until) {
    if (world.time.seconds() >= until) {
      return;
    }
    long turn = nextTurn++;
    if (turn % 4 == 0) {
      unfinishedJob(turn).ifPresent(job -> world.users.get(job).submit());
    } else if (turn % 4 == 1) {
      doneJob(turn).ifPresent(job -> world.users.get(job).cancel());
    } else if (turn % 4 == 2) {
      // A known job is answered with its state, even if the repeated submission is invalid.
      unfinishedJob(turn).ifPresent(job -> send(job, Optional.empty()));
    } else {
      JobId id = new JobId("j-" + nextJobNumber++);
      Optional<JobSpec> spec = invalidJobs.get((int) (turn / 4 % invalidJobs.size())).apply(id);
      spec.ifPresent(value -> world.specs.put(id, value));
      world.invariants.recordSubmission(id);
      send(id, spec);
    }
    world.time.after(Math.round(1000 * INTERVAL_SECONDS), () -> sendNext(until));
  }

  private Optional<JobId> unfinishedJob(long number) {
    return nth(
        number,
        world.invariants.acceptedJobs().stream()
            .filter(
                job ->
                    !world.invariants.isReportedEnded(job)
                        && !world.invariants.isCancelRequested(job))
            .toList());
  }

  private Optional<JobId> doneJob(long number) {
    return nth(
        number,
        world.invariants.acceptedJobs().stream()
            .filter(job -> world.invariants.reported(job) == Response.JobState.DONE)
            .toList());
  }

  private static Optional<JobId> nth(long number, List<JobId> jobs) {
    return jobs.isEmpty()
        ? Optional.empty()
        : Optional.of(jobs.get((int) (number / 4 % jobs.size())));
  }

  private void send(JobId job, Optional<JobSpec> spec) {
    send(job, spec, world.time.seconds());
  }

  /**
   * Sends a submission to any running node, and retries until there is an answer other than a
   * request to wait.
   */
  private void send(JobId job, Optional<JobSpec> spec, double since) {
    long askedAt = world.invariants.answerCount();
    boolean[] finished = new boolean[1];
    Runnable retry =
        () -> {
          if (!finished[0]) {
            finished[0] = true;
            if (world.time.seconds() - since < MAX_RETRY_SECONDS) {
              world.time.after(1000, () -> send(job, spec, since));
            }
          }
        };
    world.time.after(ANSWER_TIMEOUT_MS, retry);
    world
        .loadBalancedNode()
        .ifPresent(
            node ->
                node.receiveUserRequest(
                    new UserRequest.Submit(job, spec, spec.isEmpty() ? "a field is missing" : ""),
                    response -> {
                      if (!finished[0]) {
                        world.invariants.duplicateReported(job, true, askedAt, response, node);
                        if (response instanceof Response.Problem problem
                            && problem.status() >= 429) {
                          retry.run();
                        }
                        finished[0] = true;
                      }
                    }));
  }

  private JobSpec tooLarge(JobId id) {
    double cpus =
        world.cloud.types.values().stream()
            .mapToDouble(type -> type.resources().cpus())
            .max()
            .orElse(0);
    return newSpec(
        id, firstTeam(), JobSpec.Shape.SERVICE, 1, Resources.ofTask(cpus + 1, 0, 1), Set.of());
  }

  private JobSpec ofTeam(JobId id, String team, int tasks) {
    return newSpec(id, team, JobSpec.Shape.SERVICE, tasks, Resources.ofTask(1, 0, 1), Set.of());
  }

  private JobSpec ofType(JobId id, Set<String> types) {
    return newSpec(id, firstTeam(), JobSpec.Shape.ARRAY, 1, Resources.ofTask(1, 0, 1), types);
  }

  /** Returns a service that exceeds its team limit; none if no team has a limit. */
  private Optional<JobSpec> aboveTeamLimit(JobId id) {
    return world.settings.teams().values().stream()
        .filter(team -> team.cpusMax() > 0)
        .findFirst()
        .map(team -> ofTeam(id, team.name(), (int) team.cpusMax() + 1));
  }

  private String firstTeam() {
    return world.settings.teams().keySet().iterator().next();
  }

  private static JobSpec newSpec(
      JobId id,
      String team,
      JobSpec.Shape shape,
      int tasks,
      Resources resources,
      Set<String> types) {
    return new JobSpec(
        id,
        "odd",
        team,
        shape,
        Priority.NORMAL,
        tasks,
        resources,
        types,
        Optional.empty(),
        false,
        false,
        false,
        "img",
        0,
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        Optional.empty());
  }
}
