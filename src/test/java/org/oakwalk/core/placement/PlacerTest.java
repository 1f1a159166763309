package org.oakwalk.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;

/** Placement rounds on one machine that still lists ended attempts. */
class PlacerTest {
  private static final MachineType TYPE =
      new MachineType(
          "m", new Resources(2, 0, 8), 40, 1, 1, 0.3, TimeSpan.seconds(20), List.of("a"));
  private static final long REPORT_MILLIS = 2000;

  private final StoreView view = new StoreView(new Outbox(), 200, 3);
  private final JobRegistry jobs = new JobRegistry(view, new Token(1), new MonotonicTime(0));
  private final Fleet fleet =
      new Fleet(
          new Token(1),
          jobs,
          view,
          null,
          new Settings.WorkerTiming(
              TimeSpan.millis(REPORT_MILLIS), TimeSpan.seconds(10), TimeSpan.seconds(40)),
          new Fleet.Listener() {
            @Override
            public void completed(Placement placement, TimeSpan ran) {}

            @Override
            public void placed(Job job, MonotonicTime now) {}

            @Override
            public void capacityChanged() {}
          });
  private final Placer placer =
      new Placer(
          fleet,
          jobs,
          Policy.defaults(),
          new JobTargets(List.of()),
          new Quota(Map.of("crew", new Settings.Team("crew", 0, 0, 0, 0)), fleet),
          new RunTimeEstimates(),
          TimeSpan.seconds(600),
          stops -> true,
          CapacityReserve.NONE,
          CapacityExchange.NONE);
  private Machine machine;
  private long millis = 1_000_000;
  private long reports;

  @BeforeEach
  void addMachine() {
    fleet.setMachineTypes(Map.of("m", TYPE));
    machine =
        fleet.add(new MachineId("m-1"), "", "m", "a", false, Machine.State.UP, now()).orElseThrow();
  }

  /**
   * Guards against a job whose tasks all wait because a machine refuses the first of them: it still
   * lists an ended attempt at that task, while the others could start there.
   */
  @Test
  void otherTasksStartWhereOneIsRefused() {
    Job job = accept("j-1", 2);
    runRoundWithEnded("j-1");
    assertThat(job.isUnassigned(0)).isTrue();
    assertThat(job.isUnassigned(1)).isFalse();
  }

  /**
   * Guards against a machine that is reserved for a job which it refuses: the machine stood idle,
   * and every other job, of whatever priority, was kept from it for as long as the first one
   * waited.
   */
  @Test
  void reservationLapsesWhenItsJobCannotStart() {
    Job refused = accept("j-1", 1);
    for (int round = 0; round < 4; round++) {
      runRoundWithEnded("j-1");
    }
    Job other = accept("j-2", 1);
    long accepted = millis;
    while (other.isUnassigned(0) && millis - accepted < 20_000) {
      runRoundWithEnded("j-1");
    }
    assertThat(refused.isUnassigned(0)).isTrue();
    assertThat(other.isUnassigned(0)).isFalse();
  }

  private MonotonicTime now() {
    return new MonotonicTime(millis);
  }

  private Job accept(String id, int tasks) {
    JobId job = new JobId(id);
    jobs.applyStoredChange(
        new KnownJob(
            job,
            JobRecord.Phase.OPEN,
            new Revision(millis),
            new WallTime(millis),
            ArrayJobs.spec(id, tasks),
            tasks),
        now());
    return jobs.find(job).orElseThrow();
  }

  /** Runs a round after a report that lists an ended attempt at the first task of a job. */
  private void runRoundWithEnded(String job) {
    millis += REPORT_MILLIS;
    List<Report.ReportedTask> listed = new ArrayList<>();
    listed.add(
        new Report.ReportedTask(
            new TaskId(new JobId(job), 0),
            new Attempt(1),
            Report.TaskState.ENDED,
            Report.Cause.HALTED));
    machine
        .placements()
        .forEach(
            placement ->
                listed.add(
                    new Report.ReportedTask(
                        placement.task(),
                        placement.attempt(),
                        Report.TaskState.RUNNING,
                        Report.Cause.OTHER)));
    fleet.handleReport(
        new Report(
            machine.id(),
            "",
            "m",
            "a",
            false,
            SessionId.FIRST,
            ++reports,
            new Token(1),
            Optional.empty(),
            listed),
        true,
        now());
    placer.runRound(true, true, now(), new WallTime(millis));
  }
}
