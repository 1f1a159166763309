package org.oakwalk.core.port;

import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.job.JobSpec;

/** A user's request whose job id is well formed. */
public sealed interface UserRequest {
  /** The job that the request is about. */
  JobId job();

  /**
   * A submission of a job; without a spec it is malformed, and {@code problem} gives the reason.
   */
  record Submit(JobId job, Optional<JobSpec> spec, String problem) implements UserRequest {}

  /** A query for a job's state. */
  record Query(JobId job) implements UserRequest {}

  /** A request to cancel a job. */
  record Withdraw(JobId job) implements UserRequest {}
}
