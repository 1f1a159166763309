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
  private static final String SIZES = System.getProperty("oakwalk.largeFleet", "400");
  private static final double REPORT = 2.5;
  private static final double LEASE = 15;
  private static final double CANCEL = 45;

  /** The leader key's lease and what it may end late. */
  private static final double KEY_LEASE = 2.6;

  /** A node finds that the key is gone, gets a lease, and sees its own claim. */
  private static final double CLAIM = 1;

  /** Machines that are shown the new token between two ticks, and how far these are apart. */
  private static final double SHOWN_A_TICK = 50;

  private static final double TICK = 0.05;

  /** A round after that, the start's way to its machine, and its image's way there. */
  private static final double ROUND_AND_START = 3;

  /** What is added to a lease before it counts as over, and how long the next read may take. */
  private static final double LAPSE_MARGIN = 0.5;

  private static final double READ = 1.5;

  private static final double AT = 40;

  @TestFactory
  Stream<DynamicTest> workGoesOn() {
    return Arrays.stream(SIZES.split(",")).map(Integer::parseInt).flatMap(LargeFleetTest::tests);
  }

  private static Stream<DynamicTest> tests(int machines) {
    double takeOver = takeOver(machines);
    Map<String, String> troubles = new TreeMap<>();
    troubles.put(
        "the leader ends",
        trouble(machines, "crash leader", "") + begun(700_000, AT + 0.1, takeOver));
    troubles.put(
        "all end and are back within a fraction of a second",
        trouble(machines, "restart all after=0.3", "") + begun(700_000, AT + 1, takeOver + 1));
    troubles.put(
        "a zone is cut off for longer than a lease",
        trouble(machines, "cut zone:b everybody for=20 hold", "")
            + begun(700_000, AT + 0.1, takeOver + 20));
    troubles.put(
        "the state service is out for a minute",
        trouble(machines, "outage state for=60", "") + begun(700_000, AT + 62, takeOver));
    troubles.put(
        "a fifth of all machines die",
        trouble(machines, deaths(machines / 5), "") + begun(700_000, AT + 0.1, elsewhere()));
    return troubles.entrySet().stream()
        .map(
            trouble ->
                DynamicTest.dynamicTest(
                    machines + " machines: " + trouble.getKey(),
                    () -> Sweeps.play(trouble.getValue())));
  }

  /** By when a new leader has placed what came meanwhile, counted from the end of the old one. */
  private static double takeOver(int machines) {
    double confirmed = Math.max(1.25 * REPORT, machines / SHOWN_A_TICK * TICK);
    return KEY_LEASE + CLAIM + confirmed + ROUND_AND_START;
  }

  /**
   * By when a task begins that was sent to a machine which had just died. Nobody knows that it has;
   * the task may start elsewhere only once a read shows that its lease has surely run out.
   */
  private static double elsewhere() {
    return LEASE + LAPSE_MARGIN + READ + ROUND_AND_START;
  }

  private static String trouble(int machines, String action, String more) {
    StringBuilder text = new StringBuilder();
    text.append(
        Sweeps.line(
            "settings nodes=5 zones=a,b report=%.2f lease=%.2f cancel=%.2f rps=%d write_rps=%d txn=32",
            REPORT, LEASE, CANCEL, Math.max(400, machines), Math.max(200, machines / 2)));
    text.append("type m cpus=16 mem=64 boot=20 cache=50 fetch=1\n");
    for (String zone : List.of("a", "b")) {
      text.append(Sweeps.line("machine m %s %d", zone, machines / 2));
      text.append(Sweeps.line("capacity m %s %d", zone, machines / 4));
    }
    for (int job = 0; job < machines / 10; job++) {
      text.append(
          Sweeps.line(
              "at %.3f submit j-%d service tasks=5 cpus=2 priority=high class=front image=s%d gb=1",
              3 + job * 20.0 / machines, 100_000 + job, job % 8));
    }
    text.append(
        Sweeps.line(
            "every %.4f 8 90 1000 array tasks=16 run=30 guess=30 class=batch image=b gb=1",
            80.0 / machines));
    text.append(Sweeps.line("at %.1f %s", AT, action));
    text.append(more);
    text.append("end 170\n");
    return text.toString();
  }

  private static String deaths(int count) {
    StringBuilder text = new StringBuilder("die host-000000\n");
    for (int host = 1; host < count; host++) {
      text.append(Sweeps.line("at %.1f die host-%06d", AT, host * 5));
    }
    return text.toString();
  }

  /** An urgent job comes at this moment and has begun within this time. */
  private static String begun(int number, double at, double within) {
    return Sweeps.line(
            "at %.2f submit j-%d service tasks=4 cpus=1 priority=high image=s1 gb=1", at, number)
        + Sweeps.line("at %.2f expect j-%d begun within=%.2f", at + within + 1, number, within);
  }
}
