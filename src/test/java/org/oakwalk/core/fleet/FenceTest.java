package org.oakwalk.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.KeyChange;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/**
 * Guards against a duplicated or delayed start command that runs a task again: ended attempts must
 * not be cleared, and starts not be taken for void, before the worker has confirmed a higher token.
 */
class FenceTest {
  private static final Token GRANTED = new Token(7);
  private static final MachineId MACHINE = new MachineId("m-1");
  private static final Map<String, MachineType> TYPES =
      Map.of(
          "t",
          new MachineType(
              "t", Resources.ofMachine(64, 0, 64), 10, 1, 1, 1, TimeSpan.seconds(1), List.of("a")));

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final MonotonicTime now = new MonotonicTime(1_000_000);
  private Effect.Call watch;
  private Fleet fleet;
  private Machine machine;
  private Job job;
  private long sequence;

  @BeforeEach
  void createFleetWithOneMachine() {
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob known, MonotonicTime at) {}
        });
    view.tick(now);
    StoredValue leader = new StoredValue.LeaderRecord(new NodeId("n"), "a", "x");
    JobRecord record =
        new JobRecord(ArrayJobs.spec("j-1", 60), JobRecord.Phase.OPEN, new WallTime(1));
    outbox.deliverAnswer(
        ((Effect.Call) outbox.takeEffects().get(0)).call(),
        new Answer.Page(
            List.of(
                new Entry(StoreKeys.job(new JobId("j-1")), record, new Revision(3)),
                new Entry(StoreKeys.LEADER, leader, new Revision(GRANTED.value()))),
            false,
            new Revision(9)));
    watch = (Effect.Call) outbox.takeEffects().get(0);
    assertThat(watch.request()).isInstanceOf(Request.Watch.class);
    JobRegistry jobs = new JobRegistry(view, GRANTED, now);
    fleet =
        new Fleet(
            GRANTED,
            jobs,
            view,
            null,
            new Settings.WorkerTiming(
                TimeSpan.seconds(2), TimeSpan.seconds(10), TimeSpan.seconds(40)),
            PlacementTestSupport.NO_EVENTS);
    fleet.setMachineTypes(TYPES);
    job = jobs.find(new JobId("j-1")).orElseThrow();
    machine = report(GRANTED, List.of());
    fleet.markUp(machine);
  }

  private Machine report(Token reportedToken, List<Report.ReportedTask> pieces) {
    Report report =
        new Report(
            MACHINE,
            "m-1:9000",
            "t",
            "a",
            false,
            SessionId.FIRST,
            ++sequence,
            reportedToken,
            Optional.empty(),
            pieces);
    return fleet.handleReport(report, true, now).orElseThrow();
  }

  /** Tasks that were started by command and halted, as listed in a report. */
  private List<Report.ReportedTask> endedTasks(int first, int count) {
    List<Report.ReportedTask> pieces = new ArrayList<>();
    for (int index = first; index < first + count; index++) {
      TaskId task = new TaskId(job.id(), index);
      Attempt attempt = fleet.nextAttempt();
      Machine.TaskAttempt started = new Machine.TaskAttempt(task, attempt);
      machine.pendingStarts().sentByCommand(started, fleet.tokenOf(MACHINE));
      machine.pendingStarts().commandAnswered(started);
      pieces.add(
          new Report.ReportedTask(task, attempt, Report.TaskState.ENDED, Report.Cause.HALTED));
    }
    return pieces;
  }

  private long clearOrderCount() {
    return fleet.respond(machine, now).stream().filter(Order.Clear.class::isInstance).count();
  }

  @Test
  void endedAttemptsAreClearedOnceTheRaisedTokenIsConfirmed() {
    List<Report.ReportedTask> ended = endedTasks(0, 16);
    report(GRANTED, ended.subList(0, 15));
    assertThat(clearOrderCount()).isZero();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(GRANTED);
    report(GRANTED, ended);
    assertThat(clearOrderCount()).isZero();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(new Token(9));
    report(GRANTED, ended);
    assertThat(clearOrderCount()).as("the response was lost").isZero();
    report(new Token(9), ended);
    assertThat(clearOrderCount()).isEqualTo(16);
  }

  @Test
  void attemptsStartedUnderTheRaisedTokenAreNotCleared() {
    List<Report.ReportedTask> ended = endedTasks(0, 16);
    report(GRANTED, ended);
    clearOrderCount();
    List<Report.ReportedTask> more = endedTasks(20, 3);
    // Started by command again under the raised token, so a duplicate under that may still arrive.
    Report.ReportedTask again = ended.get(4);
    Machine.TaskAttempt renewed = new Machine.TaskAttempt(again.task(), again.attempt());
    machine.pendingStarts().sentByCommand(renewed, fleet.tokenOf(MACHINE));
    machine.pendingStarts().commandAnswered(renewed);
    List<Report.ReportedTask> all = new ArrayList<>(ended);
    all.addAll(more);
    report(new Token(9), all);
    assertThat(clearOrderCount()).isEqualTo(15);
  }

  @Test
  void delayedStartIsVoidOnlyOnceTheRaisedTokenIsConfirmed() {
    TaskId task = new TaskId(job.id(), 50);
    Placement held = fleet.place(job, 50, fleet.nextAttempt(), machine, TimeSpan.seconds(1), now);
    machine.pendingStarts().sentByCommand(new Machine.TaskAttempt(task, held.attempt()), GRANTED);
    fleet.halt(held, TimeSpan.millis(0), Fleet.StopReason.NEEDLESS);
    List<Report.ReportedTask> ended = endedTasks(0, 16);
    machine.commandInFlight(true);
    report(GRANTED, ended);
    clearOrderCount();
    assertThat(fleet.tokenOf(MACHINE)).as("while the command is in flight").isEqualTo(GRANTED);
    machine.commandInFlight(false);
    report(GRANTED, ended);
    clearOrderCount();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(new Token(9));
    report(GRANTED, ended);
    assertThat(fleet.placementOf(task)).contains(held);
    report(new Token(9), ended);
    assertThat(fleet.placementOf(task)).isEmpty();
  }

  @Test
  void leaderWithoutItsKeyDoesNotRaiseTheToken() {
    outbox.deliverAnswer(
        watch.call(),
        new Answer.Changes(
            new Revision(30),
            List.of(new KeyChange(StoreKeys.LEADER, Optional.empty(), new Revision(20)))));
    assertThat(view.latestTokenOf(GRANTED)).isEqualTo(GRANTED);
    report(GRANTED, endedTasks(0, 20));
    clearOrderCount();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(GRANTED);
  }

  @Test
  void tokenIsRaisedOnlyOnceThePreviousOneIsConfirmed() {
    Fence fence = new Fence(GRANTED);
    assertThatThrownBy(() -> fence.raise(new Token(8))).isInstanceOf(IllegalStateException.class);
    fence.observe(GRANTED);
    assertThat(fence.canRaiseTo(GRANTED)).isFalse();
    fence.raise(new Token(9));
    assertThat(fence.mayHaveIssued(GRANTED)).isTrue();
    assertThat(fence.mayHaveIssued(new Token(9))).isTrue();
    assertThat(fence.mayHaveIssued(new Token(10))).isFalse();
    assertThat(fence.mayHaveIssued(new Token(6))).isFalse();
    fence.observe(GRANTED);
    assertThat(fence.canRaiseTo(new Token(12))).isFalse();
    fence.observe(new Token(9));
    assertThat(fence.canRaiseTo(new Token(12))).isTrue();
  }

  /** A start that still waits for a socket must not be sent after its job was withdrawn. */
  @Test
  void startsOfAWithdrawnJobAreCancelledWhileTheirCommandIsUnanswered() {
    CommandDispatcher dispatcher =
        new CommandDispatcher(outbox, fleet, TimeSpan.seconds(5), answered -> {});
    Placement placement =
        fleet.place(job, 0, fleet.nextAttempt(), machine, TimeSpan.seconds(1), now);
    outbox.takeEffects();
    dispatcher.cancelStarts(List.of(placement));
    assertThat(outbox.takeEffects()).isEmpty();
    dispatcher.flush(now);
    outbox.takeEffects();
    dispatcher.cancelStarts(List.of(placement));
    assertThat(outbox.takeEffects()).containsExactly(new Effect.CancelCommands("m-1:9000"));
  }
}
