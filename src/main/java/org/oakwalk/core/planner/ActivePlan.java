package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.WallTime;

/** The stored plan that is in effect, with an index by group and by dawn. */
final class ActivePlan {
  static final ActivePlan NONE = new ActivePlan(List.of());

  /**
   * A group's entry.
   *
   * @param rank position in the order of latest starts, from 0 to 1
   */
  record ActiveGroup(PlanRow.GroupRow group, PlanRow.WindowRow window, double rank) {
    /** Returns whether only a part of the group is promised. */
    boolean isPartial() {
      return window.share() < 1;
    }
  }

  private final Map<GroupKey, ActiveGroup> activeGroups = new HashMap<>();
  private final Map<String, PlanRow.WindowRow> windows = new HashMap<>();

  ActivePlan(List<PlanRow> rows) {
    List<PlanRow.GroupRow> groups = new ArrayList<>();
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.WindowRow windowRow) {
        windows.put(windowRow.dawnName(), windowRow);
      } else if (row instanceof PlanRow.GroupRow group) {
        groups.add(group);
      }
    }
    groups.sort(
        Comparator.comparingLong((PlanRow.GroupRow group) -> group.latestStart().millis())
            .thenComparing(group -> group.key().toString()));
    for (int i = 0; i < groups.size(); i++) {
      PlanRow.WindowRow windowRow = windows.get(groups.get(i).dawnName());
      if (windowRow != null) {
        activeGroups.put(
            groups.get(i).key(),
            new ActiveGroup(groups.get(i), windowRow, i / (double) groups.size()));
      }
    }
  }

  Optional<ActiveGroup> find(GroupKey key) {
    return Optional.ofNullable(activeGroups.get(key));
  }

  Iterable<ActiveGroup> all() {
    return activeGroups.values();
  }

  Optional<PlanRow.WindowRow> window(String dawnName) {
    return Optional.ofNullable(windows.get(dawnName));
  }

  /** Returns the plan for exactly this window, if there is one. */
  Optional<PlanRow.WindowRow> window(String dawnName, PlanningWindow window) {
    return window(dawnName).filter(row -> row.deadline().equals(window.deadline()));
  }

  /** Returns the groups that are planned for a deadline in the future. */
  Set<GroupKey> upcomingKeys(WallTime now) {
    Set<GroupKey> keys = new HashSet<>();
    activeGroups.forEach(
        (key, active) -> {
          if (active.window().deadline().millis() > now.millis()) {
            keys.add(key);
          }
        });
    return keys;
  }

  /** Returns the groups planned for exactly this window. */
  List<PlanRow.GroupRow> rows(String dawnName, PlanningWindow window) {
    return activeGroups.values().stream()
        .filter(active -> active.group().dawnName().equals(dawnName))
        .filter(active -> active.window().deadline().equals(window.deadline()))
        .map(ActiveGroup::group)
        .sorted(Comparator.comparing(group -> group.key().toString()))
        .toList();
  }

  /** Returns the rows of a dawn as they are stored. */
  List<PlanRow> rows(String dawnName) {
    List<PlanRow> rows = new ArrayList<>();
    window(dawnName).ifPresent(rows::add);
    activeGroups.values().stream()
        .filter(active -> active.group().dawnName().equals(dawnName))
        .map(ActiveGroup::group)
        .sorted(Comparator.comparing(group -> group.key().toString()))
        .forEach(rows::add);
    return rows;
  }
}
