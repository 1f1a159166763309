package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.Report;
import org.oakwalk.core.Token;

/**
 * Records reports and replays them to all controllers when the next leader takes over, after a
 * delay, or after the first start that this leader ordered.
 */
final class ReportReplay {
  /** Machines whose reports are recorded until the rule expires, and the time of the replay. */
  private record ReplayRule(
      Predicate<String> machines,
      long expiresAt,
      double share,
      long delayMillis,
      boolean afterFirstStart,
      boolean withholdsOriginal) {}

  private record RecordedReport(Report report, ReplayRule rule) {}

  private final World world;
  private final UniformRandomProvider random;
  private final List<ReplayRule> rules = new ArrayList<>();
  private final List<RecordedReport> recorded = new ArrayList<>();

  /** Reports to replay once the current leader has started a task. */
  private final List<RecordedReport> awaitingFirstStart = new ArrayList<>();

  private Token lastStartToken = new Token(0);

  ReportReplay(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Records reports of these machines from now on, with the options of a scenario line. */
  void addRule(Predicate<String> machines, ScenarioLine line) {
    rules.add(
        new ReplayRule(
            machines,
            world.time.now() + Math.round(1000 * line.number("for", 10)),
            line.number("share", 1),
            Math.round(1000 * line.number("after", 0)),
            line.hasWord("acted"),
            line.hasWord("held")));
  }

  /** Records a report that is being sent, and returns true if the original is to be withheld. */
  boolean recordSent(Report report) {
    for (ReplayRule rule : rules) {
      if (rule.expiresAt() > world.time.now()
          && rule.machines().test(report.address())
          && random.nextDouble() < rule.share()) {
        recorded.add(new RecordedReport(report, rule));
        return rule.withholdsOriginal();
      }
    }
    return false;
  }

  /** Replays or arms the recorded reports when a node becomes leader. */
  void leadershipGained() {
    List<RecordedReport> replayed = List.copyOf(recorded);
    recorded.clear();
    for (RecordedReport report : replayed) {
      if (report.rule().afterFirstStart()) {
        awaitingFirstStart.add(report);
      } else {
        scheduleReplay(report);
      }
    }
  }

  /** Notes that a worker carried out a start. The first start with a new token triggers replays. */
  void startExecuted(Attempt attempt) {
    if (attempt.token().compareTo(lastStartToken) > 0) {
      lastStartToken = attempt.token();
      awaitingFirstStart.forEach(this::scheduleReplay);
      awaitingFirstStart.clear();
    }
  }

  private void scheduleReplay(RecordedReport recording) {
    world.time.after(
        recording.rule().delayMillis(),
        () -> world.nodes.forEach(node -> node.receiveDuplicateReport(recording.report())));
  }
}
