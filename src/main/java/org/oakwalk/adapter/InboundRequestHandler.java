package org.oakwalk.adapter;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.wire.MalformedMessageException;
import org.oakwalk.wire.PeerCodec;
import org.oakwalk.wire.UserCodec;
import org.oakwalk.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Converts HTTP requests to events for the core; rejects invalid requests without the core. */
final class InboundRequestHandler extends Handler.Abstract.NonBlocking {
  private static final Logger LOG = LoggerFactory.getLogger(InboundRequestHandler.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_PEER_BODY_BYTES = 4 << 20;
  private static final int MISDIRECTED_REQUEST = 421;

  private final RequestSink sink;
  private final Optional<ConnectionLimiter> limiter;
  private volatile boolean loggedMalformed;

  /** Accepts events for the core, each with the reply that its response is sent to. */
  interface RequestSink {
    /** Returns true if the event was accepted, false if the node is overloaded. */
    boolean offer(PendingReply reply, Function<InboundRequestId, Event> event);
  }

  /**
   * Creates a handler for one listener.
   *
   * @param limiter limiter of the client listener; empty for the listener for other controllers
   */
  InboundRequestHandler(RequestSink sink, Optional<ConnectionLimiter> limiter) {
    this.sink = sink;
    this.limiter = limiter;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    String method = request.getMethod();
    ConnectionLimiter.ClientKind clientKind =
        path.equals(WorkerCodec.REPORT_PATH)
            ? ConnectionLimiter.ClientKind.WORKER
            : ConnectionLimiter.ClientKind.USER;
    Optional<ActiveRequest> activeRequest =
        limiter.map(
            l -> new ActiveRequest(l, request.getConnectionMetaData().getConnection(), clientKind));
    activeRequest.ifPresent(ActiveRequest::received);
    PendingReply reply = new PendingReply(response, callback, activeRequest);
    if (limiter.isEmpty()) {
      if (checkMethod(path.equals(PeerCodec.PEER_PATH), "POST", method, reply)) {
        readBody(request, reply, MAX_PEER_BODY_BYTES, body -> handlePeerMessage(body, reply));
      }
    } else if (path.equals(WorkerCodec.REPORT_PATH)) {
      if (checkMethod(true, "POST", method, reply)) {
        readBody(request, reply, MAX_BODY_BYTES, body -> handleReport(body, reply));
      }
    } else if (path.equals(UserCodec.READY_PATH)) {
      if (checkMethod(true, "GET", method, reply)) {
        offer(reply, Event.HealthCheckReceived::new);
      }
    } else if (path.equals(UserCodec.JOBS_PATH)) {
      if (checkMethod(true, "POST", method, reply)) {
        readBody(request, reply, MAX_BODY_BYTES, body -> handleSubmission(body, reply));
      }
    } else if (path.startsWith(UserCodec.JOBS_PATH + "/")) {
      handleJob(path.substring(UserCodec.JOBS_PATH.length() + 1), method, reply);
    } else {
      reply.error(404, "no such path", Optional.empty());
    }
    return true;
  }

  private static boolean checkMethod(
      boolean pathFound, String expected, String method, PendingReply reply) {
    if (!pathFound) {
      reply.error(404, "no such path", Optional.empty());
      return false;
    }
    if (!expected.equals(method)) {
      reply.error(405, "method not allowed", Optional.empty());
      return false;
    }
    return true;
  }

  private void handleJob(String subpath, String method, PendingReply reply) {
    int slash = subpath.indexOf('/');
    String id = slash < 0 ? subpath : subpath.substring(0, slash);
    boolean withdraw = slash >= 0 && subpath.substring(slash + 1).equals(UserCodec.WITHDRAW);
    if (checkMethod(slash < 0 || withdraw, withdraw ? "POST" : "GET", method, reply)) {
      if (!JobId.isWellFormed(id)) {
        // Jobs with a malformed ID are never accepted, so none with this ID exists.
        reply.error(404, "no such job", Optional.empty());
      } else if (withdraw) {
        offer(
            reply,
            requestId ->
                new Event.UserRequestReceived(requestId, new UserRequest.Withdraw(new JobId(id))));
      } else {
        offer(
            reply,
            requestId ->
                new Event.UserRequestReceived(requestId, new UserRequest.Query(new JobId(id))));
      }
    }
  }

  private void handleSubmission(byte[] body, PendingReply reply) {
    try {
      UserRequest.Submit submission = UserCodec.decodeSubmission(body);
      offer(reply, requestId -> new Event.UserRequestReceived(requestId, submission));
    } catch (MalformedMessageException e) {
      reply.error(400, e.getMessage(), Optional.empty());
    }
  }

  private void handleReport(byte[] body, PendingReply reply) {
    try {
      var report = WorkerCodec.report(body);
      boolean redirectPreferred = reply.tryRedirect();
      offer(
          reply, requestId -> new Event.WorkerReportReceived(requestId, report, redirectPreferred));
    } catch (MalformedMessageException e) {
      rejectMalformed("worker report", e, reply);
    }
  }

  private void handlePeerMessage(byte[] body, PendingReply reply) {
    try {
      var message = PeerCodec.decode(body);
      offer(reply, requestId -> new Event.PeerMessageReceived(requestId, message));
    } catch (MalformedMessageException e) {
      rejectMalformed("peer message", e, reply);
    }
  }

  private void rejectMalformed(
      String messageKind, MalformedMessageException e, PendingReply reply) {
    if (!loggedMalformed) {
      loggedMalformed = true;
      LOG.error("rejected malformed {}: {}", messageKind, e.getMessage());
    }
    reply.error(400, e.getMessage(), Optional.empty());
  }

  private void offer(PendingReply reply, Function<InboundRequestId, Event> event) {
    if (!sink.offer(reply, event)) {
      reply.error(503, "overloaded", Optional.of(TimeSpan.seconds(1)));
    }
  }

  private interface BodyConsumer {
    void accept(byte[] body);
  }

  /**
   * Reads a body of at most {@code limit} bytes; rejects larger bodies without reading the rest.
   */
  private static void readBody(
      Request request, PendingReply reply, int limit, BodyConsumer consumer) {
    if (request.getLength() > limit) {
      rejectTooLarge(reply);
      return;
    }
    new BodyReader(request, reply, limit, consumer).run();
  }

  private static void rejectTooLarge(PendingReply reply) {
    reply.closeConnection();
    reply.error(400, "body too large", Optional.empty());
  }

  private static final class BodyReader implements Runnable {
    private final Request request;
    private final PendingReply reply;
    private final int limit;
    private final BodyConsumer consumer;
    private byte[] body;
    private int size;

    BodyReader(Request request, PendingReply reply, int limit, BodyConsumer consumer) {
      this.request = request;
      this.reply = reply;
      this.limit = limit;
      this.consumer = consumer;
      this.body = new byte[(int) Math.max(256, Math.min(limit, request.getLength()))];
    }

    @Override
    public void run() {
      while (true) {
        Content.Chunk chunk = request.read();
        if (chunk == null) {
          request.demand(this);
          return;
        }
        if (Content.Chunk.isFailure(chunk)) {
          reply.fail(chunk.getFailure());
          return;
        }
        boolean fits = append(chunk.getByteBuffer());
        boolean last = chunk.isLast();
        chunk.release();
        if (!fits) {
          rejectTooLarge(reply);
          return;
        }
        if (last) {
          consumer.accept(size == body.length ? body : Arrays.copyOf(body, size));
          return;
        }
      }
    }

    private boolean append(ByteBuffer bytes) {
      int length = bytes.remaining();
      if (size + length > limit) {
        return false;
      }
      if (size + length > body.length) {
        int newCapacity = Math.min(limit, Math.max(size + length, body.length * 2));
        body = Arrays.copyOf(body, newCapacity);
      }
      bytes.get(body, size, length);
      size += length;
      return true;
    }
  }

  /** A client's request in progress, from its arrival until its response is sent. */
  private record ActiveRequest(
      ConnectionLimiter limiter, Connection connection, ConnectionLimiter.ClientKind clientKind) {
    void received() {
      limiter.requestReceived(connection, clientKind);
    }

    void responseSent() {
      limiter.responseSent(connection);
    }

    boolean tryRedirect() {
      return limiter.tryRedirect(connection);
    }

    /**
     * Returns true if the connection is to be closed after a response with this status. Any
     * response to a worker other than a redirect cancels the connection's redirect.
     */
    boolean closesAfter(int status) {
      if (clientKind == ConnectionLimiter.ClientKind.WORKER && status != MISDIRECTED_REQUEST) {
        limiter.cancelRedirect(connection);
      }
      return clientKind == ConnectionLimiter.ClientKind.USER && limiter.closesUserConnections();
    }
  }

  /** The pending response to a request; only the first response is sent, later ones are ignored. */
  static final class PendingReply {
    private static final HttpField MESSAGE_PACK_TYPE =
        new HttpField(HttpHeader.CONTENT_TYPE, "application/msgpack");
    private final Response response;
    private final Callback callback;
    private final Optional<ActiveRequest> activeRequest;
    private final AtomicBoolean sent = new AtomicBoolean();

    PendingReply(Response response, Callback callback, Optional<ActiveRequest> activeRequest) {
      this.response = response;
      this.callback =
          activeRequest
              .<Callback>map(active -> Callback.from(active::responseSent, callback))
              .orElse(callback);
      this.activeRequest = activeRequest;
    }

    /**
     * Marks the reporting worker's connection as redirected if it should be; returns true if so.
     */
    boolean tryRedirect() {
      return activeRequest.filter(ActiveRequest::tryRedirect).isPresent();
    }

    void closeConnection() {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }

    void send(int status, byte[] body) {
      if (sent.compareAndSet(false, true)) {
        if (activeRequest.filter(active -> active.closesAfter(status)).isPresent()) {
          closeConnection();
        }
        response.setStatus(status);
        response.getHeaders().put(MESSAGE_PACK_TYPE);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
      }
    }

    void error(int status, String reason, Optional<TimeSpan> retryAfter) {
      retryAfter.ifPresent(
          span ->
              response
                  .getHeaders()
                  .put(
                      HttpHeader.RETRY_AFTER,
                      Long.toString(Math.max(1, Math.round(span.asSeconds())))));
      send(status, UserCodec.encodeError(reason));
    }

    void fail(Throwable cause) {
      if (sent.compareAndSet(false, true)) {
        callback.failed(cause);
      }
    }
  }
}
