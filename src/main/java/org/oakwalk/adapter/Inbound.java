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
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.wire.BadMessage;
import org.oakwalk.wire.PeerCodec;
import org.oakwalk.wire.UserCodec;
import org.oakwalk.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Turns HTTP requests into events; answers that need no core are given here. */
final class Inbound extends Handler.Abstract.NonBlocking {
  private static final Logger LOG = LoggerFactory.getLogger(Inbound.class);
  private static final int LARGEST_BODY = 64 * 1024;
  private static final int LARGEST_PEER_BODY = 4 << 20;
  private static final int MISDIRECTED = 421;

  private final Desk desk;
  private final Optional<ConnectionLimiter> limiter;
  private volatile boolean complained;

  /** Takes events, each with the place where its answer goes. */
  interface Desk {
    /** Whether the event was taken; if not, there is too much to do. */
    boolean offer(Reply reply, Function<InboundRequestId, Event> event);
  }

  /**
   * Takes what comes in.
   *
   * @param limiter that of the front door; empty for what comes from the other controllers
   */
  Inbound(Desk desk, Optional<ConnectionLimiter> limiter) {
    this.desk = desk;
    this.limiter = limiter;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    String method = request.getMethod();
    ConnectionLimiter.Guest guest =
        path.equals(WorkerCodec.REPORT_PATH)
            ? ConnectionLimiter.Guest.WORKER
            : ConnectionLimiter.Guest.USER;
    Optional<Stay> stay =
        limiter.map(d -> new Stay(d, request.getConnectionMetaData().getConnection(), guest));
    stay.ifPresent(Stay::begin);
    Reply reply = new Reply(response, callback, stay);
    if (limiter.isEmpty()) {
      if (expect(path.equals(PeerCodec.PATH), "POST", method, reply)) {
        read(request, reply, LARGEST_PEER_BODY, body -> peer(body, reply));
      }
    } else if (path.equals(WorkerCodec.REPORT_PATH)) {
      if (expect(true, "POST", method, reply)) {
        read(request, reply, LARGEST_BODY, body -> report(body, reply));
      }
    } else if (path.equals(UserCodec.READY_PATH)) {
      if (expect(true, "GET", method, reply)) {
        offer(reply, Event.HealthCheckReceived::new);
      }
    } else if (path.equals(UserCodec.JOBS_PATH)) {
      if (expect(true, "POST", method, reply)) {
        read(request, reply, LARGEST_BODY, body -> submit(body, reply));
      }
    } else if (path.startsWith(UserCodec.JOBS_PATH + "/")) {
      job(path.substring(UserCodec.JOBS_PATH.length() + 1), method, reply);
    } else {
      reply.error(404, "no such path", Optional.empty());
    }
    return true;
  }

  private static boolean expect(boolean found, String wanted, String method, Reply reply) {
    if (!found) {
      reply.error(404, "no such path", Optional.empty());
      return false;
    }
    if (!wanted.equals(method)) {
      reply.error(405, "method not allowed", Optional.empty());
      return false;
    }
    return true;
  }

  private void job(String rest, String method, Reply reply) {
    int slash = rest.indexOf('/');
    String id = slash < 0 ? rest : rest.substring(0, slash);
    boolean withdraw = slash >= 0 && rest.substring(slash + 1).equals(UserCodec.WITHDRAW);
    if (expect(slash < 0 || withdraw, withdraw ? "POST" : "GET", method, reply)) {
      if (!JobId.isWellFormed(id)) {
        // Such a job can't have been accepted.
        reply.error(404, "no such job", Optional.empty());
      } else if (withdraw) {
        offer(
            reply,
            ex -> new Event.UserRequestReceived(ex, new UserRequest.Withdraw(new JobId(id))));
      } else {
        offer(reply, ex -> new Event.UserRequestReceived(ex, new UserRequest.Query(new JobId(id))));
      }
    }
  }

  private void submit(byte[] body, Reply reply) {
    try {
      UserRequest.Submit submission = UserCodec.submission(body);
      offer(reply, exchange -> new Event.UserRequestReceived(exchange, submission));
    } catch (BadMessage e) {
      reply.error(400, e.getMessage(), Optional.empty());
    }
  }

  private void report(byte[] body, Reply reply) {
    try {
      var report = WorkerCodec.report(body);
      boolean crowded = reply.asksToLeave();
      offer(reply, exchange -> new Event.WorkerReportReceived(exchange, report, crowded));
    } catch (BadMessage e) {
      complain("report", e, reply);
    }
  }

