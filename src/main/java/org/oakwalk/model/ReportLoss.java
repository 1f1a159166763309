package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Loses the reports of machines for a time, while commands still reach them. */
final class ReportLoss {
  private record LossPeriod(Predicate<String> machines, long end) {}

  private final Timeline time;
  private final List<LossPeriod> periods = new ArrayList<>();

  ReportLoss(Timeline time) {
    this.time = time;
  }

  /** Loses the reports of these machines from now on, for the given time. */
  void start(Predicate<String> machines, double seconds) {
    periods.add(new LossPeriod(machines, time.now() + Math.round(seconds * 1000)));
  }

  /** Returns true if a report that this machine sends now is lost. */
  boolean isLost(String machine) {
    return periods.stream()
        .anyMatch(period -> period.end() > time.now() && period.machines().test(machine));
  }
}
