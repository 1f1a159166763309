package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;

/**
 * Learns how long machines take to come up, for each type, zone and kind: how late one has to be to
 * be replaced, how late to be given up, and where machines have failed to come up of late.
 */
public final class BootTracker {
  private static final double SAMPLE_WEIGHT = 0.25;

  /** What usual boots take may be exceeded this often before a replacement is rented. */
  private static final double REPLACEMENT_FACTOR = 1.6;

  /** And this often before the machine is given up; it is charged all the while. */
  private static final double TIMEOUT_FACTOR = 3.2;

  /** Boots vary by about so much over the type's own time without being late. */
  private static final double NORMAL_VARIATION_FACTOR = 1.6;

  /** Late boots may use up the operators' patience so many times, but only where some came late. */
  private static final double MAX_TIMEOUT_FACTOR = 2;

  /** What patience gains by each machine in a row that was given up. */
  private static final double TIMEOUT_INCREASE_PER_FAILURE = 0.25;

  private static final int MAX_COUNTED_FAILURES = 4;
  private static final int FAILING_AFTER_FAILURES = 2;
  private static final Span FAILING_PERIOD = Span.seconds(90);

  /** Machines of one sort in one zone. */
  public record MachinePool(String type, String zone, boolean spot) {
    static MachinePool of(Machine machine) {
      return new MachinePool(machine.type().name(), machine.zone(), machine.spot());
    }
  }

  private static final class BootStatistics {
    double meanSeconds;
    double meanDeviation;
    int consecutiveFailures;
    Moment lastFailure = new Moment(Long.MIN_VALUE / 2);
  }

  private final Span configuredTimeout;
  private final Map<MachinePool, BootStatistics> statistics = new HashMap<>();

  /**
   * A record without entries.
   *
   * @param configuredTimeout how long a machine may boot at most, as long as none has come late
   */
  BootTracker(Span patience) {
    this.configuredTimeout = patience;
  }

  /** A machine came up after booting this long. */
  void recordSuccess(MachinePool sort, MachineType type, Span took) {
    BootStatistics record = statisticsOf(sort, type);
    double off = took.asSeconds() - record.meanSeconds;
    record.consecutiveFailures = 0;
    record.meanSeconds += SAMPLE_WEIGHT * off;
    record.meanDeviation += SAMPLE_WEIGHT * (Math.abs(off) - record.meanDeviation);
  }

  /**
   * A machine was given up. Where none comes up at all they may be late rather than dead, which
   * only more patience can tell.
   */
  void recordFailure(MachinePool sort, MachineType type, Moment now) {
    BootStatistics record = statisticsOf(sort, type);
    record.consecutiveFailures++;
    record.lastFailure = now;
  }

  /**
   * Whether machines of this sort failed to come up one after the other a short time ago. A single
   * one tells nothing: some fail everywhere.
   */
  boolean isFailing(MachinePool sort, Moment now) {
    BootStatistics record = statistics.get(sort);
    return failsRepeatedly(record) && !now.past(record.lastFailure, FAILING_PERIOD);
  }

  /** Whether any sort of machines is blamed. */
  boolean anyFailing(Moment now) {
    return statistics.keySet().stream().anyMatch(sort -> isFailing(sort, now));
  }

  private static boolean failsRepeatedly(BootStatistics record) {
    return record != null && record.consecutiveFailures >= FAILING_AFTER_FAILURES;
  }

  /** After what time a machine that still boots is replaced. */
  Span replacementDelay(MachinePool sort, MachineType type) {
    return typicalBootTime(sort, type).times(REPLACEMENT_FACTOR);
  }

  /** After what time a machine that still boots is given up. */
  Span bootTimeout(MachinePool sort, MachineType type) {
    BootStatistics record = statistics.get(sort);
    boolean noneComes = failsRepeatedly(record);
    int inARow = noneComes ? Math.min(MAX_COUNTED_FAILURES, record.consecutiveFailures) : 0;
    Span late =
        typicalBootTime(sort, type)
            .times(TIMEOUT_FACTOR * (1 + inARow * TIMEOUT_INCREASE_PER_FAILURE));
    boolean known =
        noneComes
            || typicalBootTime(sort, type).compareTo(type.boot().times(NORMAL_VARIATION_FACTOR))
                > 0;
    Span most = known ? configuredTimeout.times(MAX_TIMEOUT_FACTOR) : configuredTimeout;
    return late.compareTo(most) < 0 ? late : most;
  }

  /** What boots take of late with their spread, but no less than the type's own time. */
  private Span typicalBootTime(MachinePool sort, MachineType type) {
    BootStatistics record = statistics.get(sort);
    double seconds = record == null ? 0 : record.meanSeconds + record.meanDeviation;
    return Span.seconds(Math.max(type.boot().asSeconds(), seconds));
  }

  private BootStatistics statisticsOf(MachinePool sort, MachineType type) {
    return statistics.computeIfAbsent(
        sort,
        s -> {
          BootStatistics record = new BootStatistics();
          record.meanSeconds = type.boot().asSeconds();
          return record;
        });
  }
}
