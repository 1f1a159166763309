package org.oakwalk.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.oakwalk.core.Report;
import org.oakwalk.core.port.Request;

/** What controllers have to read of workers and to send them, and how long tasks wait meanwhile. */
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

  /** A worker sends a report by itself. */
  void reportSent(Report report) {
    long over = report.pieces().stream().filter(Report.Piece::ended).count();
    reportCount++;
    listedTasks += report.pieces().size();
    endedTasks += over;
    maxEndedTasks = Math.max(maxEndedTasks, over);
  }

  /** A command has reached its worker. */
  void commandReceived(Request.Command command, boolean executed) {
    executedCommands += executed && !command.orders().isEmpty() ? 1 : 0;
    rejectedCommands += executed ? 0 : 1;
  }

  /** The most ended tasks that any report has listed. */
  long maxEndedTasks() {
    return maxEndedTasks;
  }

  Map<String, Double> figures() {
    Map<String, Double> lines = new LinkedHashMap<>();
    lines.put("reports.sent", (double) reportCount);
    lines.put("reports.mean_tasks", reportCount == 0 ? 0 : listedTasks / (double) reportCount);
    lines.put("reports.mean_ended", reportCount == 0 ? 0 : endedTasks / (double) reportCount);
    lines.put("reports.most_ended", (double) maxEndedTasks);
    lines.put("commands.executed", (double) executedCommands);
    lines.put("commands.rejected", (double) rejectedCommands);
    meanWaitSeconds().ifPresent(wait -> lines.put("tasks.mean_wait_s", wait));
    return lines;
  }

  /** From the first attempt to submit to the first start, of the tasks that were started. */
  private OptionalDouble meanWaitSeconds() {
    return world.rules.firstStarts().entrySet().stream()
        .filter(start -> world.users.containsKey(start.getKey().job()))
        .mapToDouble(start -> start.getValue() - world.figures.submittedAt(start.getKey().job()))
        .average();
  }
}
