package org.oakwalk.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreView;

/** Placement rounds where machines refuse tasks, or where only bounds limit the placements. */
class PlacerTest {
  private static final MachineType TYPE =
      new MachineType(
          "m", Resources.ofMachine(2, 0, 8), 40, 1, 1, 0.3, TimeSpan.seconds(20), List.of("a"));
  private static final long REPORT_MILLIS = 2000;
  private static final int SLOTS_FOR_TINY_TASKS =
      Resources.TASK_SLOTS_PER_MACHINE - Resources.TASK_SLOTS_FOR_LARGER_TASKS;

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
          PlacementTestSupport.NO_EVENTS);
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

  /**
   * Guards against idle room on a machine that is reserved for a job which never gets enough there,
   * since a replica takes the rest: smaller jobs waited beside it for good.
   */
  @Test
  void reservationKeepsNobodyAwayWhereRoomNeverComes() {
    accept("j-1", spec("j-1", JobSpec.Shape.SERVICE, 1, Resources.ofTask(1, 0, 1)));
    runRound(List.of());
    Job whole = accept("j-2", 1, Resources.ofTask(2, 0, 1));
    for (int round = 0; round < 4; round++) {
      runRound(List.of());
    }
    Job other = accept("j-3", 1);
    long accepted = millis;
    while (other.isUnassigned(0) && millis - accepted < 90_000) {
      runRound(List.of());
    }
    assertThat(whole.isUnassigned(0)).isTrue();
    assertThat(other.isUnassigned(0)).isFalse();
  }

  /** Guards against a machine that is kept for a job which fails everywhere and is only probed. */
  @Test
  void suspectJobsKeepNoReservation() {
    accept("j-1", spec("j-1", JobSpec.Shape.SERVICE, 1, Resources.ofTask(1, 0, 1)));
    runRound(List.of());
    Job suspect = accept("j-2", 1, Resources.ofTask(2, 0, 1));
    for (int round = 0; round < 4; round++) {
      runRound(List.of());
    }
    suspect.markSuspect();
    Job other = accept("j-3", 1);
    runRound(List.of());
    assertThat(other.isUnassigned(0)).isFalse();
  }

  /**
   * Guards against placements that nothing bounds: tasks without resources fit any number of times,
   * and 100,000 of them on one machine made reports and responses of megabytes and ended the leader
   * for lack of memory. Ended tasks that the worker still lists take their place in its reports.
   */
  @Test
  void tasksWithoutResourcesTakeTaskSlots() {
    Job ended = accept("j-1", 1);
    Job job = accept("j-2", JobSpec.MAX_TASKS, Resources.ofTask(0, 0, 0));
    runRoundWithEnded("j-1");
    assertThat(job.assignedCount()).isEqualTo(SLOTS_FOR_TINY_TASKS - 1);
    assertThat(ended.assignedCount()).isZero();
    assertThat(fleet.respond(machine, now()))
        .hasSizeLessThanOrEqualTo(Resources.TASK_SLOTS_PER_MACHINE);
  }

  /** A gang without resources starts whole or not at all, within the machine's task slots. */
  @Test
  void gangsTakeTaskSlots() {
    Job tooLarge = accept("j-1", gang("j-1", SLOTS_FOR_TINY_TASKS + 1));
    Job fitting = accept("j-2", gang("j-2", SLOTS_FOR_TINY_TASKS));
    runRound(List.of());
    assertThat(tooLarge.assignedCount()).isZero();
    assertThat(fitting.assignedCount()).isEqualTo(SLOTS_FOR_TINY_TASKS);
  }

  /** Guards against a machine that is closed to all other work by a job of tiny tasks. */
  @Test
  void tinyTasksLeaveTaskSlotsToLargerOnes() {
    accept("j-1", JobSpec.MAX_TASKS, Resources.ofTask(0.001, 0, 0));
    runRound(List.of());
    Job larger = accept("j-2", 1);
    runRound(List.of());
    assertThat(larger.assignedCount()).isEqualTo(1);
  }

  /**
   * Guards against a leader's memory and time that grow with what jobs ask for: a round places a
   * bounded number of tasks, and so does the leader in all, with a part left for larger tasks.
   */
  @Test
  void placementsOfRoundAndLeaderAreBounded() {
    for (int i = 2; i <= 150; i++) {
      MachineId id = new MachineId("m-" + i);
      fleet.add(id, "", "m", "a", false, Machine.State.UP, now());
      report(id, List.of());
    }
    Job job = accept("j-1", JobSpec.MAX_TASKS, Resources.ofTask(0, 0, 0));
    runRound(List.of());
    assertThat(job.assignedCount()).isEqualTo(PlacementBudget.MAX_PLACEMENTS_PER_ROUND);
    assertThat(placer.roundCutShort()).isTrue();
    for (int round = 0; round < 10; round++) {
      placer.runRound(true, false, now(), new WallTime(millis));
    }
    assertThat(job.assignedCount()).isEqualTo(PlacementBudget.MAX_TINY_PLACEMENTS);
    Job larger = accept("j-2", 2);
    placer.runRound(true, false, now(), new WallTime(millis));
    assertThat(larger.assignedCount()).isEqualTo(2);
  }

  private static JobSpec gang(String id, int tasks) {
    return spec(id, JobSpec.Shape.GANG, tasks, Resources.ofTask(0, 0, 0));
  }

  private static JobSpec spec(String id, JobSpec.Shape shape, int tasks, Resources each) {
    return new JobSpec(
        new JobId(id),
        "some",
        "crew",
        shape,
        Priority.NORMAL,
        tasks,
        each,
        Set.of(),
        Optional.empty(),
        false,
        false,
        false,
        "img",
        0,
        TimeSpan.seconds(5),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        Optional.empty());
  }

  private Job accept(String id, int tasks, Resources each) {
    return accept(id, spec(id, JobSpec.Shape.ARRAY, tasks, each));
  }

  private MonotonicTime now() {
    return new MonotonicTime(millis);
  }

  private Job accept(String id, int tasks) {
    return accept(id, ArrayJobs.spec(id, tasks));
  }

  private Job accept(String id, JobSpec spec) {
    JobId job = new JobId(id);
    jobs.applyStoredChange(
        new KnownJob(
            job,
            JobRecord.Phase.OPEN,
            new Revision(millis),
            new WallTime(millis),
            spec,
            spec.tasks()),
        now());
    return jobs.find(job).orElseThrow();
  }

  /** Runs a round after a report that lists an ended attempt at the first task of a job. */
  private void runRoundWithEnded(String job) {
    runRound(
        List.of(
            new Report.ReportedTask(
                new TaskId(new JobId(job), 0),
                new Attempt(1),
                Report.TaskState.ENDED,
                Report.Cause.HALTED)));
  }

  /** Runs a round after a report that lists these ended attempts beside the running ones. */
  private void runRound(List<Report.ReportedTask> ended) {
    millis += REPORT_MILLIS;
    List<Report.ReportedTask> listed = new ArrayList<>(ended);
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
    report(machine.id(), listed);
    placer.runRound(true, true, now(), new WallTime(millis));
  }

  private void report(MachineId id, List<Report.ReportedTask> listed) {
    fleet.handleReport(
        new Report(
            id,
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
  }
}
