package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.port.UserRequest;

/**
 * Simulates users who send requests to all nodes within milliseconds, as soon as one user has been
 * told that a job is accepted, done or cancelled: status queries, repeated submissions and
 * cancellations. {@link InvariantChecker} compares the answers with all answers that were received
 * before the requests were sent.
 */
final class ConsistencyProbes {
  /** Latest state of a job that any user was told. */
  private enum ReportedState {
    NONE,
    ACCEPTED,
    ENDED
  }

  private final World world;
  private final UniformRandomProvider random;
  private final Map<JobId, ReportedState> reportedStates = new HashMap<>();
  private final Map<JobId, Integer> completedTaskCounts = new HashMap<>();
  private long activeUntil;
  private long intervalMillis;
  private int rounds;
  private double cancelShare;
  private double earlyProbeSeconds;
  private int restartsLeft;
  private double restartDelay;

  ConsistencyProbes(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Starts probing with the parameters of the scenario line. */
  void begin(ScenarioLine line) {
    activeUntil = world.time.now() + Math.round(1000 * line.number("for", 10));
    intervalMillis = Math.round(line.number("every", 5));
    rounds = (int) line.number("rounds", 3);
    cancelShare = line.number("cancels", 0);
    earlyProbeSeconds = line.number("early", 0);
    restartsLeft = (int) line.number("ends", 0);
    restartDelay = line.number("back", 1);
  }

  private boolean isActive() {
    return world.time.now() < activeUntil;
  }

  /**
   * Records that a user was told the state of a job, by a node if known, and starts the probes for
   * it.
   */
  void stateReported(JobId job, boolean ended, Optional<SimNode> answeringNode) {
    ReportedState state = ended ? ReportedState.ENDED : ReportedState.ACCEPTED;
    if (state.compareTo(reportedStates.getOrDefault(job, ReportedState.NONE)) <= 0) {
      return;
    }
    reportedStates.put(job, state);
    if (!isActive() || !world.users.containsKey(job)) {
      return;
    }
    int first = answeringNode.map(node -> world.indexOf(node.id) + 1).orElse(0);
    if (restartsLeft > 0 && answeringNode.isPresent()) {
      restartsLeft--;
      world.time.after(0, () -> answeringNode.get().restart(restartDelay));
    }
    if (!ended && random.nextDouble() < cancelShare) {
      world.time.after(intervalMillis, () -> world.users.get(job).cancel());
    }
    for (int i = 0; i < rounds * world.nodes.size(); i++) {
      SimNode node = world.nodes.get((first + i) % world.nodes.size());
      world.time.after(intervalMillis * (i + 1), () -> probe(job, ended, node));
    }
  }

  /** Sends a query, a repeated submission and, for an ended job, a cancellation to a node. */
  private void probe(JobId job, boolean ended, SimNode node) {
    JobSpec spec = world.specs.get(job);
    List<UserRequest> requests = new ArrayList<>();
    requests.add(new UserRequest.Query(job));
    requests.add(new UserRequest.Submit(job, Optional.of(spec), ""));
    if (ended) {
      // The job has ended, so no user may be told that this cancels it.
      world.invariants.recordCancelRequest(job);
      requests.add(new UserRequest.Withdraw(job));
    }
    requests.forEach(request -> send(node, request));
  }

  private void send(SimNode node, UserRequest request) {
    boolean submission = request instanceof UserRequest.Submit;
    long askedAt = world.invariants.answerCount();
    long answerDeadline = world.time.now() + SimUser.timeoutMillis(request);
    node.receiveUserRequest(
        request,
        response -> {
          if (world.time.now() <= answerDeadline) {
            world.invariants.duplicateReported(request.job(), submission, askedAt, response, node);
          }
        });
  }

  /** Records that a user is about to submit or cancel a job; queries start before any answer. */
  void beforeRequest(JobId job) {
    if (isActive()) {
      probeEarly(job);
    }
  }

  /** Records that a task has completed; with the last task of its job, queries start. */
  void taskCompleted(TaskId task) {
    int count = completedTaskCounts.merge(task.job(), 1, Integer::sum);
    if (isActive() && count == world.specs.get(task.job()).tasks()) {
      probeEarly(task.job());
    }
  }

  /** Queries all nodes in turn for a while, before any answer about the change arrives. */
  private void probeEarly(JobId job) {
    long step = Math.max(1, intervalMillis);
    for (long at = 0; at < earlyProbeSeconds * 1000; at += step) {
      SimNode node = world.nodes.get((int) (at / step % world.nodes.size()));
      world.time.after(at, () -> send(node, new UserRequest.Query(job)));
    }
  }
}
