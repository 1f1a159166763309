package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.port.Response;

/** What a scenario expects to hold at some moment. */
final class Expectations {
  private final World world;
  private final List<String> missed = new ArrayList<>();

  Expectations(World world) {
    this.world = world;
  }

  /** Looks whether what the line expects holds now. */
  void check(ScenarioLine line) {
    if (!holds(line)) {
      missed.add(
          String.format(
              Locale.ROOT,
              "line %d, %.0f s: expected %s (%s)",
              line.number(),
              world.time.seconds(),
              line.toString().trim(),
              found(line)));
    }
  }

  /** What did not hold when it was looked at. */
  List<String> missed() {
    return missed;
  }

  private String found(ScenarioLine line) {
    JobId job = new JobId(line.word(3));
    return "on machines "
        + world.invariants.on(job)
        + ", told "
        + world.invariants.told(job)
        + ", starts "
        + world.invariants.totalStarts()
        + ", unheard "
        + world.unansweredRequests
        + ", last start after a confirmed cancellation "
        + world.invariants.latestStart()
        + ", refusals "
        + world.refusedStarts
        + ", machines "
        + world.workers.values().stream().filter(SimWorker::isAlive).count()
        + ", rented "
        + world.cloud.rentedCount
        + ", released "
        + world.cloud.releasedCount
        + ", writes "
        + world.state.writeCount()
        + ", nights "
        + world.planningWindows.figures()
        + ", requests "
        + world.state.requestCount()
        + ", reads "
        + world.state.pollCount()
        + ", too many "
        + world.state.rateLimitedCount()
        + ", waits "
        + world.waitTimes
        + ", open "
        + world.users.values().stream().filter(SimUser::isPolling).count()
        + ", reporting to the leader "
        + reporting();
  }

