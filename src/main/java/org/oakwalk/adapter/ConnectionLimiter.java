package org.oakwalk.adapter;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.io.Connection;
import org.oakwalk.core.Span;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who is at the front door, and who gives way when it is full. Everybody is let in, since the load
 * balancer gives up a node that accepts nobody, and somebody idle goes instead: whoever never asked
 * for anything, then users, then workers, each the longest idle first. Before it comes to that,
 * users beyond their part are asked to come anew for each request, and workers are sent to other
 * nodes, which carry their reports.
 */
final class ConnectionLimiter implements Connection.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionLimiter.class);
  private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;

  /** Whose connection it is, as its last request tells; in the order in which they give way. */
  enum ClientKind {
    UNKNOWN,
    USER,
    WORKER
  }

  /** A connection that has asked for nothing for so long is not about to. */
  private static final Span FIRST_REQUEST_TIMEOUT = Span.seconds(2);

  private static final class TrackedConnection {
    ClientKind kind = ClientKind.UNKNOWN;
    long idleSince;

    /** Whether it was asked to report elsewhere and has not been answered otherwise. */
    boolean redirected;

    TrackedConnection(long idleSince) {
      this.idleSince = idleSince;
    }
  }

  private final SocketBudget sockets;
  private final Map<Connection, TrackedConnection> tracked = new HashMap<>();

  /** Of each kind those that wait for no answer, the longest idle first. */
  private final Map<ClientKind, Map<Connection, TrackedConnection>> idle =
      new EnumMap<>(ClientKind.class);

  private int userCount;
  private int redirectedCount;
  private long closedCount;
  private long nextLog = System.nanoTime();

  ConnectionLimiter(SocketBudget sockets) {
    this.sockets = sockets;
    for (ClientKind guest : ClientKind.values()) {
      idle.put(guest, new LinkedHashMap<>());
    }
  }

  @Override
  public void onOpened(Connection connection) {
    Optional<Connection> leaves;
    synchronized (this) {
      TrackedConnection visit = new TrackedConnection(System.nanoTime());
      tracked.put(connection, visit);
      leaves =
          tracked.size() > sockets.maxClientConnections()
              ? Optional.of(connectionToClose(connection))
              : Optional.empty();
      idle.get(ClientKind.UNKNOWN).put(connection, visit);
      leaves.ifPresent(this::untrack);
    }
    leaves.ifPresent(Connection::close);
  }

  /** Who gives way to the one that came last; that one itself if all others wait for answers. */
  private Connection connectionToClose(Connection last) {
    closedCount++;
    for (ClientKind guest : ClientKind.values()) {
      Iterator<Map.Entry<Connection, TrackedConnection>> longest =
          idle.get(guest).entrySet().iterator();
      if (longest.hasNext()) {
        Map.Entry<Connection, TrackedConnection> first = longest.next();
        long rested = System.nanoTime() - first.getValue().idleSince;
        if (guest != ClientKind.UNKNOWN || rested / 1_000_000 > FIRST_REQUEST_TIMEOUT.millis()) {
          return first.getKey();
        }
      }
    }
    return last;
  }

  @Override
  public synchronized void onClosed(Connection connection) {
    untrack(connection);
  }

  private void untrack(Connection connection) {
    TrackedConnection visit = tracked.remove(connection);
    if (visit != null) {
      idle.get(visit.kind).remove(connection);
      userCount -= visit.kind == ClientKind.USER ? 1 : 0;
      redirectedCount -= visit.redirected ? 1 : 0;
    }
  }

  /** A request came; its connection stays until the answer is sent. */
  synchronized void requestReceived(Connection connection, ClientKind guest) {
    TrackedConnection visit = tracked.get(connection);
    if (visit == null) {
      return;
    }
    idle.get(visit.kind).remove(connection);
    if (visit.kind != guest) {
      userCount += (guest == ClientKind.USER ? 1 : 0) - (visit.kind == ClientKind.USER ? 1 : 0);
      visit.kind = guest;
    }
  }

  /** The answer is sent. */
  synchronized void responseSent(Connection connection) {
    TrackedConnection visit = tracked.get(connection);
    if (visit != null) {
      visit.idleSince = System.nanoTime();
      idle.get(visit.kind).put(connection, visit);
    }
  }

  /** Whether users should come anew for each request. */
  synchronized boolean closesUserConnections() {
    return isNearCapacity() && userCount > sockets.userConnectionLimit();
  }

  /**
   * Whether the worker that reported over this connection should go elsewhere. Those that were
   * asked already count as gone, or all that report at the same moment would leave together.
   */
  synchronized boolean tryRedirect(Connection connection) {
    TrackedConnection visit = tracked.get(connection);
    if (visit == null
        || visit.redirected
        || !isNearCapacity()
        || userCount > sockets.userConnectionLimit()) {
      return false;
    }
    visit.redirected = true;
    redirectedCount++;
    return true;
  }

  /** The worker was answered as ever and stays. */
  synchronized void cancelRedirect(Connection connection) {
    TrackedConnection visit = tracked.get(connection);
    if (visit != null && visit.redirected) {
      visit.redirected = false;
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
          "front door: {} of {}, users {}, leaving {}, closed {}",
          tracked.size(),
          sockets.maxClientConnections(),
          userCount,
          redirectedCount,
          closedCount);
    }
    return true;
  }
}
