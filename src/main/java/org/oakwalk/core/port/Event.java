package org.oakwalk.core.port;

import org.oakwalk.core.CallId;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.Report;

/** Something that happened outside the core. */
public sealed interface Event {

  /** Time went on. */
  record Tick() implements Event {}

  /** A user asks for something. */
  record UserRequestReceived(InboundRequestId requestId, UserRequest request) implements Event {}

  /** The load balancer asks whether this node can take requests. */
  record HealthCheckReceived(InboundRequestId requestId) implements Event {}

  /**
   * A worker reports.
   *
   * @param crowded whether it had better report elsewhere, for want of sockets here
   */
  record WorkerReportReceived(InboundRequestId requestId, Report report, boolean redirectPreferred)
      implements Event {}

  /** Another controller says something. */
  record PeerMessageReceived(InboundRequestId requestId, PeerMessage message) implements Event {}

  /** A call came to its end, one way or the other. */
  record CallAnswered(CallId call, Answer answer) implements Event {}
}
