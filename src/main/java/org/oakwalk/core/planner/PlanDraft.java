package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;

/**
 * A computed plan that has not been stored yet.
 *
 * @param extraMachineSeconds for how long additional machines would have to run to supply the
 *     missing capacity
 * @param averageFree average number of held machines that are free until the deadline
 * @param averageObtainable average number of machines that could be rented in addition
 */
record PlanDraft(
    PlanSolver.Solution solution,
    List<DraftGroup> groups,
    double extraMachineSeconds,
    double averageFree,
    double averageObtainable) {
  /** A new group with more than this fraction of all work is planned without delay. */
  private static final double NEW_GROUP_FRACTION = 0.01;

  /**
   * A group of jobs in the plan.
   *
   * @param acceptedTasks tasks accepted for the window
   * @param promisedTasks tasks that earlier revisions promised to complete
   * @param waitingTasks tasks that have not been placed
   * @param runSeconds planned run time of a task
   * @param tailSeconds time that the last tasks may take
   * @param times planned start and end; null if no task of the group has to be placed
   * @param missingMachineHours machine hours missing to complete the whole group
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

  /** Returns how many additional machines would supply the missing capacity. */
  private int missingMachines() {
    return (int) Math.ceil(solution.totalMissingMachineHours() * 3600 / extraMachineSeconds - 1e-9);
  }

  /** Returns whether only a part of the work in the open windows can be completed. */
  boolean isPartial() {
    return solution.share() < 1;
  }

  /** Returns the rows to store, by dawn. */
  Map<String, List<PlanRow>> rows(
      Map<String, PlanningWindow> open, ActivePlan activePlan, WallTime now) {
    Map<String, List<PlanRow>> rows = new HashMap<>();
    open.forEach(
        (dawnName, window) -> {
          List<PlanRow> ofDawn = new ArrayList<>();
          ofDawn.add(
              new PlanRow.WindowRow(
                  dawnName,
                  window.opensAt(),
                  window.deadline(),
                  now,
                  activePlan
                          .window(dawnName, window)
                          .map(PlanRow.WindowRow::revisionCount)
                          .orElse(0)
                      + 1,
                  share(activePlan, dawnName, window),
                  solution.totalMissingMachineHours(),
                  missingMachines(),
                  isPartial() ? Math.round(extraMachineSeconds) : 0));
          groups.stream()
              .filter(draftGroup -> draftGroup.dawnName().equals(dawnName))
              .map(draftGroup -> groupRow(draftGroup, window, activePlan, now))
              .forEach(ofDawn::add);
          // Groups without open jobs keep their promises in the record.
          activePlan.rows(dawnName, window).stream()
              .filter(
                  group ->
                      groups.stream().noneMatch(draftGroup -> draftGroup.key().equals(group.key())))
              .forEach(ofDawn::add);
          rows.put(dawnName, ofDawn);
        });
    return rows;
  }

  /** Returns the share to store: within a window, a share below 1 is never lowered. */
  private double share(ActivePlan activePlan, String dawnName, PlanningWindow window) {
    double before =
        activePlan
            .window(dawnName, window)
            .map(PlanRow.WindowRow::share)
            .filter(share -> share < 1)
            .orElse(0.0);
    return Math.max(before, solution.share());
  }

  /** Returns a group's row. Within a window, a planned start never becomes later. */
  private PlanRow.GroupRow groupRow(
      DraftGroup draftGroup, PlanningWindow window, ActivePlan activePlan, WallTime now) {
    WallTime finishBy = window.finishBy();
    WallTime start =
        draftGroup.times() == null ? now : capped(now, draftGroup.times().start(), finishBy);
    WallTime end =
        draftGroup.times() == null ? finishBy : capped(now, draftGroup.times().end(), finishBy);
    Optional<WallTime> before =
        activePlan
            .find(draftGroup.key())
            .filter(active -> active.window().deadline().equals(window.deadline()))
            .map(active -> active.group().startBy());
    if (before.isPresent() && before.get().millis() < start.millis()) {
      start = before.get();
    }
    int quota =
        isPartial()
            ? (int)
                Math.min(
                    draftGroup.acceptedTasks(),
                    Math.ceil(solution.share() * draftGroup.acceptedTasks()))
            : draftGroup.acceptedTasks();
    return new PlanRow.GroupRow(
        draftGroup.dawnName(),
        draftGroup.key(),
        draftGroup.acceptedTasks(),
        Math.max(draftGroup.promisedTasks(), quota),
        start,
        end,
        new WallTime(finishBy.millis() - TimeSpan.seconds(draftGroup.tailSeconds()).millis()),
        draftGroup.missingMachineHours());
  }

  private static WallTime capped(WallTime now, double seconds, WallTime latest) {
    return new WallTime(
        Math.min(latest.millis(), now.millis() + TimeSpan.seconds(seconds).millis()));
  }

  /**
   * Why the active plan has to be revised.
   *
   * @param deferrable whether the revision can wait longer than one for other reasons
   */
  record RevisionReason(String reason, boolean deferrable) {}

  /**
   * Returns the first significant difference from the active plan; empty if there is none.
   *
   * @param significant fraction of the time left or of the work that counts as significant
   */
  Optional<RevisionReason> significantChange(
      ActivePlan activePlan, Map<String, PlanningWindow> open, WallTime now, double significant) {
    double allWork =
        groups.stream()
            .mapToDouble(draftGroup -> draftGroup.acceptedTasks() * draftGroup.runSeconds())
            .sum();
    double addedWork = 0;
    for (DraftGroup draftGroup : groups) {
      PlanningWindow window = open.get(draftGroup.dawnName());
      Optional<ActivePlan.ActiveGroup> active =
          activePlan
              .find(draftGroup.key())
              .filter(a -> a.window().deadline().equals(window.deadline()));
      if (active.isEmpty()) {
        if (draftGroup.waitingTasks() * draftGroup.runSeconds() > NEW_GROUP_FRACTION * allWork) {
          return Optional.of(new RevisionReason(draftGroup.key() + " is new", false));
        }
        addedWork += draftGroup.waitingTasks() * draftGroup.runSeconds();
        continue;
      }
      addedWork +=
          Math.max(0, draftGroup.acceptedTasks() - active.get().group().acceptedTasks())
              * draftGroup.runSeconds();
      if (draftGroup.times() != null && draftGroup.waitingTasks() > 0 && !isPartial()) {
        double left = active.get().group().startBy().since(now).asSeconds();
        if (left > 0
            && draftGroup.times().start() < left - significant * window.timeLeft(now).asSeconds()) {
          return Optional.of(new RevisionReason(draftGroup.key() + " has to start earlier", false));
        }
      }
    }
    return addedWork > significant * allWork
        ? Optional.of(
            new RevisionReason(
                String.format(Locale.ROOT, "%.1f h of additional work", addedWork / 3600), true))
        : Optional.empty();
  }

  /** Returns a one-line summary for the log. */
  String summary() {
    int waiting = groups.stream().mapToInt(DraftGroup::waitingTasks).sum();
    return String.format(
        Locale.ROOT,
        "%d groups, %d tasks waiting, share %.2f, %.0f s to spare with %.1f free machines and %.0f%% of"
            + " %.1f obtainable ones",
        groups.size(),
        waiting,
        solution.share(),
        solution.spareSeconds(),
        averageFree,
        100 * solution.extraMachineFraction(),
        averageObtainable);
  }

  /** Returns one line on the work that can't be completed, and the capacity it would need. */
  String warning() {
    Map<String, Double> byClass = new TreeMap<>();
    for (DraftGroup draftGroup : groups) {
      if (draftGroup.missingMachineHours() > 0) {
        byClass.merge(
            draftGroup.key().team() + "/" + draftGroup.key().jobClass(),
            draftGroup.missingMachineHours(),
            Double::sum);
      }
    }
    StringBuilder classes = new StringBuilder();
    byClass.forEach(
        (name, hours) -> classes.append(String.format(Locale.ROOT, " %s %.2f h;", name, hours)));
    return String.format(
        Locale.ROOT,
        "deadline can't be met: missing machine hours:%s %d more machines for %.0f s would suffice;"
            + " each group gets a share of %.2f, the rest runs after the deadline",
        classes,
        missingMachines(),
        extraMachineSeconds,
        solution.share());
  }
}
