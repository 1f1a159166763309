package org.oakwalk.model;

import java.util.Optional;
import java.util.function.Predicate;
import org.oakwalk.core.JobId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;

/** Simulated user of one job, who submits, polls, and may cancel it, with retries. */
final class SimUser {
  private static final long POLL_INTERVAL_MILLIS = 5000;
  private static final long QUERY_TIMEOUT_MILLIS = 2000;
  private static final long REQUEST_TIMEOUT_MILLIS = 5000;
  private static final double GIVE_UP_SECONDS = 60;

  private final World world;
  private final JobSpec spec;
  private final JobId job;
  private final double createdAtSeconds;
  private boolean polling;
  private double lastAnsweredAt;
  private boolean requestsDropped;
  private boolean gaveUp;
  private final long firstAttempt;
  private long lastAttempt;
  Double acceptanceSeconds;
  Integer refusalStatus;

  SimUser(World world, JobSpec spec) {
    this.world = world;
    this.spec = spec;
    this.job = spec.id();
    this.createdAtSeconds = world.time.seconds();
    this.firstAttempt = world.time.now();
  }

  void submit() {
    if (world.invariants.recordSubmission(job)) {
      world.metrics.jobSubmitted(spec);
      world.waitTimes.waitStarted(JobWaitTimes.WaitPhase.ACCEPTED, job);
    }
    world.consistencyProbes.beforeRequest(job);
    gaveUp = false;
    sendUntilSettled(
        new UserRequest.Submit(job, Optional.of(spec), ""),
        world.time.seconds(),
        response -> {
          if (response instanceof Response.JobStatus && acceptanceSeconds == null) {
            acceptanceSeconds = world.time.seconds() - createdAtSeconds;
            world.waitTimes.jobAccepted(job);
            if (!polling) {
              polling = true;
              poll();
            }
          }
          if (response instanceof Response.Problem problem && problem.status() < 429) {
            refusalStatus = problem.status();
            world.waitTimes.waitEnded(JobWaitTimes.WaitPhase.ACCEPTED, job);
            return true;
          }
          return response instanceof Response.JobStatus;
        });
  }

  /** Returns the time, in seconds, at which a request was last answered with the job's state. */
  double lastAnsweredAt() {
    return lastAnsweredAt;
  }

  /**
   * Returns true if the user gave up submitting after {@link #GIVE_UP_SECONDS} without a decisive
   * answer, and no controller could have stored the job.
   */
  boolean gaveUpUnstored() {
    return gaveUp
        && acceptanceSeconds == null
        && refusalStatus == null
        && world.commitAvailability.noCommitAnswered(firstAttempt, lastAttempt);
  }

  /** Returns true if the job was accepted and its user has not yet learned that it has ended. */
  boolean isPolling() {
    return polling && world.invariants.reported(job) == null;
  }

  void cancel() {
    if (acceptanceSeconds == null && world.time.seconds() - createdAtSeconds < GIVE_UP_SECONDS) {
      // A user waits for the acceptance before cancelling.
      world.time.after(1000, this::cancel);
      return;
    }
    world.invariants.recordCancelRequest(job);
    world.consistencyProbes.beforeRequest(job);
    world.waitTimes.discardWait(JobWaitTimes.WaitPhase.BEGUN, job);
    world.waitTimes.waitStarted(JobWaitTimes.WaitPhase.CANCELLED, job);
    sendUntilSettled(
        new UserRequest.Withdraw(job),
        world.time.seconds(),
        response -> {
          if (response instanceof Response.JobStatus) {
            world.waitTimes.waitEnded(JobWaitTimes.WaitPhase.CANCELLED, job);
            return true;
          }
          boolean unknown = response instanceof Response.Problem p && p.status() == 404;
          if (unknown) {
            world.waitTimes.discardWait(JobWaitTimes.WaitPhase.CANCELLED, job);
          }
          return unknown;
        });
  }

  /** Cancels via this node first; retries go through the load balancer. */
  void cancelVia(SimNode first) {
    world.invariants.recordCancelRequest(job);
    send(
        new UserRequest.Withdraw(job),
        Optional.of(first),
        response -> {
          if (!(response instanceof Response.JobStatus)) {
            world.time.after(1000, this::cancel);
          }
        });
  }

  private void sendUntilSettled(UserRequest request, double since, Predicate<Response> settled) {
    boolean submits = request instanceof UserRequest.Submit;
    if (world.time.seconds() - since > GIVE_UP_SECONDS) {
      gaveUp |= submits;
      return;
    }
    lastAttempt = submits ? world.time.now() : lastAttempt;
    send(
        request,
        response -> {
          if (response == null || !settled.test(response)) {
            world.time.after(1000, () -> sendUntilSettled(request, since, settled));
          }
        });
  }

  /** Makes all further requests of this user get lost. */
  void dropRequests() {
    requestsDropped = true;
  }

  private void poll() {
    send(
        new UserRequest.Query(job),
        response -> {
          if (world.invariants.reported(job) == null) {
            world.time.after(POLL_INTERVAL_MILLIS, this::poll);
          }
        });
  }

  /** Returns how long a user waits for a response, in milliseconds. */
  static long timeoutMillis(UserRequest request) {
    return request instanceof UserRequest.Query ? QUERY_TIMEOUT_MILLIS : REQUEST_TIMEOUT_MILLIS;
  }

  /** Sends a request through the load balancer. Calls back once, with null after a timeout. */
  private void send(UserRequest request, java.util.function.Consumer<Response> then) {
    send(request, requestsDropped ? Optional.empty() : world.loadBalancedNode(), then);
  }

  private void send(
      UserRequest request, Optional<SimNode> node, java.util.function.Consumer<Response> then) {
    long sentAt = world.invariants.answerCount();
    boolean[] completed = new boolean[1];
    world.time.after(
        timeoutMillis(request),
        () -> {
          if (!completed[0]) {
            completed[0] = true;
            world.unansweredRequests += node.filter(SimNode::isResponsive).isPresent() ? 1 : 0;
            then.accept(null);
          }
        });
    world.network.sendDuplicates(
        "users", node.map(n -> n.id.value()).orElse(""), includeStarts -> sendDuplicate(request));
    node.ifPresent(
        chosen ->
            chosen.receiveUserRequest(
                request,
                response -> {
                  if (!completed[0]) {
                    completed[0] = true;
                    world.invariants.reported(
                        job, request instanceof UserRequest.Submit, sentAt, response, node);
                    if (response instanceof Response.JobStatus) {
                      lastAnsweredAt = world.time.seconds();
                    }
                    then.accept(response);
                  }
                }));
  }

  /**
   * Delivers a late copy of a request. No user waits for the response, but {@link InvariantChecker}
   * checks that it is right.
   */
  private void sendDuplicate(UserRequest request) {
    long sentAt = world.invariants.answerCount();
    world
        .loadBalancedNode()
        .ifPresent(
            node ->
                node.receiveUserRequest(
                    request,
                    response ->
                        world.invariants.duplicateReported(
                            job, request instanceof UserRequest.Submit, sentAt, response, node)));
  }
}
