package org.oakwalk.daemon;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.oakwalk.core.TimeSpan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Latency histograms of the node. They are logged once a minute, and whenever a new leader has made
 * its first placement, which ends a failover.
 */
final class LatencyHistograms {
  private static final Logger LOG = LoggerFactory.getLogger(LatencyHistograms.class);
  private static final long MAX_RECORDED_MILLIS = 3_600_000;
  private static final long LOG_INTERVAL_MILLIS = 60_000;

  /** The measured durations; the lower-case names appear in the log. */
  enum LatencyMetric {
    ACCEPTANCE,
    QUEUE_WAIT,
    ROUND,
    FAILOVER,
    REPLICA_GAP
  }

  private final Map<LatencyMetric, Histogram> byMetric = new EnumMap<>(LatencyMetric.class);
  private long nextLog;

  LatencyHistograms(long now) {
    for (LatencyMetric kind : LatencyMetric.values()) {
      Histogram histogram = new Histogram(MAX_RECORDED_MILLIS, 2);
      byMetric.put(kind, histogram);
    }
    nextLog = now + LOG_INTERVAL_MILLIS;
  }

  /** Records a duration; values outside the histogram's range are clamped. */
  void record(LatencyMetric metric, TimeSpan duration) {
    byMetric.get(metric).recordValue(Math.max(0, Math.min(MAX_RECORDED_MILLIS, duration.millis())));
    if (metric == LatencyMetric.FAILOVER) {
      log();
    }
  }

  /** Logs the histograms if the log interval has passed. */
  void logIfDue(long now) {
    if (now >= nextLog) {
      nextLog = now + LOG_INTERVAL_MILLIS;
      log();
    }
  }

  private void log() {
    StringBuilder line = new StringBuilder("milliseconds, p50/p99/max of n:");
    byMetric.forEach(
        (kind, histogram) -> {
          if (histogram.getTotalCount() > 0) {
            line.append(' ')
                .append(kind.name().toLowerCase(Locale.ROOT))
                .append(' ')
                .append(histogram.getValueAtPercentile(50))
                .append('/')
                .append(histogram.getValueAtPercentile(99))
                .append('/')
                .append(histogram.getMaxValue())
                .append(" of ")
                .append(histogram.getTotalCount());
          }
        });
    LOG.info("{}", line);
  }
}
