package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Order;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Composes the orders of the responses to workers' reports, and raises the tokens of machines. What
 * does not fit into one response follows with the next: the worker has executed the first part by
 * then, so that part is no longer due.
 */
final class ResponseComposer {
  private static final Logger LOG = LoggerFactory.getLogger(ResponseComposer.class);

  /**
   * Margin before the cancel deadline within which no start of a withdrawn job is sent. It covers
   * that another controller may have told the user of the withdrawal before the task was placed
   * here, and the time that a response to a report may take, with some reserve.
   */
  private static final TimeSpan START_MARGIN = TimeSpan.seconds(10);

  /**
   * Ended attempts listed only because duplicates of their starts may still arrive, from which on
   * the machine's token is raised. Each raise costs one more report.
   */
  private static final int MAX_KEPT_ENDED_ATTEMPTS = 16;

  private final Token token;
  private final JobRegistry jobs;
  private final StoreView view;
  private final Settings.WorkerTiming timing;

  ResponseComposer(Token token, JobRegistry jobs, StoreView view, Settings.WorkerTiming timing) {
    this.token = token;
    this.jobs = jobs;
    this.view = view;
    this.timing = timing;
  }

  /** The orders of the response to an unsolicited report. */
  List<Order> compose(Machine machine, MonotonicTime now) {
    Batch batch = new Batch();
    addClears(machine, batch);
    raiseTokenIfDue(machine);
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        addHalt(placement, now, batch);
      } else if (isStartDue(placement)) {
        addStart(placement, batch);
      }
    }
    for (Machine.TaskAttempt orphan : machine.unmatched().orphans()) {
      batch.add(List.of(new Order.Halt(orphan.task(), orphan.attempt(), TimeSpan.millis(0))));
    }
    if (batch.deferred > 0) {
      LOG.info(
          "machine {}: {} groups of orders wait for the next report", machine.id(), batch.deferred);
    }
    return batch.orders;
  }

  /** The orders of one response, in groups that are executed together or not at all. */
  private static final class Batch {
    private final List<Order> orders = new ArrayList<>();
    private int deferred;

    /** Adds a group of orders if it fits, and returns whether it did. */
    boolean add(List<Order> group) {
      if (orders.size() + group.size() > Fleet.MAX_ORDERS_PER_RESPONSE) {
        deferred++;
        return false;
      }
      orders.addAll(group);
      return true;
    }
  }

  /**
   * Adds orders to clear ended attempts from the worker's reports. Their result is stored or not
   * needed, and no start of them can arrive any more, not even a duplicate, which would start them
   * again. If a duplicate may arrive, the attempt is cleared only together with the start of the
   * task's next attempt, after which the worker rejects older ones.
   */
  private void addClears(Machine machine, Batch batch) {
    for (Machine.TaskAttempt attempt : machine.unmatched().uncleared().keySet()) {
      if (!machine.pendingStarts().mayRepeat(attempt.task()) && mayClear(machine, attempt)) {
        batch.add(List.of(clear(attempt)));
      }
    }
  }

  private boolean mayClear(Machine machine, Machine.TaskAttempt attempt) {
    boolean done = machine.unmatched().uncleared().get(attempt);
    return (!done || isResultStoredOrObsolete(attempt.task())) && !machine.mayStillStart(attempt);
  }

  private static Order clear(Machine.TaskAttempt attempt) {
    return new Order.Clear(attempt.task(), attempt.attempt());
  }

  private static boolean isStartDue(Placement placement) {
    return placement.state() == Placement.State.ORDERED
        && placement.machine().state() == Machine.State.UP;
  }

  /** Adds a start, after the clears of ended attempts at the task that had to wait for it. */
  private void addStart(Placement placement, Batch batch) {
    Machine machine = placement.machine();
    List<Order> group = new ArrayList<>();
    if (machine.unmatched().hasEnded(placement.task())
        && machine.pendingStarts().mayRepeat(placement.task())) {
      for (Machine.TaskAttempt attempt : machine.unmatched().uncleared().keySet()) {
        if (attempt.task().equals(placement.task())
            && !attempt.attempt().equals(placement.attempt())
            && mayClear(machine, attempt)) {
          group.add(clear(attempt));
        }
      }
    }
    group.add(run(placement));
    if (batch.add(group)) {
      machine.pendingStarts().sentInResponse(attempt(placement));
    }
  }

  private void addHalt(Placement placement, MonotonicTime now, Batch batch) {
    if (!mustRepeatStart(placement, now)) {
      batch.add(List.of(placement.haltOrder()));
      return;
    }
    Order halt = new Order.Halt(placement.task(), placement.attempt(), TimeSpan.millis(0));
    if (batch.add(List.of(run(placement), halt))) {
      placement.machine().pendingStarts().sentInResponse(attempt(placement));
    }
  }

  private static Order run(Placement placement) {
    return new Order.Run(placement.task(), placement.attempt());
  }

  private static Machine.TaskAttempt attempt(Placement placement) {
    return new Machine.TaskAttempt(placement.task(), placement.attempt());
  }

  /**
   * Whether to repeat the start of a task that is to be stopped, because a command with the start
   * was not answered. The command may be executed at any time in the session, which may last for
   * days. So the same response tells the worker to start the attempt and to stop it: the worker
   * then knows the attempt, and the command has no effect when it arrives. Until then the placement
   * remains, so the task is placed nowhere else. A task of a withdrawn job must not start when its
   * user may have been told of the withdrawal longer ago than the cancel deadline allows.
   */
  private boolean mustRepeatStart(Placement placement, MonotonicTime now) {
    Machine machine = placement.machine();
    boolean inTime =
        placement.job().state() != Job.State.WITHDRAWN
            || !now.isPast(placement.orderedAt(), timing.cancelDeadline().minus(START_MARGIN));
    return placement.state() == Placement.State.ORDERED
        && (machine.state() == Machine.State.UP || machine.state() == Machine.State.RETURNING)
        && !machine.commandInFlight()
        && machine.mayStillStart(attempt(placement))
        && inTime;
  }

  /**
   * Raises the token that a machine is addressed with once a command with a start was lost, or once
   * the machine has to list many ended attempts or approaches the limit on starts by command. When
   * it reports the new token, it rejects all starts that were sent by command before, so ended
   * attempts may be cleared. A lost command must not wait for the other conditions: as long as it
   * may arrive, its task can't start on the machine again. The token is not raised while a command
   * is in flight, since the response could overtake the command.
   */
  private void raiseTokenIfDue(Machine machine) {
    boolean due =
        machine.pendingStarts().anyCommandUnanswered()
            || machine.pendingStarts().repeatableCount()
                >= PendingStarts.MAX_COMMAND_STARTED_TASKS / 2
            || machine.repeatableEndedCount() >= MAX_KEPT_ENDED_ATTEMPTS;
    Token highest = view.latestTokenOf(token);
    if (due && !machine.commandInFlight() && machine.fence().canRaiseTo(highest)) {
      machine.fence().raise(highest);
      LOG.debug("raising token of machine {} to {}", machine.id(), highest);
    }
  }

  private boolean isResultStoredOrObsolete(TaskId task) {
    Optional<Job> job = jobs.find(task.job());
    if (job.isPresent() && job.get().isOpen()) {
      return job.get().isStoredDone(task.index());
    }
    // While the record of a job can't be read, the job may be open and need the result.
    return view.job(task.job())
        .map(known -> known.phase() != JobRecord.Phase.OPEN)
        .orElse(!view.isUnreadable(task.job()));
  }
}
