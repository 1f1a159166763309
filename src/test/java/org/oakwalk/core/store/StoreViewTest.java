package org.oakwalk.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/** Up to which moment everything stored is known: leaders answer workers by it. */
class StoreViewTest {
  private static final Answer DOWN = new Answer.Refused(503, "down");

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final List<Effect.Call> out = new ArrayList<>();
  private int histories;
  private Moment now = new Moment(1_000_000);

  @BeforeEach
  void begin() {
    view.listen(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(Moment at) {}

          @Override
          public void jobChanged(KnownJob job, Moment at) {}

          @Override
          public void historyLost(Moment at) {
            histories++;
          }
        });
  }

  @Test
  void pagesThatTakeLongTellNothingNewerThanTheFirst() {
    Moment first = now;
    tick();
    answer(Request.ReadPage.class, page("a", true, 10));
    answer(Request.ReadPage.class, DOWN);
    for (int i = 0; i < 20; i++) {
      later(500);
      answer(Request.ReadPage.class, DOWN);
    }
    later(500);
    answer(Request.ReadPage.class, page("b", false, 90));
    assertThat(view.contact()).isEqualTo(first);
    assertThat(view.fresh(now)).isFalse();
    Request.Watch next = (Request.Watch) sent(Request.Watch.class).orElseThrow().request();
    assertThat(next.after()).isEqualTo(new Revision(10));
    assertThat(next.maxWait()).isEqualTo(Span.millis(0));
  }

  @Test
  void aFirstPageThatWasRefusedCountsFromItsRepetition() {
    tick();
    answer(Request.ReadPage.class, DOWN);
    later(5000);
    Moment second = now;
    answer(Request.ReadPage.class, page("a", false, 10));
    assertThat(view.contact()).isEqualTo(second);
  }

  @Test
  void anAnswerThatComesLateTellsNoMoreThanWhenItWasAskedFor() {
    loaded();
    Moment asked = now;
    Effect.Call watch = sent(Request.Watch.class).orElseThrow();
    later(2000);
    outbox.deliverAnswer(watch.call(), new Answer.Changes(new Revision(11), List.of()));
    assertThat(view.contact()).isEqualTo(asked);
  }

  @Test
  void neitherRefusalsNorSilenceMoveIt() {
    loaded();
    Moment before = view.contact();
    answer(Request.Watch.class, DOWN);
    later(500);
    answer(Request.Watch.class, new Answer.OutcomeUnknown("timeout"));
    later(500);
    answer(Request.Watch.class, new Answer.Refused(429, "too much"));
    assertThat(view.contact()).isEqualTo(before);
  }

  /** Two requests may find that the history was cut off; the second begins nothing anew. */
  @Test
  void readingAnewIsBegunOnce() {
    loaded();
    view.catchUp(now, known -> {});
    Effect.Call watch = sent(Request.Watch.class).orElseThrow();
    Effect.Call read = sent(Request.Watch.class).orElseThrow();
    Answer gone = new Answer.Refused(410, "too old");
    outbox.deliverAnswer(watch.call(), gone);
    assertThat(histories).isEqualTo(1);
    later(500);
    Moment first = now;
    answer(Request.ReadPage.class, page("a", true, 50));
    outbox.deliverAnswer(read.call(), gone);
    assertThat(histories).isEqualTo(1);
    later(500);
    answer(Request.ReadPage.class, page("b", false, 60));
    assertThat(view.contact()).isEqualTo(first);
    Request.Watch next = (Request.Watch) sent(Request.Watch.class).orElseThrow().request();
    assertThat(next.after()).isEqualTo(new Revision(50));
  }

  /** A copy that was refused while followers were announced can't tell how old that is. */
  @Test
  void anAnnouncementIsAsOldAsTheLastReadThatDidNotShowIt() {
    loaded();
    Moment last = view.contact();
    answer(Request.Watch.class, DOWN);
    later(20_000);
    answer(
        Request.Watch.class,
        new Answer.Changes(
            new Revision(12),
            List.of(
                new News(
                    Keys.relay("b"),
                    Optional.of(new StoredValue.RelayRecord("b", new Token(7))),
                    new Revision(12)))));
    StoreView.Relayed relayed = view.relayed("b").orElseThrow();
    assertThat(relayed.earliest()).isEqualTo(last);
    assertThat(relayed.seen()).isEqualTo(now);
  }

  private void loaded() {
    tick();
    answer(Request.ReadPage.class, page("a", false, 10));
  }

  private void later(long millis) {
    now = now.plus(Span.millis(millis));
    tick();
  }

  private void tick() {
    view.clock(now);
    view.tick(now);
  }

  private void answer(Class<? extends Request> kind, Answer answer) {
    outbox.deliverAnswer(sent(kind).orElseThrow().call(), answer);
  }

  private static Answer page(String key, boolean more, long epoch) {
    StoredValue value = new StoredValue.LeaderRecord(new NodeId("n"), "z", "one");
    return new Answer.Page(
        List.of(new Entry(Keys.WATCHED + key, value, new Revision(5))), more, new Revision(epoch));
  }

  private Optional<Effect.Call> sent(Class<? extends Request> kind) {
    for (Effect effect : outbox.takeEffects()) {
      if (effect instanceof Effect.Call call) {
        out.add(call);
      }
    }
    Optional<Effect.Call> found =
        out.stream().filter(call -> kind.isInstance(call.request())).findFirst();
    found.ifPresent(out::remove);
    return found;
  }
}
