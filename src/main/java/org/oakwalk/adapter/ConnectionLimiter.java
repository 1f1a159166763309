package org.oakwalk.adapter;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.io.Connection;
import org.oakwalk.core.TimeSpan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the connections of users, workers and health checks. New connections are always accepted,
 * since the load balancer stops using a node that accepts none. At the limit, an idle connection is
 * closed for each new one: first those that never sent a request, then those of users, then those
 * of workers, each starting with the longest idle. Before the limit is reached, connections of
 * users above their own limit are closed after each response, and workers are redirected to other
 * nodes, which forward their reports.
 */
final class ConnectionLimiter implements Connection.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionLimiter.class);
  private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;

  /** The kind of client, derived from its last request; constants are in closing order. */
  enum ClientKind {
    UNKNOWN,
    USER,
    WORKER
  }

  /**
   * Time after which a connection without any request counts as idle; a younger one may be about to
   * send its first request.
   */
  private static final TimeSpan FIRST_REQUEST_TIMEOUT = TimeSpan.seconds(2);

  private static final class TrackedConnection {
    ClientKind kind = ClientKind.UNKNOWN;
    long idleSince;

    /** True from a redirect until the worker gets another response than a redirect. */
    boolean redirected;

    TrackedConnection(long idleSince) {
      this.idleSince = idleSince;
    }
  }

  private final SocketBudget sockets;
  private final Map<Connection, TrackedConnection> tracked = new HashMap<>();

  /** Connections without a request in progress, by kind of client, the longest idle first. */
  private final Map<ClientKind, Map<Connection, TrackedConnection>> idle =
      new EnumMap<>(ClientKind.class);

  private int userCount;
  private int redirectedCount;
  private long closedCount;
  private long nextLog = System.nanoTime();

  ConnectionLimiter(SocketBudget sockets) {
    this.sockets = sockets;
    for (ClientKind kind : ClientKind.values()) {
      idle.put(kind, new LinkedHashMap<>());
    }
  }

  @Override
  public void onOpened(Connection connection) {
    Optional<Connection> closing;
    synchronized (this) {
      TrackedConnection state = new TrackedConnection(System.nanoTime());
      tracked.put(connection, state);
      closing =
          tracked.size() > sockets.maxClientConnections()
              ? Optional.of(connectionToClose(connection))
              : Optional.empty();
      idle.get(ClientKind.UNKNOWN).put(connection, state);
      closing.ifPresent(this::untrack);
    }
    closing.ifPresent(Connection::close);
  }

  /** Returns the connection to close; the newest itself if all others have requests in progress. */
  private Connection connectionToClose(Connection newest) {
    closedCount++;
    for (ClientKind kind : ClientKind.values()) {
      Iterator<Map.Entry<Connection, TrackedConnection>> byIdleTime =
          idle.get(kind).entrySet().iterator();
      if (byIdleTime.hasNext()) {
        Map.Entry<Connection, TrackedConnection> longestIdle = byIdleTime.next();
        long idleNanos = System.nanoTime() - longestIdle.getValue().idleSince;
        if (kind != ClientKind.UNKNOWN || idleNanos / 1_000_000 > FIRST_REQUEST_TIMEOUT.millis()) {
          return longestIdle.getKey();
        }
      }
    }
    return newest;
  }

  @Override
  public synchronized void onClosed(Connection connection) {
    untrack(connection);
  }

  private void untrack(Connection connection) {
    TrackedConnection state = tracked.remove(connection);
    if (state != null) {
      idle.get(state.kind).remove(connection);
      userCount -= state.kind == ClientKind.USER ? 1 : 0;
      redirectedCount -= state.redirected ? 1 : 0;
    }
  }

  /** Records the start of a request; the connection is not closed until its response is sent. */
  synchronized void requestReceived(Connection connection, ClientKind kind) {
    TrackedConnection state = tracked.get(connection);
    if (state == null) {
      return;
    }
    idle.get(state.kind).remove(connection);
    if (state.kind != kind) {
      userCount += (kind == ClientKind.USER ? 1 : 0) - (state.kind == ClientKind.USER ? 1 : 0);
      state.kind = kind;
    }
  }

  /** Records that the response was sent; the connection is idle again. */
  synchronized void responseSent(Connection connection) {
    TrackedConnection state = tracked.get(connection);
    if (state != null) {
      state.idleSince = System.nanoTime();
      idle.get(state.kind).put(connection, state);
    }
  }

  /** Returns true if connections of users are to be closed after each response. */
  synchronized boolean closesUserConnections() {
    return isNearCapacity() && userCount > sockets.userConnectionLimit();
  }

  /**
   * Marks the connection of a worker as redirected if the worker should report to another node;
   * returns true if it was marked. Redirected connections already count as closed, since otherwise
   * all workers that report at the same moment would be redirected together.
   */
  synchronized boolean tryRedirect(Connection connection) {
    TrackedConnection state = tracked.get(connection);
    if (state == null
        || state.redirected
        || !isNearCapacity()
        || userCount > sockets.userConnectionLimit()) {
      return false;
    }
    state.redirected = true;
    redirectedCount++;
    return true;
  }

  /** Records that the worker got an ordinary response and keeps its connection. */
  synchronized void cancelRedirect(Connection connection) {
    TrackedConnection state = tracked.get(connection);
    if (state != null && state.redirected) {
      state.redirected = false;
      redirectedCount--;
    }
  }

  private boolean isNearCapacity() {
    if (tracked.size() - redirectedCount <= sockets.redirectThreshold()) {
      return false;
    }
    long now = System.nanoTime();
    if (now - nextLog >= 0) {
      nextLog = now + LOG_INTERVAL_NANOS;
      LOG.info(
          "client connections: {} of {}, users {}, redirected {}, closed {}",
          tracked.size(),
          sockets.maxClientConnections(),
          userCount,
          redirectedCount,
          closedCount);
    }
    return true;
  }
}
