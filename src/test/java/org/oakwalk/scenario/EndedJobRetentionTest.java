package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioResult;

/**
 * Guards against memory growth from ended jobs. A stream of one-task jobs runs, a quarter of which
 * are cancelled; then the entries that each controller still keeps are counted.
 */
class EndedJobRetentionTest {
  private static final int JOB_COUNT = 1200;
  private static final int MAX_MACHINES = 16;
  private static final List<String> COMMAND_START_FIELDS =
      List.of(
          "UnmatchedAttempts.uncleared",
          "UnmatchedAttempts.unclearedTasks",
          "PendingStarts.commandStarted");

  private static String text(double idleSeconds) {
    return """
        settings nodes=5 zones=a,b report=2.5 lease=15.25 cancel=45.25 rps=500 write_rps=180 txn=16 limited
        type m cpus=16 mem=64 boot=20
        machine m a 4
        machine m b 4
        capacity m a 8
        at 3 submit j-1 service tasks=8
        every 0.25 5 305 1000 array tasks=1 run=3,12,25 cancels=4 by=0.1,2,6,14
        end %s
        """
        .formatted(305 + idleSeconds);
  }

  /**
   * Long after the last job has ended, each controller keeps one entry per job, from which it
   * answers users permanently. The leader also keeps, for each machine, the latest starts by
   * command, because such a command may arrive again.
   */
  @Test
  void endedJobsLeaveOneEntryEach() throws Exception {
    Scenario scenario = new Scenario(text(60));
    ScenarioResult outcome = scenario.run();
    assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
    for (Object node :
        (List<?>)
            CollectionEntryCounter.readField(
                CollectionEntryCounter.readField(scenario, "world"), "nodes")) {
      Map<String, Integer> kept =
          CollectionEntryCounter.countEntries(CollectionEntryCounter.readField(node, "controller"));
      assertThat(kept.remove("KnownJobs.jobs")).isEqualTo(JOB_COUNT + 1);
      for (String startsField : COMMAND_START_FIELDS) {
        assertThat(kept.getOrDefault(startsField, 0))
            .as(startsField)
            .isLessThanOrEqualTo(100 * MAX_MACHINES);
        kept.remove(startsField);
      }
      assertThat(kept).allSatisfy((field, size) -> assertThat(size).as(field).isLessThan(40));
      Object line = CollectionEntryCounter.readField(node, "line");
      assertThat((Collection<?>) CollectionEntryCounter.readField(line, "reading"))
          .hasSizeLessThan(10);
      assertThat((Collection<?>) CollectionEntryCounter.readField(line, "writing"))
          .hasSizeLessThan(10);
    }
  }
}
