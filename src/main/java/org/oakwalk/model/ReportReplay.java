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
 * Reports of which a copy is kept for the next leader: it reaches every controller the moment that
 * leader begins, some time later, or once it has acted.
 */
final class ReportReplay {
  /** Whose reports are kept until the end, and when the copies arrive. */
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

  /** For a leader that has risen and not acted yet. */
  private final List<RecordedReport> awaitingFirstStart = new ArrayList<>();

  private Token lastStartToken = new Token(0);

  ReportReplay(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** From now on reports of these machines are kept, as the line says. */
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

  /** A machine sends a report; true if the report itself is held back. */
  boolean recordSent(Report report) {
    for (ReplayRule line : rules) {
      if (line.expiresAt() > world.time.now()
          && line.machines().test(report.address())
          && random.nextDouble() < line.share()) {
        recorded.add(new RecordedReport(report, line));
        return line.withholdsOriginal();
      }
    }
    return false;
  }

  /** A node begins to lead. */
  void leadershipGained() {
    List<RecordedReport> waited = List.copyOf(recorded);
    recorded.clear();
    for (RecordedReport one : waited) {
      if (one.rule().afterFirstStart()) {
        awaitingFirstStart.add(one);
      } else {
        scheduleReplay(one);
      }
    }
  }

  /** A worker carries out a start; the first one under a token is that leader's first act. */
  void startExecuted(Attempt attempt) {
    if (attempt.token().compareTo(lastStartToken) > 0) {
      lastStartToken = attempt.token();
      awaitingFirstStart.forEach(this::scheduleReplay);
      awaitingFirstStart.clear();
    }
  }

  private void scheduleReplay(RecordedReport one) {
    world.time.after(
        one.rule().delayMillis(),
        () -> world.nodes.forEach(node -> node.receiveDuplicateReport(one.report())));
  }
}
