package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.product.DawnTerms;

/** What leaders learn for their plans and hand on: run times, what comes when, what can be had. */
final class PlanningStatistics {
  final RunTimeDistribution runTimes = new RunTimeDistribution();
  final CapacityForecast capacity = new CapacityForecast();
  private final Map<String, ArrivalForecast> arrivals = new TreeMap<>();
  private final Set<JobId> countedJobs = new HashSet<>();
  private List<DawnTerms> dawns = List.of();

  /** Other terms are in force: what was learned of dawns that are no more is dropped. */
  void setTerms(List<DawnTerms> terms) {
    dawns = terms;
    arrivals.keySet().retainAll(terms.stream().map(DawnTerms::name).toList());
    terms.forEach(dawn -> arrivals.computeIfAbsent(dawn.name(), ArrivalForecast::new));
  }

  ArrivalForecast arrivals(String dawn) {
    return arrivals.get(dawn);
  }

  /** A job has changed; one that this leader saw come counts once. */
  void jobChanged(Job job, WallTime now) {
    boolean fresh = job.open() && !job.inherited() && job.doneCount() + job.activeCount() == 0;
    if (fresh && countedJobs.add(job.id())) {
      for (DawnTerms dawn : dawns) {
        if (dawn.covers(job.spec())) {
          arrivals.get(dawn.name()).jobAccepted(job.spec(), dawn, now);
        }
      }
    }
    if (job.over()) {
      runTimes.forgetJob(job.id());
      countedJobs.remove(job.id());
    }
  }

  /** A task of a job has completed after running this long. */
  void taskCompleted(Job job, Span ran) {
    runTimes.taskCompleted(job, ran);
  }

  void restore(List<PlanRow> rows) {
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.RunTimeRow learned) {
        runTimes.restore(learned);
      } else if (row instanceof PlanRow.ArrivalRow learned
          && arrivals.containsKey(learned.dawnName())) {
        arrivals.get(learned.dawnName()).restore(learned);
      } else if (row instanceof PlanRow.CapacityRow learned) {
        capacity.restore(learned);
      }
    }
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>(runTimes.rows());
    arrivals.values().forEach(one -> rows.addAll(one.rows()));
    rows.addAll(capacity.rows());
    return rows;
  }
}
