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
 * Users who ask at all nodes, again and again within milliseconds, as soon as one of them has been
 * told that a job is accepted, done or withdrawn: by questions, by repeated submissions, and by
 * cancellations. {@link Rules} compares what they are told with all that was told before they
 * asked.
 */
final class CloseLooks {
  /** What somebody has been told of a job so far. */
  private enum Told {
    NOTHING,
    ACCEPTED,
    OVER
  }

  private final World world;
  private final UniformRandomProvider random;
  private final Map<JobId, Told> told = new HashMap<>();
  private final Map<JobId, Integer> completed = new HashMap<>();
  private long end;
  private long gap;
  private int rounds;
  private double cancels;
  private double early;
  private int ends;
  private double back;

  CloseLooks(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** From now on users look closely, as the line says. */
  void begin(ScenarioLine line) {
    end = world.time.now() + Math.round(1000 * line.number("for", 10));
    gap = Math.round(line.number("every", 5));
    rounds = (int) line.number("rounds", 3);
    cancels = line.number("cancels", 0);
    early = line.number("early", 0);
    ends = (int) line.number("ends", 0);
    back = line.number("back", 1);
  }

  private boolean on() {
    return world.time.now() < end;
  }

  /** A user has just been told a job's state, by this node if it was one. */
  void told(JobId job, boolean over, Optional<SimNode> by) {
    Told now = over ? Told.OVER : Told.ACCEPTED;
    if (now.compareTo(told.getOrDefault(job, Told.NOTHING)) <= 0) {
      return;
    }
    told.put(job, now);
    if (!on() || !world.users.containsKey(job)) {
      return;
    }
    int first = by.map(node -> world.indexOf(node.id) + 1).orElse(0);
    if (ends > 0 && by.isPresent()) {
      ends--;
      world.time.after(0, () -> by.get().restart(back));
    }
    if (!over && random.nextDouble() < cancels) {
      world.time.after(gap, () -> world.users.get(job).cancel());
    }
    for (int i = 0; i < rounds * world.nodes.size(); i++) {
      SimNode node = world.nodes.get((first + i) % world.nodes.size());
      world.time.after(gap * (i + 1), () -> look(job, over, node));
    }
  }

  private void look(JobId job, boolean over, SimNode node) {
    JobSpec spec = world.specs.get(job);
    List<UserRequest> requests = new ArrayList<>();
    requests.add(new UserRequest.Query(job));
    requests.add(new UserRequest.Submit(job, Optional.of(spec), ""));
    if (over) {
      // It can't be cancelled any more, and nobody may be told that it was.
      world.invariants.asksToCancel(job);
      requests.add(new UserRequest.Withdraw(job));
    }
    requests.forEach(request -> ask(node, request));
  }

  private void ask(SimNode node, UserRequest request) {
    boolean submission = request instanceof UserRequest.Submit;
    long asked = world.invariants.moment();
    long gone = world.time.now() + SimUser.timeoutMillis(request);
    node.receiveUserRequest(
        request,
        response -> {
          if (world.time.now() <= gone) {
            world.invariants.toldAgain(request.job(), submission, asked, response, node);
          }
        });
  }

  /** A user is about to submit or cancel: others ask for a while, before anybody is told. */
  void asks(JobId job) {
    if (on()) {
      lookEarly(job);
    }
  }

  /** A task is complete; with the last one of its job, users ask for a while. */
  void completes(TaskId task) {
    int count = completed.merge(task.job(), 1, Integer::sum);
    if (on() && count == world.specs.get(task.job()).tasks()) {
      lookEarly(task.job());
    }
  }

  private void lookEarly(JobId job) {
    long step = Math.max(1, gap);
    for (long at = 0; at < early * 1000; at += step) {
      SimNode node = world.nodes.get((int) (at / step % world.nodes.size()));
      world.time.after(at, () -> ask(node, new UserRequest.Query(job)));
    }
  }
}
