package org.oakwalk.daemon;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.wire.StateServiceCodec;

/**
 * Load test of status requests: users poll ten thousand open jobs, each every 5 s, on nodes on
 * loopback that have all just started. The test takes two minutes and most of the machine's CPU, so
 * it runs only on request: {@code mvn test -Dtest=StatusReadLoadTest -Dload=true}.
 */
@EnabledIfSystemProperty(named = "load", matches = "true")
class StatusReadLoadTest {
  private static final int JOBS = 10_000;
  private static final int NODES = 3;
  private static final int STATE_SERVICE_RPS = 250;
  private static final int POLL_INTERVAL_MILLIS = 5_000;
  private static final int TEST_SECONDS = 90;
  private static final int CLIENTS = 192;

  @TempDir private Path folder;

  private static JobSpec jobSpec(int number) {
    return new JobSpec(
        new JobId(String.format("j-%06d", number)),
        "batch",
        "crew",
        JobSpec.Shape.ARRAY,
        Priority.NORMAL,
        1,
        Resources.ofTask(1, 0, 1),
        Set.of(),
        Optional.empty(),
        false,
        false,
        false,
        "img",
        1,
        TimeSpan.seconds(60),
        TimeSpan.millis(0),
        TimeSpan.millis(0),
        Optional.empty());
  }

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private Daemon startNode(int index, int[] ports, String stateAddress) throws Exception {
    StringBuilder members = new StringBuilder();
    for (int i = 0; i < NODES; i++) {
      members.append(
          String.format(
              "[[members]]%nnode = \"n-%d\"%ndomain = \"a\"%naddr = \"127.0.0.1:%d\"%n",
              i, ports[i]));
    }
    String toml =
        SettingsTest.PLATFORM_TOML
            .replace("\"n-0\"", "\"n-" + index + "\"")
            .replace(
                "cluster_listen = \"127.0.0.1:0\"",
                "cluster_listen = \"127.0.0.1:" + ports[index] + "\"")
            .replaceAll("(?s)\\[\\[members.*?\\[outside", members + "[outside")
            .replace("127.0.0.1:2\"", stateAddress + "\"")
            .replace("rps = 80.0", "rps = " + STATE_SERVICE_RPS + ".0");
    Path file = Files.writeString(folder.resolve("n-" + index), toml);
    return new Daemon(PlatformSettings.read(file), Policy.defaults());
  }

  @Test
  void statusReadsStayWithinTheStateServiceRate() throws Exception {
    List<Daemon> nodes = new ArrayList<>();
    try (FakeStateService stateService = new FakeStateService()) {
      for (int i = 0; i < JOBS; i++) {
        JobRecord record = new JobRecord(jobSpec(i), JobRecord.Phase.OPEN, new WallTime(0));
        Change put = new Change.Put(StoreKeys.job(record.spec().id()), record, Optional.empty());
        stateService.applyCommit(
            StateServiceCodec.encode(
                    new Request.Commit(List.of(), List.of(put), Request.Urgency.ACCEPTANCE))
                .body());
      }
      int[] ports = new int[NODES];
      for (int i = 0; i < NODES; i++) {
        ports[i] = freePort();
      }
      for (int i = 0; i < NODES; i++) {
        nodes.add(startNode(i, ports, stateService.address()));
      }
      runClients(nodes, stateService);
    } finally {
      nodes.forEach(Daemon::close);
    }
  }

  /** Status requests of all clients and their latencies. */
  private static final class LoadResult {
    private final long startMillis = System.nanoTime() / 1_000_000;
    private final AtomicLongArray lastAnswerAt = new AtomicLongArray(JOBS);
    private final AtomicLongArray longestGap = new AtomicLongArray(JOBS);
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final Histogram latency = new ConcurrentHistogram(2);

    long elapsedMillis() {
      return System.nanoTime() / 1_000_000 - startMillis;
    }

    void recordRequest(int job, long sentAt, boolean succeeded) {
      requests.incrementAndGet();
      if (succeeded) {
        long now = elapsedMillis();
        latency.recordValue(now - sentAt);
        longestGap.accumulateAndGet(job, now - lastAnswerAt.getAndSet(job, now), Math::max);
      } else {
        failures.incrementAndGet();
      }
    }

    /** Returns the longest time that any job went without a successful status request. */
    long longestGapMillis() {
      return IntStream.range(0, JOBS)
          .mapToLong(i -> Math.max(longestGap.get(i), elapsedMillis() - lastAnswerAt.get(i)))
          .max()
          .orElse(0);
    }
  }

  /** Polls every {@code CLIENTS}-th job, each every 5 s, over one connection at a time. */
  private static void pollJobs(int first, int port, LoadResult result) {
    Socket socket = null;
    int step = 0;
    while (result.elapsedMillis() < TEST_SECONDS * 1000L) {
      int job = first + step * CLIENTS;
      if (job >= JOBS) {
        step = 0;
        continue;
      }
      long due =
          (result.elapsedMillis() / POLL_INTERVAL_MILLIS) * POLL_INTERVAL_MILLIS
              + (long) POLL_INTERVAL_MILLIS * job / JOBS;
      step++;
      long sentAt = result.elapsedMillis();
      boolean succeeded = false;
      try {
        Thread.sleep(Math.max(0, due - sentAt));
        sentAt = result.elapsedMillis();
        if (socket == null) {
          socket = new Socket("127.0.0.1", port);
          socket.setTcpNoDelay(true);
          socket.setSoTimeout(2000);
        }
        String head = "GET /v2/runs/j-%06d HTTP/1.1\r\nHost: x\r\n\r\n";
        socket.getOutputStream().write(String.format(head, job).getBytes(US_ASCII));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
          int next = in.read();
          if (next < 0) {
            throw new IOException("closed");
          }
          text.append((char) next);
        }
        int at = text.indexOf("Content-Length: ") + 16;
        in.readNBytes(Integer.parseInt(text.substring(at, text.indexOf("\r\n", at))));
        succeeded = text.indexOf("HTTP/1.1 200") == 0;
      } catch (IOException e) {
        socket = null;
      } catch (InterruptedException e) {
        return;
      }
      result.recordRequest(job, sentAt, succeeded);
    }
  }

  private static void runClients(List<Daemon> nodes, FakeStateService stateService)
      throws Exception {
    int before = stateService.requestCount();
    LoadResult result = new LoadResult();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int first = i;
      int port = nodes.get(i % nodes.size()).clientPort();
      clients.add(new Thread(() -> pollJobs(first, port, result)));
    }
    clients.forEach(Thread::start);
    for (Thread client : clients) {
      client.join();
    }
    double rate = (stateService.requestCount() - before) / (double) TEST_SECONDS;
    System.out.printf(
        "requests %d, failed %d, p50 %d ms, p99 %d ms, longest gap %d ms, state service %.1f/s%n",
        result.requests.get(),
        result.failures.get(),
        result.latency.getValueAtPercentile(50),
        result.latency.getValueAtPercentile(99),
        result.longestGapMillis(),
        rate);
    assertThat(rate).isLessThan(STATE_SERVICE_RPS);
    assertThat(result.longestGapMillis()).isLessThan(75_000);
  }
}
