package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.model.Scenario;

/**
 * Guards against tasks of cancelled jobs that outlive the cancel deadline. Jobs are cancelled
 * around the moment at which the state service starts to refuse the leader only, most of them
 * within a few milliseconds of it; a second later the service is down for all, for longer than
 * cancel_s. In addition, withdrawals lose their answers or are applied late, and machines hang and
 * resume within their leases; some of these are the last machines that the leader answered.
 */
class CancelAtRefusalTest {
  private static final double REFUSAL_S = 20;
  private static final List<Integer> CANCEL_OFFSETS_MS =
      List.of(-400, -40, -20, -10, -6, -3, -2, -1, 0, 1, 2, 3, 6, 10, 20, 40, 200, 600, 900, 990);

  private record LeaseTiming(double report, double lease, double cancel) {
    double leaseGraceSeconds() {
      return Math.max(1.8, cancel - lease - 2);
    }
  }

  private static final List<LeaseTiming> TIMINGS =
      List.of(
          new LeaseTiming(2.5, 15.25, 45.25),
          new LeaseTiming(4, 22, 47),
          new LeaseTiming(2.5, 15.25, 20));

  /**
   * Faults that affect the withdrawal writes; T is the start of the refusal, followed by an offset
   * in seconds.
   */
  private static final List<String> WITHDRAWAL_FAULTS =
      List.of(
          "",
          "T -0.05 latewrites all for=0.3 after=0.5 key=oak/a/job/",
          "T -0.05 latewrites all for=0.3 after=1.3 share=0.5 key=oak/a/job/",
          "T -0.004 cut nodes state for=0.012",
          "T -0.5 slownet nodes state by=0.2 for=2");

  /**
   * Times at which machines hang, relative to the refusal: none, around it, around the end of the
   * leader's grace period, or before it.
   */
  private static final List<String> HANG_TIMES = List.of("", "now", "last", "before");

  @TestFactory
  Stream<DynamicTest> cancelledTasksStopWithinDeadline() {
    List<DynamicTest> tests = new ArrayList<>();
    for (LeaseTiming timing : TIMINGS) {
      for (String withdrawalFault : WITHDRAWAL_FAULTS) {
        for (String hangTime : HANG_TIMES) {
          String refused = tests.size() % 7 == 6 ? "followers" : "leader";
          String text = text(timing, refused, withdrawalFault, hangTime);
          tests.add(
              DynamicTest.dynamicTest(
                  timing + " " + refused + " " + withdrawalFault + " " + hangTime,
                  () -> assertNoViolations(text)));
        }
      }
    }
    return tests.stream();
  }

  private static String text(
      LeaseTiming timing, String refused, String withdrawalFault, String hangTime) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "settings nodes=4 zones=a,b report=%s lease=%s cancel=%s%n",
            timing.report(),
            timing.lease(),
            timing.cancel()));
    text.append("type m cpus=8 mem=32 boot=10\nmachine m a 6\nmachine m b 6\n");
    int job = 0;
    for (int millis : CANCEL_OFFSETS_MS) {
      job++;
      text.append(at(3, "submit j-" + job + " service tasks=4"));
      text.append(at(REFUSAL_S + millis / 1000.0, "cancel j-" + job));
    }
    text.append(at(REFUSAL_S, "refuse " + refused + " for=" + (1 + timing.cancel() / 2)));
    text.append(at(REFUSAL_S + 1, "outage state for=" + (timing.cancel() + 12)));
    if (!withdrawalFault.isEmpty()) {
      String[] words = withdrawalFault.split(" ", 3);
      text.append(at(REFUSAL_S + Double.parseDouble(words[1]), words[2]));
    }
    appendHangs(text, timing, hangTime);
    text.append("end ").append(REFUSAL_S + 2 * timing.cancel() + 60).append('\n');
    return text.toString();
  }

  /** Lets eight machines hang, with eight different starting times and durations. */
  private static void appendHangs(StringBuilder text, LeaseTiming timing, String hangTime) {
    for (int host = 0; host < 8 && !hangTime.isEmpty(); host++) {
      double leaseShare = (host + 1) / 8.0;
      double start =
          switch (hangTime) {
            case "now" -> REFUSAL_S - 0.05 + host * 0.15;
            // Around the time of the leader's last answer to workers.
            case "last" -> REFUSAL_S + timing.leaseGraceSeconds() - 2 + host * 0.4;
            default -> REFUSAL_S - timing.lease() * leaseShare;
          };
      // The machine resumes just before its lease may expire, or long before.
      double duration = host % 2 == 0 ? timing.lease() - 0.2 : timing.lease() * leaseShare;
      duration = Math.min(duration, REFUSAL_S + timing.cancel() - 1 - start);
      text.append(at(start, String.format(Locale.ROOT, "hang host-%06d for=%.3f", host, duration)));
    }
  }

  private static String at(double seconds, String action) {
    return String.format(Locale.ROOT, "at %.3f %s%n", seconds, action);
  }

  private static void assertNoViolations(String text) {
    Map<String, String> violations = new TreeMap<>(new Scenario(text).run().violations());
    // Users get no answers during an outage, however long it lasts.
    violations.remove("forgotten");
    assertThat(violations).as(text).isEmpty();
  }
}
