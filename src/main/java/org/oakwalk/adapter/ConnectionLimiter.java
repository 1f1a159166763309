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
  private static final long LOG_EVERY_NANOS = 10_000_000_000L;

  /** Whose connection it is, as its last request tells; in the order in which they give way. */
  enum Guest {
    UNKNOWN,
    USER,
    WORKER
  }

  /** A connection that has asked for nothing for so long is not about to. */
  private static final Span ASKS_WITHIN = Span.seconds(2);

  private static final class Visit {
    Guest guest = Guest.UNKNOWN;
    long idleSince;

    /** Whether it was asked to report elsewhere and has not been answered otherwise. */
    boolean leaving;

    Visit(long idleSince) {
      this.idleSince = idleSince;
    }
  }

  private final Sockets sockets;
  private final Map<Connection, Visit> open = new HashMap<>();

  /** Of each kind those that wait for no answer, the longest idle first. */
  private final Map<Guest, Map<Connection, Visit>> idle = new EnumMap<>(Guest.class);

  private int users;
  private int leaving;
  private long shed;
  private long nextLog = System.nanoTime();

  ConnectionLimiter(Sockets sockets) {
    this.sockets = sockets;
    for (Guest guest : Guest.values()) {
      idle.put(guest, new LinkedHashMap<>());
    }
  }

  @Override
  public void onOpened(Connection connection) {
    Optional<Connection> leaves;
    synchronized (this) {
      Visit visit = new Visit(System.nanoTime());
      open.put(connection, visit);
      leaves =
          open.size() > sockets.front() ? Optional.of(firstToLeave(connection)) : Optional.empty();
      idle.get(Guest.UNKNOWN).put(connection, visit);
      leaves.ifPresent(this::forget);
    }
    leaves.ifPresent(Connection::close);
  }

  /** Who gives way to the one that came last; that one itself if all others wait for answers. */
  private Connection firstToLeave(Connection last) {
    shed++;
    for (Guest guest : Guest.values()) {
      Iterator<Map.Entry<Connection, Visit>> longest = idle.get(guest).entrySet().iterator();
      if (longest.hasNext()) {
        Map.Entry<Connection, Visit> first = longest.next();
        long rested = System.nanoTime() - first.getValue().idleSince;
        if (guest != Guest.UNKNOWN || rested / 1_000_000 > ASKS_WITHIN.millis()) {
          return first.getKey();
        }
      }
    }
    return last;
  }

  @Override
  public synchronized void onClosed(Connection connection) {
    forget(connection);
  }

  private void forget(Connection connection) {
    Visit visit = open.remove(connection);
    if (visit != null) {
      idle.get(visit.guest).remove(connection);
      users -= visit.guest == Guest.USER ? 1 : 0;
      leaving -= visit.leaving ? 1 : 0;
    }
  }

  /** A request came; its connection stays until the answer is sent. */
  synchronized void asks(Connection connection, Guest guest) {
    Visit visit = open.get(connection);
    if (visit == null) {
      return;
    }
    idle.get(visit.guest).remove(connection);
    if (visit.guest != guest) {
      users += (guest == Guest.USER ? 1 : 0) - (visit.guest == Guest.USER ? 1 : 0);
      visit.guest = guest;
    }
  }

  /** The answer is sent. */
  synchronized void answered(Connection connection) {
    Visit visit = open.get(connection);
    if (visit != null) {
      visit.idleSince = System.nanoTime();
      idle.get(visit.guest).put(connection, visit);
    }
  }

  /** Whether users should come anew for each request. */
  synchronized boolean closesAfterUsers() {
    return crowded() && users > sockets.users();
  }

  /**
   * Whether the worker that reported over this connection should go elsewhere. Those that were
   * asked already count as gone, or all that report at the same moment would leave together.
   */
  synchronized boolean asksToLeave(Connection connection) {
    Visit visit = open.get(connection);
    if (visit == null || visit.leaving || !crowded() || users > sockets.users()) {
      return false;
    }
    visit.leaving = true;
    leaving++;
    return true;
  }

  /** The worker was answered as ever and stays. */
  synchronized void stays(Connection connection) {
    Visit visit = open.get(connection);
    if (visit != null && visit.leaving) {
      visit.leaving = false;
      leaving--;
    }
  }

  private boolean crowded() {
    if (open.size() - leaving <= sockets.crowded()) {
      return false;
    }
    long now = System.nanoTime();
    if (now - nextLog >= 0) {
      nextLog = now + LOG_EVERY_NANOS;
      LOG.info(
          "front door: {} of {}, users {}, leaving {}, closed {}",
          open.size(),
          sockets.front(),
          users,
          leaving,
          shed);
    }
    return true;
  }
}
