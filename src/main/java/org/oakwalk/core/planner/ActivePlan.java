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

/** A stored revision of the plan, as it is looked up. */
final class ActivePlan {
  static final ActivePlan NONE = new ActivePlan(List.of());

  /**
   * A group's line.
   *
   * @param rank its place in the order of the latest starts, from 0 to 1
   */
  record ActiveGroup(PlanRow.GroupRow group, PlanRow.WindowRow window, double rank) {
    /** Whether only a part of the group is promised. */
    boolean isPartial() {
      return window.share() < 1;
    }
  }

  private final Map<GroupKey, ActiveGroup> activeGroups = new HashMap<>();
  private final Map<String, PlanRow.WindowRow> windows = new HashMap<>();

  ActivePlan(List<PlanRow> rows) {
    List<PlanRow.GroupRow> groups = new ArrayList<>();
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.WindowRow night) {
        windows.put(night.dawnName(), night);
      } else if (row instanceof PlanRow.GroupRow group) {
        groups.add(group);
      }
    }
    groups.sort(
        Comparator.comparingLong((PlanRow.GroupRow group) -> group.latestStart().millis())
            .thenComparing(group -> group.key().toString()));
    for (int i = 0; i < groups.size(); i++) {
      PlanRow.WindowRow night = windows.get(groups.get(i).dawnName());
      if (night != null) {
        activeGroups.put(
            groups.get(i).key(), new ActiveGroup(groups.get(i), night, i / (double) groups.size()));
      }
    }
  }

  Optional<ActiveGroup> find(GroupKey key) {
    return Optional.ofNullable(activeGroups.get(key));
  }

  Iterable<ActiveGroup> all() {
    return activeGroups.values();
  }

  Optional<PlanRow.WindowRow> window(String dawn) {
    return Optional.ofNullable(windows.get(dawn));
  }

  /** The plan of exactly this window, if there is one. */
  Optional<PlanRow.WindowRow> window(String dawn, PlanningWindow window) {
    return window(dawn).filter(night -> night.deadline().equals(window.deadline()));
  }

  /** Groups that are planned for a dawn that is yet to come. */
  Set<GroupKey> upcomingKeys(WallTime now) {
    Set<GroupKey> keys = new HashSet<>();
    activeGroups.forEach(
        (key, entry) -> {
          if (entry.window().deadline().millis() > now.millis()) {
            keys.add(key);
          }
        });
    return keys;
  }

  /** The groups of exactly this window. */
  List<PlanRow.GroupRow> rows(String dawn, PlanningWindow window) {
    return activeGroups.values().stream()
        .filter(entry -> entry.group().dawnName().equals(dawn))
        .filter(entry -> entry.window().deadline().equals(window.deadline()))
        .map(ActiveGroup::group)
        .sorted(Comparator.comparing(group -> group.key().toString()))
        .toList();
  }

  /** The lines of a dawn, as they are stored. */
  List<PlanRow> rows(String dawn) {
    List<PlanRow> rows = new ArrayList<>();
    window(dawn).ifPresent(rows::add);
    activeGroups.values().stream()
        .filter(entry -> entry.group().dawnName().equals(dawn))
        .map(ActiveGroup::group)
        .sorted(Comparator.comparing(group -> group.key().toString()))
        .forEach(rows::add);
    return rows;
  }
}
