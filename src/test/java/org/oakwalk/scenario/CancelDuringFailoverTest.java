package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Cancels jobs during a failover, at times that step finely over the loss of the leader, its
 * successor's claim, recovery and first scheduling round, and the seconds after that. Some of the
 * jobs wait for room, some are running, and some are submitted as the leader ends. The requests go
 * to the old leader, to a follower, or to the current leader. Guards against tasks that start or
 * keep running after their users were told that the job is cancelled.
 */
class CancelDuringFailoverTest {
  private static final int STEP_MILLIS = 20;
  private static final int FIRST_JOB = 100;
  private static final int JOB_COUNT = 60;

  /** Nodes to which cancellations are sent; "leading" is the leader at that time. */
  private static final String[] TARGET_NODES = {"node-0", "node-1", "node-2", "leading"};

  /** The leader crashes; messages that it had already sent arrive. */
  @TestFactory
  List<DynamicTest> leaderCrashes() {
    return sweep(0, 4, 0.1, "at 10 crash leader\nat 14 restart down\n");
  }

  /** The leader restarts at once and may be elected again. */
  @TestFactory
  List<DynamicTest> leaderRestarts() {
    return sweep(0, 1.6, 0.1, "at 10 restart leader after=0.1\nat 11 restart leading after=0.2\n");
  }

  /**
   * The leader freezes and sends its last orders when it resumes, long after its successor took
   * over.
   */
  @TestFactory
  List<DynamicTest> leaderFreezes() {
    // The leader resumes at 16.1 s and sends the orders that it decided on before the freeze.
    return sweep(0, 8, 0.1, "at 10 freeze leader for=6\n");
  }

  /**
   * The leader is cut off from the store, so it does not see the cancellations while it may still
   * renew worker leases.
   */
  @TestFactory
  List<DynamicTest> leaderCutFromStore() {
    return sweep(-1, 5, 2.5, "at 10 cut leader state for=12\n");
  }

  /** The store refuses the requests of the leader only. */
  @TestFactory
  List<DynamicTest> leaderRefusedByStore() {
    return sweep(-1, 5, 2.5, "at 10 refuse leader for=12\n");
  }

  /** Start commands are delayed and reach workers that already know the next leader. */
  @TestFactory
  List<DynamicTest> startCommandsDelayed() {
    return sweep(
        0,
        4,
        1.6,
        "at 10.4 slownet nodes workers by=1.5 for=6\nat 10.6 restart leader after=0.1\n");
  }

  /** The leader's messages to workers are held back from before its restart until after it. */
  @TestFactory
  List<DynamicTest> startCommandsHeldBack() {
    return sweep(
        0, 4, 0.1, "at 10.4 cut leader workers for=5 hold\nat 10.6 restart leader after=0.1\n");
  }

  /** The write that stores the withdrawal is applied late. */
  @TestFactory
  List<DynamicTest> withdrawalWriteDelayed() {
    return sweep(
        0,
        4,
        0.1,
        "at 9.5 latewrites all for=5 share=0.5 after=2 key=job/\nat 10 restart leader after=0.1\n");
  }

  /**
   * Creates one test for each starting time of a series of cancellations that are 20 ms apart.
   *
   * @param maxStartDelay seconds after the confirmation within which a task of a cancelled job may
   *     still start: the delivery time of an order, or the time for which a leader that cannot see
   *     the cancellation may still issue orders
   */
  private static List<DynamicTest> sweep(
      double from, double until, double maxStartDelay, String faults) {
    List<DynamicTest> tests = new ArrayList<>();
    int step = 0;
    for (double at = 9.8 + from; at < 10 + until; at += STEP_MILLIS / 1000.0 * 3) {
      double when = at;
      String target = TARGET_NODES[step++ % TARGET_NODES.length];
      tests.add(
          DynamicTest.dynamicTest(
              line("cancelled from %.2f s on at %s", when, target).trim(),
              () -> assertPasses(text(when, target, maxStartDelay, faults))));
    }
    return tests;
  }

  private static String text(double at, String target, double maxStartDelay, String faults) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3\ntype m cpus=4 mem=16 boot=10\nmachine m a 3\n");
    // There is always room for the small jobs, so accepted jobs start at once.
    text.append("type n cpus=32 mem=64 boot=10\nmachine n a 2\n");
    text.append("capacity m a 2\ncapacity n a 1\n");
    text.append(
        "at 3 submit j-1 array tasks=6 run=6.5 types=n\nat 3 submit j-2 service tasks=2 types=n\n");
    // Tasks of these jobs start continuously until the jobs are cancelled.
    text.append(
        "at 3 submit j-3 array tasks=150 run=1.1 types=m\n"
            + "at 3 submit j-4 array tasks=150 run=0.7 types=m\n");
    text.append("at 3 submit j-5 array tasks=150 run=0.3 types=m\n");
    text.append(
        line("every 0.1 8 %.2f %d array tasks=2 run=0.9 types=n", 8 + JOB_COUNT * 0.1, FIRST_JOB));
    text.append(faults);
    for (int i = 0; i < 4; i++) {
      double time = at + i * STEP_MILLIS / 1000.0;
      text.append(line("at %.2f cancel j-%d on=%s", time, 2 + i, target));
      int last = FIRST_JOB + (int) Math.floor((time - 8) * 10 - 0.01);
      for (int job = Math.max(FIRST_JOB, last - 2 * i);
          job <= last - i && job < FIRST_JOB + JOB_COUNT;
          job++) {
        text.append(line("at %.2f cancel j-%d on=%s", time, job, target));
      }
    }
    text.append("at 90 expect j-1 done\nat 90 expect j-2 cancelled\nat 90 expect j-2 on most=0\n");
    text.append(line("at 90 expect laststart most=%.2f", maxStartDelay));
    return text.append("at 90 expect answered within=9 open\nend 91\n").toString();
  }
}
