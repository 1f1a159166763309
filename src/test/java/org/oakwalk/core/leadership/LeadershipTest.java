package org.oakwalk.core.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.CallId;
import org.oakwalk.core.HoldId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.KeyChange;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/** Keys that former lives left, and claims that are seen late. */
class LeadershipTest {
  private static final NodeId NODE = new NodeId("n");

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final List<Token> rises = new ArrayList<>();
  private final List<Effect.Call> out = new ArrayList<>();
  private Moment now = new Moment(1_000_000);
  private Leadership leadership;

  @BeforeEach
  void begin() {
    leadership =
        new Leadership(
            outbox,
            view,
            NODE,
            "z",
            "present",
            Span.seconds(20),
            new Leadership.Listener() {
              @Override
              public void rises(Token token, Moment at) {
                rises.add(token);
              }

              @Override
              public void falls(Token token, Moment at) {}
            });
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(Moment at) {
            leadership.leaderChanged(at);
          }

          @Override
          public void jobChanged(KnownJob job, Moment at) {}
        });
  }

  @Test
  void aClaimOfItsOwnMakesItLead() {
    claims();
    showsOwnKey(12);
    assertThat(rises).containsExactly(new Token(12));
  }

  @Test
  void aClaimSeenAfterALaterTokenIsGivenUp() {
    claims();
    leadership.tokenSeen(new Token(20), now);
    showsOwnKey(12);
    assertThat(rises).isEmpty();
    assertThat(leadership.state()).isEqualTo(Leadership.State.FOLLOWING);
  }

  @Test
  void theKeyOfItsFormerLifeIsRemovedAndOthersMayClaimFirst() {
    loads(List.of(key(NODE, "former", 7)));
    leadership.tick(now);
    Effect.Call removal = sent(Request.Commit.class).orElseThrow();
    Request.Commit commit = (Request.Commit) removal.request();
    assertThat(commit.guards()).containsExactly(new Guard(StoreKeys.LEADER, new Revision(7)));
    assertThat(commit.changes()).containsExactly(new Change.Remove(StoreKeys.LEADER));
    outbox.answered(removal.call(), new Answer.Committed(new Revision(11)));
    shows(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(11)));
    leadership.tick(now.plus(Span.millis(200)));
    assertThat(sent(Request.Grant.class)).isEmpty();
    leadership.tick(now.plus(Span.millis(300)));
    assertThat(sent(Request.Grant.class)).isPresent();
  }

  @Test
  void theKeyOfAnotherNodeIsLeftAlone() {
    loads(List.of(key(new NodeId("m"), "former", 7)));
    leadership.tick(now);
    assertThat(sent(Request.Commit.class)).isEmpty();
  }

  /** What is withdrawn shows in reads alone, so nothing else may keep workers answered. */
  @Test
  void aRenewalDoesNotLengthenTheTimeForWhichWorkersAreAnswered() {
    claims();
    showsOwnKey(12);
    Moment read = view.lastConfirmed();
    while (now.since(read).compareTo(Span.seconds(19.9)) < 0) {
      now = now.plus(Span.millis(100));
      leadership.tick(now);
      sent(Request.Renew.class)
          .ifPresent(renewal -> outbox.answered(renewal.call(), new Answer.Ok()));
    }
    assertThat(leadership.mayAnswer(now)).isTrue();
    now = now.plus(Span.millis(100));
    leadership.tick(now);
    assertThat(leadership.state()).isEqualTo(Leadership.State.LEADING);
    assertThat(leadership.mayAnswer(now)).isFalse();
  }

  /** Its lease may live on, and nobody else may tell it. */
  @Test
  void aLeaderWhoseKeyIsRemovedFallsAtOnce() {
    claims();
    showsOwnKey(12);
    shows(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(15)));
    assertThat(leadership.holdsToken()).isFalse();
    assertThat(sent(Request.Drop.class)).isPresent();
  }

  @Test
  void aLeaderWhoseKeyIsAnothersFallsAtOnce() {
    claims();
    showsOwnKey(12);
    Entry others = key(new NodeId("m"), "present", 15);
    shows(new KeyChange(others.key(), Optional.of(others.value()), others.revision()));
    assertThat(leadership.holdsToken()).isFalse();
  }

  /** The key stands with a claim of this life that was carried out late: not under this token. */
  @Test
  void aLeaderWhoseKeyIsWrittenAnewFallsAtOnce() {
    claims();
    showsOwnKey(12);
    showsOwnKey(15);
    assertThat(leadership.holdsToken()).isFalse();
  }

  /** Pages would show jobs that were stored under a later leader before that leader. */
  @Test
  void aLeaderWhoseHistoryIsLostGivesItsTokenUp() {
    claims();
    showsOwnKey(12);
    leadership.historyLost(now);
    assertThat(leadership.holdsToken()).isFalse();
    assertThat(sent(Request.Drop.class)).isPresent();
  }

  /**
   * A claim without an answer was given up, and is carried out while its lease lives and another
   * claim of this node is out. It leads under that claim's token until its lease ends, which it
   * does not renew; the other claim, carried out even later, is removed again.
   */
  @Test
  void aClaimCarriedOutAfterItClaimedAgainCountsUntilItsLeaseEnds() {
    claims();
    now = now.plus(Span.millis(5100));
    leadership.tick(now);
    assertThat(leadership.state()).isEqualTo(Leadership.State.FOLLOWING);
    assertThat(sent(Request.Drop.class)).isPresent();
    shows(new KeyChange(StoreKeys.MACHINE_TYPES, Optional.empty(), new Revision(11)));
    shows(new KeyChange(StoreKeys.MACHINE_TYPES, Optional.empty(), new Revision(11)));
    watchesAgain();
    shows(new KeyChange(StoreKeys.MACHINE_TYPES, Optional.empty(), new Revision(12)));
    leadership.tick(now);
    outbox.answered(
        sent(Request.Grant.class).orElseThrow().call(), new Answer.Granted(new HoldId(2)));
    outbox.answered(sent(Request.Commit.class).orElseThrow().call(), new Answer.Nothing("lost"));
    showsOwnKey(13);
    assertThat(rises).containsExactly(new Token(13));
    watchesAgain();
    shows(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(14)));
    assertThat(leadership.holdsToken()).isFalse();
    watchesAgain();
    showsOwnKey(15);
    assertThat(leadership.holdsToken()).as("it has given that claim up").isFalse();
    watchesAgain();
    out.removeIf(call -> call.request() instanceof Request.Commit);
    leadership.tick(now);
    Request.Commit removal = (Request.Commit) sent(Request.Commit.class).orElseThrow().request();
    assertThat(removal.guards()).containsExactly(new Guard(StoreKeys.LEADER, new Revision(15)));
    assertThat(rises).hasSize(1);
  }

  private void watchesAgain() {
    now = now.plus(Span.millis(400));
    view.setTime(now);
    view.tick(now);
  }

  private void claims() {
    loads(List.of());
    leadership.tick(now);
    CallId grant = sent(Request.Grant.class).orElseThrow().call();
    outbox.answered(grant, new Answer.Granted(new HoldId(1)));
    outbox.answered(
        sent(Request.Commit.class).orElseThrow().call(), new Answer.Nothing("the answer is lost"));
    assertThat(leadership.state()).isEqualTo(Leadership.State.CLAIMING);
  }

  private void loads(List<Entry> entries) {
    view.tick(now);
    outbox.answered(
        sent(Request.ReadPage.class).orElseThrow().call(),
        new Answer.Page(entries, false, new Revision(10)));
  }

  private void showsOwnKey(long stamp) {
    Entry own = key(NODE, "present", stamp);
    shows(new KeyChange(own.key(), Optional.of(own.value()), own.revision()));
  }

  private void shows(KeyChange news) {
    outbox.answered(
        sent(Request.Watch.class).orElseThrow().call(),
        new Answer.Changes(news.revision(), List.of(news)));
  }

  private static Entry key(NodeId node, String incarnation, long stamp) {
    return new Entry(
        StoreKeys.LEADER,
        new StoredValue.LeaderRecord(node, "z", incarnation),
        new Revision(stamp));
  }

  private Optional<Effect.Call> sent(Class<? extends Request> kind) {
    for (Effect effect : outbox.drain()) {
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
