package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;

/**
 * A plan that has been made and may be stored.
 *
 * @param extraMachineSeconds for which machines would have to be had beside, to mend what is
 *     missing
 * @param averageFree machines that are free on an average until dawn, of those that are held
 * @param averageObtainable machines that can be had beside, on an average
 */
record PlanDraft(
    PlanSolver.Solution solution,
    List<DraftGroup> groups,
    double extraMachineSeconds,
    double averageFree,
    double averageObtainable) {
  /** A new group with so much of the work is planned at once. */
  private static final double NEW_GROUP_FRACTION = 0.01;

  /**
   * A group of it.
   *
   * @param promised tasks that were promised before
   * @param run seconds that a task takes, as it counts for the work
   * @param tail seconds that its last tasks may take
   * @param times when it should go; null if nothing of it waits or has a share
   * @param missing hours of machines that are missing for all of it
   */
  record DraftGroup(
      GroupKey key,
      String dawnName,
      int acceptedTasks,
      int promisedTasks,
      int waitingTasks,
      double runSeconds,
      double tailSeconds,
      Schedule.GroupTimes times,
      double missingMachineHours) {}

  /** So many machines more would mend it. */
  private int missingMachines() {
    return (int) Math.ceil(solution.totalMissingMachineHours() * 3600 / extraMachineSeconds - 1e-9);
  }

  /** Whether not all of the open windows' work can be done. */
  boolean isPartial() {
    return solution.share() < 1;
  }

  /** The rows that are to be stored, by dawn. */
  Map<String, List<PlanRow>> rows(
      Map<String, PlanningWindow> open, ActivePlan inForce, WallTime now) {
    Map<String, List<PlanRow>> rows = new HashMap<>();
    open.forEach(
        (dawn, window) -> {
          List<PlanRow> of = new ArrayList<>();
          of.add(
              new PlanRow.WindowRow(
                  dawn,
                  window.opensAt(),
                  window.deadline(),
                  now,
                  inForce.window(dawn, window).map(PlanRow.WindowRow::revisionCount).orElse(0) + 1,
                  share(inForce, dawn, window),
                  solution.totalMissingMachineHours(),
                  missingMachines(),
                  isPartial() ? Math.round(extraMachineSeconds) : 0));
          groups.stream()
              .filter(line -> line.dawnName().equals(dawn))
              .map(line -> groupRow(line, window, inForce, now))
              .forEach(of::add);
          // What is done and gone was promised all the same.
          inForce.rows(dawn, window).stream()
              .filter(group -> groups.stream().noneMatch(line -> line.key().equals(group.key())))
              .forEach(of::add);
          rows.put(dawn, of);
        });
    return rows;
  }

  /** A share that was planned once is not lowered in the same window. */
  private double share(ActivePlan inForce, String dawn, PlanningWindow window) {
    double before =
        inForce
            .window(dawn, window)
            .map(PlanRow.WindowRow::share)
            .filter(share -> share < 1)
            .orElse(0.0);
    return Math.max(before, solution.share());
  }

  /** A start that was planned once in a window never moves back in it. */
  private PlanRow.GroupRow groupRow(
      DraftGroup line, PlanningWindow window, ActivePlan inForce, WallTime now) {
    WallTime ends = window.finishBy();
    WallTime start = line.times() == null ? now : capped(now, line.times().start(), ends);
    WallTime end = line.times() == null ? ends : capped(now, line.times().end(), ends);
    Optional<WallTime> before =
        inForce
            .find(line.key())
            .filter(entry -> entry.window().deadline().equals(window.deadline()))
            .map(entry -> entry.group().startBy());
    if (before.isPresent() && before.get().millis() < start.millis()) {
      start = before.get();
    }
    int quota =
        isPartial()
            ? (int)
                Math.min(line.acceptedTasks(), Math.ceil(solution.share() * line.acceptedTasks()))
            : line.acceptedTasks();
    return new PlanRow.GroupRow(
        line.dawnName(),
        line.key(),
        line.acceptedTasks(),
        Math.max(line.promisedTasks(), quota),
        start,
        end,
        new WallTime(ends.millis() - Span.seconds(line.tailSeconds()).millis()),
        line.missingMachineHours());
  }

  private static WallTime capped(WallTime now, double seconds, WallTime most) {
    return new WallTime(Math.min(most.millis(), now.millis() + Span.seconds(seconds).millis()));
  }

  /**
   * Why a plan does not do any more.
   *
   * @param patient whether it can wait for longer than other reasons
   */
  record RevisionReason(String reason, boolean deferrable) {}

  /** What differs notably from the plan in force; empty if nothing does. */
  Optional<RevisionReason> significantChange(
      ActivePlan inForce, Map<String, PlanningWindow> open, WallTime now, double notable) {
    double all =
        groups.stream().mapToDouble(line -> line.acceptedTasks() * line.runSeconds()).sum();
    double fresh = 0;
    for (DraftGroup line : groups) {
      PlanningWindow window = open.get(line.dawnName());
      Optional<ActivePlan.ActiveGroup> entry =
          inForce.find(line.key()).filter(e -> e.window().deadline().equals(window.deadline()));
      if (entry.isEmpty()) {
        if (line.waitingTasks() * line.runSeconds() > NEW_GROUP_FRACTION * all) {
          return Optional.of(new RevisionReason(line.key() + " is new", false));
        }
        fresh += line.waitingTasks() * line.runSeconds();
        continue;
      }
      fresh +=
          Math.max(0, line.acceptedTasks() - entry.get().group().acceptedTasks())
              * line.runSeconds();
      if (line.times() != null && line.waitingTasks() > 0 && !isPartial()) {
        double left = entry.get().group().startBy().since(now).asSeconds();
        if (left > 0 && line.times().start() < left - notable * window.timeLeft(now).asSeconds()) {
          return Optional.of(new RevisionReason(line.key() + " has to start earlier", false));
        }
      }
    }
    return fresh > notable * all
        ? Optional.of(
            new RevisionReason(
                String.format(Locale.ROOT, "%.1f h of work more", fresh / 3600), true))
        : Optional.empty();
  }

  /** One line on it, for the log. */
  String summary() {
    int waiting = groups.stream().mapToInt(DraftGroup::waitingTasks).sum();
    return String.format(
        Locale.ROOT,
        "%d groups, %d tasks wait, share %.2f, %.0f s to spare with %.1f machines and %.0f%% of %.1f that"
            + " can be had beside",
        groups.size(),
        waiting,
        solution.share(),
        solution.spareSeconds(),
        averageFree,
        100 * solution.extraMachineFraction(),
        averageObtainable);
  }

  /** One line on what can't be done, and what would mend it. */
  String warning() {
    Map<String, Double> byClass = new TreeMap<>();
    for (DraftGroup line : groups) {
      if (line.missingMachineHours() > 0) {
        byClass.merge(
            line.key().team() + "/" + line.key().jobClass(),
            line.missingMachineHours(),
            Double::sum);
      }
    }
    StringBuilder classes = new StringBuilder();
    byClass.forEach(
        (name, hours) -> classes.append(String.format(Locale.ROOT, " %s %.2f h;", name, hours)));
    return String.format(
        Locale.ROOT,
        "dawn can't be met: hours of machines are missing for%s %d more machines for %.0f s would"
            + " mend it; all are served in shares of %.2f, the rest goes on after dawn",
        classes,
        missingMachines(),
        extraMachineSeconds,
        solution.share());
  }
}
