package org.oakwalk.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Injects the faults that large fleets meet into a fleet under steady load. All rules must hold,
 * and an urgent job that is submitted during the fault or just after it must start within the time
 * that docs/design.md derives from the settings.
 *
 * <p>The build runs 400 machines; {@code -Doakwalk.largeFleet=4000} runs other sizes, separated by
 * commas.
 */
class LargeFleetTest {
  private static final String FLEET_SIZES = System.getProperty("oakwalk.largeFleet", "400");
  private static final double REPORT_INTERVAL_S = 2.5;
  private static final double LEASE_S = 15;
  private static final double CANCEL_DEADLINE_S = 45;

  /** Duration of the leader key's lease, plus the delay with which it may expire. */
  private static final double LEADER_LEASE_S = 2.6;

  /** Time in which a node notices that the key is gone, obtains a lease and sees its own claim. */
  private static final double CLAIM_S = 1;

  /**
   * Maximum number of machines to which the new token is pushed in one tick, and the tick interval.
   */
  private static final double TOKENS_PER_TICK = 50;

  private static final double TICK_S = 0.05;

  /** One scheduling round, the delivery of the start and the fetch of the image. */
  private static final double ROUND_AND_START_S = 3;

  /**
   * Margin added to a lease before it counts as expired, and maximum time until the next read of
   * the store.
   */
  private static final double LEASE_EXPIRY_MARGIN_S = 0.5;

  private static final double READ_S = 1.5;

  private static final double FAULT_S = 40;

  @TestFactory
  Stream<DynamicTest> urgentJobStartsInTime() {
    return Arrays.stream(FLEET_SIZES.split(","))
        .map(Integer::parseInt)
        .flatMap(LargeFleetTest::tests);
  }

  private static Stream<DynamicTest> tests(int machines) {
    double takeover = takeoverSeconds(machines);
    Map<String, String> faults = new TreeMap<>();
    faults.put(
        "leader crashes",
        text(machines, "crash leader", "") + expectStart(700_000, FAULT_S + 0.1, takeover));
    faults.put(
        "all controllers restart within 0.3 s",
        text(machines, "restart all after=0.3", "")
            + expectStart(700_000, FAULT_S + 1, takeover + 1));
    faults.put(
        "zone cut off for longer than a lease",
        text(machines, "cut zone:b everybody for=20 hold", "")
            + expectStart(700_000, FAULT_S + 0.1, takeover + 20));
    faults.put(
        "state service down for a minute",
        text(machines, "outage state for=60", "") + expectStart(700_000, FAULT_S + 62, takeover));
    faults.put(
        "a fifth of all machines die",
        text(machines, machineDeaths(machines / 5), "")
            + expectStart(700_000, FAULT_S + 0.1, restartElsewhereSeconds()));
    return faults.entrySet().stream()
        .map(
            fault ->
                DynamicTest.dynamicTest(
                    machines + " machines: " + fault.getKey(),
                    () -> ScenarioTestSupport.assertPasses(fault.getValue())));
  }

  /**
   * Returns the time from the loss of the leader until its successor has placed the jobs that
   * arrived in between.
   */
  private static double takeoverSeconds(int machines) {
    double tokenConfirmed = Math.max(1.25 * REPORT_INTERVAL_S, machines / TOKENS_PER_TICK * TICK_S);
    return LEADER_LEASE_S + CLAIM_S + tokenConfirmed + ROUND_AND_START_S;
  }

  /**
   * Returns the time within which a task starts that was sent to a machine which had just died. The
   * failure is not detected directly; the task may start elsewhere only when a read shows that its
   * lease has certainly expired.
   */
  private static double restartElsewhereSeconds() {
    return LEASE_S + LEASE_EXPIRY_MARGIN_S + READ_S + ROUND_AND_START_S;
  }

  private static String text(int machines, String action, String moreLines) {
    StringBuilder text = new StringBuilder();
    text.append(
        ScenarioTestSupport.line(
            "settings nodes=5 zones=a,b report=%.2f lease=%.2f cancel=%.2f rps=%d write_rps=%d txn=32",
            REPORT_INTERVAL_S,
            LEASE_S,
            CANCEL_DEADLINE_S,
            Math.max(400, machines),
            Math.max(200, machines / 2)));
    text.append("type m cpus=16 mem=64 boot=20 cache=50 fetch=1\n");
    for (String zone : List.of("a", "b")) {
      text.append(ScenarioTestSupport.line("machine m %s %d", zone, machines / 2));
      text.append(ScenarioTestSupport.line("capacity m %s %d", zone, machines / 4));
    }
    text.append(ScenarioTestSupport.serviceJobs(machines));
    text.append(
        ScenarioTestSupport.line(
            "every %.4f 8 90 1000 array tasks=16 run=30 guess=30 class=batch image=b gb=1",
            80.0 / machines));
    text.append(ScenarioTestSupport.line("at %.1f %s", FAULT_S, action));
    text.append(moreLines);
    text.append("end 170\n");
    return text.toString();
  }

  private static String machineDeaths(int count) {
    StringBuilder text = new StringBuilder("die host-000000\n");
    for (int host = 1; host < count; host++) {
      text.append(ScenarioTestSupport.line("at %.1f die host-%06d", FAULT_S, host * 5));
    }
    return text.toString();
  }

  /** Submits an urgent job at this time and expects it to start within the given time. */
  private static String expectStart(int number, double at, double within) {
    return ScenarioTestSupport.line(
            "at %.2f submit j-%d service tasks=4 cpus=1 priority=high image=s1 gb=1", at, number)
        + ScenarioTestSupport.line(
            "at %.2f expect j-%d begun within=%.2f", at + within + 1, number, within);
  }
}
