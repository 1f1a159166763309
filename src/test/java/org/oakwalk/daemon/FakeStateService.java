package org.oakwalk.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** A state service on loopback that implements the part of its protocol that a leader needs. */
final class FakeStateService implements AutoCloseable {
  private static final ObjectMapper MSGPACK = new ObjectMapper(new MessagePackFactory());
  private static final int MAX_PAGE_BYTES = 512 * 1024;

  private record RevisionedValue(JsonNode value, long revision) {}

  private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
  private final ExecutorService handlers = Executors.newCachedThreadPool();
  private final TreeMap<String, RevisionedValue> entries = new TreeMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final Map<String, Long> leaseByKey = new HashMap<>();
  private final Map<Long, Long> leaseExpiry = new HashMap<>();
  private final Map<Long, Long> leaseDuration = new HashMap<>();
  private final AtomicInteger requestCount = new AtomicInteger();
  private long revision;

  static {
    // Without this setting each answer waits up to 40 ms for a delayed TCP acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  FakeStateService() throws IOException {
    server.setExecutor(handlers);
    server.createContext("/", this::serve);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns the number of requests received so far. */
  int requestCount() {
    return requestCount.get();
  }

  @Override
  public void close() {
    server.stop(0);
    handlers.shutdownNow();
  }

  /** Applies an encoded commit request. */
  void applyCommit(byte[] body) throws IOException {
    applyCommit(MSGPACK.readTree(body));
  }

  private void serve(HttpExchange exchange) throws IOException {
    requestCount.incrementAndGet();
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    ObjectNode answer = MSGPACK.createObjectNode();
    int status = 200;
    if (path.equals("/commit")) {
      status = handleCommit(MSGPACK.readTree(body), answer);
    } else if (path.equals("/watch")) {
      handleWatch(query(exchange), answer);
    } else if (path.equals("/store")) {
      handlePageRead(query(exchange), answer);
    } else if (path.startsWith("/leases")) {
      status = handleLease(exchange.getRequestMethod(), path, body, answer);
    } else {
      status = 503;
    }
    byte[] bytes = MSGPACK.writeValueAsBytes(answer);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
      String[] sides = part.split("=", 2);
      query.put(sides[0], URLDecoder.decode(sides[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private synchronized int handleCommit(JsonNode commit, ObjectNode answer) {
    expireLeases();
    ArrayNode failed = MSGPACK.createArrayNode();
    for (JsonNode guard : commit.path("guards")) {
      RevisionedValue entry = entries.get(guard.get("k").textValue());
      if ((entry == null ? 0 : entry.revision()) != guard.get("stamp").longValue()) {
        failed.add(guard.get("k"));
      }
    }
    if (failed.isEmpty()) {
      applyCommit(commit);
    } else {
      answer.set("failed", failed);
    }
    answer.put("epoch", revision);
    return failed.isEmpty() ? 200 : 409;
  }

  private synchronized void applyCommit(JsonNode commit) {
    revision++;
    for (JsonNode change : commit.path("then")) {
      if (change.has("set")) {
        String key = change.get("set").textValue();
        entries.put(key, new RevisionedValue(change.get("value"), revision));
        leaseByKey.remove(key);
        if (change.hasNonNull("hold")) {
          leaseByKey.put(key, change.get("hold").longValue());
        }
      } else {
        entries.remove(change.get("delete").textValue());
        leaseByKey.remove(change.get("delete").textValue());
      }
      history.add(((ObjectNode) change.deepCopy()).put("stamp", revision));
    }
    notifyAll();
  }

  private void expireLeases() {
    long now = System.nanoTime() / 1_000_000;
    for (Map.Entry<String, Long> entry : Map.copyOf(leaseByKey).entrySet()) {
      if (leaseExpiry.getOrDefault(entry.getValue(), 0L) < now) {
        applyCommit(
            MSGPACK
                .createObjectNode()
                .set("then", MSGPACK.createArrayNode().add(deletion(entry.getKey()))));
      }
    }
  }

  private static ObjectNode deletion(String key) {
    return MSGPACK.createObjectNode().put("delete", key);
  }

  private synchronized int handleLease(String method, String path, byte[] body, ObjectNode answer)
      throws IOException {
    long now = System.nanoTime() / 1_000_000;
    String[] parts = path.split("/");
    long lease = parts.length > 2 ? Long.parseLong(parts[2]) : leaseDuration.size() + 1;
    if (parts.length == 2) {
      leaseDuration.put(lease, MSGPACK.readTree(body).get("ttl_ms").longValue());
    } else if (leaseExpiry.getOrDefault(lease, 0L) < now) {
      return 404;
    }
    leaseExpiry.put(lease, method.equals("DELETE") ? 0 : now + leaseDuration.get(lease));
    expireLeases();
    answer.put("hold", lease);
    return 200;
  }

  private synchronized void handleWatch(Map<String, String> query, ObjectNode answer) {
    long deadline = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("hold_ms"));
    long fromRevision = Long.parseLong(query.get("from"));
    ArrayNode changes = answer.putArray("news");
    while (true) {
      expireLeases();
      for (int i = history.size() - 1; i >= 0; i--) {
        ObjectNode change = history.get(i);
        if (change.get("stamp").longValue() <= fromRevision) {
          break;
        }
        String key = change.path(change.has("set") ? "set" : "delete").textValue();
        if (key.startsWith(query.get("starts"))) {
          changes.insert(0, change);
        }
      }
      long left = deadline - System.nanoTime() / 1_000_000;
      if (!changes.isEmpty() || left <= 0) {
        answer.put("epoch", revision);
        return;
      }
      try {
        wait(Math.min(left, 100));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private synchronized void handlePageRead(Map<String, String> query, ObjectNode answer) {
    String prefix = query.get("starts");
    String from = query.getOrDefault("from", prefix);
    ArrayNode page = answer.putArray("entries");
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, RevisionedValue> entry :
        entries.tailMap(from, !query.containsKey("from")).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      bytes += entry.getValue().value().toString().length();
      if (page.size() >= Integer.parseInt(query.get("limit")) || bytes > MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      ObjectNode item = page.addObject().put("k", entry.getKey());
      item.set("value", entry.getValue().value());
      item.put("stamp", entry.getValue().revision());
    }
    answer.put("more", more).put("epoch", revision);
  }
}
