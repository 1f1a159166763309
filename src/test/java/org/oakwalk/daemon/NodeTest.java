package org.oakwalk.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.oakwalk.core.Policy;

/**
 * Runs a complete node on loopback. The state service and the cloud answer every request with 503,
 * so the tests check the responses that a node gives without them, and need not wait.
 */
class NodeTest {
  private static final ObjectMapper MSGPACK = new ObjectMapper(new MessagePackFactory());

  @TempDir private Path folder;
  private final HttpClient client = HttpClient.newHttpClient();
  private HttpServer unavailableServices;
  private Daemon node;

  @BeforeEach
  void start() throws Exception {
    unavailableServices = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    unavailableServices.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(503, -1);
          exchange.close();
        });
    unavailableServices.start();
    String address = "127.0.0.1:" + unavailableServices.getAddress().getPort() + "\"";
    String toml =
        SettingsTest.PLATFORM_TOML
            .replace("127.0.0.1:1\"", address)
            .replace("127.0.0.1:2\"", address);
    Path file = Files.writeString(folder.resolve("settings.toml"), toml);
    node = new Daemon(PlatformSettings.read(file), Policy.defaults());
  }

  @AfterEach
  void stop() {
    node.close();
    unavailableServices.stop(0);
  }

  private HttpResponse<byte[]> send(String method, String path, byte[] body) throws Exception {
    return client.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.clientPort() + path))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build(),
        HttpResponse.BodyHandlers.ofByteArray());
  }

  private int status(String method, String path) throws Exception {
    return send(method, path, null).statusCode();
  }

  @Test
  void unknownPathsAndMethodsAreRejected() throws Exception {
    assertThat(status("GET", "/nowhere")).isEqualTo(404);
    assertThat(status("GET", "/v2/runs/j-1/other")).isEqualTo(404);
    assertThat(status("GET", "/v2/runs")).isEqualTo(405);
    assertThat(status("DELETE", "/v2/runs/j-1")).isEqualTo(405);
    assertThat(status("GET", "/v2/runs/j-1/withdraw")).isEqualTo(405);
    assertThat(status("POST", "/ready")).isEqualTo(405);
    assertThat(status("GET", "/v2/runs/x")).isEqualTo(404);
  }

  @Test
  void malformedBodiesAreRejected() throws Exception {
    byte[] malformed = "hello".getBytes(StandardCharsets.UTF_8);
    assertThat(send("POST", "/v2/runs", malformed).statusCode()).isEqualTo(400);
    assertThat(send("POST", "/hello", malformed).statusCode()).isEqualTo(400);
  }

  @Test
  void oversizedBodyIsRejectedBeforeItsEnd() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", node.clientPort())) {
      StringBuilder text =
          new StringBuilder(
              "POST /v2/runs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < 17; i++) {
        text.append("1000\r\n").append("x".repeat(4096)).append("\r\n");
      }
      socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
      byte[] answer = socket.getInputStream().readNBytes(12);
      assertThat(new String(answer, StandardCharsets.UTF_8)).isEqualTo("HTTP/1.1 400");
    }
  }

  @Test
  void userRequestsGet503WithoutStateService() throws Exception {
    HttpResponse<byte[]> answer = send("GET", "/v2/runs/j-000001", null);
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).contains("1");
    assertThat(status("POST", "/v2/runs/j-000001/withdraw")).isEqualTo(503);
    assertThat(status("GET", "/ready")).isEqualTo(503);
  }

  @Test
  void workerReportsGet421WithoutLeader() throws Exception {
    byte[] report =
        MSGPACK.writeValueAsBytes(
            new ObjectMapper()
                .readTree(
                    "{\"host\":\"host-1\",\"addr\":\"127.0.0.1:1\",\"flavor\":\"g\","
                        + "\"region\":\"a\",\"leftovers\":false,\"shift\":1,\"tick\":1,"
                        + "\"baton\":0,\"pieces\":[]}"));
    HttpResponse<byte[]> answer = send("POST", "/hello", report);
    assertThat(answer.statusCode()).isEqualTo(421);
    assertThat(MSGPACK.readTree(answer.body()).has("boss")).isFalse();
  }

  /**
   * Guards against leaders running out of memory. A leader has a connection from each of a thousand
   * machines in a heap of about 70 MB. With Jetty's default header field caches each connection
   * took 100 KB, and one leader after the other failed.
   */
  @Test
  void memoryPerConnectionIsBounded() throws Exception {
    int count = 200;
    status("GET", "/ready");
    long before = usedHeap();
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        Socket socket = new Socket("127.0.0.1", node.clientPort());
        sockets.add(socket);
        String request =
            "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\n"
                + "Content-Length: 1\r\n\r\nx";
        // Header field caches are allocated on a connection's second request.
        socket.getOutputStream().write((request + request).getBytes(StandardCharsets.UTF_8));
        byte[] answer = socket.getInputStream().readNBytes(12);
        assertThat(new String(answer, StandardCharsets.UTF_8)).isEqualTo("HTTP/1.1 400");
      }
      assertThat((usedHeap() - before) / count).isLessThan(40_000);
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private static long usedHeap() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
