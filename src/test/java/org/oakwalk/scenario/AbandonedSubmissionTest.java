package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioResult;

/**
 * Checks when the simulator excuses a job that is not done: only if it was never accepted and its
 * user retried for the whole retry period while no controller could store the job.
 */
class AbandonedSubmissionTest {
  private static final String FLEET =
      "settings nodes=3 zones=a report=1 lease=10 cancel=40\n"
          + "type m cpus=4 mem=16 boot=5\n"
          + "machine m a 2\n"
          + "at 3 submit j-1 array tasks=2 run=5\n";

  private static ScenarioResult run(String lines) {
    return new Scenario(FLEET + lines + "at 118 expect j-2 served\nend 120\n").run();
  }

  @Test
  void servedJobPasses() {
    assertThat(run("at 20 submit j-2 array tasks=2 run=5\n").passed()).isTrue();
  }

  @Test
  void outageOfRetryPeriodExcusesUnservedJob() {
    ScenarioResult outcome =
        run("at 19 outage state for=63\nat 20 submit j-2 array tasks=2 run=5\n");
    assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
  }

  @Test
  void slowStoreAnswersExcuseUnservedJob() {
    ScenarioResult outcome =
        run("at 19 slownet nodes state for=63 by=0.9\nat 20 submit j-2 array tasks=2 run=5\n");
    assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
  }

  @Test
  void shorterOutageDoesNotExcuseUnservedJob() {
    // Muting the user simulates controllers that fail to accept a job that they could store.
    ScenarioResult outcome =
        run(
            "at 19 outage state for=50\n"
                + "at 20 submit j-2 array tasks=2 run=5\n"
                + "at 20.001 mute j-2\n");
    assertThat(outcome.failureMessage()).contains("expected at 118 expect j-2 served");
  }

  @Test
  void acceptedJobMustBeServed() {
    // The submission is already in transit when its user is muted.
    ScenarioResult outcome = run("at 20 submit j-2 array tasks=2 run=5\nat 20.001 mute j-2\n");
    assertThat(outcome.failureMessage()).contains("expected at 118 expect j-2 served");
  }

  @Test
  void unservedJobNotExcusedWhileUserRetries() {
    ScenarioResult outcome =
        run("at 60 outage state for=55\nat 70 submit j-2 array tasks=2 run=60\n");
    assertThat(outcome.failureMessage()).contains("expected at 118 expect j-2 served");
  }
}
