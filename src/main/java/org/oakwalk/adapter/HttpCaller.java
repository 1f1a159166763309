package org.oakwalk.adapter;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.ConnectionStatistics;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;
import org.oakwalk.wire.MalformedMessageException;
import org.oakwalk.wire.OutgoingRequest;
import org.oakwalk.wire.RequestCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends a request of the core to an address and turns what comes back into an answer. */
public final class HttpCaller implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpCaller.class);
  private static final int MAX_RESPONSE_BYTES = 8 << 20;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  private final HttpClient client;
  private final Set<String> loggedErrors = ConcurrentHashMap.newKeySet();
  private final ConnectionStatistics connections = new ConnectionStatistics();
  private final SocketBudget sockets;

  /**
   * A caller without connections as yet.
   *
   * @param peers addresses of the other controllers
   */
  public HttpCaller(
      Executor executor,
      Scheduler scheduler,
      ByteBufferPool buffers,
      SocketBudget sockets,
      Collection<String> peers)
      throws Exception {
    this.sockets = sockets;
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setExecutor(executor);
    connector.setScheduler(scheduler);
    connector.setByteBufferPool(buffers);
    connector.setConnectTimeout(Duration.ofMillis(1500));
    HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
    // As at the front door: 100 KB a connection for a few header fields would be too much.
    transport.setHeaderCacheSize(0);
    Set<String> few = Set.copyOf(peers);
    transport.setConnectionPoolFactory(
        place ->
            new DuplexConnectionPool(
                place,
                few.contains(place.getOrigin().getAddress().asString())
                    ? sockets.connectionsPerPeer()
                    : sockets.connectionsPerDestination()));
    client = new HttpClient(transport);
    client.setExecutor(executor);
    client.setScheduler(scheduler);
    client.setByteBufferPool(buffers);
    client.setSocketAddressResolver(new SocketAddressResolver.Sync());
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setMaxRequestsQueuedPerDestination(256);
    client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    client.setDestinationIdleTimeout(2 * IDLE_TIMEOUT_MILLIS);
    client.addBean(connections);
    client.start();
  }

  /** Sends; the answer comes on any thread, exactly once. */
  void send(String address, Request request, long timeoutMillis, Consumer<Answer> then) {
    OutgoingRequest message = RequestCodec.encode(request);
    org.eclipse.jetty.client.Request http =
        client
            .newRequest("http://" + address + message.path())
            .method(message.method())
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    if (message.body() != null) {
      http.body(new BytesRequestContent("application/msgpack", message.body()));
    }
    if (request instanceof Request.Command
        && connections.getConnections() >= sockets.keepAliveLimit()) {
      // One connection kept for each worker, beside the one by which it reports, would use up all
      // sockets of a node that leads a large fleet, and then workers could not report any more.
      http.headers(headers -> headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE));
    }
    http.send(
        new BufferingResponseListener(MAX_RESPONSE_BYTES) {
          @Override
          public void onComplete(Result result) {
            then.accept(toAnswer(address, request, result, getContent()));
          }
        });
  }

  private Answer toAnswer(String address, Request request, Result result, byte[] content) {
    if (result.isFailed()) {
      return failureAnswer(result);
    }
    int status = result.getResponse().getStatus();
    if (status >= 500 && status != 503) {
      return new Answer.Nothing("status " + status);
    }
    try {
      return RequestCodec.decode(request, status, content == null ? new byte[0] : content);
    } catch (MalformedMessageException e) {
      if (loggedErrors.add(request.getClass().getSimpleName() + e.getMessage())) {
        LOG.error("bad answer from {} to {}: {}", address, request, e.getMessage());
      }
      return new Answer.Nothing("bad answer");
    }
  }

  /** A connection that never came about carried no request; after that, anything is possible. */
  private static Answer failureAnswer(Result result) {
    Throwable cause = result.getFailure();
    String reason = cause.getClass().getSimpleName();
    boolean neverSent =
        cause instanceof java.net.ConnectException
            || cause instanceof java.net.SocketTimeoutException;
    return neverSent ? new Answer.Refused(0, reason) : new Answer.Nothing(reason);
  }

  @Override
  public void close() {
    LifeCycle.stop(client);
  }
}
