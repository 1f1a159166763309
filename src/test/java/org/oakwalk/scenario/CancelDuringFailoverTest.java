package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Jobs are cancelled in the seconds in which one controller's work changes hands. Their times step
 * finely over the end of the leader, the claim, the recovery and the first round of the next one,
 * and the hand-over after that; the request goes to the old leader, to a follower, or to whoever
 * leads.
 */
class CancelDuringFailoverTest {
  private static final int STEP_MILLIS = 20;
  private static final int FIRST_JOB = 100;
  private static final int JOB_COUNT = 60;

  /** One job waits for room, one has begun, one comes as the leader ends; each is cancelled. */
  private static final String[] TARGET_NODES = {"node-0", "node-1", "node-2", "leading"};

  /** It is gone at once; what it had sent arrives. */
  @TestFactory
  List<DynamicTest> leaderCrashes() {
    return sweep(0, 4, 0.1, "at 10 crash leader\nat 14 restart down\n");
  }

  /** It is back at once and may lead again. */
  @TestFactory
  List<DynamicTest> leaderRestarts() {
    return sweep(0, 1.6, 0.1, "at 10 restart leader after=0.1\nat 11 restart leading after=0.2\n");
  }

  /** What it has just ordered leaves it when it goes on, long after its successor began. */
  @TestFactory
  List<DynamicTest> leaderFreezes() {
    // It wakes at 16.1 s and sends what it decided before.
    return sweep(0, 8, 0.1, "at 10 freeze leader for=6\n");
  }

  /** It is cut off from the store, so it does not know for as long as it may keep tasks alive. */
  @TestFactory
  List<DynamicTest> leaderCutFromStore() {
    return sweep(-1, 5, 2.5, "at 10 cut leader state for=12\n");
  }

  /** The store refuses it alone. */
  @TestFactory
  List<DynamicTest> leaderRefusedByStore() {
    return sweep(-1, 5, 2.5, "at 10 refuse leader for=12\n");
  }

  /** Start commands are held up on their way, and reach workers that know the next leader. */
  @TestFactory
  List<DynamicTest> startCommandsDelayed() {
    return sweep(
        0,
        4,
        1.6,
        "at 10.4 slownet nodes workers by=1.5 for=6\nat 10.6 restart leader after=0.1\n");
  }

  /** What the leader sends to the workers is held back from before its end until after it. */
  @TestFactory
  List<DynamicTest> startCommandsHeldBack() {
    return sweep(
        0, 4, 0.1, "at 10.4 cut leader workers for=5 hold\nat 10.6 restart leader after=0.1\n");
  }

  /** The withdrawal's own write is late. */
  @TestFactory
  List<DynamicTest> withdrawalWriteDelayed() {
    return sweep(
        0,
        4,
        0.1,
        "at 9.5 latewrites all for=5 share=0.5 after=2 key=job/\nat 10 restart leader after=0.1\n");
  }

  /**
   * Cancellations every 20 ms.
   *
   * @param startsWithin how long after its user was told a task of a cancelled job may start: the
   *     way of an order, or what a controller that can't know may still order
   */
  private static List<DynamicTest> sweep(
      double from, double until, double startsWithin, String troubles) {
    List<DynamicTest> tests = new ArrayList<>();
    int step = 0;
    for (double at = 9.8 + from; at < 10 + until; at += STEP_MILLIS / 1000.0 * 3) {
      double when = at;
      String on = TARGET_NODES[step++ % TARGET_NODES.length];
      tests.add(
          DynamicTest.dynamicTest(
              line("cancelled from %.2f s on at %s", when, on).trim(),
              () -> assertPasses(text(when, on, startsWithin, troubles))));
    }
    return tests;
  }

  private static String text(double at, String on, double startsWithin, String troubles) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3\ntype m cpus=4 mem=16 boot=10\nmachine m a 3\n");
    // There is always room for the small jobs, so what is accepted starts at once.
    text.append("type n cpus=32 mem=64 boot=10\nmachine n a 2\n");
    text.append("capacity m a 2\ncapacity n a 1\n");
    text.append(
        "at 3 submit j-1 array tasks=6 run=6.5 types=n\nat 3 submit j-2 service tasks=2 types=n\n");
    // Of these something starts at any moment until they are cancelled.
    text.append(
        "at 3 submit j-3 array tasks=150 run=1.1 types=m\n"
            + "at 3 submit j-4 array tasks=150 run=0.7 types=m\n");
    text.append("at 3 submit j-5 array tasks=150 run=0.3 types=m\n");
    text.append(
        line("every 0.1 8 %.2f %d array tasks=2 run=0.9 types=n", 8 + JOB_COUNT * 0.1, FIRST_JOB));
    text.append(troubles);
    for (int i = 0; i < 4; i++) {
      double time = at + i * STEP_MILLIS / 1000.0;
      text.append(line("at %.2f cancel j-%d on=%s", time, 2 + i, on));
      int last = FIRST_JOB + (int) Math.floor((time - 8) * 10 - 0.01);
      for (int job = Math.max(FIRST_JOB, last - 2 * i);
          job <= last - i && job < FIRST_JOB + JOB_COUNT;
          job++) {
        text.append(line("at %.2f cancel j-%d on=%s", time, job, on));
      }
    }
    text.append("at 90 expect j-1 done\nat 90 expect j-2 cancelled\nat 90 expect j-2 on most=0\n");
    text.append(line("at 90 expect laststart most=%.2f", startsWithin));
    return text.append("at 90 expect answered within=9 open\nend 91\n").toString();
  }
}
