import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A small HTTP/1.1 server and client on loopback, one thread for each connection. */
final class Http {
  private Http() {}

  /** A request as a server received it. */
  record Request(String method, String path, Map<String, String> query, byte[] body) {}

  /** An answer; a null answer of a handler means that the connection is closed without any. */
  record Answer(int status, byte[] body) {
    static Answer of(int status, Object body) {
      return new Answer(status, Pack.encode(body));
    }

    Map<String, Object> map() {
      return Pack.map(body);
    }
  }

  interface Handler {
    Answer handle(Request request) throws Exception;
  }

  /** Serves until the process ends; returns the port. */
  static int serve(int port, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket(port, 256, InetAddress.getByName("127.0.0.1"));
    thread("accept-" + server.getLocalPort(), () -> {
      while (true) {
        Socket socket = server.accept();
        thread("serve", () -> converse(socket, handler));
      }
    });
    return server.getLocalPort();
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread thread(String name, Task task) {
    Thread thread = new Thread(null, () -> {
      try {
        task.run();
      } catch (IOException e) {
        // The peer has gone.
      } catch (Exception e) {
        e.printStackTrace();
      }
    }, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void converse(Socket socket, Handler handler) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        String first = line(in);
        if (first == null) {
          return;
        }
        Map<String, String> headers = headers(in);
        byte[] body = body(in, headers);
        String[] words = first.split(" ");
        int mark = words[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
          for (String pair : words[1].substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                pair.substring(0, equals),
                java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
          }
        }
        String path = mark >= 0 ? words[1].substring(0, mark) : words[1];
        Answer answer = handler.handle(new Request(words[0], path, query, body));
        if (answer == null) {
          return;
        }
        boolean close = "close".equalsIgnoreCase(headers.get("connection"));
        String head = "HTTP/1.1 " + answer.status() + " X\r\nContent-Length: " + answer.body().length
            + "\r\n" + (close ? "Connection: close\r\n" : "") + "\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        all.write(answer.body());
        out.write(all.toByteArray());
        out.flush();
        if (close) {
          return;
        }
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (true) {
      int c = in.read();
      if (c < 0) {
        return null;
      }
      if (c == '\n') {
        return text.toString().trim();
      }
      text.append((char) c);
    }
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.containsKey("content-length")) {
      return in.readNBytes(Integer.parseInt(headers.get("content-length")));
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
        all.write(in.readNBytes(size));
        line(in);
      }
      line(in);
    }
    return all.toByteArray();
  }

  /** Sends one request on a connection of its own; null if there was no answer in time. */
  static Answer call(String address, String method, String path, Object body, int timeoutMillis) {
    int colon = address.lastIndexOf(':');
    long end = System.nanoTime() + timeoutMillis * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          timeoutMillis);
      socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
      byte[] bytes = body == null ? new byte[0] : Pack.encode(body);
      String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
          + (body == null ? "" : "Content-Type: application/msgpack\r\nContent-Length: " + bytes.length + "\r\n")
          + "\r\n";
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.US_ASCII));
      all.write(bytes);
      socket.getOutputStream().write(all.toByteArray());
      socket.getOutputStream().flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String first = line(in);
      if (first == null) {
        return null;
      }
      int status = Integer.parseInt(first.split(" ")[1]);
      return new Answer(status, body(in, headers(in)));
    } catch (IOException | RuntimeException e) {
      return null;
    }
  }
}
