package org.oakwalk.core.port;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.JobId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;

/** The answer to something that somebody sent here. */
public sealed interface Response {

  /** State of a job as users see it. */
  enum JobState {
    QUEUED,
    RUNNING,
    DONE,
    CANCELLED
  }

  /** A job's state; {@code created} tells a new job from a known one. */
  record JobStatus(boolean created, JobId job, JobState state, int done, int running)
      implements Response {}

  /** An error; with a span the caller may come back after it. */
  record Problem(int status, String reason, Optional<Span> retryAfter) implements Response {}

  /** Orders for a worker that reported. */
  record Orders(Token token, List<Order> orders) implements Response {}

  /** The worker should report to the leader, if one is known. */
  record Redirect(Optional<NodeId> leader) implements Response {}

  /** All is well. */
  record Ready() implements Response {}

  /** Answer to another controller. */
  record PeerResponse(PeerMessage message) implements Response {}

  static Problem unavailable(String reason, Span retryAfter) {
    return new Problem(503, reason, Optional.of(retryAfter));
  }

  /** More than can be held now; it may be asked again later. */
  static Problem overloaded(String reason, Span retryAfter) {
    return new Problem(429, reason, Optional.of(retryAfter));
  }

  static Problem refusal(int status, String reason) {
    return new Problem(status, reason, Optional.empty());
  }
}
