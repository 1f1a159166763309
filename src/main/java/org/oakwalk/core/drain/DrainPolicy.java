package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** What operators declare about machines that are to go, and about what that may cost. */
public record DrainPolicy(List<DrainPlan> plans, List<DisruptionBudget> budgets) {
  public static final DrainPolicy NONE = new DrainPolicy(List.of(), List.of());

  /** Stands for every team that has no budget of its own. */
  public static final String EVERY_TEAM = "*";

  /** The budgets, with one for each team in place of one for every team. */
  public List<DisruptionBudget> budgetsFor(Collection<String> teams) {
    List<DisruptionBudget> each = new ArrayList<>();
    for (DisruptionBudget budget : budgets) {
      if (!budget.team().equals(EVERY_TEAM)) {
        each.add(budget);
        continue;
      }
      for (String team : teams) {
        DisruptionBudget own =
            new DisruptionBudget(
                team, budget.jobClass(), budget.maxDown(), budget.maxStopsPerHour());
        if (budgets.stream().noneMatch(other -> other.name().equals(own.name()))) {
          each.add(own);
        }
      }
    }
    return each;
  }
}
