package org.oakwalk.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;

/**
 * Estimates run times: learns for each job class and job the mean ratio of actual run times to the
 * users' guesses.
 */
public final class RunTimeEstimates {
  /** Largest weight that the mean so far keeps when a run is added, so that it follows changes. */
  private static final double MAX_HISTORY_WEIGHT = 0.95;

  /** Bounds to which a single ratio is clamped. */
  private static final double MIN_RATIO = 0.2;

  private static final double MAX_RATIO = 5;
  private static final int MIN_RUNS_FOR_TYPICAL = 4;

  /** The mean ratio of run times to guesses, and the number of runs. */
  private static final class GuessRatio {
    double mean = 1;
    int seen;

    void add(double ratio) {
      seen++;
      double weight = Math.max(1.0 / (seen + 1), 1 - MAX_HISTORY_WEIGHT);
      mean += weight * (ratio - mean);
    }
  }

  private final Map<String, GuessRatio> byClass = new HashMap<>();
  private final Map<JobId, GuessRatio> byJob = new HashMap<>();

  /** Records the run time of a completed task. */
  public void record(Job job, TimeSpan ran) {
    double guess = job.spec().estimatedRunTime().asSeconds();
    if (guess > 0) {
      double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ran.asSeconds() / guess));
      byClass.computeIfAbsent(job.spec().jobClass(), c -> new GuessRatio()).add(ratio);
      byJob.computeIfAbsent(job.id(), c -> new GuessRatio()).add(ratio);
    }
  }

  /** The expected run time of a task of this job; zero for services. */
  public TimeSpan expected(JobSpec spec) {
    return expected(spec, guessFactor(spec.jobClass()));
  }

  /** The expected run time if the factor of the job's class is as given. */
  TimeSpan expected(JobSpec spec, double classFactor) {
    GuessRatio job = byJob.get(spec.id());
    return spec.estimatedRunTime().times(job != null && job.seen >= 2 ? job.mean : classFactor);
  }

  /** The mean ratio of run times to guesses for this class; 1 if there has been no run. */
  double guessFactor(String jobClass) {
    GuessRatio ratio = byClass.get(jobClass);
    return ratio == null ? 1 : ratio.mean;
  }

  /** The mean run time of this job's tasks, once enough of them have completed. */
  Optional<TimeSpan> typical(JobSpec spec) {
    GuessRatio job = byJob.get(spec.id());
    return job == null || job.seen < MIN_RUNS_FOR_TYPICAL
        ? Optional.empty()
        : Optional.of(spec.estimatedRunTime().times(job.mean));
  }

  /** Discards what was learned of a job that is over. */
  public void forget(JobId id) {
    byJob.remove(id);
  }
}
