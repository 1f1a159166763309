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

/** What controllers say to each other. */
public sealed interface PeerMessage {

  /** How many tasks of a job are done and running. */
  record TaskCounts(int done, int running) {}

  /**
   * The leader's view of the open jobs. {@code serves} says that the sender reaches the state
   * service, so that others may hand it requests. The counts are for display; the suspects are jobs
   * that fail everywhere, which a successor should know of.
   */
  record Digest(
      NodeId from,
      Token token,
      boolean reachesStateService,
      Map<JobId, TaskCounts> counts,
      Set<JobId> suspects)
      implements PeerMessage {}

  /**
   * Answer to a digest. {@code settled} says that the sender acts under no token of its own older
   * than the digest's and never will again in this life.
   */
  record Acknowledgement(NodeId from, boolean relinquished) implements PeerMessage {}

  /** Asks whether the receiver can be reached at all. */
  record Probe(NodeId from) implements PeerMessage {}

  /** A worker's report that reached its receiver instead of the leader. */
  record ForwardReport(Report report) implements PeerMessage {}

  /** The leader's answer to a carried report; without a token it does not lead. */
  record ForwardedReportOrders(Optional<Token> token, List<Order> orders) implements PeerMessage {}

  /** A user's request that its receiver cannot serve, for lack of the state service. */
  record ForwardUserRequest(UserRequest request) implements PeerMessage {}

  /** Answer to a forwarded request. */
  record ForwardedResponse(Response response) implements PeerMessage {}
}
