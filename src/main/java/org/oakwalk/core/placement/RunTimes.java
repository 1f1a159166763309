package org.oakwalk.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;

/** Learns per class of jobs by how much its owners' guesses are off. */
public final class RunTimes {
  private static final double KEEP = 0.95;
  private static final double LEAST = 0.2;
  private static final double MOST = 5;
  private static final int ENOUGH = 4;

  /** How the run times of one job compare with its guess, and how many were seen. */
  private static final class Ratio {
    double mean = 1;
    int seen;

    void add(double ratio) {
      seen++;
      double weight = Math.max(1.0 / (seen + 1), 1 - KEEP);
      mean += weight * (ratio - mean);
    }
  }

  private final Map<String, Ratio> byClass = new HashMap<>();
  private final Map<JobId, Ratio> byJob = new HashMap<>();

  /** A task of this job took this long. */
  public void learn(Job job, Span ran) {
    double guess = job.spec().estimatedRunTime().asSeconds();
    if (guess > 0) {
      double ratio = Math.min(MOST, Math.max(LEAST, ran.asSeconds() / guess));
      byClass.computeIfAbsent(job.spec().jobClass(), c -> new Ratio()).add(ratio);
      byJob.computeIfAbsent(job.id(), c -> new Ratio()).add(ratio);
    }
  }

  /** The expected run time of a task of this job; zero for services. */
  public Span expected(JobSpec spec) {
    return expected(spec, factor(spec.jobClass()));
  }

  /** The same, where guesses for the job's class are taken to be off by this factor. */
  Span expected(JobSpec spec, double classFactor) {
    Ratio job = byJob.get(spec.id());
    return spec.estimatedRunTime().times(job != null && job.seen >= 2 ? job.mean : classFactor);
  }

  /** By how much guesses for this class are off. */
  double factor(String jobClass) {
    Ratio kind = byClass.get(jobClass);
    return kind == null ? 1 : kind.mean;
  }

  /** How long tasks of this job usually run, once enough of them have ended. */
  Optional<Span> usual(JobSpec spec) {
    Ratio job = byJob.get(spec.id());
    return job == null || job.seen < ENOUGH
        ? Optional.empty()
        : Optional.of(spec.estimatedRunTime().times(job.mean));
  }

  /** Forgets a job that is over. */
  public void forget(JobId id) {
    byJob.remove(id);
  }
}
