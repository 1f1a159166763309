package org.oakwalk.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.Registry;
import org.oakwalk.core.job.Arrays;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/** A new leader among records that can't be made sense of, and reads that fail. */
class RecoveryTest {
  private static final Moment ROSE = new Moment(1_000_000);
  private static final Token TOKEN = new Token(7);
  private static final Guard GUARD = new Guard(Keys.LEADER, new Revision(7));
  private static final Map<String, MachineType> TYPES =
      Map.of(
          "t",
          new MachineType("t", new Room(4, 0, 16), 10, 1, 1, 1, Span.seconds(1), List.of("a")));

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final JobBook jobs = knowsOneJob();
  private final Settings.StateLimits limits = new Settings.StateLimits(200, 100, 4, 8);
  private final Fleet fleet =
      new Fleet(
          TOKEN,
          jobs,
          view,
          null,
          null,
          new Fleet.Listener() {
            @Override
            public void completed(Placement placement, Span ran) {}

            @Override
            public void placed(Job job, Moment now) {}

            @Override
            public void roomChanged() {}
          });
  private final Recovery recovery =
      new Recovery(
          outbox,
          fleet,
          jobs,
          new ResultWriter(outbox, jobs, view, GUARD, limits),
          new Registry(outbox, fleet, GUARD, limits),
          Set.of(),
          Span.seconds(20),
          ROSE);
  private Moment now = ROSE;

  private JobBook knowsOneJob() {
    JobSpec spec = Arrays.spec("j-1", 10);
    JobRecord record = new JobRecord(spec, JobRecord.Phase.OPEN, new WallTime(1));
    view.listen(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(Moment at) {}

          @Override
          public void jobChanged(KnownJob job, Moment at) {}
        });
    view.tick(ROSE);
    outbox.deliverAnswer(
        ((Effect.Call) outbox.takeEffects().get(0)).call(), page(Keys.job(spec.id()), record));
    outbox.takeEffects();
    return new JobBook(view, TOKEN, ROSE);
  }

  private Effect.Call read(String prefix) {
    now = now.plus(Span.millis(250));
    recovery.tick(TYPES, now);
    List<Effect> effects = outbox.takeEffects();
    assertThat(effects).hasSize(1);
    Effect.Call call = (Effect.Call) effects.get(0);
    assertThat(((Request.ReadPage) call.request()).prefix()).isEqualTo(prefix);
    return call;
  }

  private static Answer page(String key, StoredValue value) {
    return new Answer.Page(List.of(new Entry(key, value, new Revision(3))), false, new Revision(9));
  }

  @Test
  void resultsThatMakeNoSenseAreSetAside() {
    List<Answer> strange =
        List.of(
            page(Keys.DONE + "j-1/0", new StoredValue.DoneChunk("no bits")),
            page(Keys.DONE + "j-1/first", new StoredValue.DoneChunk("ff")),
            page(Keys.DONE + "j-1/99999999999", new StoredValue.DoneChunk("ff")),
            page(Keys.DONE + "j-1/300000", new StoredValue.DoneChunk("ff")),
            page(Keys.DONE + "j-1/-1", new StoredValue.DoneChunk("ff")),
            page(Keys.DONE + "x/0", new StoredValue.DoneChunk("ff")),
            page(Keys.DONE + "j-1", new StoredValue.DoneChunk("ff")),
            page(Keys.DONE + "j-1/0", new StoredValue.Unreadable("damaged")));
    for (Answer answer : strange) {
      Recovery fresh =
          new Recovery(
              outbox,
              fleet,
              jobs,
              new ResultWriter(outbox, jobs, view, GUARD, limits),
              new Registry(outbox, fleet, GUARD, limits),
              Set.of(),
              Span.seconds(20),
              ROSE);
      fresh.tick(TYPES, now);
      outbox.deliverAnswer(((Effect.Call) outbox.takeEffects().get(0)).call(), answer);
      assertThat(jobs.find(new JobId("j-1")).orElseThrow().doneCount()).isZero();
      assertThat(fresh.state()).as("%s", answer).isEqualTo(Recovery.State.READING_MACHINES);
      outbox.takeEffects();
    }
  }

  /**
   * While the list of machines is being read, which may take over a second, a worker is answered
   * and then out of reach: its lease counts from that answer, not from when the list was asked for.
   */
  @Test
  void whatIsAnsweredBeforeReportsAreReadRenewsALease() {
    outbox.deliverAnswer(
        read(Keys.DONE).call(), new Answer.Page(List.of(), false, new Revision(9)));
    Effect.Call machines = (Effect.Call) outbox.takeEffects().get(0);
    now = now.plus(Span.seconds(5));
    recovery.renewedUnread(now);
    Moment answered = now;
    outbox.deliverAnswer(machines.call(), new Answer.Page(List.of(), false, new Revision(9)));
    assertThat(recovery.readsReports()).isTrue();
    recovery.renewedUnread(now.plus(Span.seconds(1)));
    assertThat(recovery.lastForeignRenewal()).isEqualTo(answered);
  }

  @Test
  void eachStepIsTriedUntilItIsAnswered() {
    for (Answer answer :
        List.of(new Answer.OutcomeUnknown("lost"), new Answer.Refused(503, ""), new Answer.Ok())) {
      outbox.deliverAnswer(read(Keys.DONE).call(), answer);
      assertThat(recovery.state()).isEqualTo(Recovery.State.READING_RESULTS);
    }
    outbox.deliverAnswer(
        read(Keys.DONE).call(), new Answer.Page(List.of(), false, new Revision(9)));
    assertThat(recovery.state()).isEqualTo(Recovery.State.READING_MACHINES);
    Effect.Call machines = (Effect.Call) outbox.takeEffects().get(0);
    outbox.deliverAnswer(machines.call(), new Answer.OutcomeUnknown("lost"));
    outbox.deliverAnswer(read(Keys.MACHINES).call(), new Answer.Refused(503, ""));
    assertThat(recovery.readsReports()).isFalse();
    outbox.deliverAnswer(
        read(Keys.MACHINES).call(), new Answer.Page(List.of(), false, new Revision(9)));
    assertThat(recovery.state()).isEqualTo(Recovery.State.CONFIRMING);
    recovery.tick(TYPES, now);
    assertThat(recovery.complete()).isTrue();
  }
}
