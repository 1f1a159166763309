package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Restarts leaders in quick succession, in small steps of time, while jobs are submitted and
 * cancelled, so that each step of a claim and of the recovery is interrupted by a loss of the
 * leader. Guards against lost jobs, tasks of cancelled jobs that go on running, and users without
 * an answer.
 */
class RepeatedFailoverTest {
  private static final int STEP_MILLIS = 50;
  private static final int STEPS = 30;
  private static final double[] RESTART_DELAYS_S = {0.1, 0.3, 0.9};
  private static final int FIRST_JOB = 100;
  private static final int JOB_COUNT = 32;

  /**
   * The leader restarts, its successor some time later, the next one after the same time again, and
   * finally all nodes.
   */
  @TestFactory
  List<DynamicTest> leadersRestartInSuccession() {
    return sweep(
        (apart, restartDelay) ->
            "at 9.8 cut host-000001 nodes for=4\n"
                + line("at 10 restart leading after=%.2f", restartDelay)
                + line("at %.2f restart leading after=%.2f", 10 + apart, restartDelay)
                + line("at %.2f restart leading after=%.2f", 10 + 2 * apart, restartDelay)
                + line("at %.2f restart all after=%.2f", 16 + apart, restartDelay));
  }

  /**
   * All nodes crash; one returns and restarts again in the middle of its takeover; the others
   * follow later.
   */
  @TestFactory
  List<DynamicTest> allCrashAndOneReturns() {
    return sweep(
        (apart, restartDelay) ->
            line("at 10 crash all")
                + line("at %.2f restart node-1", 10 + restartDelay)
                + line("at %.2f restart node-1 after=%.2f", 10 + restartDelay + apart, restartDelay)
                + line("at %.2f restart node-0", 12 + apart)
                + line("at %.2f refuse leading for=%.2f", 13 + apart, 3 * restartDelay)
                + line("at 17 restart down"));
  }

  /** The leader loses the store, then all nodes do, while leaders restart. */
  @TestFactory
  List<DynamicTest> storeFailuresDuringRestarts() {
    return sweep(
        (apart, restartDelay) ->
            line("at 10 refuse leading for=%.2f", 3 + restartDelay)
                + line("at %.2f outage state for=%.2f", 12.3 + apart, restartDelay)
                + line("at %.2f restart leading after=%.2f", 12.4 + apart, restartDelay)
                + line("at %.2f cut leading everybody for=%.2f", 14 + apart, 2 * restartDelay));
  }

  private interface FailoverFaults {
    String lines(double apart, double restartDelay);
  }

  private static List<DynamicTest> sweep(FailoverFaults faults) {
    List<DynamicTest> tests = new ArrayList<>();
    for (int step = 1; step <= STEPS; step++) {
      double apart = step * STEP_MILLIS / 1000.0;
      double restartDelay = RESTART_DELAYS_S[step % RESTART_DELAYS_S.length];
      tests.add(
          DynamicTest.dynamicTest(
              line("%.2f s apart, back after %.1f s", apart, restartDelay).trim(),
              () -> assertPasses(text(faults.lines(apart, restartDelay), apart))));
    }
    return tests;
  }

  private static String text(String faults, double apart) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3\ntype m cpus=4 mem=16 boot=10\nmachine m a 4\n");
    text.append("capacity m a 4\n");
    text.append(line("every 0.25 8 %.2f %d array tasks=2 run=3", 8 + JOB_COUNT * 0.25, FIRST_JOB));
    text.append("at 3 submit j-1 service tasks=2\nat 3 submit j-2 service tasks=2\n");
    text.append("at 4 submit j-3 array tasks=20 run=4\n");
    text.append(line("at %.2f cancel j-2", 10 + apart + 0.05));
    text.append(line("at %.2f cancel j-104", 10 + apart / 2));
    text.append(line("at %.2f cancel j-112", 11.2 + apart));
    text.append(faults);
    text.append("at 75 expect j-1 on least=2\nat 75 expect j-1 open\nat 75 expect j-2 cancelled\n");
    text.append("at 75 expect j-2 on most=0\nat 75 expect j-3 done\n");
    for (int job = FIRST_JOB; job < FIRST_JOB + JOB_COUNT; job++) {
      if (job != 104 && job != 112) {
        text.append(line("at 75 expect j-%d done", job));
      }
    }
    return text.append("at 75 expect answered within=9 open\nend 76\n").toString();
  }
}
