package org.oakwalk.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Resources;

/** The states of a machine's health, and what changes them. */
class MachineHealthTest {
  private final MachineHealth health = new MachineHealth();
  private final List<Job> jobs = new ArrayList<>();
  private MonotonicTime now = new MonotonicTime(1_000_000);
  private Machine machine;

  @BeforeEach
  void createMachine() {
    MachineType type =
        new MachineType(
            "m", Resources.ofMachine(4, 0, 16), 40, 1, 1, 0.3, TimeSpan.seconds(20), List.of("a"));
    machine =
        new Machine(
            new MachineId("m-1"), "", type, "a", false, Machine.State.UP, new Token(1), now);
  }

  @Test
  void errorsOfThreeJobsMakeUnfit() {
    fail(job(1));
    fail(job(2));
    expect(MachineHealth.State.SUSPECTED);
    fail(job(3));
    expect(MachineHealth.State.UNFIT);
  }

  @Test
  void errorsOfOneJobMakeUnfitIfItCompletesElsewhere() {
    Job job = job(1);
    fail(job);
    fail(job);
    fail(job);
    expect(MachineHealth.State.SUSPECTED);
    job.complete(1, now);
    expect(MachineHealth.State.UNFIT);
  }

  @Test
  void successClearsErrors() {
    fail(job(1));
    fail(job(2));
    health.recordSuccess(placement(job(3)), now);
    expect(MachineHealth.State.HEALTHY);
    fail(job(4));
    expect(MachineHealth.State.SUSPECTED);
  }

  /** Guards against a judgement that outlives its evidence: the jobs were cancelled. */
  @Test
  void cancelledJobsWithdrawTheirEvidence() {
    makeUnfit();
    jobs.get(0).markEnded(true, new Revision(9));
    expect(MachineHealth.State.HEALTHY);
    assertThat(health.errorsOf(jobs.get(0))).isZero();
    expect(MachineHealth.State.SUSPECTED);
  }

  /** Guards against a judgement from jobs that fail on other machines as well. */
  @Test
  void jobsThatFailElsewhereWithdrawTheirEvidence() {
    makeUnfit();
    jobs.forEach(job -> job.recordFailure(new MachineId("m-2"), now));
    expect(MachineHealth.State.UNFIT);
    // This job's tasks complete after all, so its evidence is valid.
    jobs.get(0).complete(1, now);
    pass(MachineHealth.REVIEW_INTERVAL);
    expect(MachineHealth.State.HEALTHY);
    assertThat(health.errorsOf(jobs.get(0))).isEqualTo(1);
    assertThat(health.errorsOf(jobs.get(1))).isZero();
    expect(MachineHealth.State.SUSPECTED);
  }

  @Test
  void evidenceAgesUnlessItExcludes() {
    fail(job(1));
    fail(job(2));
    pass(MachineHealth.EVIDENCE_LIFETIME);
    expect(MachineHealth.State.HEALTHY);
    makeUnfit();
    pass(MachineHealth.EVIDENCE_LIFETIME);
    expect(MachineHealth.State.UNFIT);
  }

  @Test
  void tooManyExcludedMachinesLeaveItSuspected() {
    fail(job(1));
    fail(job(2));
    fail(job(3));
    health.judge(false, false, now);
    assertThat(health.state()).isEqualTo(MachineHealth.State.SUSPECTED);
  }

  @Test
  void probesComeAtGrowingIntervalsAndOneAtATime() {
    makeUnfit();
    long[] seconds = {10, 20, 40, 60, 60};
    for (long interval : seconds) {
      pass(TimeSpan.seconds(interval - 1));
      judge(true);
      assertThat(health.state()).isEqualTo(MachineHealth.State.UNFIT);
      pass(TimeSpan.seconds(1));
      judge(true);
      assertThat(health.state()).isEqualTo(MachineHealth.State.ON_PROBATION);
      assertThat(health.probeDue()).isTrue();
      Placement probe = placement(job(9));
      health.probeStarted(probe);
      assertThat(health.probeDue()).isFalse();
      health.recordFailure(probe.job(), probe, now);
      assertThat(health.state()).isEqualTo(MachineHealth.State.UNFIT);
    }
  }

  /** Guards against probes that are lost on new jobs which fail themselves. */
  @Test
  void jobsThatHaveCompletedTasksAreProbesFirst() {
    makeUnfit();
    pass(MachineHealth.MIN_PROBE_INTERVAL);
    judge(true);
    Job proven = job(7);
    proven.complete(1, now);
    Job unproven = job(8);
    Job failing = job(9);
    failing.recordFailure(new MachineId("m-2"), now);
    assertThat(health.admitsProbe(proven)).isTrue();
    assertThat(health.admitsProbe(unproven)).isFalse();
    pass(MachineHealth.PROVEN_JOB_WAIT);
    judge(true);
    assertThat(health.admitsProbe(unproven)).isTrue();
    assertThat(health.admitsProbe(failing)).isFalse();
  }

  @Test
  void successfulProbeRestores() {
    Placement probe = startProbe();
    health.recordSuccess(probe, now);
    assertThat(health.state()).isEqualTo(MachineHealth.State.HEALTHY);
    assertThat(health.hasEvidence()).isFalse();
  }

