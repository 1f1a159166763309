package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioResult;

/** One-task jobs come in a stream, a quarter of them cancelled: what a controller keeps of them. */
class StreamTest {
  private static final int JOBS = 1200;
  private static final int MACHINES = 16;
  private static final List<String> STARTS_BY_COMMAND =
      List.of(
          "UnmatchedAttempts.uncleared",
          "UnmatchedAttempts.unclearedTasks",
          "PendingStarts.commandStarted");

  private static String text(double rest) {
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
        .formatted(305 + rest);
  }

  /**
   * Long after the last one each controller keeps one entry a job, by which it answers for ever;
   * the leader besides, of each machine, the last starts by command that might come once more.
   */
  @Test
  void nothingIsKeptOfJobsThatAreOver() throws Exception {
    Scenario scenario = new Scenario(text(60));
    ScenarioResult outcome = scenario.run();
    assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
    for (Object node : (List<?>) Census.field(Census.field(scenario, "world"), "nodes")) {
      Map<String, Integer> kept = Census.of(Census.field(node, "controller"));
      assertThat(kept.remove("KnownJobs.jobs")).isEqualTo(JOBS + 1);
      for (String starts : STARTS_BY_COMMAND) {
        assertThat(kept.getOrDefault(starts, 0)).as(starts).isLessThanOrEqualTo(100 * MACHINES);
        kept.remove(starts);
      }
      assertThat(kept).allSatisfy((field, size) -> assertThat(size).as(field).isLessThan(40));
      Object line = Census.field(node, "line");
      assertThat((Collection<?>) Census.field(line, "reading")).hasSizeLessThan(10);
      assertThat((Collection<?>) Census.field(line, "writing")).hasSizeLessThan(10);
    }
  }
}
