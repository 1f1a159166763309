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
import org.oakwalk.core.product.BatchDeadlineTerms;

/** What leaders learn for their plans and hand on: run times, what comes when, what can be had. */
final class Learned {
  final RunSpread runs = new RunSpread();
  final RoomForecast room = new RoomForecast();
  private final Map<String, Coming> coming = new TreeMap<>();
  private final Set<JobId> counted = new HashSet<>();
  private List<BatchDeadlineTerms> dawns = List.of();

  /** Other terms are in force: what was learned of dawns that are no more is dropped. */
  void follow(List<BatchDeadlineTerms> terms) {
    dawns = terms;
    coming.keySet().retainAll(terms.stream().map(BatchDeadlineTerms::name).toList());
    terms.forEach(dawn -> coming.computeIfAbsent(dawn.name(), Coming::new));
  }

  Coming coming(String dawn) {
    return coming.get(dawn);
  }

  /** A job has changed; one that this leader saw come counts once. */
  void touched(Job job, WallTime now) {
    boolean fresh = job.isOpen() && !job.inherited() && job.doneCount() + job.assignedCount() == 0;
    if (fresh && counted.add(job.id())) {
      for (BatchDeadlineTerms dawn : dawns) {
        if (dawn.covers(job.spec())) {
          coming.get(dawn.name()).came(job.spec(), dawn, now);
        }
      }
    }
    if (job.isEnded()) {
      runs.forget(job.id());
      counted.remove(job.id());
    }
  }

  /** A task of a job has completed after running this long. */
  void completed(Job job, Span ran) {
    runs.learn(job, ran);
  }

  void restore(List<PlanRow> rows) {
    for (PlanRow row : rows) {
      if (row instanceof PlanRow.Runs learned) {
        runs.restore(learned);
      } else if (row instanceof PlanRow.Coming learned && coming.containsKey(learned.dawn())) {
        coming.get(learned.dawn()).restore(learned);
      } else if (row instanceof PlanRow.Reach learned) {
        room.restore(learned);
      }
    }
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>(runs.rows());
    coming.values().forEach(one -> rows.addAll(one.rows()));
    rows.addAll(room.rows());
    return rows;
  }
}
