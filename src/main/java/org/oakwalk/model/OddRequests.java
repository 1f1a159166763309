package org.oakwalk.model;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/**
 * Users who submit unfinished jobs once more, cancel jobs that are done, and send jobs that fit no
 * machine or lack a field. They take turns, and each takes the next job that there is.
 */
final class OddRequests {
  private static final double GAP_SECONDS = 0.5;
  private static final long ANSWER_WAIT = 5000;
  private static final double GIVES_UP = 60;

  /** Numbers of jobs that can't run begin here, far from those that scenarios name. */
  private static final long FIRST_NUMBER = 900_000_000;

  private final World world;
  private final List<Function<JobId, Optional<JobSpec>>> impossible =
      List.of(
          id -> Optional.empty(),
          id -> Optional.of(tooLarge(id)),
          id -> Optional.of(ofTeam(id, "nobody", 1)),
          id -> Optional.of(ofType(id, Set.of("none"))),
          this::beyondTheLimit);
  private long turn;
  private long numbers = FIRST_NUMBER;

  OddRequests(World world) {
    this.world = world;
  }

  /** Plays a line {@code at SECONDS oddrequests for=S}. */
  void begin(ScenarioLine line) {
    again(world.time.seconds() + line.number("for", 10));
  }

  private void again(double until) {
    if (world.time.seconds() >= until) {
      return;
    }
    long next = turn++;
    if (next % 4 == 0) {
      unfinished(next).ifPresent(job -> world.users.get(job).submit());
    } else if (next % 4 == 1) {
      done(next).ifPresent(job -> world.users.get(job).cancel());
    } else if (next % 4 == 2) {
      // What is known is answered with its state, whatever is wrong with the repeat.
      unfinished(next).ifPresent(job -> send(job, Optional.empty()));
    } else {
      JobId id = new JobId("j-" + numbers++);
      Optional<JobSpec> spec = impossible.get((int) (next / 4 % impossible.size())).apply(id);
      spec.ifPresent(each -> world.specs.put(id, each));
      world.invariants.submits(id);
      send(id, spec);
    }
    world.time.after(Math.round(1000 * GAP_SECONDS), () -> again(until));
  }

  private Optional<JobId> unfinished(long number) {
    return nth(
        number,
        world.invariants.acceptedInOrder().stream()
            .filter(job -> !world.invariants.over(job) && !world.invariants.asked(job))
            .toList());
  }

  private Optional<JobId> done(long number) {
    return nth(
        number,
        world.invariants.acceptedInOrder().stream()
            .filter(job -> world.invariants.told(job) == Response.JobState.DONE)
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

  /** Asks some node, again and again until there is an answer that says more than to wait. */
  private void send(JobId job, Optional<JobSpec> spec, double since) {
    long asked = world.invariants.moment();
    boolean[] over = new boolean[1];
    Runnable retry =
        () -> {
          if (!over[0]) {
            over[0] = true;
            if (world.time.seconds() - since < GIVES_UP) {
              world.time.after(1000, () -> send(job, spec, since));
            }
          }
        };
    world.time.after(ANSWER_WAIT, retry);
    world
        .loadBalancedNode()
        .ifPresent(
            node ->
                node.receiveUserRequest(
                    new UserRequest.Submit(job, spec, spec.isEmpty() ? "a field is missing" : ""),
                    response -> {
                      if (!over[0]) {
                        world.invariants.toldAgain(job, true, asked, response, node);
                        if (response instanceof Response.Problem problem
                            && problem.status() >= 429) {
                          retry.run();
                        }
                        over[0] = true;
                      }
                    }));
  }

  private JobSpec tooLarge(JobId id) {
    double cpus =
        world.cloud.types.values().stream().mapToDouble(type -> type.room().cpus()).max().orElse(0);
    return job(id, firstTeam(), JobSpec.Shape.SERVICE, 1, new Resources(cpus + 1, 0, 1), Set.of());
  }

  private JobSpec ofTeam(JobId id, String team, int tasks) {
    return job(id, team, JobSpec.Shape.SERVICE, tasks, new Resources(1, 0, 1), Set.of());
  }

  private JobSpec ofType(JobId id, Set<String> types) {
    return job(id, firstTeam(), JobSpec.Shape.ARRAY, 1, new Resources(1, 0, 1), types);
  }

  /** A service that needs more than its team may use; none if no team has a limit. */
  private Optional<JobSpec> beyondTheLimit(JobId id) {
    return world.settings.teams().values().stream()
        .filter(team -> team.cpusMax() > 0)
        .findFirst()
        .map(team -> ofTeam(id, team.name(), (int) team.cpusMax() + 1));
  }

  private String firstTeam() {
    return world.settings.teams().keySet().iterator().next();
  }

  private static JobSpec job(
      JobId id, String team, JobSpec.Shape shape, int tasks, Resources room, Set<String> types) {
    return new JobSpec(
        id,
        "odd",
        team,
        shape,
        Priority.NORMAL,
        tasks,
        room,
        types,
        Optional.empty(),
        false,
        false,
        false,
        "img",
        0,
        Span.seconds(0),
        Span.seconds(0),
        Span.seconds(0),
        Optional.empty());
  }
}
