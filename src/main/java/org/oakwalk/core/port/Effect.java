package org.oakwalk.core.port;

import org.oakwalk.core.CallId;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.Span;

/** Something the core wants done outside. */
public sealed interface Effect {

  /** Answer an exchange. */
  record Respond(InboundRequestId requestId, Response response) implements Effect {}

  /** Send a request; its answer is to come back under the same id. */
  record Call(CallId call, Request request) implements Effect {}

  /**
   * Commands to this address that have not left yet must not leave any more. Each is answered as
   * refused, so that its sender knows that nothing was sent.
   */
  record CancelCommands(String address) implements Effect {}

  /** What is measured for the operators. */
  enum DurationMetric {
    /** From a job's acceptance, as far as this leader has seen it, to a task's order. */
    QUEUE_WAIT,
    /** From a leader's rise to its first placement. */
    FAILOVER,
    /** From the order to stop a replica on one machine until it is seen running on the next. */
    REPLICA_GAP
  }

  /** Something was measured. */
  record RecordDuration(DurationMetric metric, Span span) implements Effect {}
}
