package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;

/**
 * Distribution of run times relative to their estimates, by job class. Plans use a quantile,
 * because a plan based on the mean would miss every second deadline.
 */
final class RunTimeDistribution {
  private static final long MAX_HUNDREDTHS = 1000;
  private static final long MIN_HUNDREDTHS = 5;

  /** Above this total, all counts are halved, so that recent samples have weight. */
  private static final int MAX_SAMPLES = 400;

  /** Further tasks of the same job say nothing about other jobs of the class. */
  private static final int MAX_SAMPLES_PER_JOB = 8;

  private static final int MIN_SAMPLES = 5;

  /** Quantile ratio assumed until a class has enough samples. */
  private static final double DEFAULT_QUANTILE_RATIO = 1.3;

  private static final int MAX_PAIRS = 20;
  private static final int MAX_CLASSES = 64;

  private final Map<String, Histogram> byClass = new TreeMap<>();
  private final Map<JobId, Integer> samplesByJob = new HashMap<>();

  /** Records the run time of a completed task. */
  void taskCompleted(Job job, TimeSpan ran) {
    double estimate = job.spec().estimatedRunTime().asSeconds();
    if (estimate <= 0 || samplesByJob.merge(job.id(), 1, Integer::sum) > MAX_SAMPLES_PER_JOB) {
      return;
    }
    addSamples(job.spec().jobClass(), Math.round(100 * ran.asSeconds() / estimate), 1);
  }

  private void addSamples(String jobClass, long hundredths, long count) {
    if (!byClass.containsKey(jobClass) && byClass.size() >= MAX_CLASSES) {
      return;
    }
    Histogram runs = byClass.computeIfAbsent(jobClass, name -> new Histogram(MAX_HUNDREDTHS, 1));
    runs.recordValueWithCount(
        Math.min(MAX_HUNDREDTHS, Math.max(MIN_HUNDREDTHS, hundredths)), count);
    if (runs.getTotalCount() > MAX_SAMPLES) {
      Histogram halved = new Histogram(MAX_HUNDREDTHS, 1);
      for (HistogramIterationValue value : runs.recordedValues()) {
        halved.recordValueWithCount(
            value.getValueIteratedTo(), (value.getCountAtValueIteratedTo() + 1) / 2);
      }
      byClass.put(jobClass, halved);
    }
  }

  void forgetJob(JobId job) {
    samplesByJob.remove(job);
  }

  /** Returns the mean ratio of run time to estimate. */
  double meanRatio(String jobClass) {
    Histogram runs = byClass.get(jobClass);
    return runs == null || runs.getTotalCount() < MIN_SAMPLES ? 1 : runs.getMean() / 100;
  }

  /** Returns the ratio of run time to estimate that a share of the tasks does not exceed. */
  double quantileRatio(String jobClass, double share) {
    Histogram runs = byClass.get(jobClass);
    return runs == null || runs.getTotalCount() < MIN_SAMPLES
        ? DEFAULT_QUANTILE_RATIO
        : Math.max(meanRatio(jobClass), runs.getValueAtPercentile(share * 100) / 100.0);
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    byClass.forEach((name, runs) -> rows.add(new PlanRow.RunTimeRow(name, histogramPairs(runs))));
    return rows;
  }

  /** Returns value and count pairs; if there are too many, neighbours merge into the longer one. */
  private static List<Long> histogramPairs(Histogram runs) {
    List<Long> pairs = new ArrayList<>();
    int values = 0;
    for (HistogramIterationValue value : runs.recordedValues()) {
      values += value.getCountAtValueIteratedTo() > 0 ? 1 : 0;
    }
    int perPair = Math.max(1, (values + MAX_PAIRS - 1) / MAX_PAIRS);
    long sum = 0;
    int taken = 0;
    for (HistogramIterationValue value : runs.recordedValues()) {
      sum += value.getCountAtValueIteratedTo();
      taken++;
      if (taken % perPair == 0 || taken == values) {
        pairs.add(value.getValueIteratedTo());
        pairs.add(sum);
        sum = 0;
      }
    }
    return pairs;
  }

  void restore(PlanRow.RunTimeRow row) {
    for (int i = 0; i + 1 < row.histogram().size(); i += 2) {
      addSamples(row.jobClass(), row.histogram().get(i), row.histogram().get(i + 1));
    }
  }
}
