package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Cancels jobs around the completion of their last task, each job 10 ms later than the one before,
 * from well before completion until long after it was stored. Meanwhile users query all nodes
 * within milliseconds and submit the jobs again; one job in three is only queried and submitted
 * again. Guards against contradictory answers: all users are told the same final state, done or
 * withdrawn, and every job reaches one of the two.
 */
class CompletionCancelRaceTest {
  private static final int JOB_COUNT = 110;
  private static final double FIRST_CANCEL_DELAY_S = 1.95;
  private static final double FIRST_SUBMIT_S = 6;
  private static final double SUBMIT_INTERVAL_S = 0.45;

  /** Faults injected while the jobs end, by display name. */
  private static final Map<String, List<String>> FAULTS =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("no fault", List.of()),
              Map.entry(
                  "answer to the completion write lost",
                  List.of("at 5 latewrites leader for=60 share=0.5 atonce key=oak/a/job/")),
              Map.entry(
                  "answer to the withdrawal write lost",
                  List.of("at 5 latewrites followers for=60 share=0.7 atonce key=oak/a/job/")),
              Map.entry(
                  "both answers lost",
                  List.of("at 5 latewrites all for=60 share=0.6 atonce key=oak/a/job/")),
              Map.entry(
                  "completion write applied late",
                  List.of("at 5 latewrites leader for=60 share=0.5 after=4 key=oak/a/job/")),
              Map.entry(
                  "withdrawal write applied late",
                  List.of("at 5 latewrites followers for=60 share=0.7 after=4 key=oak/a/job/")),
              Map.entry(
                  "both writes applied late",
                  List.of("at 5 latewrites all for=60 share=0.5 key=oak/a/job/")),
              Map.entry(
                  "leader restarts repeatedly",
                  List.of("every 2.7 9 56 restart leading after=0.2")),
              Map.entry(
                  "leader down for 4 s, answers lost",
                  List.of(
                      "at 5 latewrites all for=60 share=0.4 atonce key=oak/a/job/",
                      "every 5.3 9 56 restart leading after=4")),
              Map.entry(
                  "leader restarts, completion writes applied late",
                  List.of(
                      "at 5 latewrites leading for=60 share=0.6 after=3 key=oak/a/job/",
                      "every 5.3 9 56 restart leading after=0.1")),
              Map.entry(
                  "results delayed in transit",
                  List.of("every 3.1 7 56 cut workers leading for=1.6 hold")),
              Map.entry(
                  "results delayed, leader restarts",
                  List.of(
                      "every 3.1 7 56 cut workers leading for=1.6 hold",
                      "every 6.2 8 56 restart leading after=0.1")),
              Map.entry(
                  "completion write lost on its way to the store",
                  List.of("every 0.17 6.1 56 cut leading state for=0.06")),
              Map.entry("slow store", List.of("at 5 slownet nodes state by=0.25 for=55")),
              Map.entry(
                  "store refuses leader and followers in turn",
                  List.of(
                      "every 1.7 6 56 refuse leading for=0.6",
                      "every 2.3 6.3 56 refuse node-2 for=0.6")),
              Map.entry("repeated store outages", List.of("every 1.1 6 56 outage state for=0.35")),
              Map.entry(
                  "user requests duplicated",
                  List.of("at 5 copies users nodes for=55 after=0.9"))));

  @TestFactory
  List<DynamicTest> cancelNearCompletion() {
    return FAULTS.entrySet().stream()
        .map(e -> DynamicTest.dynamicTest(e.getKey(), () -> assertPasses(text(e.getValue()))))
        .toList();
  }

  private static String text(List<String> faults) {
    StringBuilder text =
        new StringBuilder(
            """
            settings nodes=3 rps=300 write_rps=200 report=1 lease=10 cancel=40
            type m cpus=4 mem=16 boot=10
            machine m a 8
            at 3 closelooks for=80 every=4 early=0.4
            """);
    faults.forEach(line -> text.append(line).append('\n'));
    for (int i = 0; i < JOB_COUNT; i++) {
      double at = FIRST_SUBMIT_S + SUBMIT_INTERVAL_S * i;
      String job = "j-" + (100 + i);
      int tasks = 1 + i % 2;
      line(text, "at %.3f submit %s array tasks=%d run=2", at, job, tasks);
      boolean cancelled = i % 3 < 2;
      if (cancelled) {
        line(text, "at %.3f cancel %s", at + FIRST_CANCEL_DELAY_S + 0.01 * i, job);
      }
      line(text, "at %.3f submit %s array tasks=%d run=2", at + 2.1 + 0.01 * i, job, tasks);
      line(text, "at 100 submit %s array tasks=%d run=2", job, tasks);
      line(text, "at 104 expect %s %s", job, cancelled ? "over" : "done");
    }
    return text.append("end 105\n").toString();
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
