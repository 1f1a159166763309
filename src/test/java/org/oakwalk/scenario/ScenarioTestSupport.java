package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioResult;

/** Helpers for tests that generate scenario texts, often in small steps of time. */
final class ScenarioTestSupport {
  private ScenarioTestSupport() {}

  /** Formats one line of a scenario. */
  static String line(String format, Object... values) {
    return String.format(Locale.ROOT, format, values) + "\n";
  }

  /** Submits services within 2 s, with one replica of two CPUs for every second machine. */
  static String serviceJobs(int machines) {
    StringBuilder text = new StringBuilder();
    for (int job = 0; job < machines / 10; job++) {
      text.append(
          line(
              "at %.3f submit j-%d service tasks=5 cpus=2 priority=high class=front image=s%d gb=1",
              3 + job * 20.0 / machines, 100_000 + job, job % 8));
    }
    return text.toString();
  }

  /** Runs a scenario and asserts that it passes; the failure message includes the scenario text. */
  static void assertPasses(String text) {
    ScenarioResult outcome;
    try {
      outcome = new Scenario(text).run();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError(e.getMessage() + "\n" + text, e);
    }
    assertThat(outcome.passed()).as(outcome.failureMessage() + "\n" + text).isTrue();
  }
}
