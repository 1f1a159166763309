package org.oakwalk.core.port;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Token;

/** Messages between controllers. */
public sealed interface PeerMessage {

  /** Numbers of a job's done and running tasks. */
  record TaskCounts(int done, int running) {}

  /**
   * The leader's periodic summary of the open jobs.
   *
   * @param reachesStateService whether the sender reaches the state service, so that other
   *     controllers may forward requests to it
   * @param counts task counts for display
   * @param suspects jobs that fail on every machine, for the next leader
   */
  record Digest(
      NodeId from,
      Token token,
      boolean reachesStateService,
      Map<JobId, TaskCounts> counts,
      Set<JobId> suspects)
      implements PeerMessage {}

  /**
   * Answer to a digest or a probe.
   *
   * @param relinquished whether the sender acts under no token of its own that is older than the
   *     digest's, and never will again in this incarnation
   */
  record Acknowledgement(NodeId from, boolean relinquished) implements PeerMessage {}

  /** Checks that the receiver can be reached. */
  record Probe(NodeId from) implements PeerMessage {}

  /** A worker's report that a follower received and forwards to the leader. */
  record ForwardReport(Report report) implements PeerMessage {}

  /**
   * Answer to a forwarded report: the leader's orders for the worker. The token is empty if the
   * sender does not lead.
   */
  record ForwardedReportOrders(Optional<Token> token, List<Order> orders) implements PeerMessage {}

  /** A user's request, forwarded by a controller that cannot reach the state service. */
  record ForwardUserRequest(UserRequest request) implements PeerMessage {}

  /** Answer to a forwarded request. */
  record ForwardedResponse(Response response) implements PeerMessage {}
}
