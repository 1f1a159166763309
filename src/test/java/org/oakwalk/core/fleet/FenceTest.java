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
import org.oakwalk.core.Moment;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Revision;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Arrays;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.Keys;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.News;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/** When ended attempts may be forgotten that were started by command, and when starts are void. */
class FenceTest {
  private static final Token GRANTED = new Token(7);
  private static final MachineId MACHINE = new MachineId("m-1");
  private static final Map<String, MachineType> TYPES =
      Map.of(
          "t",
          new MachineType("t", new Room(64, 0, 64), 10, 1, 1, 1, Span.seconds(1), List.of("a")));

  private final Outbox outbox = new Outbox();
  private final StoreView view = new StoreView(outbox, 200, 3);
  private final Moment now = new Moment(1_000_000);
  private Effect.Call watch;
  private Fleet fleet;
  private Machine machine;
  private Job job;
  private long sequence;

  @BeforeEach
  void leadsWithOneMachine() {
    view.listen(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(Moment at) {}

          @Override
          public void jobChanged(KnownJob known, Moment at) {}
        });
    view.tick(now);
    StoredValue leader = new StoredValue.LeaderRecord(new NodeId("n"), "a", "x");
    JobRecord record = new JobRecord(Arrays.spec("j-1", 60), JobRecord.Phase.OPEN, new WallTime(1));
    outbox.deliverAnswer(
        ((Effect.Call) outbox.takeEffects().get(0)).call(),
        new Answer.Page(
            List.of(
                new Entry(Keys.job(new JobId("j-1")), record, new Revision(3)),
                new Entry(Keys.LEADER, leader, new Revision(GRANTED.value()))),
            false,
            new Revision(9)));
    watch = (Effect.Call) outbox.takeEffects().get(0);
    assertThat(watch.request()).isInstanceOf(Request.Watch.class);
    JobBook jobs = new JobBook(view, GRANTED, now);
    fleet =
        new Fleet(
            GRANTED,
            jobs,
            view,
            null,
            new Settings.WorkerTiming(Span.seconds(2), Span.seconds(10), Span.seconds(40)),
            new Fleet.Listener() {
              @Override
              public void completed(Placement placement, Span ran) {}

              @Override
              public void placed(Job placed, Moment at) {}

              @Override
              public void roomChanged() {}
            });
    fleet.types(TYPES);
    job = jobs.find(new JobId("j-1")).orElseThrow();
    machine = report(GRANTED, List.of());
    fleet.up(machine);
  }

  private Machine report(Token shown, List<Report.ReportedTask> pieces) {
    Report report =
        new Report(
            MACHINE,
            "m-1:9000",
            "t",
            "a",
            false,
            SessionId.FIRST,
            ++sequence,
            shown,
            Optional.empty(),
            pieces);
    return fleet.report(report, true, now).orElseThrow();
  }

  /** Tasks that were started by command and halted since, as a report lists them. */
  private List<Report.ReportedTask> ended(int first, int count) {
    List<Report.ReportedTask> pieces = new ArrayList<>();
    for (int index = first; index < first + count; index++) {
      TaskId task = new TaskId(job.id(), index);
      Attempt attempt = fleet.nextAttempt();
      Machine.Try started = new Machine.Try(task, attempt);
      machine.openRuns().sentByCommand(started, fleet.tokenOf(MACHINE));
      machine.openRuns().commandSettled(started);
      pieces.add(
          new Report.ReportedTask(task, attempt, Report.TaskState.ENDED, Report.Cause.HALTED));
    }
    return pieces;
  }

  private long cleared() {
    return fleet.respond(machine, now).stream().filter(Order.Clear.class::isInstance).count();
  }

  @Test
  void manyEndedAttemptsRaiseTheTokenAndAreClearedOnceItIsShown() {
    List<Report.ReportedTask> ended = ended(0, 16);
    report(GRANTED, ended.subList(0, 15));
    assertThat(cleared()).isZero();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(GRANTED);
    report(GRANTED, ended);
    assertThat(cleared()).isZero();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(new Token(9));
    report(GRANTED, ended);
    assertThat(cleared()).as("the answer was lost").isZero();
    report(new Token(9), ended);
    assertThat(cleared()).isEqualTo(16);
  }

  @Test
  void whatWasStartedUnderTheRaisedTokenIsKept() {
    List<Report.ReportedTask> ended = ended(0, 16);
    report(GRANTED, ended);
    cleared();
    List<Report.ReportedTask> more = ended(20, 3);
    // Started by command before, and again under the raised token, so it may repeat under that.
    Report.ReportedTask again = ended.get(4);
    Machine.Try renewed = new Machine.Try(again.task(), again.attempt());
    machine.openRuns().sentByCommand(renewed, fleet.tokenOf(MACHINE));
    machine.openRuns().commandSettled(renewed);
    List<Report.ReportedTask> all = new ArrayList<>(ended);
    all.addAll(more);
    report(new Token(9), all);
    assertThat(cleared()).isEqualTo(15);
  }

  @Test
  void aStartThatIsHeldUpIsVoidOnlyOnceTheRaisedTokenIsShown() {
    TaskId task = new TaskId(job.id(), 50);
    Placement held = fleet.place(job, 50, fleet.nextAttempt(), machine, Span.seconds(1), now);
    machine.openRuns().sentByCommand(new Machine.Try(task, held.attempt()), GRANTED);
    fleet.halt(held, Span.millis(0), Fleet.Why.NEEDLESS);
    List<Report.ReportedTask> ended = ended(0, 16);
    machine.commanding(true);
    report(GRANTED, ended);
    cleared();
    assertThat(fleet.tokenOf(MACHINE)).as("while the command is under way").isEqualTo(GRANTED);
    machine.commanding(false);
    report(GRANTED, ended);
    cleared();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(new Token(9));
    report(GRANTED, ended);
    assertThat(fleet.placementOf(task)).contains(held);
    report(new Token(9), ended);
    assertThat(fleet.placementOf(task)).isEmpty();
  }

  @Test
  void aLeaderWhoseKeyIsGoneRaisesNothing() {
    outbox.deliverAnswer(
        watch.call(),
        new Answer.Changes(
            new Revision(30), List.of(new News(Keys.LEADER, Optional.empty(), new Revision(20)))));
    assertThat(view.standsUntil(GRANTED)).isEqualTo(GRANTED);
    report(GRANTED, ended(0, 20));
    cleared();
    assertThat(fleet.tokenOf(MACHINE)).isEqualTo(GRANTED);
  }

  @Test
  void aTokenIsRaisedOnlyOnceTheLastOneIsShown() {
    Fence fence = new Fence(GRANTED);
    assertThatThrownBy(() -> fence.raise(new Token(8))).isInstanceOf(IllegalStateException.class);
    fence.shows(GRANTED);
    assertThat(fence.raisable(GRANTED)).isFalse();
    fence.raise(new Token(9));
    assertThat(fence.covers(GRANTED)).isTrue();
    assertThat(fence.covers(new Token(9))).isTrue();
    assertThat(fence.covers(new Token(10))).isFalse();
    assertThat(fence.covers(new Token(6))).isFalse();
    fence.shows(GRANTED);
    assertThat(fence.raisable(new Token(12))).isFalse();
    fence.shows(new Token(9));
    assertThat(fence.raisable(new Token(12))).isTrue();
  }

  /** A start that still waits for a socket is held back when its job is withdrawn. */
  @Test
  void startsOfAWithdrawnJobAreRecalledWhileTheirCommandIsOut() {
    CommandDispatcher dispatcher =
        new CommandDispatcher(outbox, fleet, Span.seconds(5), answered -> {});
    Placement placement = fleet.place(job, 0, fleet.nextAttempt(), machine, Span.seconds(1), now);
    outbox.takeEffects();
    dispatcher.recall(List.of(placement));
    assertThat(outbox.takeEffects()).isEmpty();
    dispatcher.flush(now);
    outbox.takeEffects();
    dispatcher.recall(List.of(placement));
    assertThat(outbox.takeEffects()).containsExactly(new Effect.CancelCommands("m-1:9000"));
  }
}
