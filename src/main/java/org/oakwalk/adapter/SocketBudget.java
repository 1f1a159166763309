package org.oakwalk.adapter;

/**
 * Divides the sockets that a node may have open, so that no use can starve another. Connections to
 * other controllers, the state service and the cloud and commands to workers are bounded by what
 * each needs at most; clients (users, workers, health checks) get the rest. The section "Sockets"
 * in docs/design.md shows the calculation.
 *
 * @param totalSockets open sockets that the platform allows
 * @param peerCount number of other controllers
 */
public record SocketBudget(int totalSockets, int peerCount) {
  /** Part of all sockets that concurrent commands may use. */
  private static final double COMMAND_FRACTION = 0.04;

  /** Maximum connections to each other controller, and likewise from each. */
  int connectionsPerPeer() {
    return bounded(128, 2, 4);
  }

  /** Maximum connections to the state service, or any other destination except controllers. */
  int connectionsPerDestination() {
    return bounded(32, 4, 16);
  }

  /** Maximum number of commands in flight. */
  int maxConcurrentCommands() {
    return (int) Math.max(1, totalSockets * COMMAND_FRACTION);
  }

  /**
   * Number of outgoing connections from which on connections to workers are closed after each
   * command.
   */
  int keepAliveLimit() {
    return connectionsPerDestination()
        + cloudConnections()
        + peerCount * connectionsPerPeer()
        + maxConcurrentCommands();
  }

  /** Maximum connections of users, workers and health checks. */
  int maxClientConnections() {
    int outgoing = keepAliveLimit() + maxConcurrentCommands();
    int incoming = peerCount * connectionsPerPeer();
    return Math.max(1, totalSockets - outgoing - incoming - spareSockets());
  }

  /**
   * Client connections above which workers are redirected to other nodes. The gap to {@link
   * #maxClientConnections} is for clients that connect until redirected workers have left.
   */
  int redirectThreshold() {
    return maxClientConnections() - Math.max(1, maxClientConnections() / 64);
  }

  /** Connections of users above which they are closed before workers are redirected. */
  int userConnectionLimit() {
    return maxClientConnections() / 4;
  }

  /** Sockets for the listeners, for connections not yet accepted and for those being closed. */
  private int spareSockets() {
    return bounded(24, 4, 64);
  }

  private int cloudConnections() {
    return bounded(128, 2, 4);
  }

  private int bounded(int divisor, int min, int max) {
    return Math.min(max, Math.max(min, totalSockets / divisor));
  }
}
