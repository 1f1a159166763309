package org.oakwalk.model;

import java.util.List;
import java.util.Set;

/** Determines when the faults of a scenario are over, from its lines. */
final class FaultSchedule {
  /** Actions that are no faults. */
  private static final Set<String> NOT_FAULTS =
      Set.of("submit", "cancel", "expect", "rogue", "lie");

  private FaultSchedule() {}

  /** Returns when the last fault ends, in seconds; 0 if there is none. */
  static double lastFaultEnd(List<ScenarioLine> lines) {
    double end = 0;
    double lease = 10;
    for (ScenarioLine line : lines) {
      lease = line.word(0).equals("settings") ? line.number("lease", lease) : lease;
    }
    for (ScenarioLine line : lines) {
      if (line.word(0).equals("at") && !NOT_FAULTS.contains(line.word(2))) {
        end = Math.max(end, line.number(1) + durationSeconds(line, line.word(2), lease));
      } else if (line.word(0).equals("every")
          && line.repeatsAction()
          && !NOT_FAULTS.contains(line.word(4))) {
        end = Math.max(end, line.number(3) + durationSeconds(line, line.word(4), lease));
      }
    }
    return end;
  }

  /** Returns how long a fault lasts, including its delayed effects, in seconds. */
  private static double durationSeconds(ScenarioLine line, String action, double lease) {
    return switch (action) {
      case "refuse", "freeze", "full", "outage", "cut", "slownet", "hang", "deaf", "noreports" ->
          line.number("for", 10);
      case "cancelnow" -> line.number("hang", 0);
      case "cancelatend", "oddrequests" -> line.number("for", 10);
      case "laterentals" -> line.number("for", 10) + line.number("after", 0);
      case "copies" -> line.number("for", 10) + line.number("after", 90);
      case "latecommands" ->
          line.number("for", 10) + line.number("after", DelayInjector.MAX_COMMAND_DELAY_SECONDS);
      case "latewrites" ->
          line.number("for", 10)
              + (line.hasWord("atonce")
                  ? 0
                  : line.number("after", DelayInjector.MAX_WRITE_DELAY_SECONDS));
      // Probes without restarts are no fault.
      case "closelooks" ->
          line.number("ends", 0) > 0
              ? line.number("for", 10) + line.number("back", 1)
              : Double.NEGATIVE_INFINITY;
      case "latereports" ->
          line.number("for", 10)
              + line.number(
                  "after",
                  line.hasWord("fornext") ? 0 : DelayInjector.MAX_REPORT_DELAY_LEASES * lease);
      case "restart" ->
          (line.number("times", 1) - 1) * line.number("every", 1) + line.number("after", 0);
      case "faulty", "slow" -> line.number("for", 0);
      case "notice" -> line.number("in", 10);
      default -> 0;
    };
  }
}
