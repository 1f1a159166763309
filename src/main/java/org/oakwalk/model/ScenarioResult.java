package org.oakwalk.model;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Result of a scenario run.
 *
 * @param violations violated rules, each with the time and description of the first violation
 * @param expectedViolations rules that the scenario violates on purpose
 * @param failedExpectations messages of the expectations that did not hold
 * @param metrics service metrics by name, in a fixed order
 * @param planningReport promised and completed tasks by deadline window, one line for each group of
 *     jobs
 */
public record ScenarioResult(
    Map<String, String> violations,
    Set<String> expectedViolations,
    List<String> failedExpectations,
    Map<String, Double> metrics,
    List<String> planningReport) {

  /** Whether all expectations held and exactly the expected rules were violated. */
  public boolean passed() {
    return failedExpectations.isEmpty() && violations.keySet().equals(expectedViolations);
  }

  /**
   * Returns the unexpected violations, missing violations and failed expectations, one line each.
   */
  public String failureMessage() {
    StringBuilder text = new StringBuilder();
    violations.forEach(
        (rule, description) -> {
          if (!expectedViolations.contains(rule)) {
            text.append("rule ")
                .append(rule)
                .append(" violated at ")
                .append(description)
                .append('\n');
          }
        });
    for (String rule : expectedViolations) {
      if (!violations.containsKey(rule)) {
        text.append("rule ").append(rule).append(" should have been violated\n");
      }
    }
    failedExpectations.forEach(line -> text.append(line).append('\n'));
    return text.toString();
  }
}
