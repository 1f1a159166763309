package org.oakwalk.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;

/**
 * Simulates how the tasks of a gang find each other by their common attempt. They start when all
 * are ready. A task that has waited too long for the others ends, and all end once one is lost or
 * disconnected from the others for too long.
 */
final class GangBarrier {
  private record GangKey(JobId job, Attempt attempt) {}

  private record GangMember(SimWorker machine, long arrivedAt) {}

  private static final class GangAttempt {
    final int size;
    final Map<TaskId, GangMember> members = new LinkedHashMap<>();
    int completed;
    boolean started;
    boolean memberLost;
    long disconnectedSince = Long.MAX_VALUE;

    GangAttempt(int size) {
      this.size = size;
    }
  }

  private final World world;
  private final long startTimeoutMillis;
  private final long peerTimeoutMillis;
  private final Map<GangKey, GangAttempt> gangs = new LinkedHashMap<>();

  /**
   * Creates a barrier without gangs.
   *
   * @param waitSeconds how long a task waits for the others
   * @param peerSeconds how long a task may be disconnected from the others
   */
  GangBarrier(World world, double waitSeconds, double peerSeconds) {
    this.world = world;
    this.startTimeoutMillis = Math.round(waitSeconds * 1000);
    this.peerTimeoutMillis = Math.round(peerSeconds * 1000);
  }

  /** Records that a task has its image and waits for the others. The last one starts all. */
  void memberReady(SimWorker machine, TaskId task, Attempt attempt, JobSpec spec) {
    GangAttempt gang =
        gangs.computeIfAbsent(
            new GangKey(spec.id(), attempt), k -> new GangAttempt(unfinishedTasks(spec)));
    gang.members.put(task, new GangMember(machine, world.time.now()));
    if (!gang.started && gang.members.size() + gang.completed == gang.size) {
      gang.started = true;
      world.largeJobStarts.gangStarted(spec.id());
      new LinkedHashMap<>(gang.members)
          .forEach((ready, member) -> member.machine().beginWork(ready));
    }
  }

  /** Returns the number of tasks to wait for; completed tasks do not run again. */
  private int unfinishedTasks(JobSpec spec) {
    return (int)
        IntStream.range(0, spec.tasks())
            .filter(index -> !world.invariants.isCompleted(new TaskId(spec.id(), index)))
            .count();
  }

  /** Records that a task has left its machine. */
  void memberLeft(TaskId task, Attempt attempt, boolean done) {
    GangAttempt gang = gangs.get(new GangKey(task.job(), attempt));
    if (gang != null && gang.members.remove(task) != null) {
      gang.completed += done ? 1 : 0;
      gang.memberLost |= !done && gang.started;
    }
  }

  /** Ends tasks that have waited or been disconnected for too long. Called periodically. */
  void tick() {
    gangs.values().removeIf(gang -> gang.members.isEmpty());
    for (GangAttempt gang : List.copyOf(gangs.values())) {
      if (gang.started) {
        checkConnections(gang);
      } else {
        new LinkedHashMap<>(gang.members)
            .forEach(
                (task, member) -> {
                  if (world.time.now() - member.arrivedAt() > startTimeoutMillis) {
                    member.machine().leaveGang(task);
                  }
                });
      }
    }
  }

  private void checkConnections(GangAttempt gang) {
    if (!gang.memberLost && allConnected(gang)) {
      gang.disconnectedSince = Long.MAX_VALUE;
      return;
    }
    gang.disconnectedSince = Math.min(gang.disconnectedSince, world.time.now());
    if (world.time.now() - gang.disconnectedSince > peerTimeoutMillis) {
      new LinkedHashMap<>(gang.members).forEach((task, member) -> member.machine().leaveGang(task));
    }
  }

  private boolean allConnected(GangAttempt gang) {
    List<SimWorker> machines =
        gang.members.values().stream().map(GangMember::machine).distinct().toList();
    String first = machines.get(0).address();
    return machines.stream()
        .allMatch(m -> !m.isHung() && !world.network.isPartitioned(first, m.address()));
  }
}
