package org.oakwalk.core.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.CallId;
import org.oakwalk.core.LeaseId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
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

/**
 * Guards against a node that leads without holding the leader key: keys left by earlier
 * incarnations, claims that are applied late, and changes of the key that a leader misses.
 */
class LeadershipTest {
  private static final NodeId NODE = new NodeId("n");

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final List<Token> gainedTokens = new ArrayList<>();
  private final List<Effect.Call> sentCalls = new ArrayList<>();
  private MonotonicTime now = new MonotonicTime(1_000_000);
  private Leadership leadership;

  @BeforeEach
  void setUp() {
    leadership =
        new Leadership(
            outbox,
            view,
            NODE,
            "z",
            "present",
            TimeSpan.seconds(20),
            new Leadership.Listener() {
              @Override
              public void leadershipGained(Token token, MonotonicTime at) {
                gainedTokens.add(token);
              }

              @Override
              public void leadershipLost(Token token, MonotonicTime at) {}
            });
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {
            leadership.leaderChanged(at);
          }

          @Override
          public void jobChanged(KnownJob job, MonotonicTime at) {}
        });
  }

  @Test
  void becomesLeaderWhenOwnClaimIsSeen() {
    sendClaim();
    deliverOwnKey(12);
    assertThat(gainedTokens).containsExactly(new Token(12));
  }

  @Test
  void abandonsClaimSeenAfterHigherToken() {
    sendClaim();
    leadership.observeToken(new Token(20), now);
    deliverOwnKey(12);
    assertThat(gainedTokens).isEmpty();
    assertThat(leadership.state()).isEqualTo(Leadership.State.FOLLOWING);
  }

  @Test
  void removesKeyOfPreviousIncarnationThenBacksOff() {
    loadStore(List.of(leaderKey(NODE, "former", 7)));
    leadership.tick(now);
    Effect.Call removal = takeSent(Request.Commit.class).orElseThrow();
    Request.Commit commit = (Request.Commit) removal.request();
    assertThat(commit.guards()).containsExactly(new Guard(StoreKeys.LEADER, new Revision(7)));
    assertThat(commit.changes()).containsExactly(new Change.Remove(StoreKeys.LEADER));
    outbox.deliverAnswer(removal.call(), new Answer.Committed(new Revision(11)));
    deliverChange(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(11)));
    leadership.tick(now.plus(TimeSpan.millis(200)));
    assertThat(takeSent(Request.GrantLease.class)).isEmpty();
    leadership.tick(now.plus(TimeSpan.millis(300)));
    assertThat(takeSent(Request.GrantLease.class)).isPresent();
  }

  @Test
  void keepsLeaderKeyOfAnotherNode() {
    loadStore(List.of(leaderKey(new NodeId("m"), "former", 7)));
    leadership.tick(now);
    assertThat(takeSent(Request.Commit.class)).isEmpty();
  }

  /** Withdrawals become known only through reads, so only reads may extend the answer window. */
  @Test
  void leaseRenewalDoesNotExtendWorkerAnswerWindow() {
    sendClaim();
    deliverOwnKey(12);
    MonotonicTime read = view.lastConfirmed();
    while (now.since(read).compareTo(TimeSpan.seconds(19.9)) < 0) {
      now = now.plus(TimeSpan.millis(100));
      leadership.tick(now);
      takeSent(Request.RenewLease.class)
          .ifPresent(renewal -> outbox.deliverAnswer(renewal.call(), new Answer.Ok()));
    }
    assertThat(leadership.mayAnswerWorkers(now)).isTrue();
    now = now.plus(TimeSpan.millis(100));
    leadership.tick(now);
    assertThat(leadership.state()).isEqualTo(Leadership.State.LEADING);
    assertThat(leadership.mayAnswerWorkers(now)).isFalse();
  }

  /** The lease may still be valid, and no other node may notify the leader. */
  @Test
  void losesLeadershipWhenKeyIsRemoved() {
    sendClaim();
    deliverOwnKey(12);
    deliverChange(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(15)));
    assertThat(leadership.holdsToken()).isFalse();
    assertThat(takeSent(Request.RevokeLease.class)).isPresent();
  }

  @Test
  void losesLeadershipWhenAnotherNodeHoldsKey() {
    sendClaim();
    deliverOwnKey(12);
    Entry others = leaderKey(new NodeId("m"), "present", 15);
    deliverChange(new KeyChange(others.key(), Optional.of(others.value()), others.revision()));
    assertThat(leadership.holdsToken()).isFalse();
  }

  /** The key comes from a claim of this incarnation that was applied late, not from this token. */
  @Test
  void losesLeadershipWhenKeyIsRewritten() {
    sendClaim();
    deliverOwnKey(12);
    deliverOwnKey(15);
    assertThat(leadership.holdsToken()).isFalse();
  }

  /** Reloaded pages could show jobs stored under a later leader before that leader itself. */
  @Test
  void losesLeadershipWhenWatchHistoryIsLost() {
    sendClaim();
    deliverOwnKey(12);
    leadership.historyLost(now);
    assertThat(leadership.holdsToken()).isFalse();
    assertThat(takeSent(Request.RevokeLease.class)).isPresent();
  }

  /**
   * An abandoned claim without an answer is applied while its lease is valid and another claim of
   * this node is pending. The node leads under the first claim's token until that lease expires,
   * because it does not renew it. The other claim, applied even later, is removed.
   */
  @Test
  void claimAppliedLateGrantsLeadershipOnlyUntilItsLeaseEnds() {
    sendClaim();
    now = now.plus(TimeSpan.millis(5100));
    leadership.tick(now);
    assertThat(leadership.state()).isEqualTo(Leadership.State.FOLLOWING);
    assertThat(takeSent(Request.RevokeLease.class)).isPresent();
    deliverChange(new KeyChange(StoreKeys.MACHINE_TYPES, Optional.empty(), new Revision(11)));
    deliverChange(new KeyChange(StoreKeys.MACHINE_TYPES, Optional.empty(), new Revision(11)));
    restartWatch();
    deliverChange(new KeyChange(StoreKeys.MACHINE_TYPES, Optional.empty(), new Revision(12)));
    leadership.tick(now);
    outbox.deliverAnswer(
        takeSent(Request.GrantLease.class).orElseThrow().call(),
        new Answer.LeaseGranted(new LeaseId(2)));
    outbox.deliverAnswer(
        takeSent(Request.Commit.class).orElseThrow().call(), new Answer.OutcomeUnknown("lost"));
    deliverOwnKey(13);
    assertThat(gainedTokens).containsExactly(new Token(13));
    restartWatch();
    deliverChange(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(14)));
    assertThat(leadership.holdsToken()).isFalse();
    restartWatch();
    deliverOwnKey(15);
    assertThat(leadership.holdsToken()).as("the claim has been abandoned").isFalse();
    restartWatch();
    sentCalls.removeIf(call -> call.request() instanceof Request.Commit);
    leadership.tick(now);
    Request.Commit removal =
        (Request.Commit) takeSent(Request.Commit.class).orElseThrow().request();
    assertThat(removal.guards()).containsExactly(new Guard(StoreKeys.LEADER, new Revision(15)));
    assertThat(gainedTokens).hasSize(1);
  }

  private void restartWatch() {
    now = now.plus(TimeSpan.millis(400));
    view.setTime(now);
    view.tick(now);
  }

  private void sendClaim() {
    loadStore(List.of());
    leadership.tick(now);
    CallId grant = takeSent(Request.GrantLease.class).orElseThrow().call();
    outbox.deliverAnswer(grant, new Answer.LeaseGranted(new LeaseId(1)));
    outbox.deliverAnswer(
        takeSent(Request.Commit.class).orElseThrow().call(),
        new Answer.OutcomeUnknown("the answer is lost"));
    assertThat(leadership.state()).isEqualTo(Leadership.State.CLAIMING);
  }

  private void loadStore(List<Entry> entries) {
    view.tick(now);
    outbox.deliverAnswer(
        takeSent(Request.ReadPage.class).orElseThrow().call(),
        new Answer.Page(entries, false, new Revision(10)));
  }

  private void deliverOwnKey(long revision) {
    Entry own = leaderKey(NODE, "present", revision);
    deliverChange(new KeyChange(own.key(), Optional.of(own.value()), own.revision()));
  }

  private void deliverChange(KeyChange change) {
    outbox.deliverAnswer(
        takeSent(Request.Watch.class).orElseThrow().call(),
        new Answer.Changes(change.revision(), List.of(change)));
  }

  private static Entry leaderKey(NodeId node, String incarnation, long revision) {
    return new Entry(
        StoreKeys.LEADER,
        new StoredValue.LeaderRecord(node, "z", incarnation),
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
