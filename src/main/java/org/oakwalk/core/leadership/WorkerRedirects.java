package org.oakwalk.core.leadership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.TimeSpan;

/**
 * Redirects workers for which the leader has no free sockets to followers in contact with it, which
 * forward their reports ({@link ReportForwarding}). Followers redirect each worker back
 * periodically, so it stays with the leader again once sockets are free. Unlike workers whose
 * reports are forwarded because they cannot reach the leader, redirected workers can receive
 * commands from the leader.
 */
public final class WorkerRedirects {
  /** A follower without a reply for longer than this is no redirect target. */
  private static final TimeSpan FOLLOWER_TIMEOUT = TimeSpan.millis(2500);

  /** Longer than a follower forwards a worker's reports before it redirects the worker back. */
  private static final TimeSpan REDIRECT_RETENTION = TimeSpan.seconds(30);

  private final Map<NodeId, MonotonicTime> followers = new HashMap<>();
  private final Map<MachineId, MonotonicTime> redirectedAt = new HashMap<>();

  /** Records a reply from a follower. */
  public void followerHeard(NodeId follower, MonotonicTime now) {
    followers.put(follower, now);
    redirectedAt.values().removeIf(sentAt -> now.isPast(sentAt, REDIRECT_RETENTION));
  }

  /** Whether any follower is in contact with this node. */
  public boolean hasTarget(MonotonicTime now) {
    return followers.values().stream()
        .anyMatch(lastHeard -> !now.isPast(lastHeard, FOLLOWER_TIMEOUT));
  }

  /** Chooses the follower to which this worker is redirected, if any is in contact. */
  public Optional<NodeId> target(MachineId machine, MonotonicTime now) {
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
  public boolean redirectedRecently(MachineId machine, MonotonicTime now) {
    MonotonicTime sentAt = redirectedAt.get(machine);
    return sentAt != null && !now.isPast(sentAt, REDIRECT_RETENTION);
  }
}
