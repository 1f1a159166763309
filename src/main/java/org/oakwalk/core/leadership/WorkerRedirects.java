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
  private static final Span FOLLOWER_TIMEOUT = Span.millis(2500);

  /** Longer than a follower carries reports before it sends a worker back. */
  private static final Span REDIRECT_RETENTION = Span.seconds(30);

  private final Map<NodeId, Moment> followers = new HashMap<>();
  private final Map<MachineId, Moment> redirectedAt = new HashMap<>();

  /** A follower answered this leader. */
  public void followerHeard(NodeId follower, Moment now) {
    followers.put(follower, now);
    redirectedAt.values().removeIf(sentAt -> now.isPast(sentAt, REDIRECT_RETENTION));
  }

  /** Whether any follower hears this node. */
  public boolean hasTarget(Moment now) {
    return followers.values().stream()
        .anyMatch(lastHeard -> !now.isPast(lastHeard, FOLLOWER_TIMEOUT));
  }

  /** The node to which this worker is to be sent, if there is one. */
  public Optional<NodeId> target(MachineId machine, Moment now) {
    List<NodeId> reachable =
        followers.entrySet().stream()
            .filter(follower -> !now.isPast(follower.getValue(), FOLLOWER_TIMEOUT))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    if (reachable.isEmpty()) {
      return Optional.empty();
    }
    redirectedAt.put(machine, now);
    return Optional.of(reachable.get(Math.floorMod(machine.value().hashCode(), reachable.size())));
  }

  /** Whether this worker was sent to a follower by this node, and so can reach it. */
  public boolean redirectedRecently(MachineId machine, Moment now) {
    Moment sentAt = redirectedAt.get(machine);
    return sentAt != null && !now.isPast(sentAt, REDIRECT_RETENTION);
  }
}
