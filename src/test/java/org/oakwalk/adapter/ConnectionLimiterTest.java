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
 * A front door on loopback that more come to than it has sockets for. The core is played by one
 * that sends crowded workers to another node, or keeps them if there is none.
 */
class ConnectionLimiterTest {
  private static final Sockets SOCKETS = new Sockets(200, 2);

  private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
  private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
  private final List<Client> clients = new ArrayList<>();
  private Listener listener;
  private boolean alone;
  private byte[] report;

  /** One connection, which may be closed from there. */
  private static final class Client {
    private final Socket socket;

    Client(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setSoTimeout(5000);
    }

    /** Status and headers of the answer; empty if the connection is over. */
    String ask(String method, String path, byte[] body) {
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
        return answer();
      } catch (IOException e) {
        return "";
      }
    }

    private String answer() throws IOException {
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
    Address anywhere = new Address("127.0.0.1", 0);
    listener =
        new Listener(
            threads,
            scheduler,
            new ArrayByteBufferPool(),
            anywhere,
            anywhere,
            SOCKETS,
            this::serve);
    listener.start();
    report =
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

  private boolean serve(Event event) {
    if (event instanceof Event.WorkerReportReceived reports) {
      listener.respond(
          reports.requestId(),
          reports.redirectPreferred() && !alone
              ? new Response.Redirect(Optional.of(new NodeId("other")))
              : new Response.Orders(new Token(1), List.of()));
    } else if (event instanceof Event.UserRequestReceived asks) {
      listener.respond(
          asks.requestId(),
          new Response.JobStatus(false, new JobId("j-000001"), Response.JobState.QUEUED, 0, 0));
    } else if (event instanceof Event.HealthCheckReceived asked) {
      listener.respond(asked.requestId(), new Response.Ready());
    }
    return true;
  }

  private Client come() throws IOException {
    Client client = new Client(listener.frontPort());
    clients.add(client);
    return client;
  }

  private String report(Client client) {
    return client.ask("POST", "/hello", report);
  }

  private static String poll(Client client) {
    return client.ask("GET", "/v2/runs/j-000001", new byte[0]);
  }

  private static String probe(Client client) {
    return client.ask("GET", "/ready", new byte[0]);
  }

  private static boolean served(String answer) {
    return answer.startsWith("HTTP/1.1 200");
  }

  @Test
  void sendsWorkersElsewhereBeforeItIsFull() throws Exception {
    int staying = 0;
    for (int i = 0; i < SOCKETS.front() + 50; i++) {
      Client worker = come();
      String answer = report(worker);
      if (served(answer)) {
        staying++;
      } else {
        assertThat(answer).startsWith("HTTP/1.1 421");
        worker.socket.close();
      }
    }
    assertThat(staying).isEqualTo(SOCKETS.crowded());
    assertThat(poll(come())).startsWith("HTTP/1.1 200").doesNotContain("close");
    assertThat(probe(come())).startsWith("HTTP/1.1 200");
  }

  @Test
  void letsUsersAndProbesInWhereWorkersHaveNowhereElseToGo() throws Exception {
    alone = true;
    List<Client> workers = new ArrayList<>();
    for (int i = 0; i < SOCKETS.front() + 50; i++) {
      Client worker = come();
      workers.add(worker);
      assertThat(report(worker)).startsWith("HTTP/1.1 200");
      if (i % 10 == 0) {
        assertThat(poll(come())).startsWith("HTTP/1.1 200");
        assertThat(probe(come())).startsWith("HTTP/1.1 200");
      }
    }
    // Who was closed finds the door open again.
    int closed = 0;
    for (Client worker : workers) {
      if (!served(report(worker))) {
        closed++;
        assertThat(report(come())).startsWith("HTTP/1.1 200");
      }
    }
    assertThat(closed).isPositive();
  }

  @Test
  void closesUsersBeforeWorkers() throws Exception {
    alone = true;
    List<Client> workers = new ArrayList<>();
    Client user = come();
    assertThat(poll(user)).startsWith("HTTP/1.1 200");
    for (int i = 0; i < SOCKETS.front(); i++) {
      Client worker = come();
      workers.add(worker);
      assertThat(report(worker)).startsWith("HTTP/1.1 200");
    }
    assertThat(poll(user)).isEmpty();
    assertThat(workers).allMatch(worker -> served(report(worker)));
  }

  @Test
  void asksUsersBeyondTheirPartToComeAnew() throws Exception {
    List<Client> workers = new ArrayList<>();
    for (int i = 0; i < SOCKETS.crowded() - SOCKETS.users(); i++) {
      Client worker = come();
      workers.add(worker);
      assertThat(report(worker)).startsWith("HTTP/1.1 200");
    }
    for (int i = 0; i < 3 * SOCKETS.front(); i++) {
      assertThat(poll(come())).startsWith("HTTP/1.1 200");
    }
    assertThat(poll(come())).contains("Connection: close");
    assertThat(workers).allMatch(worker -> served(report(worker)));
  }
}
