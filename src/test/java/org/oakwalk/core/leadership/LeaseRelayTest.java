package org.oakwalk.core.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.KeyChange;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/**
 * Guards against a follower that answers a worker under a token which another leader may have
 * issued.
 */
class LeaseRelayTest {
  private static final Token GRANTED = new Token(7);

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final LeaseRelay relay =
      new LeaseRelay(
          outbox,
          view,
          new Settings(
              new NodeId("n-2"),
              "b",
              List.of(new NodeId("n-1")),
              List.of("a", "b"),
              Map.of(),
              List.of(),
              new Settings.WorkerTiming(
                  TimeSpan.seconds(2), TimeSpan.seconds(10), TimeSpan.seconds(45)),
              new Settings.StateLimits(200, 100, 4, 8),
              new Settings.CloudLimits(10, TimeSpan.seconds(5)),
              TimeSpan.seconds(1)));
  private final MonotonicTime now = new MonotonicTime(1_000_000);

  /** The store copy is at revision 9, then 10, and the leader in the other zone does not answer. */
  @BeforeEach
  void loseContactWithLeader() {
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob known, MonotonicTime at) {}
        });
    view.tick(now);
    StoredValue leader = new StoredValue.LeaderRecord(new NodeId("n-1"), "a", "x");
    outbox.deliverAnswer(
        ((Effect.Call) outbox.takeEffects().get(0)).call(),
        new Answer.Page(
            List.of(new Entry(StoreKeys.LEADER, leader, new Revision(GRANTED.value()))),
            false,
            new Revision(9)));
    Effect.Call watch = (Effect.Call) outbox.takeEffects().get(0);
    relay.tick(false, now);
    outbox.deliverAnswer(
        ((Effect.Call) outbox.takeEffects().get(0)).call(), new Answer.OutcomeUnknown("timeout"));
    StoredValue announced = new StoredValue.RelayRecord("b", GRANTED);
    outbox.deliverAnswer(
        watch.call(),
        new Answer.Changes(
            new Revision(10),
            List.of(
                new KeyChange(StoreKeys.relay("b"), Optional.of(announced), new Revision(10)))));
  }

  private Optional<Token> tokenForReport(long reported) {
    Report report =
        new Report(
            new MachineId("m-1"),
            "m-1:9000",
            "t",
            "b",
            false,
            SessionId.FIRST,
            1,
            new Token(reported),
            Optional.empty(),
            List.of());
    List<Optional<Token>> answers = new ArrayList<>();
    relay.resolveToken(report, now, answers::add);
    assertThat(answers).hasSize(1);
    return answers.get(0);
  }

  @Test
  void answersUnderTokenRaisedByLeader() {
    assertThat(tokenForReport(7)).contains(new Token(7));
    assertThat(tokenForReport(10)).contains(new Token(10));
  }

  @Test
  void ignoresOlderTokenAndTokenBeyondStoreCopy() {
    assertThat(tokenForReport(6)).isEmpty();
    assertThat(tokenForReport(11)).isEmpty();
  }
}
