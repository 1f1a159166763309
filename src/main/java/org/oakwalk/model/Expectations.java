package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.port.Response;

/** Evaluates the expect lines of a scenario. */
final class Expectations {
  private final World world;
  private final List<String> failures = new ArrayList<>();

  Expectations(World world) {
    this.world = world;
  }

  /** Records a failure unless the expectation of the line holds now. */
  void check(ScenarioLine line) {
    if (!holds(line)) {
      failures.add(
          String.format(
              Locale.ROOT,
              "line %d, %.0f s: expected %s (%s)",
              line.number(),
              world.time.seconds(),
              line.toString().trim(),
              observedState(line)));
    }
  }

  /** Returns a message for each expectation that did not hold. */
  List<String> failures() {
    return failures;
  }

  private String observedState(ScenarioLine line) {
    JobId job = new JobId(line.word(3));
    return "tasks on machines "
        + world.invariants.runningTaskCount(job)
        + ", reported state "
        + world.invariants.reported(job)
        + ", starts "
        + world.invariants.totalStarts()
        + ", requests that a running controller did not answer in time "
        + world.unansweredRequests
        + ", latest start after a confirmed cancellation "
        + world.invariants.latestStartAfterCancel()
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
        + ", planning windows "
        + world.planningWindows.metrics()
        + ", requests "
        + world.state.requestCount()
        + ", reads "
        + world.state.pollCount()
        + ", requests over the limit "
        + world.state.rateLimitedCount()
        + ", waits "
        + world.waitTimes
        + ", jobs awaiting their end "
        + world.users.values().stream().filter(SimUser::isPolling).count()
        + ", workers reporting to the leader "
        + workersReportingToLeader();
  }

  private boolean holds(ScenarioLine line) {
    String subject = line.word(3);
    switch (subject) {
      case "leader" -> {
        return world.leader().isPresent() == !line.hasWord("none");
      }
      case "headroom" -> {
        int places =
            HeadroomRule.storedRows(world).stream()
                .filter(row -> row.key().name().equals(line.word(4)))
                .flatMap(row -> row.slotsByZone().entrySet().stream())
                .filter(entry -> line.text("zone", entry.getKey()).equals(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
        return places >= line.number("least", 0) && places <= line.number("most", 1e9);
      }
      case "machines" -> {
        long runningMachines = world.workers.values().stream().filter(SimWorker::isAlive).count();
        return runningMachines >= line.number("least", 0)
            && runningMachines <= line.number("most", 1e9);
      }
      case "reporting" -> {
        return workersReportingToLeader() >= line.number("least", 0)
            && workersReportingToLeader() <= line.number("most", 1e9);
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
        long inZone =
            world.workers.values().stream()
                .filter(w -> w.isBilled() && w.pool.zone().equals(line.word(4)))
                .count();
        return inZone >= line.number("least", 0) && inZone <= line.number("most", 1e9);
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
        return world.invariants.acceptedJobs().stream()
            .filter(job -> world.specs.get(job).jobClass().equals(line.word(4)))
            .allMatch(world.invariants::isReportedEnded);
      }
      case "laststart" -> {
        return world.invariants.latestStartAfterCancel() <= line.number("most", 0);
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
        return world.waitTimes.longest(JobWaitTimes.parsePhase(line.word(4)))
            <= line.number("most", 0);
      }
      case "waiting" -> {
        return world.waitTimes.waitingCount(JobWaitTimes.parsePhase(line.word(4)))
            <= line.number("most", 0);
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
            .lastResult(line.word(4))
            .filter(
                window ->
                    window.workDoneShare() >= line.number("done", 0)
                        && window.workDoneShare() <= line.number("most", 1)
                        && window.promiseKeptShare() >= line.number("kept", 0)
                        && window.plannedShare() >= line.number("share", 0)
                        && window.plannedShare() <= line.number("mostshare", 1)
                        && window.revisions() >= line.number("least", 1)
                        && window.revisions() <= line.number("revisions", 1e9))
            .isPresent();
      }
      case "writes" -> {
        return world.state.writeCount() <= line.number("most", 1e9);
      }
      default -> {
        return holdsForJob(new JobId(subject), line);
      }
    }
  }

  /** Returns the number of workers that report directly to the leader. */
  private long workersReportingToLeader() {
    return world
        .leader()
        .map(node -> world.workers.values().stream().filter(w -> w.reportsTo(node)).count())
        .orElse(0L);
  }

  private boolean holdsForJob(JobId job, ScenarioLine line) {
    SimUser user = world.users.get(job);
    return switch (line.word(4)) {
      case "done" -> world.invariants.reported(job) == Response.JobState.DONE;
      case "served" ->
          world.invariants.reported(job) == Response.JobState.DONE || user.gaveUpUnstored();
      case "unaccepted" -> !world.invariants.isAccepted(job);
      case "open" -> world.invariants.isAccepted(job) && world.invariants.reported(job) == null;
      case "cancelled" -> world.invariants.reported(job) == Response.JobState.CANCELLED;
      case "over" -> world.invariants.isReportedEnded(job);
      case "on" ->
          world.invariants.runningTaskCount(job) >= line.number("least", 0)
              && world.invariants.runningTaskCount(job) <= line.number("most", 1e9);
      case "accepted" ->
          user.acceptanceSeconds != null && user.acceptanceSeconds <= line.number("within", 60);
      case "refused" -> user.refusalStatus != null && user.refusalStatus == (int) line.number(5);
      case "started" -> {
        Double at = world.invariants.firstStart(new TaskId(job, (int) line.number("task", 0)));
        yield at != null && at <= line.number("by", 1e9) && at >= line.number("after", 0);
      }
      case "begun" -> startedInTime(job, line);
      case "starts" -> {
        int starts = world.invariants.startCount(new TaskId(job, (int) line.number("task", 0)));
        yield starts >= line.number("least", 0) && starts <= line.number("most", 1e9);
      }
      default -> throw new IllegalArgumentException("unknown expectation: " + line);
    };
  }

  /**
   * Whether the expected share of the tasks of a job has started within the expected time after the
   * first submission attempt.
   */
  private boolean startedInTime(JobId job, ScenarioLine line) {
    int tasks = world.specs.get(job).tasks();
    double deadline = world.metrics.submittedAt(job) + line.number("within", 240);
    int started = 0;
    for (int index = 0; index < tasks; index++) {
      Double at = world.invariants.firstStart(new TaskId(job, index));
      started += at != null && at <= deadline ? 1 : 0;
    }
    return started >= line.number("share", 1) * tasks;
  }
}
