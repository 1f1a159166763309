package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against controllers that act on a wrong assumption about a write that got no answer.
 * Transactions of one writer get no answer and are applied late, or at once so that other nodes
 * read state that the writer does not know to be stored, while leaders restart. Covers each group
 * of keys with several delays. After every change of a job's state, users query all nodes within
 * milliseconds. Checks every rule, that all work is done, and that no task is run again once its
 * result was recorded.
 */
class DelayedWritesTest {
  /**
   * Key prefixes of the affected writes; each prefix stands for one kind of record and its writer.
   */
  private static final List<String> KEY_PREFIXES =
      List.of(
          "oak/a/leader",
          "oak/a/job/",
          "oak/a/relay/",
          "oak/a/types",
          "oak/a/drain/",
          "oak/a/stops",
          "oak/a/product",
          "oak/machine/",
          "oak/done/",
          "oak/shared/");

  /** Times at which a transaction without an answer is applied. */
  private static final List<String> DELAYS =
      List.of("atonce", "after=2.0", "after=4.5", "after=7.0", "after=12.0");

  @TestFactory
  List<DynamicTest> delayedWrites() {
    List<DynamicTest> tests = new ArrayList<>();
    for (String key : KEY_PREFIXES) {
      for (String delay : DELAYS) {
        tests.add(DynamicTest.dynamicTest(key + " " + delay, () -> assertPasses(text(key, delay))));
      }
    }
    return tests;
  }

  private static String text(String key, String delay) {
    return String.format(
        Locale.ROOT,
        """
        settings nodes=4 zones=a,b report=1 lease=10 cancel=45
        team crew
        team small max=6
        budget crew down=2 stops=60
        type m cpus=4 mem=16 boot=8
        capacity m a 12
        capacity m b 12
        machine m a 4
        machine m b 3
        drain all step=2 surge=2 patience=10 pause=2 from=14
        product version=1
        headroom serving team=crew replicas=1
        at 2 closelooks for=100 every=4 early=0.5
        at 3 submit j-1 service tasks=3 priority=high
        at 4 submit j-2 array tasks=24 run=3,9,25
        at 4 submit j-3 array tasks=2 run=3,55
        at 5 submit j-4 array tasks=12 run=6 team=small
        at 6 submit j-5 service tasks=2 team=small
        # writes are delayed in three periods: at the start of work, and around two leader changes
        at 2 latewrites leading for=6 share=0.5 %1$s key=%2$s
        at 14 latewrites all for=9 share=0.6 %1$s key=%2$s
        at 16 submit j-6 array tasks=6 run=4
        at 17 cancel j-5
        at 18 restart leading after=0.3
        at 21 cut zone:a zone:b for=22
        at 30 submit j-7 array tasks=3 run=2,20,5
        at 32 latewrites all for=8 share=0.6 %1$s key=%2$s
        at 36 restart leading after=4
        at 37 submit j-8 array tasks=4 run=30
        at 39 cancel j-8
        at 60 submit j-9 array tasks=4 run=3
        at 140 expect reruns most=0
        at 140 expect j-2 done
        at 140 expect j-3 done
        at 140 expect j-4 done
        at 140 expect j-6 done
        at 140 expect j-7 done
        at 140 expect j-9 done
        at 140 expect j-1 on least=2
        at 140 expect j-5 on most=0
        at 140 expect j-8 on most=0
        at 140 expect keys oak/done/ most=0
        at 140 expect keys oak/machine most=4
        end 140
        """,
        delay,
        key);
  }
}
