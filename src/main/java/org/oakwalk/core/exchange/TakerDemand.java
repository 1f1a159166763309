package org.oakwalk.core.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.product.ExchangeTerms;

/**
 * Tracks the replica demand of takers, and how many transfers are due for return after it falls.
 */
final class TakerDemand {
  private static final TimeSpan COUNT_INTERVAL = TimeSpan.seconds(1);

  /** Demand of the takers of one exchange. */
  private static final class ReplicaDemand {
    int replicas;

    /** Since when more room is held than needed; null if it is not. */
    MonotonicTime lowSince;
  }

  private final List<ExchangeTerms> terms;
  private final JobRegistry jobs;
  private final Map<String, ReplicaDemand> demandByExchange = new HashMap<>();
  private MonotonicTime nextCount = new MonotonicTime(Long.MIN_VALUE / 2);

  TakerDemand(List<ExchangeTerms> terms, JobRegistry jobs) {
    this.terms = terms;
    this.jobs = jobs;
    terms.forEach(exchange -> demandByExchange.put(exchange.name(), new ReplicaDemand()));
  }

  /** Recounts the replicas that the takers' open jobs request, at most once per interval. */
  void update(MonotonicTime now) {
    if (nextCount.isAfter(now)) {
      return;
    }
    nextCount = now.plus(COUNT_INTERVAL);
    demandByExchange.values().forEach(demand -> demand.replicas = 0);
    for (Job job : jobs.all()) {
      if (job.isOpen() && job.spec().service()) {
        terms.stream()
            .filter(exchange -> exchange.isTaker(job.spec()))
            .findFirst()
            .ifPresent(
                exchange -> demandByExchange.get(exchange.name()).replicas += job.spec().tasks());
      }
    }
  }

  /** Returns the number of replicas that the takers of an exchange request. */
  int replicaCount(ExchangeTerms exchange) {
    return demandByExchange.get(exchange.name()).replicas;
  }

  /**
   * Returns the number of transfers to give back now: the room held beyond the demand, once it has
   * exceeded the return margin for the return delay.
   *
   * @param held the transfers whose room the takers hold
   */
  int dueForReturn(ExchangeTerms exchange, List<CapacityTransfer> held, MonotonicTime now) {
    ReplicaDemand demand = demandByExchange.get(exchange.name());
    int replicasBefore =
        held.stream().mapToInt(transfer -> transfer.demandLevel() - 1).min().orElse(0);
    int due = held.size() - Math.max(0, demand.replicas - replicasBefore);
    if (due <= 0 || due < exchange.returnMargin() * held.size()) {
      demand.lowSince = null;
      return 0;
    }
    demand.lowSince = demand.lowSince == null ? now : demand.lowSince;
    if (!now.isPast(demand.lowSince, exchange.returnDelay())) {
      return 0;
    }
    demand.lowSince = null;
    return due;
  }
}
