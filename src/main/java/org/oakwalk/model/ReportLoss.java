package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Machines that can't open connections to any controller, while commands still reach them. */
final class ReportLoss {
  private record LossPeriod(Predicate<String> machines, long end) {}

  private final Timeline time;
  private final List<LossPeriod> periods = new ArrayList<>();

  ReportLoss(Timeline time) {
    this.time = time;
  }

  /** From now on the reports of these machines are lost for so long. */
  void start(Predicate<String> machines, double seconds) {
    periods.add(new LossPeriod(machines, time.now() + Math.round(seconds * 1000)));
  }

  /** Whether a report that this machine sends now gets nowhere. */
  boolean isLost(String machine) {
    return periods.stream()
        .anyMatch(spell -> spell.end() > time.now() && spell.machines().test(machine));
  }
}
