package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against new leaders that act on outdated reports as if they were current. Copies of
 * machine reports are kept for the next leader and reach every controller as that leader's term
 * begins, in each step of its recovery, or after its first start of a task. Then the newest reports
 * arrive, or none, since the machines are cut off.
 */
class StaleReportsTest {
  /** Delays of the copies after the beginning of the term, or after the leader's first start. */
  private static final double[] ARRIVAL_DELAYS_S = {
    0, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1, 1.5, 2.5, 5, 9, 14
  };

  /**
   * The last reports to the old leader arrive again, and the machines go on reporting after them.
   */
  @TestFactory
  List<DynamicTest> reportsToPreviousLeader() {
    return sweep(
        (after, trigger) ->
            line("at 8.2 latereports workers for=1.6 fornext after=%.2f %s", after, trigger)
                + "at 10 restart leader after=0.1\n");
  }

  /**
   * As above, and some machines send no other report for a while, or for longer than their lease.
   */
  @TestFactory
  List<DynamicTest> reportsOfCutOffMachines() {
    return sweep(
        (after, trigger) ->
            line("at 8.2 latereports workers for=1.6 fornext after=%.2f %s", after, trigger)
                + "at 9.8 cut host-000000 nodes for=6\nat 9.8 cut host-000001 nodes for=16\n"
                + "at 10 restart leader after=0.1\n");
  }

  /**
   * Machines have begun a new session since the report and run other tasks, or none; so many
   * machines that none is returned.
   */
  @TestFactory
  List<DynamicTest> reportsOfPreviousSession() {
    return sweep(
        (after, trigger) ->
            line("at 6 latereports workers for=2 fornext after=%.2f %s", after, trigger)
                + "at 8 cut workers nodes for=13\n"
                + "at 25 cut host-000000 nodes for=4\nat 25.1 restart leader after=0.1\n");
  }

  /**
   * The machine's last tasks were started by command after the kept report, and it is cut off
   * before the next leader's term begins.
   */
  @TestFactory
  List<DynamicTest> reportsFromBeforeLastStarts() {
    return sweep(
        (after, trigger) ->
            line("at 5 latereports workers for=0.9 fornext after=%.2f %s", after, trigger)
                + "at 6 submit j-5 service tasks=4\nat 6.4 cut host-000000 nodes for=14\n"
                + "at 6.4 cut host-000001 nodes for=4\nat 6.4 cut host-000002 nodes for=4\n"
                + "at 6.5 restart leader after=0.1\nat 89 expect j-5 on least=4\n");
  }

  /** The original reports of the last seconds are held back, so that only the copies arrive. */
  @TestFactory
  List<DynamicTest> originalReportsHeldBack() {
    return sweep(
        (after, trigger) ->
            line("at 7 latereports workers for=3.5 fornext held after=%.2f %s", after, trigger)
                + "at 10 restart leader after=0.1\n");
  }

  /**
   * The reports carry the new leader's own token, which it sends to workers before it can process
   * reports.
   */
  @TestFactory
  List<DynamicTest> reportsUnderNewToken() {
    return sweep(
        (after, trigger) ->
            "at 9.9 slownet nodes state by=0.4 for=7\n"
                + line("at 11 latereports workers for=3 after=%.2f", 1 + after)
                + "at 10 restart leader after=0.1\n"
                + line("at %.2f cut host-000000 nodes for=12", 13 + after % 1)
                + line("at %.2f cut host-000001 nodes for=5", 13.2 + after % 1));
  }

  /** Two leaders take over within seconds. */
  @TestFactory
  List<DynamicTest> twoSuccessiveLeaders() {
    return sweep(
        (after, trigger) ->
            line("at 8.2 latereports workers for=5 fornext after=%.2f %s", after, trigger)
                + "at 10 restart leader after=0.1\n"
                + "at 11.3 restart leading after=0.1\nat 12.9 restart leading after=0.1\n");
  }

  private interface ReportFaults {
    String lines(double after, String trigger);
  }

  private static List<DynamicTest> sweep(ReportFaults faults) {
    List<DynamicTest> tests = new ArrayList<>();
    for (double after : ARRIVAL_DELAYS_S) {
      for (String trigger : List.of("", "acted")) {
        tests.add(
            DynamicTest.dynamicTest(
                line("%.2f s after the leader %s", after, trigger.isEmpty() ? "began" : trigger)
                    .trim(),
                () -> assertPasses(text(faults.lines(after, trigger)))));
      }
    }
    return tests;
  }

  /** A team at its limit, tasks that start and end continuously, and one job that is cancelled. */
  private static String text(String faults) {
    return "settings nodes=3\nteam crew max=18\ntype m cpus=4 mem=16 boot=10\nmachine m a 5\n"
        + "capacity m a 3\n"
        + "at 3 submit j-1 service tasks=4\nat 3 submit j-2 service tasks=3\n"
        + "at 3 submit j-3 array tasks=40 run=1.3\nat 3 submit j-4 array tasks=12 run=6\n"
        + "every 0.5 6 18 100 array tasks=2 run=0.8\n"
        + "at 9.9 cancel j-2\n"
        + faults
        + "at 89 expect j-1 on least=4\nat 89 expect j-2 cancelled\nat 89 expect j-2 on most=0\n"
        + "at 89 expect j-3 done\nat 89 expect j-4 done\nat 89 expect j-100 done\n"
        + "at 89 expect j-123 done\nat 89 expect answered within=9 open\nend 90\n";
  }
}
