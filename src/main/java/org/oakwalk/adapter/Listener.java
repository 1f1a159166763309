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

/** The node's two doors: one for users and workers, one for the other controllers. */
public final class Listener implements AutoCloseable {
  private static final int MOST_OPEN = 2000;
  private static final String PEERS = "peers";

  /** Takes events to the core; false if there are too many. */
  public interface Sink {
    boolean offer(Event event);
  }

  private final Server server;
  private final ServerConnector front;
  private final ServerConnector back;
  private final ConnectionLimiter limiter;
  private final Sink sink;
  private final Map<InboundRequestId, Inbound.Reply> open = new HashMap<>();
  private final AtomicInteger openCount = new AtomicInteger();
  private long exchanges;

  public Listener(
      ThreadPool threads,
      Scheduler scheduler,
      ByteBufferPool buffers,
      Address serve,
      Address peers,
      Sockets sockets,
      Sink sink) {
    this.sink = sink;
    server = new Server(threads, scheduler, buffers);
    server.setStopTimeout(0);
    front = connector(serve, "front");
    back = connector(peers, PEERS);
    limiter = new ConnectionLimiter(sockets);
    front.addBean(limiter);
    server.addConnector(front);
    server.addConnector(back);
    Inbound inFront = new Inbound(this::offer, Optional.of(limiter));
    Inbound inBack = new Inbound(this::offer, Optional.empty());
    server.setHandler(
        new Handler.Abstract.NonBlocking() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            boolean peer = PEERS.equals(request.getConnectionMetaData().getConnector().getName());
            return (peer ? inBack : inFront).handle(request, response, callback);
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
    // The cache of header fields takes 100 KB a connection, and a leader has one from each machine.
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

  /** Opens both doors. */
  public void start() throws Exception {
    server.start();
  }

  /** The port of the door for users and workers, which differs from the settings if that was 0. */
  public int frontPort() {
    return front.getLocalPort();
  }

  /** The port of the door for the other controllers. */
  public int peerPort() {
    return back.getLocalPort();
  }

  private boolean offer(Inbound.Reply reply, Function<InboundRequestId, Event> event) {
    if (openCount.incrementAndGet() > MOST_OPEN) {
      openCount.decrementAndGet();
      return false;
    }
    InboundRequestId id;
    synchronized (open) {
      id = new InboundRequestId(++exchanges);
      open.put(id, reply);
    }
    if (!sink.offer(event.apply(id))) {
      take(id);
      return false;
    }
    return true;
  }

  private Inbound.Reply take(InboundRequestId id) {
    synchronized (open) {
      Inbound.Reply reply = open.remove(id);
      if (reply != null) {
        openCount.decrementAndGet();
      }
      return reply;
    }
  }

  /** Answers an exchange. */
  public void respond(InboundRequestId exchange, org.oakwalk.core.port.Response response) {
    Inbound.Reply reply = take(exchange);
    if (reply == null) {
      return;
    }
    if (response instanceof org.oakwalk.core.port.Response.JobStatus status) {
      reply.send(status.created() ? 201 : 200, UserCodec.status(status));
    } else if (response instanceof org.oakwalk.core.port.Response.Problem problem) {
      reply.error(problem.status(), problem.reason(), problem.retryAfter());
    } else if (response instanceof org.oakwalk.core.port.Response.Orders orders) {
      reply.send(200, WorkerCodec.orders(orders.token(), orders.orders()));
    } else if (response instanceof org.oakwalk.core.port.Response.Redirect elsewhere) {
      reply.send(421, WorkerCodec.elsewhere(elsewhere.leader()));
    } else if (response instanceof org.oakwalk.core.port.Response.PeerResponse toPeer) {
      reply.send(200, PeerCodec.encode(toPeer.message()));
    } else {
      reply.send(200, new byte[0]);
    }
  }

  @Override
  public void close() {
    LifeCycle.stop(server);
  }
}
