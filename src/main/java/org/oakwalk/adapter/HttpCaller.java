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

/** Sends requests of the core over HTTP and converts the responses to answers. */
public final class HttpCaller implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpCaller.class);
  private static final int MAX_RESPONSE_BYTES = 8 << 20;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  private final HttpClient client;
  private final Set<String> loggedErrors = ConcurrentHashMap.newKeySet();
  private final ConnectionStatistics connections = new ConnectionStatistics();
  private final SocketBudget sockets;

  /**
   * Creates a caller without open connections.
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
    // The header cache takes 100 KB per connection, too much for a few header fields.
    transport.setHeaderCacheSize(0);
    Set<String> peerAddresses = Set.copyOf(peers);
    transport.setConnectionPoolFactory(
        destination ->
            new DuplexConnectionPool(
                destination,
                peerAddresses.contains(destination.getOrigin().getAddress().asString())
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

  /** Sends a request and calls back exactly once, on any thread, with the answer. */
  void send(String address, Request request, long timeoutMillis, Consumer<Answer> callback) {
    OutgoingRequest message = RequestCodec.encode(request);
    org.eclipse.jetty.client.Request httpRequest =
        client
            .newRequest("http://" + address + message.path())
            .method(message.method())
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    if (message.body() != null) {
      httpRequest.body(new BytesRequestContent("application/msgpack", message.body()));
    }
    if (request instanceof Request.Command
        && connections.getConnections() >= sockets.keepAliveLimit()) {
      // One open connection per worker, in addition to the one for its reports, would use up all
      // sockets of a node that leads a large fleet; workers could then no longer report.
      httpRequest.headers(headers -> headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE));
    }
    httpRequest.send(
        new BufferingResponseListener(MAX_RESPONSE_BYTES) {
          @Override
          public void onComplete(Result result) {
            callback.accept(toAnswer(address, request, result, getContent()));
          }
        });
  }

  private Answer toAnswer(String address, Request request, Result result, byte[] content) {
    if (result.isFailed()) {
      return failureAnswer(result);
    }
    int status = result.getResponse().getStatus();
    if (status >= 500 && status != 503) {
      return new Answer.OutcomeUnknown("status " + status);
    }
    try {
      return RequestCodec.decode(request, status, content == null ? new byte[0] : content);
    } catch (MalformedMessageException e) {
      if (loggedErrors.add(request.getClass().getSimpleName() + e.getMessage())) {
        LOG.error("malformed response from {} to {}: {}", address, request, e.getMessage());
      }
      return new Answer.OutcomeUnknown("malformed response");
    }
  }

  /**
   * Returns {@link Answer.Refused} if no connection was established, so that the request can't have
   * been sent; with any other failure, the request may have been executed.
   */
  private static Answer failureAnswer(Result result) {
    Throwable cause = result.getFailure();
    String reason = cause.getClass().getSimpleName();
    boolean neverSent =
        cause instanceof java.net.ConnectException
            || cause instanceof java.net.SocketTimeoutException;
    return neverSent ? new Answer.Refused(0, reason) : new Answer.OutcomeUnknown(reason);
  }

  @Override
  public void close() {
    LifeCycle.stop(client);
  }
}
