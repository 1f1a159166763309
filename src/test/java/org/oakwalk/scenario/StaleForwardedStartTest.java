package org.oakwalk.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against starts of cancelled jobs that reach workers through a follower.
 *
 * <p>Some workers can't reach the leader, so a follower forwards their reports to it and returns
 * its orders. Then the state service refuses the leader only. Users cancel jobs at the follower,
 * which stores the withdrawals and confirms them. The leader does not see them yet and starts these
 * jobs in its answers to forwarded reports as room becomes free. The follower passed these starts
 * on to the workers although it knew of the withdrawals.
 *
 * <p>A review of the paths related to seed 3617 ({@link StartAfterForwardedCancelTest}, where the
 * leader itself had told the user) found this fault. The rule started_after_cancel did not cover
 * starts that a follower passes on, so no generated scenario could show it.
 */
class StaleForwardedStartTest {
  private static final int JOB_COUNT = 24;

  @TestFactory
  Stream<DynamicTest> noTaskOfCancelledJobStartsThroughFollower() {
    List<DynamicTest> tests = new ArrayList<>();
    for (double refused = 17; refused < 22; refused += 0.125) {
      String text = text(refused);
      tests.add(
          DynamicTest.dynamicTest(
              "refused at " + refused, () -> ScenarioTestSupport.assertPasses(text)));
    }
    return tests.stream();
  }

  private static String text(double refused) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3 zones=a,b report=1 lease=10 cancel=45\n");
    text.append("type m cpus=4 mem=16 boot=8\ncapacity m a 0\ncapacity m b 0\n");
    text.append("machine m a 3\nmachine m b 3\n");
    for (int host = 3; host < 6; host++) {
      text.append(ScenarioTestSupport.line("at 6.5 cut leader host-%06d for=40", host));
    }
    for (int job = 1; job <= JOB_COUNT; job++) {
      double run = (job <= 8 ? 13.5 : 11.4) + 0.2 * job;
      text.append(
          ScenarioTestSupport.line(
              "at 3 submit j-%d array tasks=1 run=%.2f priority=high", job, run));
      text.append(
          ScenarioTestSupport.line(
              "at %.2f submit j-%d service tasks=1", 8 + job * 0.05, 100 + job));
      double cancelled = refused + 0.05 + 0.01 * job;
      text.append(
          ScenarioTestSupport.line("at %.3f cancel j-%d on=followers", cancelled, 100 + job));
    }
    text.append(ScenarioTestSupport.line("at %.3f refuse leader for=9", refused));
    text.append("end 120\n");
    return text.toString();
  }
}
