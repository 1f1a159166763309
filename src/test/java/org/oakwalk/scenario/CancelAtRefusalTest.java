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
 * Jobs are cancelled at the very moment at which the state service refuses the leader alone, a few
 * milliseconds before and after; a second later it is out for all, for longer than cancel_s. Beside
 * it withdrawals lose their answers or are carried out late, and machines hang and go on within
 * their leases, some of them the last that were answered.
 */
class CancelAtRefusalTest {
  private static final double REFUSAL_S = 20;
  private static final List<Integer> CANCEL_OFFSETS_MS =
      List.of(-400, -40, -20, -10, -6, -3, -2, -1, 0, 1, 2, 3, 6, 10, 20, 40, 200, 600, 900, 990);

  private record LeaseTiming(double report, double lease, double cancel) {
    double answeringSeconds() {
      return Math.max(1.8, cancel - lease - 2);
    }
  }

  private static final List<LeaseTiming> TIMINGS =
      List.of(
          new LeaseTiming(2.5, 15.25, 45.25),
          new LeaseTiming(4, 22, 47),
          new LeaseTiming(2.5, 15.25, 20));

  /** What becomes of withdrawals; T is the moment of the refusal. */
  private static final List<String> WITHDRAWAL_FAULTS =
      List.of(
          "",
          "T -0.05 latewrites all for=0.3 after=0.5 key=oak/a/job/",
          "T -0.05 latewrites all for=0.3 after=1.3 share=0.5 key=oak/a/job/",
          "T -0.004 cut nodes state for=0.012",
          "T -0.5 slownet nodes state by=0.2 for=2");

  /** When machines hang, and for how long, in parts of the lease, beside the refusal. */
  private static final List<String> HANG_TIMES = List.of("", "now", "last", "before");

  @TestFactory
  Stream<DynamicTest> cancelledTasksStopWithinDeadline() {
    List<DynamicTest> tests = new ArrayList<>();
    for (LeaseTiming timing : TIMINGS) {
      for (String writes : WITHDRAWAL_FAULTS) {
        for (String hangs : HANG_TIMES) {
          String who = tests.size() % 7 == 6 ? "followers" : "leader";
          String text = text(timing, who, writes, hangs);
          tests.add(
              DynamicTest.dynamicTest(
                  timing + " " + who + " " + writes + " " + hangs, () -> assertNoViolations(text)));
        }
      }
    }
    return tests.stream();
  }

  private static String text(LeaseTiming timing, String who, String writes, String hangs) {
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
    text.append(at(REFUSAL_S, "refuse " + who + " for=" + (1 + timing.cancel() / 2)));
    text.append(at(REFUSAL_S + 1, "outage state for=" + (timing.cancel() + 12)));
    if (!writes.isEmpty()) {
      String[] words = writes.split(" ", 3);
      text.append(at(REFUSAL_S + Double.parseDouble(words[1]), words[2]));
    }
    appendHangs(text, timing, hangs);
    text.append("end ").append(REFUSAL_S + 2 * timing.cancel() + 60).append('\n');
    return text.toString();
  }

  /** Eight machines hang one beside the other, at eight times and for eight spans. */
  private static void appendHangs(StringBuilder text, LeaseTiming timing, String hangs) {
    for (int host = 0; host < 8 && !hangs.isEmpty(); host++) {
      double part = (host + 1) / 8.0;
      double begins =
          switch (hangs) {
            case "now" -> REFUSAL_S - 0.05 + host * 0.15;
            // Just about when the leader answers for the last time.
            case "last" -> REFUSAL_S + timing.answeringSeconds() - 2 + host * 0.4;
            default -> REFUSAL_S - timing.lease() * part;
          };
      // It goes on just before its lease may run out, or long before.
      double lasts = host % 2 == 0 ? timing.lease() - 0.2 : timing.lease() * part;
      lasts = Math.min(lasts, REFUSAL_S + timing.cancel() - 1 - begins);
      text.append(at(begins, String.format(Locale.ROOT, "hang host-%06d for=%.3f", host, lasts)));
    }
  }

  private static String at(double seconds, String action) {
    return String.format(Locale.ROOT, "at %.3f %s%n", seconds, action);
  }

  private static void assertNoViolations(String text) {
    Map<String, String> broken = new TreeMap<>(new Scenario(text).play().broken());
    // Nobody is answered in an outage, however long it is.
    broken.remove("forgotten");
    assertThat(broken).as(text).isEmpty();
  }
}
