package org.oakwalk.core.placement;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;

/**
 * Deadlines that a plan sets for open jobs, in addition to the jobs' own. The order of the queue
 * and the number of rented machines follow whichever deadline is earlier.
 */
public interface PlannedDeadlines {
  /** No plan: sets no deadlines. */
  PlannedDeadlines NONE =
      new PlannedDeadlines() {
        @Override
        public Optional<TimeLeft> timeToStart(Job job, WallTime now) {
          return Optional.empty();
        }

        @Override
        public Optional<TimeSpan> timeToEnd(Job job, WallTime now) {
          return Optional.empty();
        }

        @Override
        public List<Job> takeChangedJobs() {
          return List.of();
        }
      };

  /**
   * The time left for a job, as used for its urgency score.
   *
   * @param span the time left
   * @param fixed whether the value stays the same as time passes, until {@link #takeChangedJobs}
   *     returns the job
   */
  record TimeLeft(TimeSpan span, boolean fixed) {}

  /** The time left until the rest of a job has to start; empty if no plan covers the job. */
  Optional<TimeLeft> timeToStart(Job job, WallTime now);

  /**
   * The time left until a job should be complete, less an allowance for the variation of run times;
   * empty if no plan covers the job.
   */
  Optional<TimeSpan> timeToEnd(Job job, WallTime now);

  /** Jobs whose deadlines have changed notably since the last call. */
  List<Job> takeChangedJobs();
}
