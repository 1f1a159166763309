package org.oakwalk.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.MachineRegistry;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/** Covers the recovery of a new leader with malformed records and failing reads. */
class RecoveryTest {
  private static final MonotonicTime TERM_START = new MonotonicTime(1_000_000);
  private static final Token TOKEN = new Token(7);
  private static final Guard GUARD = new Guard(StoreKeys.LEADER, new Revision(7));
  private static final Map<String, MachineType> TYPES =
      Map.of(
          "t",
          new MachineType(
              "t", Resources.ofMachine(4, 0, 16), 10, 1, 1, 1, TimeSpan.seconds(1), List.of("a")));

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final JobRegistry jobs = jobRegistryWithOneJob();
  private final Settings.StateLimits limits = new Settings.StateLimits(200, 100, 4, 8);
  private final Fleet fleet =
      new Fleet(TOKEN, jobs, view, null, null, PlacementTestSupport.NO_EVENTS);
  private final Recovery recovery =
      new Recovery(
          outbox,
          fleet,
          jobs,
          new ResultWriter(outbox, jobs, view, GUARD, limits),
          new MachineRegistry(outbox, fleet, GUARD, limits),
          Set.of(),
          TimeSpan.seconds(20),
          TERM_START);
  private MonotonicTime now = TERM_START;

  private JobRegistry jobRegistryWithOneJob() {
    JobSpec spec = ArrayJobs.spec("j-1", 10);
    JobRecord record = new JobRecord(spec, JobRecord.Phase.OPEN, new WallTime(1));
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob job, MonotonicTime at) {}
        });
    view.tick(TERM_START);
    outbox.deliverAnswer(
        ((Effect.Call) outbox.takeEffects().get(0)).call(), page(StoreKeys.job(spec.id()), record));
    outbox.takeEffects();
    return new JobRegistry(view, TOKEN, TERM_START);
  }

  private Effect.Call tickAndExpectRead(String prefix) {
    now = now.plus(TimeSpan.millis(250));
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
  void malformedResultsAreIgnored() {
    List<Answer> malformed =
        List.of(
            page(StoreKeys.DONE_PREFIX + "j-1/0", new StoredValue.DoneChunk("no bits")),
            page(StoreKeys.DONE_PREFIX + "j-1/first", new StoredValue.DoneChunk("ff")),
            page(StoreKeys.DONE_PREFIX + "j-1/99999999999", new StoredValue.DoneChunk("ff")),
            page(StoreKeys.DONE_PREFIX + "j-1/300000", new StoredValue.DoneChunk("ff")),
            page(StoreKeys.DONE_PREFIX + "j-1/-1", new StoredValue.DoneChunk("ff")),
            page(StoreKeys.DONE_PREFIX + "x/0", new StoredValue.DoneChunk("ff")),
            page(StoreKeys.DONE_PREFIX + "j-1", new StoredValue.DoneChunk("ff")),
            page(StoreKeys.DONE_PREFIX + "j-1/0", new StoredValue.Unreadable("damaged")));
    for (Answer answer : malformed) {
      Recovery fresh =
          new Recovery(
              outbox,
              fleet,
              jobs,
              new ResultWriter(outbox, jobs, view, GUARD, limits),
              new MachineRegistry(outbox, fleet, GUARD, limits),
              Set.of(),
              TimeSpan.seconds(20),
              TERM_START);
      fresh.tick(TYPES, now);
      outbox.deliverAnswer(((Effect.Call) outbox.takeEffects().get(0)).call(), answer);
      assertThat(jobs.find(new JobId("j-1")).orElseThrow().doneCount()).isZero();
      assertThat(fresh.state()).as("%s", answer).isEqualTo(Recovery.State.READING_MACHINES);
      outbox.takeEffects();
    }
  }

  /**
   * Guards against a lease that seems to expire too early: a worker gets a response while the
   * registry is being read, which may take over a second, and is unreachable afterwards. Its lease
   * counts from the response, not from when the registry was requested.
   */
  @Test
  void responseBeforeReportsAreAcceptedRenewsTheLease() {
    outbox.deliverAnswer(
        tickAndExpectRead(StoreKeys.DONE_PREFIX).call(),
        new Answer.Page(List.of(), false, new Revision(9)));
    Effect.Call machines = (Effect.Call) outbox.takeEffects().get(0);
    now = now.plus(TimeSpan.seconds(5));
    recovery.leaseRenewedBeforeReports(now);
    MonotonicTime answered = now;
    outbox.deliverAnswer(machines.call(), new Answer.Page(List.of(), false, new Revision(9)));
    assertThat(recovery.acceptsReports()).isTrue();
    recovery.leaseRenewedBeforeReports(now.plus(TimeSpan.seconds(1)));
    assertThat(recovery.lastUnseenRenewal()).isEqualTo(answered);
  }

  @Test
  void failedReadsAreRetriedInEachState() {
    for (Answer answer :
        List.of(new Answer.OutcomeUnknown("lost"), new Answer.Refused(503, ""), new Answer.Ok())) {
      outbox.deliverAnswer(tickAndExpectRead(StoreKeys.DONE_PREFIX).call(), answer);
      assertThat(recovery.state()).isEqualTo(Recovery.State.READING_RESULTS);
    }
    outbox.deliverAnswer(
        tickAndExpectRead(StoreKeys.DONE_PREFIX).call(),
        new Answer.Page(List.of(), false, new Revision(9)));
    assertThat(recovery.state()).isEqualTo(Recovery.State.READING_MACHINES);
    Effect.Call machines = (Effect.Call) outbox.takeEffects().get(0);
    outbox.deliverAnswer(machines.call(), new Answer.OutcomeUnknown("lost"));
    outbox.deliverAnswer(
        tickAndExpectRead(StoreKeys.MACHINE_PREFIX).call(), new Answer.Refused(503, ""));
    assertThat(recovery.acceptsReports()).isFalse();
    outbox.deliverAnswer(
        tickAndExpectRead(StoreKeys.MACHINE_PREFIX).call(),
        new Answer.Page(List.of(), false, new Revision(9)));
    assertThat(recovery.state()).isEqualTo(Recovery.State.CONFIRMING);
    recovery.tick(TYPES, now);
    assertThat(recovery.complete()).isTrue();
  }
}
