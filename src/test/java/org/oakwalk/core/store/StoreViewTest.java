package org.oakwalk.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;

/**
 * The time up to which the copy is known to hold everything stored. Leaders rely on it when they
 * answer workers, so it must never be later than the start of the last successful read.
 */
class StoreViewTest {
  private static final Answer DOWN = new Answer.Refused(503, "down");

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final List<Effect.Call> sentCalls = new ArrayList<>();
  private int historyTruncations;
  private MonotonicTime now = new MonotonicTime(1_000_000);

  @BeforeEach
  void setListener() {
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob job, MonotonicTime at) {}

          @Override
          public void historyTruncated(MonotonicTime at) {
            historyTruncations++;
          }
        });
  }

  @Test
  void slowLoadConfirmsOnlyTheTimeOfItsFirstPage() {
    MonotonicTime firstPageSent = now;
    tick();
    answer(Request.ReadPage.class, page("a", true, 10));
    answer(Request.ReadPage.class, DOWN);
    for (int i = 0; i < 20; i++) {
      advance(500);
      answer(Request.ReadPage.class, DOWN);
    }
    advance(500);
    answer(Request.ReadPage.class, page("b", false, 90));
    assertThat(view.lastConfirmed()).isEqualTo(firstPageSent);
    assertThat(view.isFresh(now)).isFalse();
    Request.Watch next = (Request.Watch) takeSent(Request.Watch.class).orElseThrow().request();
    assertThat(next.after()).isEqualTo(new Revision(10));
    assertThat(next.maxWait()).isEqualTo(TimeSpan.millis(0));
  }

  @Test
  void refusedFirstPageIsNotCountedAsConfirmation() {
    tick();
    answer(Request.ReadPage.class, DOWN);
    advance(5000);
    MonotonicTime secondTry = now;
    answer(Request.ReadPage.class, page("a", false, 10));
    assertThat(view.lastConfirmed()).isEqualTo(secondTry);
  }

  @Test
  void lateAnswerConfirmsOnlyTheTimeOfItsRequest() {
    load();
    MonotonicTime watchSent = now;
    Effect.Call watch = takeSent(Request.Watch.class).orElseThrow();
    advance(2000);
    outbox.deliverAnswer(watch.call(), new Answer.Changes(new Revision(11), List.of()));
    assertThat(view.lastConfirmed()).isEqualTo(watchSent);
  }

  @Test
  void failedReadsDoNotAdvanceTheConfirmedTime() {
    load();
    MonotonicTime before = view.lastConfirmed();
    answer(Request.Watch.class, DOWN);
    advance(500);
    answer(Request.Watch.class, new Answer.OutcomeUnknown("timeout"));
    advance(500);
    answer(Request.Watch.class, new Answer.Refused(429, "too much"));
    assertThat(view.lastConfirmed()).isEqualTo(before);
  }

  /** A watch and a read may both find the history truncated; only the first starts a new load. */
  @Test
  void secondHistoryTruncationDoesNotRestartTheLoad() {
    load();
    view.catchUp(now, current -> {});
    Effect.Call watch = takeSent(Request.Watch.class).orElseThrow();
    Effect.Call read = takeSent(Request.Watch.class).orElseThrow();
    Answer gone = new Answer.Refused(410, "too old");
    outbox.deliverAnswer(watch.call(), gone);
    assertThat(historyTruncations).isEqualTo(1);
    advance(500);
    MonotonicTime firstPageSent = now;
    answer(Request.ReadPage.class, page("a", true, 50));
    outbox.deliverAnswer(read.call(), gone);
    assertThat(historyTruncations).isEqualTo(1);
    advance(500);
    answer(Request.ReadPage.class, page("b", false, 60));
    assertThat(view.lastConfirmed()).isEqualTo(firstPageSent);
    Request.Watch next = (Request.Watch) takeSent(Request.Watch.class).orElseThrow().request();
    assertThat(next.after()).isEqualTo(new Revision(50));
  }

  /** A copy that could not read when an announcement was written can't tell its exact age. */
  @Test
  void relayAnnouncementAgeCountsFromTheLastReadWithoutIt() {
    load();
    MonotonicTime lastRead = view.lastConfirmed();
    answer(Request.Watch.class, DOWN);
    advance(20_000);
    answer(
        Request.Watch.class,
        new Answer.Changes(
            new Revision(12),
            List.of(
                new KeyChange(
                    StoreKeys.relay("b"),
                    Optional.of(new StoredValue.RelayRecord("b", new Token(7))),
                    new Revision(12)))));
    StoreView.RelayAnnouncement announcement = view.relays("b").orElseThrow();
    assertThat(announcement.earliestWrite()).isEqualTo(lastRead);
    assertThat(announcement.seenAt()).isEqualTo(now);
  }

  private void load() {
    tick();
    answer(Request.ReadPage.class, page("a", false, 10));
  }

  private void advance(long millis) {
    now = now.plus(TimeSpan.millis(millis));
    tick();
  }

  private void tick() {
    view.setTime(now);
    view.tick(now);
  }

  private void answer(Class<? extends Request> kind, Answer answer) {
    outbox.deliverAnswer(takeSent(kind).orElseThrow().call(), answer);
  }

  private static Answer page(String key, boolean more, long revision) {
    StoredValue value = new StoredValue.LeaderRecord(new NodeId("n"), "z", "one");
    return new Answer.Page(
        List.of(new Entry(StoreKeys.WATCHED_PREFIX + key, value, new Revision(5))),
        more,
        new Revision(revision));
  }

  private Optional<Effect.Call> takeSent(Class<? extends Request> kind) {
    for (Effect effect : outbox.takeEffects()) {
      if (effect instanceof Effect.Call call) {
        sentCalls.add(call);
      }
    }
    Optional<Effect.Call> found =
        sentCalls.stream().filter(call -> kind.isInstance(call.request())).findFirst();
    found.ifPresent(sentCalls::remove);
    return found;
  }
}