  private boolean holds(ScenarioLine line) {
    String what = line.word(3);
    switch (what) {
      case "leader" -> {
        return world.leader().isPresent() == !line.hasWord("none");
      }
      case "headroom" -> {
        int places =
            CrowdedRule.rows(world).stream()
                .filter(row -> row.key().name().equals(line.word(4)))
                .flatMap(row -> row.places().entrySet().stream())
                .filter(entry -> line.text("zone", entry.getKey()).equals(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
        return places >= line.number("least", 0) && places <= line.number("most", 1e9);
      }
      case "machines" -> {
        long up = world.workers.values().stream().filter(SimWorker::isAlive).count();
        return up >= line.number("least", 0) && up <= line.number("most", 1e9);
      }
      case "reporting" -> {
        return reporting() >= line.number("least", 0) && reporting() <= line.number("most", 1e9);
      }
      case "oldest" -> {
        return world.workers.values().stream()
            .filter(SimWorker::isBilled)
            .noneMatch(worker -> worker.id.value().compareTo(line.word(4)) < 0);
      }
      case "kept" -> {
        return world.workers.get(new MachineId(line.word(4))).isBilled();
      }
      case "gone" -> {
        return !world.workers.get(new MachineId(line.word(4))).isBilled();
      }
      case "in" -> {
        long there =
            world.workers.values().stream()
                .filter(w -> w.isBilled() && w.pool.zone().equals(line.word(4)))
                .count();
        return there >= line.number("least", 0) && there <= line.number("most", 1e9);
      }
      case "rented" -> {
        return world.cloud.rentedCount <= line.number("most", 1e9)
            && world.cloud.rentedCount >= line.number("least", 0);
      }
      case "releases" -> {
        return world.cloud.releasedCount <= line.number("most", 1e9)
            && world.cloud.releasedCount >= line.number("least", 0);
      }
      case "starts" -> {
        return world.invariants.totalStarts() >= line.number("least", 0)
            && world.invariants.totalStarts() <= line.number("most", 1e9);
      }
      case "unheard" -> {
        return world.unansweredRequests <= line.number("most", 0);
      }
      case "over" -> {
        return world.invariants.acceptedInOrder().stream()
            .filter(job -> world.specs.get(job).jobClass().equals(line.word(4)))
            .allMatch(world.invariants::over);
      }
      case "laststart" -> {
        return world.invariants.latestStart() <= line.number("most", 0);
      }
      case "refusals" -> {
        return world.refusedStarts <= line.number("most", 0);
      }
      case "reruns" -> {
        return world.clearedTaskRestarts <= line.number("most", 0);
      }
      case "listed" -> {
        return world.workerTraffic.maxEndedTasks() <= line.number("most", 0);
      }
      case "requests" -> {
        return world.state.requestCount() <= line.number("most", 1e9);
      }
      case "waits" -> {
        return world.waitTimes.longest(Waits.step(line.word(4))) <= line.number("most", 0);
      }
      case "waiting" -> {
        return world.waitTimes.waiting(Waits.step(line.word(4))) <= line.number("most", 0);
      }
      case "open" -> {
        return world.users.values().stream().filter(SimUser::isPolling).count()
            <= line.number("most", 0);
      }
      case "toomany" -> {
        return world.state.rateLimitedCount() <= line.number("most", 0);
      }
      case "reads" -> {
        return world.state.pollCount() <= line.number("most", 1e9);
      }
      case "answered" -> {
        double since = world.time.seconds() - line.number("within", 75);
        return world.users.values().stream()
            .filter(user -> !line.hasWord("open") || user.isPolling())
            .allMatch(user -> user.lastAnsweredAt() >= since);
      }
      case "keys" -> {
        return world.state.countKeys(line.word(4)) <= line.number("most", 0);
      }
      case "dawn" -> {
        return world
            .planningWindows
            .last(line.word(4))
            .filter(
                night ->
                    night.work() >= line.number("done", 0)
                        && night.work() <= line.number("most", 1)
                        && night.kept() >= line.number("kept", 0)
                        && night.share() >= line.number("share", 0)
                        && night.share() <= line.number("mostshare", 1)
                        && night.revisions() >= line.number("least", 1)
                        && night.revisions() <= line.number("revisions", 1e9))
            .isPresent();
      }
      case "writes" -> {
        return world.state.writeCount() <= line.number("most", 1e9);
      }
      default -> {
        return jobHolds(new JobId(what), line);
      }
    }
  }

  /** Workers that report to the leader itself. */
  private long reporting() {
    return world
        .leader()
        .map(node -> world.workers.values().stream().filter(w -> w.reportsTo(node)).count())
        .orElse(0L);
  }

  private boolean jobHolds(JobId job, ScenarioLine line) {
    SimUser user = world.users.get(job);
    return switch (line.word(4)) {
      case "done" -> world.invariants.told(job) == Response.JobState.DONE;
      case "served" ->
          world.invariants.told(job) == Response.JobState.DONE || user.gaveUpUnstored();
      case "unaccepted" -> !world.invariants.accepted(job);
      case "open" -> world.invariants.accepted(job) && world.invariants.told(job) == null;
      case "cancelled" -> world.invariants.told(job) == Response.JobState.CANCELLED;
      case "over" -> world.invariants.over(job);
      case "on" ->
          world.invariants.on(job) >= line.number("least", 0)
              && world.invariants.on(job) <= line.number("most", 1e9);
      case "accepted" ->
          user.acceptanceSeconds != null && user.acceptanceSeconds <= line.number("within", 60);
      case "refused" -> user.refusalStatus != null && user.refusalStatus == (int) line.number(5);
      case "started" -> {
        Double at = world.invariants.firstStart(new TaskId(job, (int) line.number("task", 0)));
        yield at != null && at <= line.number("by", 1e9) && at >= line.number("after", 0);
      }
      case "begun" -> begun(job, line);
      case "starts" -> {
        int starts = world.invariants.starts(new TaskId(job, (int) line.number("task", 0)));
        yield starts >= line.number("least", 0) && starts <= line.number("most", 1e9);
      }
      default -> throw new IllegalArgumentException("unknown expectation: " + line);
    };
  }

  /** Whether a share of the job's tasks has begun, that long after the first attempt to submit. */
  private boolean begun(JobId job, ScenarioLine line) {
    int tasks = world.specs.get(job).tasks();
    double by = world.metrics.submittedAt(job) + line.number("within", 240);
    int begun = 0;
    for (int index = 0; index < tasks; index++) {
      Double at = world.invariants.firstStart(new TaskId(job, index));
      begun += at != null && at <= by ? 1 : 0;
    }
    return begun >= line.number("share", 1) * tasks;
  }
}