  private void peer(byte[] body, Reply reply) {
    try {
      var message = PeerCodec.decode(body);
      offer(reply, exchange -> new Event.PeerMessageReceived(exchange, message));
    } catch (BadMessage e) {
      complain("message of a peer", e, reply);
    }
  }

  private void complain(String what, BadMessage e, Reply reply) {
    if (!complained) {
      complained = true;
      LOG.error("malformed {}: {}", what, e.getMessage());
    }
    reply.error(400, e.getMessage(), Optional.empty());
  }

  private void offer(Reply reply, Function<InboundRequestId, Event> event) {
    if (!desk.offer(reply, event)) {
      reply.error(503, "overloaded", Optional.of(Span.seconds(1)));
    }
  }

  private interface Then {
    void accept(byte[] body);
  }

  /** Reads a body up to a limit; what is larger is refused without being read. */
  private static void read(Request request, Reply reply, int limit, Then then) {
    if (request.getLength() > limit) {
      tooLarge(reply);
      return;
    }
    new BodyReader(request, reply, limit, then).run();
  }

  private static void tooLarge(Reply reply) {
    reply.closeAfter();
    reply.error(400, "body too large", Optional.empty());
  }

  private static final class BodyReader implements Runnable {
    private final Request request;
    private final Reply reply;
    private final int limit;
    private final Then then;
    private byte[] body;
    private int size;

    BodyReader(Request request, Reply reply, int limit, Then then) {
      this.request = request;
      this.reply = reply;
      this.limit = limit;
      this.then = then;
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
          tooLarge(reply);
          return;
        }
        if (last) {
          then.accept(size == body.length ? body : Arrays.copyOf(body, size));
          return;
        }
      }
    }

    private boolean append(ByteBuffer bytes) {
      int more = bytes.remaining();
      if (size + more > limit) {
        return false;
      }
      if (size + more > body.length) {
        int grown = Math.min(limit, Math.max(size + more, body.length * 2));
        body = Arrays.copyOf(body, grown);
      }
      bytes.get(body, size, more);
      size += more;
      return true;
    }
  }

  /** A request at the front door, from its coming until its answer is sent. */
  private record Stay(
      ConnectionLimiter limiter, Connection connection, ConnectionLimiter.Guest guest) {
    void begin() {
      limiter.asks(connection, guest);
    }

    void end() {
      limiter.answered(connection);
    }

    boolean asksToLeave() {
      return limiter.asksToLeave(connection);
    }

    /** Whether the connection is closed after an answer with this status. */
    boolean closes(int status) {
      if (guest == ConnectionLimiter.Guest.WORKER && status != MISDIRECTED) {
        limiter.stays(connection);
      }
      return guest == ConnectionLimiter.Guest.USER && limiter.closesAfterUsers();
    }
  }

  /** The place where an answer goes; only the first one counts. */
  static final class Reply {
    private static final HttpField PACKED =
        new HttpField(HttpHeader.CONTENT_TYPE, "application/msgpack");
    private final Response response;
    private final Callback callback;
    private final Optional<Stay> stay;
    private final AtomicBoolean given = new AtomicBoolean();

    Reply(Response response, Callback callback, Optional<Stay> stay) {
      this.response = response;
      this.callback = stay.<Callback>map(s -> Callback.from(s::end, callback)).orElse(callback);
      this.stay = stay;
    }

    /** Whether the worker that reported had better go elsewhere. */
    boolean asksToLeave() {
      return stay.filter(Stay::asksToLeave).isPresent();
    }

    void closeAfter() {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }

    void send(int status, byte[] body) {
      if (given.compareAndSet(false, true)) {
        if (stay.filter(s -> s.closes(status)).isPresent()) {
          closeAfter();
        }
        response.setStatus(status);
        response.getHeaders().put(PACKED);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
      }
    }

    void error(int status, String reason, Optional<Span> retryAfter) {
      retryAfter.ifPresent(
          span ->
              response
                  .getHeaders()
                  .put(
                      HttpHeader.RETRY_AFTER,
                      Long.toString(Math.max(1, Math.round(span.asSeconds())))));
      send(status, UserCodec.error(reason));
    }

    void fail(Throwable cause) {
      if (given.compareAndSet(false, true)) {
        callback.failed(cause);
      }
    }
  }
}
