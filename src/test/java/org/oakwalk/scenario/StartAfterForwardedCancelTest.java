package org.oakwalk.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against starts of a job after the leader has forwarded its cancellation and told the user
 * that it is cancelled.
 *
 * <p>A controller has just become leader when the state service refuses this controller only. A
 * user asks it to cancel a job. It can't write the withdrawal itself, so it forwards the request to
 * a controller that can, receives "cancelled", and tells its user so. Its own copy of the store
 * does not contain the withdrawal, so a second later it started a task of that job on room that had
 * just become free.
 *
 * <p>The log of the generated scenario with seed 3617 showed this: "request for job j-42 forwarded
 * to node-0, answered CANCELLED; copy of the store at revision 42" at 24.31 s, where the withdrawal
 * is revision 45; and "task j-42/1 placed on host-000009, copy of the store at revision 42" at
 * 25.51 s. The order was not an older one delayed in transit, and neither a read nor a write of its
 * own had shown the leader the withdrawal.
 *
 * <p>In this test, waiting jobs find room one after the other every 100 ms from the refusal on, and
 * each is cancelled through the leader some time before that.
 */
class StartAfterForwardedCancelTest {
  private static final double REFUSAL_S = 20.5;
  private static final int JOB_COUNT = 24;
  private static final double START_INTERVAL_S = 0.1;

  /** Times from a job's cancellation until room becomes free for it. */
  private static final List<Double> CANCEL_LEADS_S =
      List.of(0.0, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2);

  /** Additional faults between the controllers and the state service; empty for none. */
  private static final List<String> CONCURRENT_FAULTS =
      List.of(
          "",
          "at 20.45 slownet nodes state by=0.15 for=4",
          "at 20.45 slownet leading nodes by=0.1 for=4",
          "at 20.45 latewrites followers for=4 share=0.5 atonce",
          "at 22.5 restart leading after=0.2",
          "at 20.3 closelooks for=10 every=5 rounds=3",
          "at 22 outage state for=20");

  @TestFactory
  Stream<DynamicTest> noStartAfterForwardedCancellation() {
    List<DynamicTest> tests = new ArrayList<>();
    for (double leadTime : CANCEL_LEADS_S) {
      for (String fault : CONCURRENT_FAULTS) {
        String text = text(leadTime, fault);
        tests.add(
            DynamicTest.dynamicTest(
                "cancelled " + leadTime + " s before room is free; " + fault,
                () -> ScenarioTestSupport.assertPasses(text)));
      }
    }
    return tests.stream();
  }

  private static String text(double leadTime, String fault) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3 zones=a,b report=1 lease=10 cancel=45\n");
    text.append("type m cpus=4 mem=16 boot=8\ncapacity m a 0\ncapacity m b 0\n");
    text.append("machine m a 3\nmachine m b 3\n");
    for (int job = 1; job <= JOB_COUNT; job++) {
      double freeAt = REFUSAL_S + job * START_INTERVAL_S;
      text.append(
          ScenarioTestSupport.line(
              "at 3 submit j-%d array tasks=1 run=%.2f priority=high", job, freeAt - 3.2));
      text.append(
          ScenarioTestSupport.line(
              "at %.2f submit j-%d service tasks=1", 4 + job * 0.05, 100 + job));
      text.append(
          ScenarioTestSupport.line("at %.3f cancel j-%d on=leading", freeAt - leadTime, 100 + job));
    }
    text.append("at 20 restart leader after=0.1\n");
    text.append(ScenarioTestSupport.line("at %.2f refuse leading for=9", REFUSAL_S));
    if (!fault.isEmpty()) {
      text.append(fault).append('\n');
    }
    text.append("end 120\n");
    return text.toString();
  }
}