  @Test
  void probeThatRunsForLongRestores() {
    Placement probe = startProbe();
    probe.enter(Placement.State.RUNNING, now);
    pass(MachineHealth.HEALTHY_RUN_TIME);
    judge(true);
    assertThat(health.state()).isEqualTo(MachineHealth.State.HEALTHY);
  }

  /** A probe that was stopped or lost is no evidence, and the next one may start at once. */
  @Test
  void lostProbeIsReplaced() {
    Placement probe = startProbe();
    health.placementEnded(probe);
    assertThat(health.state()).isEqualTo(MachineHealth.State.ON_PROBATION);
    assertThat(health.probeDue()).isTrue();
  }

  /** Guards against a machine that is excluded for one error, by a probe begun before. */
  @Test
  void probeIsAnOrdinaryTaskOnceTheJudgementIsWithdrawn() {
    Placement probe = startProbe();
    jobs.subList(0, 3).forEach(job -> job.markEnded(true, new Revision(9)));
    expect(MachineHealth.State.HEALTHY);
    health.recordFailure(probe.job(), probe, now);
    assertThat(health.state()).isEqualTo(MachineHealth.State.HEALTHY);
    expect(MachineHealth.State.SUSPECTED);
  }

  /** A mistaken job that served as the probe does not delay the next one. */
  @Test
  void probeOfSuspectJobIsNoEvidence() {
    Placement probe = startProbe();
    probe.job().recordFailure(machine.id(), now);
    probe.job().recordFailure(new MachineId("m-2"), now);
    probe.job().recordFailure(new MachineId("m-3"), now);
    health.recordFailure(probe.job(), probe, now);
    health.placementEnded(probe);
    assertThat(health.probeDue()).isTrue();
  }

  /** Guards against a machine that is slow for a time and is taken for slow for good. */
  @Test
  void slowMachineRecoversByTimelyTasksOrProbe() {
    makeSlow();
    health.recordTimelyTask(placement(job(1)), true);
    health.recordTimelyTask(placement(job(1)), true);
    expect(MachineHealth.State.UNFIT);
    health.recordTimelyTask(placement(job(1)), true);
    expect(MachineHealth.State.HEALTHY);
    makeSlow();
    pass(MachineHealth.MIN_PROBE_INTERVAL);
    judge(true);
    Placement probe = placement(job(2));
    health.probeStarted(probe);
    health.recordSuccess(probe, now);
    health.recordTimelyTask(probe, false);
    assertThat(health.state()).isEqualTo(MachineHealth.State.ON_PROBATION);
    health.recordTimelyTask(probe, true);
    assertThat(health.state()).isEqualTo(MachineHealth.State.HEALTHY);
    assertThat(health.hasEvidence()).isFalse();
  }

  /** The derived mode returns to what it was before, and only a reclaim notice goes before it. */
  @Test
  void judgementOverridesTheModeAndLeavesIt() {
    machine.schedulingMode(SchedulingMode.RETIRING);
    for (int number = 1; number <= 3; number++) {
      Placement placement = placement(job(number));
      machine.recordFailure(placement, now);
    }
    assertThat(machine.judgeHealth(true, now)).isTrue();
    assertThat(machine.schedulingMode()).isEqualTo(SchedulingMode.UNFIT);
    assertThat(machine.schedulingMode(SchedulingMode.ACTIVE)).isFalse();
    jobs.forEach(job -> job.markEnded(true, new Revision(9)));
    machine.judgeHealth(true, now);
    assertThat(machine.schedulingMode()).isEqualTo(SchedulingMode.RETIRING);
  }

  private void expect(MachineHealth.State state) {
    judge(false);
    assertThat(health.state()).isEqualTo(state);
  }

  private void judge(boolean wantsProbe) {
    health.judge(true, wantsProbe, now);
  }

  private void pass(TimeSpan span) {
    now = now.plus(span).plus(TimeSpan.millis(1));
  }

  private void makeUnfit() {
    for (int number = 1; number <= 3; number++) {
      fail(job(number));
    }
    expect(MachineHealth.State.UNFIT);
  }

  private void makeSlow() {
    for (int number = 1; number <= 3; number++) {
      health.recordLateTask(placement(job(number)), now);
    }
    expect(MachineHealth.State.UNFIT);
  }

  private Placement startProbe() {
    makeUnfit();
    pass(MachineHealth.MIN_PROBE_INTERVAL);
    judge(true);
    Placement probe = placement(job(9));
    health.probeStarted(probe);
    return probe;
  }

  /** A task of the job fails on this machine, which its job is told first. */
  private void fail(Job job) {
    job.recordFailure(machine.id(), now);
    health.recordFailure(job, placement(job), now);
  }

  private Job job(int number) {
    Job job =
        new Job(
            ArrayJobs.spec("j-" + number, 5), new Revision(number), new WallTime(0), false, now);
    jobs.add(job);
    return job;
  }

  private Placement placement(Job job) {
    return new Placement(
        job, new TaskId(job.id(), 0), new Attempt(1), machine, now, TimeSpan.seconds(5));
  }
}
