package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.model.Scenario;

/**
 * Guards against tasks of cancelled jobs that outlive the cancel deadline. The state service
 * refuses one controller only, the others confirm cancellations, then the service is down for all,
 * while workers go on reporting to the old leader. Every task of those jobs must end within
 * cancel_s of the confirmation. Runs over a grid of times, each combined with one additional fault.
 */
class RefusalThenOutageTest {
  /** Start of the refusal. */
  private static final double REFUSAL_S = 20;

  /** Times from the start of the refusal until the service is down for all. */
  private static final List<Double> REFUSAL_TO_OUTAGE_S =
      List.of(0.2, 1.3, 2.4, 3.5, 6.0, 13.0, 20.0);

  private static final List<Double> OUTAGE_DURATIONS_S = List.of(20.0, 57.2, 120.0);

  /**
   * Additional faults: T stands for the start of the refusal, O for that of the outage, ENDS for a
   * duration of half the time between them.
   */
  private static final List<String> CONCURRENT_FAULTS =
      List.of(
          "",
          "at T cut leader state for=ENDS",
          "at O+1 restart leading after=0.2",
          "at O-0.1 restart leading after=0.2",
          "at T-3 restart leading after=0.2",
          "at T cut zone:a zone:b for=140 hold",
          "at O-0.1 cut zone:a zone:b for=140 hold",
          "at T cut leader nodes for=140",
          "at T-0.5 cut leader host-000001 for=140 hold;at T-0.5 cut leader host-000003 for=140 hold",
          "at O freeze leading for=12",
          "at T freeze leader for=6",
          "at T+0.1 hang host-000002 for=14;at O hang host-000004 for=40",
          "at T+0.1 cut host-000002 nodes for=12 hold;at O cut host-000003 nodes for=120 hold");

  private record NamedTiming(String settings, String name) {}

  private static final List<NamedTiming> TIMINGS =
      List.of(
          new NamedTiming(
              "report=2.5 lease=15.25 cancel=45.25", "cancel deadline above two leases"),
          new NamedTiming("report=4 lease=22 cancel=47", "no lease relays"),
          new NamedTiming(
              "report=2.5 lease=15.25 cancel=20", "cancel deadline slightly above one lease"));

  @TestFactory
  Stream<DynamicTest> cancelledTasksStopWithinDeadline() {
    List<DynamicTest> tests = new ArrayList<>();
    int number = 0;
    for (String fault : CONCURRENT_FAULTS) {
      for (double gap : REFUSAL_TO_OUTAGE_S) {
        // Outage durations, timings and refused nodes take turns over the grid.
        double outage = OUTAGE_DURATIONS_S.get(number % OUTAGE_DURATIONS_S.size());
        NamedTiming timing = TIMINGS.get(number / OUTAGE_DURATIONS_S.size() % TIMINGS.size());
        String refused = number % 5 == 4 ? "followers" : "leader";
        number++;
        String text = text(timing, refused, gap, outage, fault);
        tests.add(
            DynamicTest.dynamicTest(
                String.format(
                    Locale.ROOT,
                    "%s, %s, %.1f, %.1f, %s",
                    timing.name(),
                    refused,
                    gap,
                    outage,
                    fault),
                () -> assertNoViolations(text)));
      }
    }
    return tests.stream();
  }

  private static String text(
      NamedTiming timing, String refused, double gap, double outage, String fault) {
    double outageStart = REFUSAL_S + gap;
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=4 zones=a,b ").append(timing.settings()).append('\n');
    text.append("type m cpus=4 mem=16 boot=10\nmachine m a 4\nmachine m b 4\n");
    for (int job = 1; job <= 6; job++) {
      text.append("at 3 submit j-" + job + " service tasks=3 saves=5 save=20\n");
    }
    text.append(at(REFUSAL_S - 1, "submit j-7 array tasks=6 run=300 image=large gb=18"));
    text.append(at(REFUSAL_S - 0.1, "submit j-8 service tasks=4 image=fresh gb=1"));
    text.append(at(REFUSAL_S, "refuse " + refused + " for=" + (gap + outage * 0.7)));
    text.append(at(outageStart, "outage state for=" + outage));
    // Some cancellations come during the refusal, some early enough for the leader to see them.
    for (int job = 1; job <= 8; job++) {
      text.append(at(REFUSAL_S - 0.3 + job * (gap + 0.2) / 8, "cancel j-" + job));
    }
    if (!fault.isEmpty()) {
      for (String line : fault.split(";")) {
        text.append(resolveTimes(line, gap)).append('\n');
      }
    }
    text.append("end " + (outageStart + outage + 60) + "\n");
    return text.toString();
  }

  /** Replaces T, O and ENDS by times. */
  private static String resolveTimes(String line, double gap) {
    Matcher moment = Pattern.compile("at ([TO])([+-][0-9.]+)?").matcher(line);
    assertThat(moment.find()).as(line).isTrue();
    double base = moment.group(1).equals("T") ? REFUSAL_S : REFUSAL_S + gap;
    double offset = moment.group(2) == null ? 0 : Double.parseDouble(moment.group(2));
    return String.format(
        Locale.ROOT,
        "at %.3f%s",
        base + offset,
        line.substring(moment.end()).replace("ENDS", "" + gap / 2));
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
