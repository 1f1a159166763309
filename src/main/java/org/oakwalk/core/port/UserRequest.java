package org.oakwalk.core.port;

import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.job.JobSpec;

/** A user's request whose job id is well formed. */
public sealed interface UserRequest {
  JobId job();

  /** A submission; without a spec it is malformed, and {@code problem} says how. */
  record Submit(JobId job, Optional<JobSpec> spec, String problem) implements UserRequest {}

  /** A question about a job's state. */
  record Query(JobId job) implements UserRequest {}

  /** A wish to cancel a job. */
  record Withdraw(JobId job) implements UserRequest {}
}
