package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.Job;

/**
 * How run times compare with their guesses, by class, with their spread. A plan at the mean would
 * miss every other night.
 */
final class RunTimeDistribution {
  private static final long MAX_HUNDREDTHS = 1000;
  private static final long MIN_HUNDREDTHS = 5;

  /** Beyond so many, all are halved, so that what is new counts. */
  private static final int MAX_SAMPLES = 400;

  /** More of one job tell nothing about the others of its class. */
  private static final int MAX_SAMPLES_PER_JOB = 8;

  private static final int MIN_SAMPLES = 5;

  /** What is added as long as nothing is known. */
  private static final double DEFAULT_QUANTILE = 1.3;

  private static final int MAX_PAIRS = 20;
  private static final int MOST_CLASSES = 64;

  private final Map<String, Histogram> byClass = new TreeMap<>();
  private final Map<JobId, Integer> samplesByJob = new HashMap<>();

  /** A task of this job took this long. */
  void taskCompleted(Job job, Span ran) {
    double guess = job.spec().guess().asSeconds();
    if (guess <= 0 || samplesByJob.merge(job.id(), 1, Integer::sum) > MAX_SAMPLES_PER_JOB) {
      return;
    }
    addSamples(job.spec().jobClass(), Math.round(100 * ran.asSeconds() / guess), 1);
  }

  private void addSamples(String jobClass, long hundredths, long count) {
    if (!byClass.containsKey(jobClass) && byClass.size() >= MOST_CLASSES) {
      return;
    }
    Histogram runs = byClass.computeIfAbsent(jobClass, name -> new Histogram(MAX_HUNDREDTHS, 1));
    runs.recordValueWithCount(
        Math.min(MAX_HUNDREDTHS, Math.max(MIN_HUNDREDTHS, hundredths)), count);
    if (runs.getTotalCount() > MAX_SAMPLES) {
      Histogram half = new Histogram(MAX_HUNDREDTHS, 1);
      for (HistogramIterationValue value : runs.recordedValues()) {
        half.recordValueWithCount(
            value.getValueIteratedTo(), (value.getCountAtValueIteratedTo() + 1) / 2);
      }
      byClass.put(jobClass, half);
    }
  }

  void forgetJob(JobId job) {
    samplesByJob.remove(job);
  }

  /** The mean part of its guess that a task takes. */
  double meanRatio(String jobClass) {
    Histogram runs = byClass.get(jobClass);
    return runs == null || runs.getTotalCount() < MIN_SAMPLES ? 1 : runs.getMean() / 100;
  }

  /** The part of its guess within which so many tasks end. */
  double quantileRatio(String jobClass, double share) {
    Histogram runs = byClass.get(jobClass);
    return runs == null || runs.getTotalCount() < MIN_SAMPLES
        ? DEFAULT_QUANTILE
        : Math.max(meanRatio(jobClass), runs.getValueAtPercentile(share * 100) / 100.0);
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    byClass.forEach((name, runs) -> rows.add(new PlanRow.RunTimeRow(name, histogramPairs(runs))));
    return rows;
  }

  /** Neighbours are put together where there are too many: the longer of them counts. */
  private static List<Long> histogramPairs(Histogram runs) {
    List<Long> pairs = new ArrayList<>();
    int values = 0;
    for (HistogramIterationValue value : runs.recordedValues()) {
      values += value.getCountAtValueIteratedTo() > 0 ? 1 : 0;
    }
    int each = Math.max(1, (values + MAX_PAIRS - 1) / MAX_PAIRS);
    long sum = 0;
    int taken = 0;
    for (HistogramIterationValue value : runs.recordedValues()) {
      sum += value.getCountAtValueIteratedTo();
      taken++;
      if (taken % each == 0 || taken == values) {
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
