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
final class DelayInjector {
  private static final double MIN_DELAY_SECONDS = 2;

  /**
   * A transaction without an answer is carried out so late at most, unless a scenario says when.
   */
  static final double MAX_WRITE_DELAY_SECONDS = 12;

  /** A report comes once more so many leases later at most, unless a scenario says when. */
  static final double MAX_REPORT_DELAY_LEASES = 1.6;

  /** A share of what some hosts send until the end is late, by a drawn time if none is given. */
  private record DelayFault(
      Predicate<String> hosts, long end, double share, double delaySeconds, String keyPrefix) {}

  private final Timeline time;
  private final double maxReportDelaySeconds;
  private final UniformRandomProvider random;
  private final List<DelayFault> writeFaults = new ArrayList<>();
  private final List<DelayFault> reportFaults = new ArrayList<>();

  DelayInjector(Timeline time, double leaseSeconds, long seed) {
    this.time = time;
    this.maxReportDelaySeconds = MAX_REPORT_DELAY_LEASES * leaseSeconds;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** From now on transactions of these nodes are late, as the line says. */
  void delayWrites(Predicate<String> nodes, Words line) {
    writeFaults.add(parse(nodes, line));
  }

  /** From now on reports of these machines come once more, as the line says. */
  void repeatReports(Predicate<String> machines, Words line) {
    reportFaults.add(parse(machines, line));
  }

  private DelayFault parse(Predicate<String> hosts, Words line) {
    return new DelayFault(
        hosts,
        time.now() + Math.round(1000 * line.number("for", 10)),
        line.number("share", 1),
        line.has("atonce") ? 0 : line.number("after", -1),
        line.text("key", ""));
  }

  /** By how many milliseconds a request to the state service is late; empty if it is in time. */
  OptionalLong writeDelay(String node, Request.State request) {
    if (!(request instanceof Request.Commit commit) || commit.changes().isEmpty()) {
      return OptionalLong.empty();
    }
    return drawDelay(
        writeFaults,
        node,
        MAX_WRITE_DELAY_SECONDS,
        late -> keys(commit).anyMatch(k -> k.startsWith(late)));
  }

  private static java.util.stream.Stream<String> keys(Request.Commit commit) {
    return commit.changes().stream()
        .map(
            change ->
                change instanceof Change.Put put ? put.key() : ((Change.Remove) change).key());
  }

  /** After how many milliseconds a report comes once more; empty if it does not. */
  OptionalLong reportRepeatDelay(String machine) {
    return drawDelay(reportFaults, machine, maxReportDelaySeconds, prefix -> true);
  }

  private OptionalLong drawDelay(
      List<DelayFault> lates, String host, double most, Predicate<String> touches) {
    for (DelayFault late : lates) {
      if (late.end() > time.now()
          && late.hosts().test(host)
          && touches.test(late.keyPrefix())
          && random.nextDouble() < late.share()) {
        double after =
            late.delaySeconds() >= 0
                ? late.delaySeconds()
                : MIN_DELAY_SECONDS + random.nextDouble() * (most - MIN_DELAY_SECONDS);
        return OptionalLong.of(Math.round(1000 * after));
      }
    }
    return OptionalLong.empty();
  }
}
