package org.oakwalk.model;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What came of a scenario.
 *
 * @param violations rules that were broken, each with when and how
 * @param expectedViolations rules that the scenario breaks on purpose
 * @param failedExpectations expectations that did not hold, with their lines
 * @param metrics how well it served, by name, as {@code name value} pairs in a fixed order
 * @param planningReport what was promised for each dawn and what was done, a line for each group
 */
public record ScenarioResult(
    Map<String, String> violations,
    Set<String> expectedViolations,
    List<String> failedExpectations,
    Map<String, Double> metrics,
    List<String> planningReport) {

  /** Whether everything was as the scenario says. */
  public boolean passed() {
    return failedExpectations.isEmpty() && violations.keySet().equals(expectedViolations);
  }

  /** What was not as the scenario says, a line each. */
  public String failureMessage() {
    StringBuilder text = new StringBuilder();
    violations.forEach(
        (rule, how) -> {
          if (!expectedViolations.contains(rule)) {
            text.append("rule ").append(rule).append(" broken at ").append(how).append('\n');
          }
        });
    for (String rule : expectedViolations) {
      if (!violations.containsKey(rule)) {
        text.append("rule ").append(rule).append(" should have been broken\n");
      }
    }
    failedExpectations.forEach(line -> text.append(line).append('\n'));
    return text.toString();
  }
}
