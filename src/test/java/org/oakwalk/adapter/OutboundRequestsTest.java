package org.oakwalk.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;

/**
 * Tests calls to the state service, the cloud, workers and peers over loopback, with a stand-in
 * server that responds according to their protocols.
 */
class OutboundRequestsTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper PACK = new ObjectMapper(new MessagePackFactory());
  private static final NodeId PEER = new NodeId("peer");

  private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
  private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
  private final SocketBudget socketBudget = new SocketBudget(64, 1);
  private HttpServer server;
  private String address;
  private HttpCaller caller;
  private OutboundRequests outbound;

  @BeforeEach
  void start() throws Exception {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.start();
    address = "127.0.0.1:" + server.getAddress().getPort();
    threads.start();
    scheduler.start();
    caller =
        new HttpCaller(
            threads, scheduler, new ArrayByteBufferPool(), socketBudget, List.of(address));
    Settings settings =
        new Settings(
            new NodeId("n"),
            "a",
            List.of(PEER),
            List.of("a"),
            Map.of(),
            List.of(),
            new Settings.WorkerTiming(
                TimeSpan.seconds(1), TimeSpan.seconds(10), TimeSpan.seconds(30)),
            new Settings.StateLimits(100, 100, 4, 8),
            new Settings.CloudLimits(10, TimeSpan.seconds(1)),
            TimeSpan.millis(0));
    outbound =
        new OutboundRequests(
            caller,
            new OutboundRequests.ServiceAddresses(address, address, Map.of(PEER, address)),
            settings,
            socketBudget,
            Runnable::run,
            0);
  }

  @AfterEach
  void stop() throws Exception {
    caller.close();
    scheduler.stop();
    threads.stop();
    server.stop(0);
  }

  private void stubResponse(String path, int status, byte[] body) {
    server.createContext(
        path,
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
  }

  private static byte[] packed(String json) throws Exception {
    return PACK.writeValueAsBytes(JSON.readTree(json));
  }

  private Answer call(Request request) throws Exception {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    outbound.call(request, 0, answer::complete);
    return answer.get();
  }

  @Test
  void stateServiceResponsesAreReturned() throws Exception {
    stubResponse("/watch", 200, packed("{\"epoch\":7,\"news\":[]}"));
    stubResponse("/leases", 200, packed("{\"hold\":3}"));
    stubResponse("/commit", 409, packed("{\"failed\":[\"k\"],\"epoch\":7}"));
    Request.Watch watch =
        new Request.Watch("c/", new Revision(1), TimeSpan.millis(0), Request.Urgency.ROUTINE);
    assertThat(call(watch)).isEqualTo(new Answer.Changes(new Revision(7), List.of()));
    assertThat(call(new Request.GrantLease(TimeSpan.seconds(1))))
        .isInstanceOf(Answer.LeaseGranted.class);
    assertThat(call(new Request.Commit(List.of(), List.of(), Request.Urgency.ROUTINE)))
        .isEqualTo(new Answer.Conflict(List.of("k")));
  }

  @Test
  void truncatedResponseLeavesOutcomeUnknown() throws Exception {
    byte[] complete = packed("{\"epoch\":7,\"entries\":[],\"more\":false}");
    stubResponse("/store", 200, Arrays.copyOf(complete, complete.length - 3));
    assertThat(call(new Request.ReadPage("c/", Optional.empty(), Request.Urgency.ROUTINE)))
        .isInstanceOf(Answer.OutcomeUnknown.class);
  }

  @Test
  void cloudErrorsAreClassified() throws Exception {
    stubResponse("/rentals", 503, packed("{\"error\":\"no capacity\"}"));
    stubResponse("/catalog", 500, packed("{}"));
    Request.ListRentals list = new Request.ListRentals(Optional.empty());
    assertThat(call(list)).isEqualTo(new Answer.Refused(503, ""));
    assertThat(call(new Request.FetchCatalog())).isInstanceOf(Answer.OutcomeUnknown.class);
  }

  @Test
  void rejectedCommandReturnsReport() throws Exception {
    stubResponse(
        "/do",
        409,
        packed(
            "{\"host\":\"host-1\",\"addr\":\"x:1\",\"flavor\":\"g\",\"region\":\"a\","
                + "\"leftovers\":false,\"shift\":2,\"tick\":5,\"baton\":9,\"pieces\":[]}"));
    Answer answer = call(new Request.Command(address, new Token(4), SessionId.FIRST, List.of()));
    assertThat(answer).isInstanceOf(Answer.CommandResult.class);
    assertThat(((Answer.CommandResult) answer).executed()).isFalse();
    assertThat(((Answer.CommandResult) answer).report().token()).isEqualTo(new Token(9));
  }

  @Test
  void peerReplyIsReturned() throws Exception {
    stubResponse(
        "/peer",
        200,
        new CBORMapper()
            .writeValueAsBytes(
                JSON.readTree("{\"sort\":\"acknowledged\",\"from\":\"peer\",\"settled\":true}")));
    PeerMessage digest =
        new PeerMessage.Digest(new NodeId("n"), new Token(1), true, Map.of(), Set.of());
    assertThat(call(new Request.SendToPeer(PEER, digest)))
        .isEqualTo(new Answer.PeerReply(new PeerMessage.Acknowledgement(PEER, true)));
  }

  @Test
  void commandIsRefusedIfNoSocketBecomesFree() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    server.createContext(
        "/do",
        exchange -> {
          try {
            blocked.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          exchange.close();
        });
    Request command = new Request.Command(address, new Token(4), SessionId.FIRST, List.of());
    for (int i = 0; i < socketBudget.maxConcurrentCommands(); i++) {
      outbound.call(command, 0, answer -> {});
    }
    CompletableFuture<Answer> waiting = new CompletableFuture<>();
    outbound.call(command, 0, waiting::complete);
    outbound.sendDue(900);
    assertThat(waiting).isNotDone();
    outbound.sendDue(1100);
    assertThat(waiting.get()).isInstanceOf(Answer.Refused.class);
    blocked.countDown();
  }

  /**
   * Guards against a start that is sent up to a second after its job's withdrawal was confirmed to
   * the user: the command was waiting for a socket when the job was withdrawn. The simulator can't
   * reproduce this, since simulated controllers have sockets for all commands.
   */
  @Test
  void cancelledCommandIsNeverSent() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    AtomicInteger received = new AtomicInteger();
    server.createContext(
        "/do",
        exchange -> {
          received.incrementAndGet();
          awaitQuietly(blocked);
          exchange.sendResponseHeaders(400, -1);
          exchange.close();
        });
    Request other = new Request.Command(address, new Token(4), SessionId.FIRST, List.of());
    for (int i = 0; i < socketBudget.maxConcurrentCommands(); i++) {
      outbound.call(other, 0, answer -> {});
    }
    String otherAddress = "localhost" + address.substring(address.indexOf(':'));
    Request start = new Request.Command(otherAddress, new Token(4), SessionId.FIRST, List.of());
    CompletableFuture<Answer> cancelled = new CompletableFuture<>();
    CompletableFuture<Answer> notCancelled = new CompletableFuture<>();
    outbound.call(start, 0, cancelled::complete);
    outbound.call(other, 0, notCancelled::complete);
    outbound.cancelCommands(otherAddress);
    assertThat(cancelled.getNow(null)).isEqualTo(new Answer.Refused(0, "cancelled"));
    blocked.countDown();
    for (int i = 0; i < 100 && !notCancelled.isDone(); i++) {
      Thread.sleep(20);
      outbound.sendDue(500);
    }
    assertThat(notCancelled).isDone();
    assertThat(received).hasValue(socketBudget.maxConcurrentCommands() + 1);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void commandConnectionIsClosedWhenSocketsAreScarce() throws Exception {
    AtomicReference<String> header = new AtomicReference<>("");
    server.createContext(
        "/do",
        exchange -> {
          header.set(exchange.getRequestHeaders().getFirst("Connection"));
          exchange.sendResponseHeaders(400, -1);
          exchange.close();
        });
    Request command = new Request.Command(address, new Token(4), SessionId.FIRST, List.of());
    SocketBudget smallBudget = new SocketBudget(8, 0);
    try (ServerSocket unresponsive = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        HttpCaller limitedCaller =
            new HttpCaller(threads, scheduler, new ArrayByteBufferPool(), smallBudget, List.of())) {
      // Uses up all connections that may be kept alive.
      for (String name : List.of("127.0.0.1:", "localhost:")) {
        for (int i = 0; i < smallBudget.connectionsPerDestination(); i++) {
          limitedCaller.send(
              name + unresponsive.getLocalPort(), new Request.FetchCatalog(), 60_000, answer -> {});
          unresponsive.accept();
        }
      }
      for (int i = 0; i < 50 && !"close".equalsIgnoreCase(header.get()); i++) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        limitedCaller.send(address, command, 3000, answer::complete);
        answer.get();
      }
    }
    assertThat(header.get()).isEqualToIgnoringCase("close");
  }

  @Test
  void refusedConnectionMeansRequestNotSent() throws Exception {
    server.stop(0);
    assertThat(call(new Request.FetchCatalog())).isInstanceOf(Answer.Refused.class);
  }
}
