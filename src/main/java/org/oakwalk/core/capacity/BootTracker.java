package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;

/**
 * Tracks boot times and boot failures for each rental pool. Determines when a booting machine is
 * replaced, when it is given up, and in which pools boots have failed recently.
 */
public final class BootTracker {
  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.25;

  /** Multiple of the typical boot time after which a replacement is rented. */
  private static final double REPLACEMENT_FACTOR = 1.6;

  /**
   * Multiple of the typical boot time after which a machine is given up. It is charged until then.
   */
  private static final double TIMEOUT_FACTOR = 3.2;

  /**
   * Boots normally take up to this multiple of the boot time that the catalog gives for the type.
   */
  private static final double NORMAL_VARIATION_FACTOR = 1.6;

  /**
   * Limit of the timeout as a multiple of the configured one, for pools with late or failed boots.
   */
  private static final double MAX_TIMEOUT_FACTOR = 2;

  /** Share by which the timeout grows with each consecutive failure. */
  private static final double TIMEOUT_INCREASE_PER_FAILURE = 0.25;

  private static final int MAX_COUNTED_FAILURES = 4;
  private static final int FAILING_AFTER_FAILURES = 2;
  private static final TimeSpan FAILING_PERIOD = TimeSpan.seconds(90);

  /** Machines of one type and one kind (spot or ordinary) in one zone. */
  public record RentalPool(String type, String zone, boolean spot) {
    static RentalPool of(Machine machine) {
      return new RentalPool(machine.type().name(), machine.zone(), machine.spot());
    }
  }

  private static final class BootStatistics {
    double meanSeconds;
    double meanDeviation;
    int consecutiveFailures;
    MonotonicTime lastFailure = new MonotonicTime(Long.MIN_VALUE / 2);
  }

  private final TimeSpan configuredTimeout;
  private final Map<RentalPool, BootStatistics> statistics = new HashMap<>();

  /**
   * Creates a tracker without samples.
   *
   * @param configuredTimeout limit of the boot timeout for pools without late or failed boots
   */
  BootTracker(TimeSpan configuredTimeout) {
    this.configuredTimeout = configuredTimeout;
  }

  /** Records that a machine came up after the given boot time. */
  void recordSuccess(RentalPool pool, MachineType type, TimeSpan bootTime) {
    BootStatistics stats = statisticsOf(pool, type);
    double difference = bootTime.asSeconds() - stats.meanSeconds;
    stats.consecutiveFailures = 0;
    stats.meanSeconds += SAMPLE_WEIGHT * difference;
    stats.meanDeviation += SAMPLE_WEIGHT * (Math.abs(difference) - stats.meanDeviation);
  }

  /**
   * Records that a machine was given up. Consecutive failures extend the timeout: if no machine
   * comes up, boots may be slow rather than failed, and only a longer wait can tell.
   */
  void recordFailure(RentalPool pool, MachineType type, MonotonicTime now) {
    BootStatistics stats = statisticsOf(pool, type);
    stats.consecutiveFailures++;
    stats.lastFailure = now;
  }

  /**
   * Returns whether several consecutive boots in the pool failed and the last failure was recent. A
   * single failure does not count, since occasional boot failures occur in every pool.
   */
  boolean isFailing(RentalPool pool, MonotonicTime now) {
    BootStatistics stats = statistics.get(pool);
    return failsRepeatedly(stats) && !now.isPast(stats.lastFailure, FAILING_PERIOD);
  }

  /** Returns whether any pool is failing. */
  boolean anyFailing(MonotonicTime now) {
    return statistics.keySet().stream().anyMatch(pool -> isFailing(pool, now));
  }

  private static boolean failsRepeatedly(BootStatistics stats) {
    return stats != null && stats.consecutiveFailures >= FAILING_AFTER_FAILURES;
  }

  /** Boot time after which a replacement is rented for a machine that is still booting. */
  TimeSpan replacementDelay(RentalPool pool, MachineType type) {
    return typicalBootTime(pool, type).times(REPLACEMENT_FACTOR);
  }

  /** Boot time after which a machine that is still booting is given up. */
  TimeSpan bootTimeout(RentalPool pool, MachineType type) {
    BootStatistics stats = statistics.get(pool);
    boolean failing = failsRepeatedly(stats);
    int countedFailures = failing ? Math.min(MAX_COUNTED_FAILURES, stats.consecutiveFailures) : 0;
    TimeSpan timeout =
        typicalBootTime(pool, type)
            .times(TIMEOUT_FACTOR * (1 + countedFailures * TIMEOUT_INCREASE_PER_FAILURE));
    boolean bootsLate =
        failing
            || typicalBootTime(pool, type).compareTo(type.bootTime().times(NORMAL_VARIATION_FACTOR))
                > 0;
    TimeSpan limit = bootsLate ? configuredTimeout.times(MAX_TIMEOUT_FACTOR) : configuredTimeout;
    return timeout.compareTo(limit) < 0 ? timeout : limit;
  }

  /** Recent mean boot time plus its mean deviation, but at least the catalog's boot time. */
  private TimeSpan typicalBootTime(RentalPool pool, MachineType type) {
    BootStatistics stats = statistics.get(pool);
    double seconds = stats == null ? 0 : stats.meanSeconds + stats.meanDeviation;
    return TimeSpan.seconds(Math.max(type.bootTime().asSeconds(), seconds));
  }

  private BootStatistics statisticsOf(RentalPool pool, MachineType type) {
    return statistics.computeIfAbsent(
        pool,
        p -> {
          BootStatistics stats = new BootStatistics();
          stats.meanSeconds = type.bootTime().asSeconds();
          return stats;
        });
  }
}
