package org.oakwalk.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * A fleet under steady work meets what large fleets meet: all rules hold, and work that comes in
 * the middle of it begins within a time that docs/design.md ("How soon a new leader places") adds
 * up from the settings.
 *
 * <p>The build plays 400 machines; {@code -Doakwalk.largeFleet=4000} plays others.
 */
class LargeFleetTest {
  private static final String FLEET_SIZES = System.getProperty("oakwalk.largeFleet", "400");
  private static final double REPORT_INTERVAL_S = 2.5;
  private static final double LEASE_S = 15;
  private static final double CANCEL_DEADLINE_S = 45;

  /** The leader key's lease and what it may end late. */
  private static final double LEADER_LEASE_S = 2.6;

  /** A node finds that the key is gone, gets a lease, and sees its own claim. */
  private static final double CLAIM_S = 1;

  /** Machines that are shown the new token between two ticks, and how far these are apart. */
  private static final double TOKENS_PER_TICK = 50;

  private static final double TICK_S = 0.05;

  /** A round after that, the start's way to its machine, and its image's way there. */
  private static final double ROUND_AND_START_S = 3;

  /** What is added to a lease before it counts as over, and how long the next read may take. */
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
    double takeOver = takeoverSeconds(machines);
    Map<String, String> troubles = new TreeMap<>();
    troubles.put(
        "the leader ends",
        text(machines, "crash leader", "") + expectStart(700_000, FAULT_S + 0.1, takeOver));
    troubles.put(
        "all end and are back within a fraction of a second",
        text(machines, "restart all after=0.3", "")
            + expectStart(700_000, FAULT_S + 1, takeOver + 1));
    troubles.put(
        "a zone is cut off for longer than a lease",
        text(machines, "cut zone:b everybody for=20 hold", "")
            + expectStart(700_000, FAULT_S + 0.1, takeOver + 20));
    troubles.put(
        "the state service is out for a minute",
        text(machines, "outage state for=60", "") + expectStart(700_000, FAULT_S + 62, takeOver));
    troubles.put(
        "a fifth of all machines die",
        text(machines, machineDeaths(machines / 5), "")
            + expectStart(700_000, FAULT_S + 0.1, restartElsewhereSeconds()));
    return troubles.entrySet().stream()
        .map(
            trouble ->
                DynamicTest.dynamicTest(
                    machines + " machines: " + trouble.getKey(),
                    () -> ScenarioTestSupport.assertPasses(trouble.getValue())));
  }

  /** By when a new leader has placed what came meanwhile, counted from the end of the old one. */
  private static double takeoverSeconds(int machines) {
    double confirmed = Math.max(1.25 * REPORT_INTERVAL_S, machines / TOKENS_PER_TICK * TICK_S);
    return LEADER_LEASE_S + CLAIM_S + confirmed + ROUND_AND_START_S;
  }

  /**
   * By when a task begins that was sent to a machine which had just died. Nobody knows that it has;
   * the task may start elsewhere only once a read shows that its lease has surely run out.
   */
  private static double restartElsewhereSeconds() {
    return LEASE_S + LEASE_EXPIRY_MARGIN_S + READ_S + ROUND_AND_START_S;
  }

  private static String text(int machines, String action, String more) {
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
    text.append(more);
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

  /** An urgent job comes at this moment and has begun within this time. */
  private static String expectStart(int number, double at, double within) {
    return ScenarioTestSupport.line(
            "at %.2f submit j-%d service tasks=4 cpus=1 priority=high image=s1 gb=1", at, number)
        + ScenarioTestSupport.line(
            "at %.2f expect j-%d begun within=%.2f", at + within + 1, number, within);
  }
}
