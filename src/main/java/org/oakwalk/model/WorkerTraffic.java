package org.oakwalk.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.oakwalk.core.Report;
import org.oakwalk.core.port.Request;

/** Statistics of worker reports and commands, and of the time that tasks wait for their start. */
final class WorkerTraffic {
  private final World world;
  private long reportCount;
  private long listedTasks;
  private long endedTasks;
  private long maxEndedTasks;
  private long executedCommands;
  private long rejectedCommands;

  WorkerTraffic(World world) {
    this.world = world;
  }

  /** Counts a report that a worker sent on its own schedule. */
  void reportSent(Report report) {
    long ended = report.tasks().stream().filter(Report.ReportedTask::ended).count();
    reportCount++;
    listedTasks += report.tasks().size();
    endedTasks += ended;
    maxEndedTasks = Math.max(maxEndedTasks, ended);
  }

  /** Counts a command that reached its worker. */
  void commandReceived(Request.Command command, boolean executed) {
    executedCommands += executed && !command.orders().isEmpty() ? 1 : 0;
    rejectedCommands += executed ? 0 : 1;
  }

  /** Returns the largest number of ended tasks listed in one report. */
  long maxEndedTasks() {
    return maxEndedTasks;
  }

  Map<String, Double> figures() {
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put("reports.sent", (double) reportCount);
    figures.put("reports.mean_tasks", reportCount == 0 ? 0 : listedTasks / (double) reportCount);
    figures.put("reports.mean_ended", reportCount == 0 ? 0 : endedTasks / (double) reportCount);
    figures.put("reports.most_ended", (double) maxEndedTasks);
    figures.put("commands.executed", (double) executedCommands);
    figures.put("commands.rejected", (double) rejectedCommands);
    meanWaitSeconds().ifPresent(wait -> figures.put("tasks.mean_wait_s", wait));
    return figures;
  }

  /** Mean time from the first submission to the first start, of the tasks that were started. */
  private OptionalDouble meanWaitSeconds() {
    return world.invariants.firstStarts().entrySet().stream()
        .filter(start -> world.users.containsKey(start.getKey().job()))
        .mapToDouble(start -> start.getValue() - world.metrics.submittedAt(start.getKey().job()))
        .average();
  }
}
