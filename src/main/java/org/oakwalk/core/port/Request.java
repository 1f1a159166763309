package org.oakwalk.core.port;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.RentalRequestId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;

/** A request from this node to another system. */
public sealed interface Request {

  /**
   * Order in which requests to the state service are sent when its rate limit is reached, most
   * urgent first.
   */
  enum Urgency {
    LEADERSHIP,
    WITHDRAWAL,
    /**
     * Registration of new machines: one change covers dozens of them, and no task starts without
     * it.
     */
    REGISTRATION,
    ACCEPTANCE,
    RESULT,
    ROUTINE
  }

  /** Requests to the state service. */
  sealed interface StateServiceRequest extends Request {
    /** How urgent the request is. */
    Urgency urgency();

    /** Number of puts and deletes that count against the write rate. */
    default int writeCount() {
      return 0;
    }
  }

  /** Requests to the cloud. */
  sealed interface CloudRequest extends Request {}

  /** Reads a page of the keys below a prefix. */
  record ReadPage(String prefix, Optional<String> after, Urgency urgency)
      implements StateServiceRequest {}

  /** Waits for changes below a prefix; with a wait of zero it returns the changes present. */
  record Watch(String prefix, Revision after, TimeSpan maxWait, Urgency urgency)
      implements StateServiceRequest {}

  /** An atomic transaction. */
  record Commit(List<Guard> guards, List<Change> changes, Urgency urgency)
      implements StateServiceRequest {
    @Override
    public int writeCount() {
      return changes.size();
    }
  }

  /** Requests a lease. */
  record GrantLease(TimeSpan ttl) implements StateServiceRequest {
    @Override
    public Urgency urgency() {
      return Urgency.LEADERSHIP;
    }
  }

  /** Renews a lease. */
  record RenewLease(LeaseId lease) implements StateServiceRequest {
    @Override
    public Urgency urgency() {
      return Urgency.LEADERSHIP;
    }
  }

  /** Revokes a lease, which ends it at once. */
  record RevokeLease(LeaseId lease) implements StateServiceRequest {
    @Override
    public Urgency urgency() {
      return Urgency.LEADERSHIP;
    }
  }

  /** Asks the cloud for the machine types. */
  record FetchCatalog() implements CloudRequest {}

  /** Asks the cloud for a page of the machine list. */
  record ListRentals(Optional<MachineId> after) implements CloudRequest {}

  /** Rents machines. */
  record RentMachines(RentalRequestId id, String type, String zone, boolean spot, int count)
      implements CloudRequest {}

  /** Returns machines. */
  record ReleaseMachines(List<MachineId> machines) implements CloudRequest {}

  /** Sends orders directly to a worker. */
  record Command(String address, Token token, SessionId session, List<Order> orders)
      implements Request {}

  /** Sends a message to another controller. */
  record SendToPeer(NodeId node, PeerMessage message) implements Request {}
}
