package org.oakwalk.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineRegistry;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.FaultyStore;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/** Covers how a new leader handles stored results and unreadable records. */
class StoredResultsTest {
  private static final MachineType TYPE =
      new MachineType(
          "m", Resources.ofMachine(4, 0, 16), 10, 1, 1, 1, TimeSpan.seconds(1), List.of("a"));
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(100, 100, 4, 4);

  private final Outbox outbox = new Outbox();
  private final FaultyStore store = new FaultyStore();
  private final StoreView view = new StoreView(outbox, 200, 1);
  private final MonotonicTime now = new MonotonicTime(1000);
  private JobRegistry jobs;
  private Fleet fleet;
  private Recovery recovery;

  @BeforeEach
  void storeJobs() {
    ArrayJobs.storeRecord(store, "j-1", 3, JobRecord.Phase.OPEN);
    ArrayJobs.storeRecord(store, "j-2", 3, JobRecord.Phase.OPEN);
    store.put(StoreKeys.job(new JobId("j-3")), new StoredValue.Unreadable("of a later form"));
  }

  private void recover() {
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob known, MonotonicTime at) {}
        });
    view.tick(now);
    serve();
    Token token = new Token(100);
    Guard guard = new Guard(StoreKeys.LEADER, new Revision(100));
    jobs = new JobRegistry(view, token, now);
    Settings.WorkerTiming timing =
        new Settings.WorkerTiming(TimeSpan.seconds(1), TimeSpan.seconds(10), TimeSpan.seconds(30));
    fleet = new Fleet(token, jobs, view, null, timing, PlacementTestSupport.NO_EVENTS);
    fleet.setMachineTypes(java.util.Map.of("m", TYPE));
    recovery =
        new Recovery(
            outbox,
            fleet,
            jobs,
            new ResultWriter(outbox, jobs, view, guard, LIMITS),
            new MachineRegistry(outbox, fleet, guard, LIMITS),
            Set.of(),
            TimeSpan.seconds(20),
            now);
    for (int i = 0; i < 5; i++) {
      recovery.tick(java.util.Map.of("m", TYPE), now);
      serve();
    }
  }

  private void serve() {
    store.serve(outbox, commit -> FaultyStore.CommitOutcome.APPLIED);
  }

  /** Parts with malformed keys or bits must be skipped without blocking the recovery. */
  @Test
  void malformedResultPartsAreIgnored() {
    store.put(StoreKeys.DONE_PREFIX + "j-1/0", new StoredValue.DoneChunk("not hexadecimal"));
    store.put(StoreKeys.DONE_PREFIX + "j-1/99999999999", new StoredValue.DoneChunk("01"));
    store.put(StoreKeys.DONE_PREFIX + "j-1/262144", new StoredValue.DoneChunk("01"));
    store.put(StoreKeys.DONE_PREFIX + "nobody", new StoredValue.DoneChunk("01"));
    store.put(StoreKeys.DONE_PREFIX + "j-2/0", new StoredValue.DoneChunk("02"));
    recover();
    assertThat(recovery.complete()).isTrue();
    assertThat(jobs.find(new JobId("j-1")).orElseThrow().doneCount()).isZero();
    assertThat(jobs.find(new JobId("j-2")).orElseThrow().isStoredDone(1)).isTrue();
  }

  /**
   * Guards against losing results: a worker may clear completed tasks that are stored, or whose job
   * has ended or is unknown, but not tasks that are not stored, or whose job's record can't be
   * read.
   */
  @Test
  void onlyStoredOrObsoleteResultsAreCleared() {
    store.put(StoreKeys.DONE_PREFIX + "j-2/0", new StoredValue.DoneChunk("02"));
    recover();
    List<Report.ReportedTask> pieces = new ArrayList<>();
    for (String task : List.of("j-1/0", "j-2/1", "j-3/0", "j-4/0")) {
      pieces.add(
          new Report.ReportedTask(
              TaskId.parse(task).orElseThrow(),
              new Attempt(7),
              Report.TaskState.ENDED,
              Report.Cause.DONE));
    }
    Machine machine =
        fleet
            .handleReport(
                new Report(
                    new MachineId("host-000001"),
                    "10.0.0.1:9000",
                    "m",
                    "a",
                    false,
                    new SessionId(1),
                    1,
                    new Token(50),
                    Optional.empty(),
                    pieces),
                true,
                now)
            .orElseThrow();
    assertThat(fleet.respond(machine, now))
        .extracting(order -> order.task().toString())
        .containsExactlyInAnyOrder("j-2/1", "j-4/0");
    assertThat(fleet.respond(machine, now)).allMatch(Order.Clear.class::isInstance);
  }
}
