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
 * Injects delays into transactions and commands, and late duplicates into worker reports. Random
 * draws come from a generator with a fixed seed, so that a scenario always runs the same way.
 */
final class DelayInjector {
  /** Shortest drawn delay. */
  private static final double MIN_DELAY_SECONDS = 2;

  /** Longest delay of a transaction that gets no answer, unless the scenario sets it. */
  static final double MAX_WRITE_DELAY_SECONDS = 12;

  /** Longest delay of a command that gets no answer, unless the scenario sets it. */
  static final double MAX_COMMAND_DELAY_SECONDS = 16;

  /** Longest delay of a duplicate report, in lease durations, unless the scenario sets it. */
  static final double MAX_REPORT_DELAY_LEASES = 1.6;

  /**
   * A delayed share of the messages of some hosts, until an end time. The delay is drawn if it is
   * negative.
   */
  private record DelayFault(
      Predicate<String> hosts, long end, double share, double delaySeconds, String keyPrefix) {}

  private final Timeline time;
  private final double maxReportDelaySeconds;
  private final UniformRandomProvider random;
  private final List<DelayFault> writeFaults = new ArrayList<>();
  private final List<DelayFault> reportFaults = new ArrayList<>();
  private final List<DelayFault> commandFaults = new ArrayList<>();

  DelayInjector(Timeline time, double leaseSeconds, long seed) {
    this.time = time;
    this.maxReportDelaySeconds = MAX_REPORT_DELAY_LEASES * leaseSeconds;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Delays transactions of these nodes from now on, as the scenario line says. */
  void delayWrites(Predicate<String> nodes, ScenarioLine line) {
    writeFaults.add(parse(nodes, line));
  }

  /** Repeats reports of these machines from now on, as the scenario line says. */
  void repeatReports(Predicate<String> machines, ScenarioLine line) {
    reportFaults.add(parse(machines, line));
  }

  /** Delays commands to these machines from now on, as the scenario line says. */
  void delayCommands(Predicate<String> machines, ScenarioLine line) {
    commandFaults.add(parse(machines, line));
  }

  private DelayFault parse(Predicate<String> hosts, ScenarioLine line) {
    return new DelayFault(
        hosts,
        time.now() + Math.round(1000 * line.number("for", 10)),
        line.number("share", 1),
        line.hasWord("atonce") ? 0 : line.number("after", -1),
        line.text("key", ""));
  }

  /**
   * Returns the delay of a request to the state service in milliseconds; empty if it is not
   * delayed.
   */
  OptionalLong writeDelay(String node, Request.StateServiceRequest request) {
    if (!(request instanceof Request.Commit commit) || commit.changes().isEmpty()) {
      return OptionalLong.empty();
    }
    return drawDelay(
        writeFaults,
        node,
        MAX_WRITE_DELAY_SECONDS,
        prefix -> keys(commit).anyMatch(key -> key.startsWith(prefix)));
  }

  private static java.util.stream.Stream<String> keys(Request.Commit commit) {
    return commit.changes().stream()
        .map(
            change ->
                change instanceof Change.Put put ? put.key() : ((Change.Remove) change).key());
  }

  /**
   * Returns the delay in milliseconds after which a report is delivered a second time; empty if it
   * is not.
   */
  OptionalLong reportRepeatDelay(String machine) {
    return drawDelay(reportFaults, machine, maxReportDelaySeconds, prefix -> true);
  }

  /**
   * Returns the delay in milliseconds after which a command to a machine is carried out, without an
   * answer; empty if it is not delayed.
   */
  OptionalLong commandDelay(String machine) {
    return drawDelay(commandFaults, machine, MAX_COMMAND_DELAY_SECONDS, prefix -> true);
  }

  private OptionalLong drawDelay(
      List<DelayFault> faults,
      String host,
      double maxDelaySeconds,
      Predicate<String> matchesKeyPrefix) {
    for (DelayFault fault : faults) {
      if (fault.end() > time.now()
          && fault.hosts().test(host)
          && matchesKeyPrefix.test(fault.keyPrefix())
          && random.nextDouble() < fault.share()) {
        double delaySeconds =
            fault.delaySeconds() >= 0
                ? fault.delaySeconds()
                : MIN_DELAY_SECONDS + random.nextDouble() * (maxDelaySeconds - MIN_DELAY_SECONDS);
        return OptionalLong.of(Math.round(1000 * delaySeconds));
      }
    }
    return OptionalLong.empty();
  }
}
