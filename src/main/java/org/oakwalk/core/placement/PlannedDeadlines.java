package org.oakwalk.core.placement;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;

/**
 * Times that a plan sets for open jobs, beside their own deadlines. The order of the queue and what
 * is rented follow whichever comes first.
 */
public interface PlannedDeadlines {
  /** No plan at all. */
  PlannedDeadlines NONE =
      new PlannedDeadlines() {
        @Override
        public Optional<TimeLeft> timeToStart(Job job, WallTime now) {
          return Optional.empty();
        }

        @Override
        public Optional<Span> timeToEnd(Job job, WallTime now) {
          return Optional.empty();
        }

        @Override
        public List<Job> takeChangedJobs() {
          return List.of();
        }
      };

  /**
   * Time left for a job as it counts in the order.
   *
   * @param steady whether it stays as it is until {@link #takeChangedJobs} names the job
   */
  record TimeLeft(Span span, boolean fixed) {}

  /** The time left until the rest of a job has to be started; empty if no plan covers it. */
  Optional<TimeLeft> timeToStart(Job job, WallTime now);

  /** The time left until all of a job should be done, less what run times may differ. */
  Optional<Span> timeToEnd(Job job, WallTime now);

  /** Jobs whose times have moved by a notable part since this was asked last. */
  List<Job> takeChangedJobs();
}
