package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Drain plans and disruption budgets that operators have declared. */
public record DrainPolicy(List<DrainPlan> plans, List<DisruptionBudget> budgets) {
  public static final DrainPolicy NONE = new DrainPolicy(List.of(), List.of());

  /** Team name of a budget that applies to each team without a budget of its own. */
  public static final String EVERY_TEAM = "*";

  /** Returns the budgets, with each {@link #EVERY_TEAM} budget expanded to one budget per team. */
  public List<DisruptionBudget> budgetsFor(Collection<String> teams) {
    List<DisruptionBudget> expanded = new ArrayList<>();
    for (DisruptionBudget budget : budgets) {
      if (!budget.team().equals(EVERY_TEAM)) {
        expanded.add(budget);
        continue;
      }
      for (String team : teams) {
        DisruptionBudget own =
            new DisruptionBudget(
                team, budget.jobClass(), budget.maxDown(), budget.maxStopsPerHour());
        if (budgets.stream().noneMatch(other -> other.name().equals(own.name()))) {
          expanded.add(own);
        }
      }
    }
    return expanded;
  }
}
