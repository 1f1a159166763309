package org.oakwalk.core.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.product.ExchangeTerms;

/** How much serving needs, and how much of what was taken is due because that has fallen. */
final class TakerDemand {
  private static final Span COUNT_INTERVAL = Span.seconds(1);

  private static final class ReplicaDemand {
    int replicas;
    Moment lowSince;
  }

  private final List<ExchangeTerms> terms;
  private final JobRegistry jobs;
  private final Map<String, ReplicaDemand> demandByExchange = new HashMap<>();
  private Moment nextCount = new Moment(Long.MIN_VALUE / 2);

  TakerDemand(List<ExchangeTerms> terms, JobRegistry jobs) {
    this.terms = terms;
    this.jobs = jobs;
    terms.forEach(each -> demandByExchange.put(each.name(), new ReplicaDemand()));
  }

  /** Counts the replicas of the takers' open jobs, now and then. */
  void update(Moment now) {
    if (nextCount.isAfter(now)) {
      return;
    }
    nextCount = now.plus(COUNT_INTERVAL);
    demandByExchange.values().forEach(need -> need.replicas = 0);
    for (Job job : jobs.all()) {
      if (job.isOpen() && job.spec().service()) {
        terms.stream()
            .filter(each -> each.isTaker(job.spec()))
            .findFirst()
            .ifPresent(each -> demandByExchange.get(each.name()).replicas += job.spec().tasks());
      }
    }
  }

  /** How many replicas the takers have. */
  int replicaCount(ExchangeTerms each) {
    return demandByExchange.get(each.name()).replicas;
  }

  /**
   * How many takes are to be given back now: what is held beyond the need, once that has been so
   * for the dwell time and is more than the margin.
   *
   * @param held the takes whose room serving has
   */
  int dueForReturn(ExchangeTerms each, List<CapacityTransfer> held, Moment now) {
    ReplicaDemand need = demandByExchange.get(each.name());
    int without = held.stream().mapToInt(take -> take.demandLevel() - 1).min().orElse(0);
    int due = held.size() - Math.max(0, need.replicas - without);
    if (due <= 0 || due < each.returnMargin() * held.size()) {
      need.lowSince = null;
      return 0;
    }
    need.lowSince = need.lowSince == null ? now : need.lowSince;
    if (!now.past(need.lowSince, each.returnDelay())) {
      return 0;
    }
    need.lowSince = null;
    return due;
  }
}
