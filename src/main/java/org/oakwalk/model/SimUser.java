package org.oakwalk.model;

import java.util.Optional;
import java.util.function.Predicate;
import org.oakwalk.core.JobId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/** A user with one job: submits, polls, and perhaps cancels, asking again where that helps. */
final class SimUser {
  private static final long POLL = 5000;
  private static final long QUERY_WAIT = 2000;
  private static final long OTHER_WAIT = 5000;
  private static final double GIVES_UP = 60;

  private final World world;
  private final JobSpec spec;
  private final JobId job;
  private final double began;
  private boolean polling;
  private double answeredAt;
  private boolean muted;
  private boolean gaveUp;
  private final long firstTry;
  private long lastTry;
  Double acceptedAfter;
  Integer refusedWith;

  SimUser(World world, JobSpec spec) {
    this.world = world;
    this.spec = spec;
    this.job = spec.id();
    this.began = world.time.seconds();
    this.firstTry = world.time.now();
  }

  void submit() {
    if (world.rules.recordSubmission(job)) {
      world.figures.jobSubmitted(spec);
      world.waits.waitStarted(JobWaitTimes.WaitPhase.ACCEPTED, job);
    }
    world.closeLooks.beforeRequest(job);
    gaveUp = false;
    repeat(
        new UserRequest.Submit(job, Optional.of(spec), ""),
        world.time.seconds(),
        response -> {
          if (response instanceof Response.JobStatus && acceptedAfter == null) {
            acceptedAfter = world.time.seconds() - began;
            world.waits.jobAccepted(job);
            if (!polling) {
              polling = true;
              poll();
            }
          }
          if (response instanceof Response.Problem problem && problem.status() < 429) {
            refusedWith = problem.status();
            world.waits.waitEnded(JobWaitTimes.WaitPhase.ACCEPTED, job);
            return true;
          }
          return response instanceof Response.JobStatus;
        });
  }

  /** Seconds at which a question was last answered with the job's state. */
  double answeredAt() {
    return answeredAt;
  }

  /**
   * Whether it tried to submit the job for as long as a user does, was never told that it is
   * accepted nor why not, and no controller could have stored it.
   */
  boolean gaveUpInVain() {
    return gaveUp
        && acceptedAfter == null
        && refusedWith == null
        && world.givenUp.noCommitAnswered(firstTry, lastTry);
  }

  /** Whether the job was accepted, and its user has not been told yet that it is over. */
  boolean asks() {
    return polling && world.rules.reported(job) == null;
  }

  void cancel() {
    if (acceptedAfter == null && world.time.seconds() - began < GIVES_UP) {
      // Nobody cancels what has not been accepted yet.
      world.time.after(1000, this::cancel);
      return;
    }
    world.rules.recordCancelRequest(job);
    world.closeLooks.beforeRequest(job);
    world.waits.discardWait(JobWaitTimes.WaitPhase.BEGUN, job);
    world.waits.waitStarted(JobWaitTimes.WaitPhase.CANCELLED, job);
    repeat(
        new UserRequest.Withdraw(job),
        world.time.seconds(),
        response -> {
          if (response instanceof Response.JobStatus) {
            world.waits.waitEnded(JobWaitTimes.WaitPhase.CANCELLED, job);
            return true;
          }
          boolean unknown = response instanceof Response.Problem p && p.status() == 404;
          if (unknown) {
            world.waits.discardWait(JobWaitTimes.WaitPhase.CANCELLED, job);
          }
          return unknown;
        });
  }

  /** The first request goes to this node, repeated ones go where the load balancer sends them. */
  void cancelAt(SimNode first) {
    world.rules.recordCancelRequest(job);
    ask(
        new UserRequest.Withdraw(job),
        Optional.of(first),
        response -> {
          if (!(response instanceof Response.JobStatus)) {
            world.time.after(1000, this::cancel);
          }
        });
  }

  private void repeat(UserRequest request, double since, Predicate<Response> settled) {
    boolean submits = request instanceof UserRequest.Submit;
    if (world.time.seconds() - since > GIVES_UP) {
      gaveUp |= submits;
      return;
    }
    lastTry = submits ? world.time.now() : lastTry;
    ask(
        request,
        response -> {
          if (response == null || !settled.test(response)) {
            world.time.after(1000, () -> repeat(request, since, settled));
          }
        });
  }

  /** From now on nothing that the user asks arrives. */
  void mute() {
    muted = true;
  }

  private void poll() {
    ask(
        new UserRequest.Query(job),
        response -> {
          if (world.rules.reported(job) == null) {
            world.time.after(POLL, this::poll);
          }
        });
  }

  /** For how many milliseconds a user waits for an answer. */
  static long waits(UserRequest request) {
    return request instanceof UserRequest.Query ? QUERY_WAIT : OTHER_WAIT;
  }

  /** Asks some node; calls back once, with null if no answer comes. */
  private void ask(UserRequest request, java.util.function.Consumer<Response> then) {
    ask(request, muted ? Optional.empty() : world.someNode(), then);
  }

  private void ask(
      UserRequest request, Optional<SimNode> node, java.util.function.Consumer<Response> then) {
    long asked = world.rules.answerCount();
    boolean[] over = new boolean[1];
    world.time.after(
        waits(request),
        () -> {
          if (!over[0]) {
            over[0] = true;
            world.unheard += node.filter(SimNode::active).isPresent() ? 1 : 0;
            then.accept(null);
          }
        });
    world.network.sendAgain(
        "users", node.map(n -> n.id.value()).orElse(""), runsToo -> askAgain(request));
    node.ifPresent(
        chosen ->
            chosen.ask(
                request,
                response -> {
                  if (!over[0]) {
                    over[0] = true;
                    world.rules.reported(
                        job, request instanceof UserRequest.Submit, asked, response, node);
                    if (response instanceof Response.JobStatus) {
                      answeredAt = world.time.seconds();
                    }
                    then.accept(response);
                  }
                }));
  }

  /** A late copy of a request: nobody waits for the answer any more, but it must not be wrong. */
  private void askAgain(UserRequest request) {
    long asked = world.rules.answerCount();
    world
        .someNode()
        .ifPresent(
            node ->
                node.ask(
                    request,
                    response ->
                        world.rules.duplicateReported(
                            job, request instanceof UserRequest.Submit, asked, response, node)));
  }
}
