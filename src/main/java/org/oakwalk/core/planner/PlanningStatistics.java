package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * Statistics that plans are based on: run times, arrivals of work, and obtainable capacity. They
 * are stored with the plan, so that a new leader continues with them.
 */
final class PlanningStatistics {
  final RunTimeDistribution runTimes = new RunTimeDistribution();
  final CapacityForecast capacity = new CapacityForecast();
  private final Map<String, ArrivalForecast> arrivals = new TreeMap<>();
  private final Set<JobId> countedJobs = new HashSet<>();
  private List<BatchDeadlineTerms> dawns = List.of();

  /** Takes new terms; statistics on dawns that no longer exist are dropped. */
  void setTerms(List<BatchDeadlineTerms> terms) {
    dawns = terms;
    arrivals.keySet().retainAll(terms.stream().map(BatchDeadlineTerms::name).toList());
    terms.forEach(dawn -> arrivals.computeIfAbsent(dawn.name(), ArrivalForecast::new));
  }

  ArrivalForecast arrivals(String dawnName) {
    return arrivals.get(dawnName);
  }

  /** Counts a changed job as an arrival, once, if it was accepted in this leader's term. */
  void jobChanged(Job job, WallTime now) {
    boolean isNew = job.isOpen() && !job.inherited() && job.doneCount() + job.assignedCount() == 0;
    if (isNew && countedJobs.add(job.id())) {
      for (BatchDeadlineTerms dawn : dawns) {
        if (dawn.covers(job.spec())) {
          arrivals.get(dawn.name()).jobAccepted(job.spec(), dawn, now);
        }
      }
    }
    if (job.isEnded()) {
      runTimes.forgetJob(job.id());
      countedJobs.remove(job.id());
    }
  }

  /** Records the run time of a completed task. */
  void taskCompleted(Job job, TimeSpan ran) {
    runTimes.taskCompleted(job, ran);
  }

  void restore(List<PlanRow> rows) {
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.RunTimeRow stored) {
        runTimes.restore(stored);
      } else if (row instanceof PlanRow.ArrivalRow stored
          && arrivals.containsKey(stored.dawnName())) {
        arrivals.get(stored.dawnName()).restore(stored);
      } else if (row instanceof PlanRow.CapacityRow stored) {
        capacity.restore(stored);
      }
    }
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>(runTimes.rows());
    arrivals.values().forEach(forecast -> rows.addAll(forecast.rows()));
    rows.addAll(capacity.rows());
    return rows;
  }
}
