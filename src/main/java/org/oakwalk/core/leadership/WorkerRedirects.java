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
 * Redirects workers for which the leader has no free sockets to followers in contact with it, which
 * forward their reports ({@link ReportForwarding}). Followers redirect each worker back
 * periodically, so it stays with the leader again once sockets are free. Unlike workers whose
 * reports are forwarded because they cannot reach the leader, redirected workers can receive
 * commands from the leader.
 */
public final class WorkerRedirects {
  /** A follower without a reply for longer than this is no redirect target. */
  private static final Span FOLLOWER_TIMEOUT = Span.millis(2500);

  /** Longer than a follower forwards a worker's reports before it redirects the worker back. */
  private static final Span REDIRECT_RETENTION = Span.seconds(30);

  private final Map<NodeId, Moment> followers = new HashMap<>();
  private final Map<MachineId, Moment> redirectedAt = new HashMap<>();

  /** Records a reply from a follower. */
  public void followerHeard(NodeId follower, Moment now) {
    followers.put(follower, now);
    redirectedAt.values().removeIf(sentAt -> now.isPast(sentAt, REDIRECT_RETENTION));
  }

  /** Whether any follower is in contact with this node. */
  public boolean hasTarget(Moment now) {
    return followers.values().stream()
        .anyMatch(lastHeard -> !now.isPast(lastHeard, FOLLOWER_TIMEOUT));
  }

  /** Chooses the follower to which this worker is redirected, if any is in contact. */
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

  /**
   * Whether this node redirected this worker recently, which shows that the worker can reach it.
   */
  public boolean redirectedRecently(MachineId machine, Moment now) {
    Moment sentAt = redirectedAt.get(machine);
    return sentAt != null && !now.isPast(sentAt, REDIRECT_RETENTION);
  }
}
