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
 * Tasks of one gang find each other by their common attempt. They begin when all are there; one
 * that has waited too long for the others ends, and so do all once one is lost or out of reach of
 * the others for too long.
 */
final class Gangs {
  private record Key(JobId job, Attempt attempt) {}

  private record Member(SimWorker machine, long arrivedAt) {}

  private static final class Gang {
    final int size;
    final Map<TaskId, Member> members = new LinkedHashMap<>();
    int completed;
    boolean begun;
    boolean lost;
    long apartSince = Long.MAX_VALUE;

    Gang(int size) {
      this.size = size;
    }
  }

  private final World world;
  private final long waitMillis;
  private final long peerMillis;
  private final Map<Key, Gang> gangs = new LinkedHashMap<>();

  /**
   * No gangs yet.
   *
   * @param waitSeconds how long a task waits for the others
   * @param peerSeconds how long one may be out of the others' reach
   */
  Gangs(World world, double waitSeconds, double peerSeconds) {
    this.world = world;
    this.waitMillis = Math.round(waitSeconds * 1000);
    this.peerMillis = Math.round(peerSeconds * 1000);
  }

  /** A task has its image and waits for the others; the last one lets all begin. */
  void arrived(SimWorker machine, TaskId task, Attempt attempt, JobSpec spec) {
    Gang gang = gangs.computeIfAbsent(new Key(spec.id(), attempt), k -> new Gang(open(spec)));
    gang.members.put(task, new Member(machine, world.time.now()));
    if (!gang.begun && gang.members.size() + gang.completed == gang.size) {
      gang.begun = true;
      world.largeJobStarts.runsWhole(spec.id());
      new LinkedHashMap<>(gang.members).forEach((each, member) -> member.machine().beginWork(each));
    }
  }

  /** How many tasks there are to wait for: those that are done don't come again. */
  private int open(JobSpec spec) {
    return (int)
        IntStream.range(0, spec.tasks())
            .filter(index -> !world.invariants.completed(new TaskId(spec.id(), index)))
            .count();
  }

  /** A task is no longer on its machine. */
  void left(TaskId task, Attempt attempt, boolean done) {
    Gang gang = gangs.get(new Key(task.job(), attempt));
    if (gang != null && gang.members.remove(task) != null) {
      gang.completed += done ? 1 : 0;
      gang.lost |= !done && gang.begun;
    }
  }

  void tick() {
    gangs.values().removeIf(gang -> gang.members.isEmpty());
    for (Gang gang : List.copyOf(gangs.values())) {
      if (gang.begun) {
        watch(gang);
      } else {
        new LinkedHashMap<>(gang.members)
            .forEach(
                (task, member) -> {
                  if (world.time.now() - member.arrivedAt() > waitMillis) {
                    member.machine().leaveGang(task);
                  }
                });
      }
    }
  }

  private void watch(Gang gang) {
    if (!gang.lost && together(gang)) {
      gang.apartSince = Long.MAX_VALUE;
      return;
    }
    gang.apartSince = Math.min(gang.apartSince, world.time.now());
    if (world.time.now() - gang.apartSince > peerMillis) {
      new LinkedHashMap<>(gang.members).forEach((task, member) -> member.machine().leaveGang(task));
    }
  }

  private boolean together(Gang gang) {
    List<SimWorker> machines =
        gang.members.values().stream().map(Member::machine).distinct().toList();
    String first = machines.get(0).address();
    return machines.stream()
        .allMatch(m -> !m.isHung() && !world.network.isPartitioned(first, m.address()));
  }
}
