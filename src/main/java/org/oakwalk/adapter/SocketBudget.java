package org.oakwalk.adapter;

/**
 * Shares out the sockets that a node may have open by what each side needs at most, so that none
 * can take those of another. What the other controllers, the state service, the cloud and commands
 * to workers may hold is bounded; the front door (users, workers, health checks) has all the rest.
 * "Sockets" in docs/design.md has the arithmetic.
 *
 * @param totalSockets sockets that the platform allows
 * @param peerCount how many other controllers there are
 */
public record SocketBudget(int totalSockets, int peerCount) {
  private static final double COMMAND_FRACTION = 0.04;

  /** Connections to each of the other controllers, and as many from each. */
  int connectionsPerPeer() {
    return bounded(128, 2, 4);
  }

  /** Connections to the state service, or to any other place that is not a controller. */
  int connectionsPerDestination() {
    return bounded(32, 4, 16);
  }

  /** Commands that may be under way at once. */
  int maxConcurrentCommands() {
    return (int) Math.max(1, totalSockets * COMMAND_FRACTION);
  }

  /** Outgoing connections up to which those to workers are kept open after a command. */
  int keepAliveLimit() {
    return connectionsPerDestination()
        + cloudConnections()
        + peerCount * connectionsPerPeer()
        + maxConcurrentCommands();
  }

  /** Connections that the front door takes. */
  int maxClientConnections() {
    int outgoing = keepAliveLimit() + maxConcurrentCommands();
    int incoming = peerCount * connectionsPerPeer();
    return Math.max(1, totalSockets - outgoing - incoming - spareSockets());
  }

  /**
   * Connections beyond which the front door asks for room: what lies between is for whoever comes
   * while workers still find their way elsewhere.
   */
  int redirectThreshold() {
    return maxClientConnections() - Math.max(1, maxClientConnections() / 64);
  }

  /** Connections of users beyond which they make room before workers do. */
  int userConnectionLimit() {
    return maxClientConnections() / 4;
  }

  /** For the doors themselves, for who waits to be let in, and for connections that are closing. */
  private int spareSockets() {
    return bounded(24, 4, 64);
  }

  private int cloudConnections() {
    return bounded(128, 2, 4);
  }

  private int bounded(int part, int least, int most) {
    return Math.min(most, Math.max(least, totalSockets / part));
  }
}
