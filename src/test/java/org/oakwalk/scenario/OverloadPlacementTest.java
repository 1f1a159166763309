package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against starvation and unused room under overload. There is more work than room, urgent
 * and ordinary, of every job shape, some of it bound to a zone, while links are slow and machines
 * are lost; the steps vary the delays and the times of the faults. The rules detect jobs that are
 * left waiting although there is room for them, job classes and teams of which less than half is
 * served, and jobs that start too late.
 */
class OverloadPlacementTest {
  private static final int STEPS = 16;

  /** Orders, reports and store requests are slow. */
  @TestFactory
  List<DynamicTest> slowLinks() {
    return sweep(
        step ->
            line("at 15 slownet nodes workers by=%.2f for=60", 0.1 * step)
                + line("at 20 slownet nodes state by=%.2f for=40", 0.03 * step)
                + line("at %.2f restart leading after=0.2", 20 + 1.5 * step));
  }

  /** The links of one zone are slow, and machines fail there and elsewhere. */
  @TestFactory
  List<DynamicTest> slowZoneWithMachineLoss() {
    return sweep(
        step ->
            line("at 15 slownet zone:b zone:a by=%.2f for=60", 0.1 * step)
                + line("at %d die host-000004", 18 + step)
                + line("at %d die host-000000", 18 + 2 * step)
                + line("at %d hang host-000001 for=%d", 20 + step, 4 + step)
                + line("at 30 noreports host-000006 for=%d", 8 + 2 * step));
  }

  /**
   * A zone is cut off, the leader restarts, and machines return after their leases have expired.
   */
  @TestFactory
  List<DynamicTest> cutZone() {
    return sweep(
        step ->
            line("at 20 cut zone:b zone:a for=%d hold", 6 + 2 * step)
                + line("at %.2f restart leading after=0.3", 19 + 0.7 * step)
                + line("at 20 slownet nodes workers by=%.2f for=50", 0.08 * step));
  }

  private interface NetworkFaults {
    String lines(int step);
  }

  private static List<DynamicTest> sweep(NetworkFaults faults) {
    List<DynamicTest> tests = new ArrayList<>();
    for (int step = 1; step <= STEPS; step++) {
      String text = text(faults.lines(step), step);
      tests.add(DynamicTest.dynamicTest("step " + step, () -> assertPasses(text)));
    }
    return tests;
  }

  private static String text(String faults, int step) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3 zones=a,b lease=10 cancel=40\n");
    text.append("team red cpus=8 max=24\nteam blue max=14\nteam guest max=20\n");
    text.append("type m cpus=4 mem=16 boot=10 fetch=0.5\n");
    text.append("machine m a 4\nmachine m b 4\ncapacity m a 0\ncapacity m b 0\n");
    text.append("at 5 submit j-1 service tasks=4 cpus=1 priority=high team=red\n");
    text.append("at 5 submit j-2 service tasks=2 cpus=1 zone=b team=blue class=bound\n");
    text.append("at 30 submit j-3 array tasks=24 run=8 team=red image=big gb=3\n");
    text.append("at 34 submit j-4 gang tasks=6 cpus=2 run=12 team=red class=gang\n");
    text.append("at 31 submit j-5 array tasks=16 run=6 zone=b team=blue class=bound\n");
    text.append("at 36 submit j-6 gang tasks=4 cpus=2 run=10 zone=b team=guest class=gang\n");
    text.append("at 12 submit j-7 array tasks=40 run=5 priority=low team=guest class=idle\n");
    text.append("at 13 submit j-8 array tasks=8 run=6 onezone team=blue class=bound\n");
    text.append("every 1 14 180 1000 array tasks=3 run=5 team=guest class=small priority=low\n");
    text.append("every 2 14 180 2000 array tasks=2 run=4 team=red class=urgent priority=high\n");
    text.append("every 4 15 180 3000 array tasks=3 run=5 zone=b team=blue class=bound\n");
    text.append(faults);
    text.append(line("at %.2f cancel j-7", 40.0 + step));
    text.append("at 400 expect j-1 on least=4\nat 400 expect j-2 on least=2\n");
    for (int gang : List.of(4, 6)) {
      text.append(line("at 400 expect j-%d begun within=240", gang));
    }
    for (int job : List.of(3, 4, 5, 6, 8)) {
      text.append(line("at 400 expect j-%d done", job));
    }
    return text.append("end 400\n").toString();
  }
}
