package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Jobs are cancelled round the moment at which their last task ends, a hundredth of a second
 * further with each job, from well before the end to long after it was stored, while users ask at
 * all nodes within milliseconds and submit again; one in three is only asked about and submitted
 * again. Whoever asks is told the same, done or withdrawn, and every job comes to one of the two.
 */
class CompletionCancelRaceTest {
  private static final int JOB_COUNT = 110;
  private static final double FIRST_CANCEL_DELAY_S = 1.95;
  private static final double FIRST_SUBMIT_S = 6;
  private static final double SUBMIT_INTERVAL_S = 0.45;

  /** What else goes on while the jobs end. */
  private static final Map<String, List<String>> FAULTS =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("nothing", List.of()),
              Map.entry(
                  "answer to the end lost",
                  List.of("at 5 latewrites leader for=60 share=0.5 atonce key=oak/a/job/")),
              Map.entry(
                  "answer to the withdrawal lost",
                  List.of("at 5 latewrites followers for=60 share=0.7 atonce key=oak/a/job/")),
              Map.entry(
                  "both lost",
                  List.of("at 5 latewrites all for=60 share=0.6 atonce key=oak/a/job/")),
              Map.entry(
                  "end carried out late",
                  List.of("at 5 latewrites leader for=60 share=0.5 after=4 key=oak/a/job/")),
              Map.entry(
                  "withdrawal carried out late",
                  List.of("at 5 latewrites followers for=60 share=0.7 after=4 key=oak/a/job/")),
              Map.entry(
                  "both carried out late",
                  List.of("at 5 latewrites all for=60 share=0.5 key=oak/a/job/")),
              Map.entry(
                  "leader ends, again and again",
                  List.of("every 2.7 9 56 restart leading after=0.2")),
              Map.entry(
                  "leader ends for good, answers lost",
                  List.of(
                      "at 5 latewrites all for=60 share=0.4 atonce key=oak/a/job/",
                      "every 5.3 9 56 restart leading after=4")),
              Map.entry(
                  "leader ends, ends carried out late",
                  List.of(
                      "at 5 latewrites leading for=60 share=0.6 after=3 key=oak/a/job/",
                      "every 5.3 9 56 restart leading after=0.1")),
              Map.entry(
                  "results held up on their way",
                  List.of("every 3.1 7 56 cut workers leading for=1.6 hold")),
              Map.entry(
                  "results held up, leader ends",
                  List.of(
                      "every 3.1 7 56 cut workers leading for=1.6 hold",
                      "every 6.2 8 56 restart leading after=0.1")),
              Map.entry(
                  "end lost on its way to the store",
                  List.of("every 0.17 6.1 56 cut leading state for=0.06")),
              Map.entry("slow store", List.of("at 5 slownet nodes state by=0.25 for=55")),
              Map.entry(
                  "store refuses leader and followers in turn",
                  List.of(
                      "every 1.7 6 56 refuse leading for=0.6",
                      "every 2.3 6.3 56 refuse node-2 for=0.6")),
              Map.entry(
                  "store out again and again", List.of("every 1.1 6 56 outage state for=0.35")),
              Map.entry(
                  "requests come once more", List.of("at 5 copies users nodes for=55 after=0.9"))));

  @TestFactory
  List<DynamicTest> cancelNearCompletion() {
    return FAULTS.entrySet().stream()
        .map(e -> DynamicTest.dynamicTest(e.getKey(), () -> assertPasses(text(e.getValue()))))
        .toList();
  }

  private static String text(List<String> troubles) {
    StringBuilder text =
        new StringBuilder(
            """
            settings nodes=3 rps=300 write_rps=200 report=1 lease=10 cancel=40
            type m cpus=4 mem=16 boot=10
            machine m a 8
            at 3 closelooks for=80 every=4 early=0.4
            """);
    troubles.forEach(line -> text.append(line).append('\n'));
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

  private static void line(StringBuilder text, String form, Object... values) {
    text.append(String.format(Locale.ROOT, form, values)).append('\n');
  }
}
