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
final class KeptReports {
  /** Whose reports are kept until the end, and when the copies arrive. */
  private record Line(
      Predicate<String> machines,
      long end,
      double share,
      long after,
      boolean acted,
      boolean held) {}

  private record Kept(Report report, Line line) {}

  private final World world;
  private final UniformRandomProvider random;
  private final List<Line> lines = new ArrayList<>();
  private final List<Kept> kept = new ArrayList<>();

  /** For a leader that has risen and not acted yet. */
  private final List<Kept> untilItActs = new ArrayList<>();

  private Token lastThatActed = new Token(0);

  KeptReports(World world, long seed) {
    this.world = world;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** From now on reports of these machines are kept, as the line says. */
  void keep(Predicate<String> machines, Words line) {
    lines.add(
        new Line(
            machines,
            world.time.now() + Math.round(1000 * line.number("for", 10)),
            line.number("share", 1),
            Math.round(1000 * line.number("after", 0)),
            line.has("acted"),
            line.has("held")));
  }

  /** A machine sends a report; true if the report itself is held back. */
  boolean sent(Report report) {
    for (Line line : lines) {
      if (line.end() > world.time.now()
          && line.machines().test(report.address())
          && random.nextDouble() < line.share()) {
        kept.add(new Kept(report, line));
        return line.held();
      }
    }
    return false;
  }

  /** A node begins to lead. */
  void rises() {
    List<Kept> waited = List.copyOf(kept);
    kept.clear();
    for (Kept one : waited) {
      if (one.line().acted()) {
        untilItActs.add(one);
      } else {
        arrives(one);
      }
    }
  }

  /** A worker carries out a start; the first one under a token is that leader's first act. */
  void starts(Attempt attempt) {
    if (attempt.token().compareTo(lastThatActed) > 0) {
      lastThatActed = attempt.token();
      untilItActs.forEach(this::arrives);
      untilItActs.clear();
    }
  }

  private void arrives(Kept one) {
    world.time.after(
        one.line().after(), () -> world.nodes.forEach(node -> node.reportAgain(one.report())));
  }
}
