package org.oakwalk.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.oakwalk.core.Report;
import org.oakwalk.core.port.Request;

/** What controllers have to read of workers and to send them, and how long tasks wait meanwhile. */
final class ReportLoad {
  private final World world;
  private long reports;
  private long listed;
  private long ended;
  private long mostEnded;
  private long commands;
  private long rejected;

  ReportLoad(World world) {
    this.world = world;
  }

  /** A worker sends a report by itself. */
  void reported(Report report) {
    long over = report.tasks().stream().filter(Report.ReportedTask::ended).count();
    reports++;
    listed += report.tasks().size();
    ended += over;
    mostEnded = Math.max(mostEnded, over);
  }

  /** A command has reached its worker. */
  void commanded(Request.Command command, boolean executed) {
    commands += executed && !command.orders().isEmpty() ? 1 : 0;
    rejected += executed ? 0 : 1;
  }

  /** The most ended tasks that any report has listed. */
  long mostEnded() {
    return mostEnded;
  }

  Map<String, Double> lines() {
    Map<String, Double> lines = new LinkedHashMap<>();
    lines.put("reports.sent", (double) reports);
    lines.put("reports.mean_tasks", reports == 0 ? 0 : listed / (double) reports);
    lines.put("reports.mean_ended", reports == 0 ? 0 : ended / (double) reports);
    lines.put("reports.most_ended", (double) mostEnded);
    lines.put("commands.executed", (double) commands);
    lines.put("commands.rejected", (double) rejected);
    meanWait().ifPresent(wait -> lines.put("tasks.mean_wait_s", wait));
    return lines;
  }

  /** From the first attempt to submit to the first start, of the tasks that were started. */
  private OptionalDouble meanWait() {
    return world.rules.firstStarts().entrySet().stream()
        .filter(start -> world.users.containsKey(start.getKey().job()))
        .mapToDouble(start -> start.getValue() - world.figures.submittedAt(start.getKey().job()))
        .average();
  }
}
