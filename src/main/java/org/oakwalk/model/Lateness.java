package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;

/**
 * Which transactions are carried out late and which reports come once more, and by how much. Chance
 * comes from a fixed seed, so that a scenario always goes the same way.
 */
final class Lateness {
  private static final double LEAST_SECONDS = 2;

  /**
   * A transaction without an answer is carried out so late at most, unless a scenario says when.
   */
  static final double MOST_FOR_WRITES = 12;

  /** A report comes once more so many leases later at most, unless a scenario says when. */
  static final double MOST_LEASES = 1.6;

  /** A share of what some hosts send until the end is late, by a drawn time if none is given. */
  private record Late(
      Predicate<String> hosts, long end, double share, double after, String keyPrefix) {}

  private final Timeline time;
  private final double mostForReports;
  private final UniformRandomProvider random;
  private final List<Late> writes = new ArrayList<>();
  private final List<Late> reports = new ArrayList<>();

  Lateness(Timeline time, double leaseSeconds, long seed) {
    this.time = time;
    this.mostForReports = MOST_LEASES * leaseSeconds;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** From now on transactions of these nodes are late, as the line says. */
  void writes(Predicate<String> nodes, ScenarioLine line) {
    writes.add(late(nodes, line));
  }

  /** From now on reports of these machines come once more, as the line says. */
  void reports(Predicate<String> machines, ScenarioLine line) {
    reports.add(late(machines, line));
  }

  private Late late(Predicate<String> hosts, ScenarioLine line) {
    return new Late(
        hosts,
        time.now() + Math.round(1000 * line.number("for", 10)),
        line.number("share", 1),
        line.hasWord("atonce") ? 0 : line.number("after", -1),
        line.text("key", ""));
  }

  /** By how many milliseconds a request to the state service is late; empty if it is in time. */
  OptionalLong ofWrite(String node, Request.State request) {
    if (!(request instanceof Request.Commit commit) || commit.changes().isEmpty()) {
      return OptionalLong.empty();
    }
    return drawn(
        writes, node, MOST_FOR_WRITES, late -> keys(commit).anyMatch(k -> k.startsWith(late)));
  }

  private static java.util.stream.Stream<String> keys(Request.Commit commit) {
    return commit.changes().stream()
        .map(
            change ->
                change instanceof Change.Put put ? put.key() : ((Change.Remove) change).key());
  }

  /** After how many milliseconds a report comes once more; empty if it does not. */
  OptionalLong ofReport(String machine) {
    return drawn(reports, machine, mostForReports, prefix -> true);
  }

  private OptionalLong drawn(
      List<Late> lates, String host, double most, Predicate<String> touches) {
    for (Late late : lates) {
      if (late.end() > time.now()
          && late.hosts().test(host)
          && touches.test(late.keyPrefix())
          && random.nextDouble() < late.share()) {
        double after =
            late.after() >= 0
                ? late.after()
                : LEAST_SECONDS + random.nextDouble() * (most - LEAST_SECONDS);
        return OptionalLong.of(Math.round(1000 * after));
      }
    }
    return OptionalLong.empty();
  }
}
