package org.oakwalk.adapter;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.port.Event;
import org.oakwalk.wire.PeerCodec;
import org.oakwalk.wire.UserCodec;
import org.oakwalk.wire.WorkerCodec;

/** The node's HTTP server, with one port for users and workers and one for other controllers. */
public final class HttpListener implements AutoCloseable {
  private static final int MAX_OPEN_REQUESTS = 2000;
  private static final String PEER_CONNECTOR = "peers";

  /** Passes events to the core. */
  public interface EventSink {
    /** Returns true if the event was accepted, false if too many events are queued. */
    boolean offer(Event event);
  }

  private final Server server;
  private final ServerConnector clientConnector;
  private final ServerConnector peerConnector;
  private final ConnectionLimiter limiter;
  private final EventSink sink;
  private final Map<InboundRequestId, InboundRequestHandler.PendingReply> openReplies =
      new HashMap<>();
  private final AtomicInteger openRequests = new AtomicInteger();
  private long lastRequestNumber;

  /** Creates a listener that accepts connections once it is started. */
  public HttpListener(
      ThreadPool threads,
      Scheduler scheduler,
      ByteBufferPool buffers,
      Address clientAddress,
      Address peerAddress,
      SocketBudget sockets,
      EventSink sink) {
    this.sink = sink;
    server = new Server(threads, scheduler, buffers);
    server.setStopTimeout(0);
    clientConnector = connector(clientAddress, "front");
    peerConnector = connector(peerAddress, PEER_CONNECTOR);
    limiter = new ConnectionLimiter(sockets);
    clientConnector.addBean(limiter);
    server.addConnector(clientConnector);
    server.addConnector(peerConnector);
    InboundRequestHandler clientHandler =
        new InboundRequestHandler(this::offer, Optional.of(limiter));
    InboundRequestHandler peerHandler = new InboundRequestHandler(this::offer, Optional.empty());
    server.setHandler(
        new Handler.Abstract.NonBlocking() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            boolean fromPeer =
                PEER_CONNECTOR.equals(request.getConnectionMetaData().getConnector().getName());
            return (fromPeer ? peerHandler : clientHandler).handle(request, response, callback);
          }
        });
  }

  private ServerConnector connector(Address address, String name) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setRequestHeaderSize(4096);
    http.setResponseHeaderSize(1024);
    http.setOutputBufferSize(8192);
    // The header cache takes 100 KB per connection, and each machine has one to the leader.
    http.setHeaderCacheSize(0);
    http.setHttpCompliance(HttpCompliance.RFC7230);
    http.setUriCompliance(UriCompliance.RFC3986);
    ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
    connector.setName(name);
    connector.setHost(address.host());
    connector.setPort(address.port());
    connector.setReuseAddress(true);
    connector.setAcceptQueueSize(256);
    connector.setIdleTimeout(120_000);
    return connector;
  }

  /** Opens both ports. */
  public void start() throws Exception {
    server.start();
  }

  /** Returns the actual port for users and workers, also if the configured port is 0. */
  public int clientPort() {
    return clientConnector.getLocalPort();
  }

  /** Returns the actual port for the other controllers. */
  public int peerPort() {
    return peerConnector.getLocalPort();
  }

  private boolean offer(
      InboundRequestHandler.PendingReply reply, Function<InboundRequestId, Event> event) {
    if (openRequests.incrementAndGet() > MAX_OPEN_REQUESTS) {
      openRequests.decrementAndGet();
      return false;
    }
    InboundRequestId id;
    synchronized (openReplies) {
      id = new InboundRequestId(++lastRequestNumber);
      openReplies.put(id, reply);
    }
    if (!sink.offer(event.apply(id))) {
      removeReply(id);
      return false;
    }
    return true;
  }

  private InboundRequestHandler.PendingReply removeReply(InboundRequestId id) {
    synchronized (openReplies) {
      InboundRequestHandler.PendingReply reply = openReplies.remove(id);
      if (reply != null) {
        openRequests.decrementAndGet();
      }
      return reply;
    }
  }

  /** Sends the response to a pending request; does nothing if it was already answered. */
  public void respond(InboundRequestId requestId, org.oakwalk.core.port.Response response) {
    InboundRequestHandler.PendingReply reply = removeReply(requestId);
    if (reply == null) {
      return;
    }
    if (response instanceof org.oakwalk.core.port.Response.JobStatus status) {
      reply.send(status.created() ? 201 : 200, UserCodec.encodeStatus(status));
    } else if (response instanceof org.oakwalk.core.port.Response.Problem problem) {
      reply.error(problem.status(), problem.reason(), problem.retryAfter());
    } else if (response instanceof org.oakwalk.core.port.Response.Orders orders) {
      reply.send(200, WorkerCodec.orders(orders.token(), orders.orders()));
    } else if (response instanceof org.oakwalk.core.port.Response.Redirect redirect) {
      reply.send(421, WorkerCodec.redirect(redirect.leader()));
    } else if (response instanceof org.oakwalk.core.port.Response.PeerResponse peerResponse) {
      reply.send(200, PeerCodec.encode(peerResponse.message()));
    } else {
      reply.send(200, new byte[0]);
    }
  }

  @Override
  public void close() {
    LifeCycle.stop(server);
  }
}
