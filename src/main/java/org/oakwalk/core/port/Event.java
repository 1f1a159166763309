package org.oakwalk.core.port;

import org.oakwalk.core.CallId;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.Report;

/** An input to the core from its environment. */
public sealed interface Event {

  /** Periodic tick of the clock. */
  record Tick() implements Event {}

  /** A user's request arrived. */
  record UserRequestReceived(InboundRequestId requestId, UserRequest request) implements Event {}

  /** The load balancer asked whether this node can take requests. */
  record HealthCheckReceived(InboundRequestId requestId) implements Event {}

  /**
   * A worker's report arrived.
   *
   * @param redirectPreferred whether the worker should be redirected because this node is short of
   *     sockets
   */
  record WorkerReportReceived(InboundRequestId requestId, Report report, boolean redirectPreferred)
      implements Event {}

  /** A message from another controller arrived. */
  record PeerMessageReceived(InboundRequestId requestId, PeerMessage message) implements Event {}

  /** A call ended, with an answer or without a known outcome. */
  record CallAnswered(CallId call, Answer answer) implements Event {}
}
