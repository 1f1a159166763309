package org.oakwalk.core.leadership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Span;

/**
 * Where a leader sends the workers for which it has no sockets: to followers that hear it, which
 * carry their reports ({@link ReportForwarding}). A follower sends each of them back now and then,
 * so they stay here again once there is room. Other than those that a follower carries because they
 * can't reach the leader, they can be reached by command.
 */
public final class WorkerRedirects {
  private static final Span HEARD_WITHIN = Span.millis(2500);

  /** Longer than a follower carries reports before it sends a worker back. */
  private static final Span LODGES_FOR = Span.seconds(30);

  private final Map<NodeId, Moment> hosts = new HashMap<>();
  private final Map<MachineId, Moment> sent = new HashMap<>();

  /** A follower answered this leader. */
  public void followerHeard(NodeId follower, Moment now) {
    hosts.put(follower, now);
    sent.values().removeIf(at -> now.isPast(at, LODGES_FOR));
  }

  /** Whether any follower hears this node. */
  public boolean hasTarget(Moment now) {
    return hosts.values().stream().anyMatch(heard -> !now.isPast(heard, HEARD_WITHIN));
  }

  /** The node to which this worker is to be sent, if there is one. */
  public Optional<NodeId> target(MachineId machine, Moment now) {
    List<NodeId> near =
        hosts.entrySet().stream()
            .filter(host -> !now.isPast(host.getValue(), HEARD_WITHIN))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    if (near.isEmpty()) {
      return Optional.empty();
    }
    sent.put(machine, now);
    return Optional.of(near.get(Math.floorMod(machine.value().hashCode(), near.size())));
  }

  /** Whether this worker was sent to a follower by this node, and so can reach it. */
  public boolean redirectedRecently(MachineId machine, Moment now) {
    Moment at = sent.get(machine);
    return at != null && !now.isPast(at, LODGES_FOR);
  }
}
