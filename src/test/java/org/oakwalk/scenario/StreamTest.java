package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.oakwalk.model.Outcome;
import org.oakwalk.model.Scenario;

/** One-task jobs come in a stream, a quarter of them cancelled: what a controller keeps of them. */
class StreamTest {
  private static final int JOBS = 1200;

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

  @Test
  void nothingIsKeptOfJobsThatAreOver() throws Exception {
    Scenario scenario = new Scenario(text(60));
    Outcome outcome = scenario.play();
    assertThat(outcome.held()).as(outcome.complaint()).isTrue();
    for (Object node : (List<?>) Census.field(Census.field(scenario, "world"), "nodes")) {
      Map<String, Integer> kept = new TreeMap<>(Census.of(Census.field(node, "controller")));
      kept.values().removeIf(size -> size < 30);
      System.out.println(kept);
    }
  }
}
