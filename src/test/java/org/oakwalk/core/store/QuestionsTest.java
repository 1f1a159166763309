package org.oakwalk.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Moment;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/** What users ask on all nodes, while much is written, within the state service's rate. */
class QuestionsTest {
  private static final long TICK_MILLIS = 50;
  private static final int OPEN_JOBS = 10_000;
  private static final long ASKED_EVERY_MILLIS = 5_000;

  private final LimitedService service = new LimitedService();
  private long worst;
  private int answered;
  private int inVain;

  /** A node's copy of the store with the line by which it reads. */
  private final class Node {
    final Outbox outbox = new Outbox();
    final RequestQueue line;
    final StoreView view;

    Node(int number) {
      line = new RequestQueue(LimitedService.settings(number), service.now, service::serve);
      view = new StoreView(outbox, LimitedService.REQUESTS, LimitedService.NODES);
      view.listen(
          new StoreView.Listener() {
            @Override
            public void leaderChanged(Moment at) {}

            @Override
            public void jobChanged(KnownJob job, Moment at) {}
          });
      view.leads(number == 0);
    }

    void step() {
      view.clock(new Moment(service.now));
      if (service.now % TICK_MILLIS == 0) {
        view.tick(new Moment(service.now));
      }
      send();
      line.pump(service.now);
    }

    private void send() {
      for (Effect effect : outbox.takeEffects()) {
        Effect.Call call = (Effect.Call) effect;
        line.call(
            (Request.StateServiceRequest) call.request(),
            service.now,
            answer -> {
              line.clock(service.now);
              outbox.deliverAnswer(call.call(), answer);
              send();
            });
      }
    }

    void asks() {
      long begun = service.now;
      view.catchUp(
          new Moment(begun),
          known -> {
            answered++;
            inVain += known ? 0 : 1;
            worst = Math.max(worst, service.now - begun);
          });
    }
  }

  @Test
  void tenThousandJobsAreAskedAboutRightAfterAllCameBack() {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < LimitedService.NODES; i++) {
      nodes.add(new Node(i));
    }
    int[] asked = new int[1];
    double[] due = new double[1];
    service.run(
        30_000,
        () -> {
          nodes.forEach(Node::step);
          if (service.now > 200) {
            for (due[0] += (double) OPEN_JOBS / ASKED_EVERY_MILLIS; due[0] >= 1; due[0]--) {
              nodes.get(asked[0]++ % nodes.size()).asks();
            }
          }
          if (service.now % 25 == 0) {
            // Users submit and withdraw at four fifths of what the service takes.
            Node node = nodes.get((int) (service.now / 25 % nodes.size()));
            node.line.call(write(), service.now, answer -> {});
          }
        });
    assertThat(answered).isGreaterThan(asked[0] - OPEN_JOBS / 5);
    assertThat(inVain).isZero();
    assertThat(worst).as("longest wait, ms").isLessThan(1_000);
    assertThat(service.refused).as("refused").isLessThan(service.requests / 100);
  }

  private static Request.Commit write() {
    return new Request.Commit(
        List.of(),
        List.of(new Change.Put("k", null, Optional.empty())),
        Request.Urgency.ACCEPTANCE);
  }
}
