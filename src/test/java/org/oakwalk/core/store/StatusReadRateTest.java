package org.oakwalk.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/**
 * Status queries for many jobs on all nodes, under a high write load. Unless nodes share reads and
 * space them out, the reads and watches exceed the state service's request rate, and queries are
 * refused or time out.
 */
class StatusReadRateTest {
  private static final long TICK_MILLIS = 50;
  private static final int OPEN_JOBS = 10_000;
  private static final long QUERY_INTERVAL_MILLIS = 5_000;

  private final RateLimitedService service = new RateLimitedService();
  private long longestWaitMillis;
  private int answered;
  private int failed;

  /** A node's copy of the store and the request queue through which it reads. */
  private final class Node {
    final Outbox outbox = new Outbox();
    final RequestQueue queue;
    final StoreView view;

    Node(int number) {
      queue = new RequestQueue(RateLimitedService.settings(number), service.now, service::serve);
      view =
          new StoreView(outbox, RateLimitedService.REQUESTS_PER_SECOND, RateLimitedService.NODES);
      view.setListener(
          new StoreView.Listener() {
            @Override
            public void leaderChanged(MonotonicTime at) {}

            @Override
            public void jobChanged(KnownJob job, MonotonicTime at) {}
          });
      view.setLeading(number == 0);
    }

    void step() {
      view.setTime(new MonotonicTime(service.now));
      if (service.now % TICK_MILLIS == 0) {
        view.tick(new MonotonicTime(service.now));
      }
      send();
      queue.sendDue(service.now);
    }

    private void send() {
      for (Effect effect : outbox.takeEffects()) {
        Effect.Call call = (Effect.Call) effect;
        queue.enqueue(
            (Request.StateServiceRequest) call.request(),
            service.now,
            answer -> {
              queue.setTime(service.now);
              outbox.deliverAnswer(call.call(), answer);
              send();
            });
      }
    }

    void query() {
      long startedAt = service.now;
      view.catchUp(
          new MonotonicTime(startedAt),
          current -> {
            answered++;
            failed += current ? 0 : 1;
            longestWaitMillis = Math.max(longestWaitMillis, service.now - startedAt);
          });
    }
  }

  @Test
  void statusReadsOfManyJobsStayWithinTheRequestRate() {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < RateLimitedService.NODES; i++) {
      nodes.add(new Node(i));
    }
    int[] queries = new int[1];
    double[] due = new double[1];
    service.run(
        30_000,
        () -> {
          nodes.forEach(Node::step);
          if (service.now > 200) {
            for (due[0] += (double) OPEN_JOBS / QUERY_INTERVAL_MILLIS; due[0] >= 1; due[0]--) {
              nodes.get(queries[0]++ % nodes.size()).query();
            }
          }
          if (service.now % 25 == 0) {
            // Users submit and withdraw at four fifths of the write rate.
            Node node = nodes.get((int) (service.now / 25 % nodes.size()));
            node.queue.enqueue(write(), service.now, answer -> {});
          }
        });
    assertThat(answered).isGreaterThan(queries[0] - OPEN_JOBS / 5);
    assertThat(failed).isZero();
    assertThat(longestWaitMillis).as("longest wait, ms").isLessThan(1_000);
    assertThat(service.refused).as("refused").isLessThan(service.requests / 100);
  }

  private static Request.Commit write() {
    return new Request.Commit(
        List.of(),
        List.of(new Change.Put("k", null, Optional.empty())),
        Request.Urgency.ACCEPTANCE);
  }
}
