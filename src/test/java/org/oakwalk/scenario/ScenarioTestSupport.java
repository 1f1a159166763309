package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.oakwalk.model.Outcome;
import org.oakwalk.model.Scenario;

/** What tests share that write scenarios, step by step of some time. */
final class ScenarioTestSupport {
  private ScenarioTestSupport() {}

  /** One line of a scenario. */
  static String line(String form, Object... values) {
    return String.format(Locale.ROOT, form, values) + "\n";
  }

  /** Services that come within 2 s, a replica of two cpus for each second machine. */
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

  /** Plays a scenario that has to hold; its text stands in the failure. */
  static void assertPasses(String text) {
    Outcome outcome;
    try {
      outcome = new Scenario(text).play();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError(e.getMessage() + "\n" + text, e);
    }
    assertThat(outcome.held()).as(outcome.complaint() + "\n" + text).isTrue();
  }
}
