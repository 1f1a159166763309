package org.oakwalk.core.port;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;

/** Answer to a request that this node received. */
public sealed interface Response {

  /** State of a job as users see it. */
  enum JobState {
    QUEUED,
    RUNNING,
    DONE,
    CANCELLED
  }

  /** A job's state; {@code created} is true if the request created the job. */
  record JobStatus(boolean created, JobId job, JobState state, int done, int running)
      implements Response {}

  /** An error; the caller may retry after {@code retryAfter}, if given. */
  record Problem(int status, String reason, Optional<TimeSpan> retryAfter) implements Response {}

  /** Orders for a worker that reported. */
  record Orders(Token token, List<Order> orders) implements Response {}

  /** The worker should report to the leader, if one is known. */
  record Redirect(Optional<NodeId> leader) implements Response {}

  /** The node is ready to take requests. */
  record Ready() implements Response {}

  /** Answer to another controller. */
  record PeerResponse(PeerMessage message) implements Response {}

  /** The service is temporarily unavailable. */
  static Problem unavailable(String reason, TimeSpan retryAfter) {
    return new Problem(503, reason, Optional.of(retryAfter));
  }

  /** Too many open jobs or requests at present; the caller may retry later. */
  static Problem overloaded(String reason, TimeSpan retryAfter) {
    return new Problem(429, reason, Optional.of(retryAfter));
  }

  /** An error without a retry time. */
  static Problem refusal(int status, String reason) {
    return new Problem(status, reason, Optional.empty());
  }
}
