package org.oakwalk.core.port;

import org.oakwalk.core.CallId;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.TimeSpan;

/** An action that the core requests from its environment. */
public sealed interface Effect {

  /** Answers a received request. */
  record Respond(InboundRequestId requestId, Response response) implements Effect {}

  /** Sends a request; its answer must be delivered under the same id. */
  record Call(CallId call, Request request) implements Effect {}

  /**
   * Cancels commands to this address that have not been sent yet. Each is answered as refused, so
   * that the core knows that it was not sent.
   */
  record CancelCommands(String address) implements Effect {}

  /** Durations measured for the operators' metrics. */
  enum DurationMetric {
    /** From a job's acceptance, as far as observed by this leader, to the order to start a task. */
    QUEUE_WAIT,
    /** From gaining leadership to the leader's first placement. */
    FAILOVER,
    /** From the order to stop a replica on one machine until it is seen running on the next. */
    REPLICA_GAP
  }

  /** Records a measured duration. */
  record RecordDuration(DurationMetric metric, TimeSpan span) implements Effect {}
}
