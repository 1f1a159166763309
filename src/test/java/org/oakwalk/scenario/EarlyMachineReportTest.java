package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against tasks that run twice, jobs that never end and machines that are never returned
 * when rented machines report early: before their rental is answered, before the cloud's list shows
 * them, and before their registry entry is written, confirmed or applied. The machines get work at
 * once, and the leader fails in each step of this.
 */
class EarlyMachineReportTest {
  private static final int STEP_MILLIS = 100;
  private static final int STEPS = 26;
  private static final String[] LEADER_FAULTS = {
    "crash leader", "restart leader after=0.1", "freeze leader for=5", "refuse leader for=6"
  };

  /** Reports arrive before the answer to the rental request. */
  @TestFactory
  List<DynamicTest> rentalAnswerDelayed() {
    return sweep("at 4.9 slownet cloud nodes by=0.7 for=12\n");
  }

  /** Rental requests are executed but never answered. */
  @TestFactory
  List<DynamicTest> rentalAnswerLost() {
    return sweep("at 4.9 laterentals for=9\n");
  }

  /** Rental requests are executed seconds later, in the next leader's term, and never answered. */
  @TestFactory
  List<DynamicTest> rentalDelayedAndAnswerLost() {
    return sweep("at 4.9 laterentals for=4 after=3.5\n");
  }

  /** The registry entries of new machines are written late, without an answer. */
  @TestFactory
  List<DynamicTest> registryWriteDelayed() {
    return sweep("at 4.9 latewrites all for=6 share=0.6 key=oak/machine\n");
  }

  /** The registry entries are written at once, and only the answer is lost. */
  @TestFactory
  List<DynamicTest> registryWriteAnswerLost() {
    return sweep("at 4.9 latewrites all for=6 after=0 key=oak/machine\n");
  }

  /** All store requests and rental requests are slow. */
  @TestFactory
  List<DynamicTest> storeAndCloudSlow() {
    return sweep(
        "at 4.9 slownet nodes state by=0.4 for=8\nat 4.9 slownet cloud nodes by=0.5 for=8\n");
  }

  private static List<DynamicTest> sweep(String delays) {
    List<DynamicTest> tests = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      double at = 5.1 + step * STEP_MILLIS / 1000.0;
      String leaderFault = LEADER_FAULTS[step % LEADER_FAULTS.length];
      tests.add(
          DynamicTest.dynamicTest(
              line("%s at %.1f s", leaderFault, at).trim(),
              () -> assertPasses(text(delays, at, leaderFault))));
    }
    return tests;
  }

  /**
   * The only initial machine is filled by a service, so that all other work goes to new machines;
   * one of these is cut off as the leader fails.
   */
  private static String text(String delays, double at, String leaderFault) {
    return "settings nodes=3 lag=5\nteam crew max=40\ntype m cpus=4 mem=16 boot=20\nmachine m a 1\n"
        + "capacity m a 9\n"
        + "at 2 submit j-1 service tasks=4\n"
        + "at 4.9 quickboots 2\n"
        + delays
        + "at 5 submit j-2 service tasks=6\nat 5 submit j-3 array tasks=24 run=9\n"
        + "at 5.5 submit j-4 array tasks=12 run=3\nat 5.5 submit j-5 service tasks=3\n"
        + line("at %.2f cut host-000001 nodes for=7", at)
        + line("at %.2f %s", at, leaderFault)
        + line("at %.2f cancel j-5", Math.max(5.6, at + 0.3))
        + "at 14 restart down\n"
        + "at 100 expect j-1 on least=4\nat 100 expect j-2 on least=6\nat 100 expect j-3 done\n"
        + "at 100 expect j-4 done\nat 100 expect j-5 cancelled\nat 100 expect j-5 on most=0\n"
        // Unneeded machines are returned, regardless of the leader that rented them.
        + "at 175 expect machines most=6\nat 175 expect answered within=9 open\nend 176\n";
  }
}
