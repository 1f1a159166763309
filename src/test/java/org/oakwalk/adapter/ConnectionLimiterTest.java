package org.oakwalk.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.oakwalk.core.JobId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.Response;

/**
 * Tests the limits of a listener on loopback that gets more connections than it has sockets. A
 * simple stand-in for the core redirects workers on request, unless there is no other node.
 */
class ConnectionLimiterTest {
  private static final SocketBudget SOCKET_BUDGET = new SocketBudget(200, 2);

  private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
  private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
  private final List<Client> clients = new ArrayList<>();
  private HttpListener listener;
  private boolean noOtherNode;
  private byte[] reportBody;

  /** A client with one connection, which the listener may close. */
  private static final class Client {
    private final Socket socket;

    Client(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setSoTimeout(5000);
    }

    /** Returns the status line and headers of the response; empty if the connection is closed. */
    String send(String method, String path, byte[] body) {
      try {
        String head =
            method
                + " "
                + path
                + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + body.length
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().write(body);
        return readResponse();
      } catch (IOException e) {
        return "";
      }
    }

    private String readResponse() throws IOException {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          return "";
        }
        head.append((char) next);
      }
      String text = head.toString();
      int at = text.indexOf("Content-Length: ") + 16;
      in.readNBytes(Integer.parseInt(text.substring(at, text.indexOf("\r\n", at))));
      return text;
    }
  }

  @BeforeEach
  void start() throws Exception {
    threads.start();
    scheduler.start();
    Address anyPort = new Address("127.0.0.1", 0);
    listener =
        new HttpListener(
            threads,
            scheduler,
            new ArrayByteBufferPool(),
            anyPort,
            anyPort,
            SOCKET_BUDGET,
            this::respond);
    listener.start();
    reportBody =
        new ObjectMapper(new MessagePackFactory())
            .writeValueAsBytes(
                new ObjectMapper()
                    .readTree(
                        "{\"host\":\"h\",\"addr\":\"h:1\",\"flavor\":\"g\",\"region\":\"a\","
                            + "\"leftovers\":false,\"shift\":1,\"tick\":1,\"baton\":0,\"pieces\":[]}"));
  }

  @AfterEach
  void stop() throws Exception {
    for (Client client : clients) {
      client.socket.close();
    }
    listener.close();
    scheduler.stop();
    threads.stop();
  }

  private boolean respond(Event event) {
    if (event instanceof Event.WorkerReportReceived reportEvent) {
      listener.respond(
          reportEvent.requestId(),
          reportEvent.redirectPreferred() && !noOtherNode
              ? new Response.Redirect(Optional.of(new NodeId("other")))
              : new Response.Orders(new Token(1), List.of()));
    } else if (event instanceof Event.UserRequestReceived userEvent) {
      listener.respond(
          userEvent.requestId(),
          new Response.JobStatus(false, new JobId("j-000001"), Response.JobState.QUEUED, 0, 0));
    } else if (event instanceof Event.HealthCheckReceived healthEvent) {
      listener.respond(healthEvent.requestId(), new Response.Ready());
    }
    return true;
  }

  private Client connect() throws IOException {
    Client client = new Client(listener.clientPort());
    clients.add(client);
    return client;
  }

  private String sendReport(Client client) {
    return client.send("POST", "/hello", reportBody);
  }

  private static String queryJob(Client client) {
    return client.send("GET", "/v2/runs/j-000001", new byte[0]);
  }

  private static String checkHealth(Client client) {
    return client.send("GET", "/ready", new byte[0]);
  }

  private static boolean isOk(String answer) {
    return answer.startsWith("HTTP/1.1 200");
  }

  @Test
  void workersAreRedirectedBeforeListenerIsFull() throws Exception {
    int accepted = 0;
    for (int i = 0; i < SOCKET_BUDGET.maxClientConnections() + 50; i++) {
      Client worker = connect();
      String answer = sendReport(worker);
      if (isOk(answer)) {
        accepted++;
      } else {
        assertThat(answer).startsWith("HTTP/1.1 421");
        worker.socket.close();
      }
    }
    assertThat(accepted).isEqualTo(SOCKET_BUDGET.redirectThreshold());
    assertThat(queryJob(connect())).startsWith("HTTP/1.1 200").doesNotContain("close");
    assertThat(checkHealth(connect())).startsWith("HTTP/1.1 200");
  }

  @Test
  void usersAndHealthChecksAreAcceptedWhenWorkersCannotBeRedirected() throws Exception {
    noOtherNode = true;
    List<Client> workers = new ArrayList<>();
    for (int i = 0; i < SOCKET_BUDGET.maxClientConnections() + 50; i++) {
      Client worker = connect();
      workers.add(worker);
      assertThat(sendReport(worker)).startsWith("HTTP/1.1 200");
      if (i % 10 == 0) {
        assertThat(queryJob(connect())).startsWith("HTTP/1.1 200");
        assertThat(checkHealth(connect())).startsWith("HTTP/1.1 200");
      }
    }
    // Workers whose connection was closed can connect again.
    int closed = 0;
    for (Client worker : workers) {
      if (!isOk(sendReport(worker))) {
        closed++;
        assertThat(sendReport(connect())).startsWith("HTTP/1.1 200");
      }
    }
    assertThat(closed).isPositive();
  }

  @Test
  void userConnectionsAreClosedBeforeWorkerConnections() throws Exception {
    noOtherNode = true;
    List<Client> workers = new ArrayList<>();
    Client user = connect();
    assertThat(queryJob(user)).startsWith("HTTP/1.1 200");
    for (int i = 0; i < SOCKET_BUDGET.maxClientConnections(); i++) {
      Client worker = connect();
      workers.add(worker);
      assertThat(sendReport(worker)).startsWith("HTTP/1.1 200");
    }
    assertThat(queryJob(user)).isEmpty();
    assertThat(workers).allMatch(worker -> isOk(sendReport(worker)));
  }

  @Test
  void userConnectionsAboveLimitAreClosedAfterResponse() throws Exception {
    List<Client> workers = new ArrayList<>();
    for (int i = 0;
        i < SOCKET_BUDGET.redirectThreshold() - SOCKET_BUDGET.userConnectionLimit();
        i++) {
      Client worker = connect();
      workers.add(worker);
      assertThat(sendReport(worker)).startsWith("HTTP/1.1 200");
    }
    for (int i = 0; i < 3 * SOCKET_BUDGET.maxClientConnections(); i++) {
      assertThat(queryJob(connect())).startsWith("HTTP/1.1 200");
    }
    assertThat(queryJob(connect())).contains("Connection: close");
    assertThat(workers).allMatch(worker -> isOk(sendReport(worker)));
  }
}
