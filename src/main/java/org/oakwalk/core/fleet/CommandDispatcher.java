package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends orders to workers as direct commands, with at most one command in flight per worker. A
 * command without a reply may still be executed later, so its starts remain pending until the
 * worker's session ends or a higher fencing token is confirmed.
 */
public final class CommandDispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
  private static final TimeSpan TOKEN_PUSH_INTERVAL = TimeSpan.millis(1000);
  private static final int MAX_ORDERS_PER_COMMAND = 200;

  /**
   * Limits token pushes per tick. With one push per machine of a large fleet at once, a thousand
   * commands would be processed ahead of the reports that make most of them unnecessary.
   */
  private static final int MAX_TOKEN_PUSHES_PER_TICK = 50;

  /** Limits probes in flight, since most silent machines may be unreachable for a long time. */
  private static final int MAX_CONCURRENT_PROBES = 5;

  /** Factor on the suspicion timeout before a probe, since many reports are merely late. */
  private static final double PROBE_DELAY_FACTOR = 1.1;

  /**
   * Time after a response in which no token is pushed: the worker has the token from the response
   * and confirms it in a report within half a second.
   */
  private static final TimeSpan CONFIRMATION_WAIT = TimeSpan.millis(1000);

  private final Outbox outbox;
  private final Fleet fleet;
  private final Consumer<Report> reportHandler;
  private final TimeSpan suspectAfter;
  private int activeProbes;
  private MonotonicTime clock = new MonotonicTime(Long.MIN_VALUE / 2);

  /**
   * Creates a dispatcher for one term.
   *
   * @param suspectAfter time without a report after which a machine is suspected to be unreachable
   * @param reportHandler receives the reports that workers send in reply to commands
   */
  public CommandDispatcher(
      Outbox outbox, Fleet fleet, TimeSpan suspectAfter, Consumer<Report> reportHandler) {
    this.suspectAfter = suspectAfter;
    this.outbox = outbox;
    this.fleet = fleet;
    this.reportHandler = reportHandler;
  }

  /** Sends the halts and starts that are due to machines without a command in flight. */
  public void flush(MonotonicTime now) {
    clock = now;
    for (Machine machine : fleet.takeCommandable()) {
      // A machine whose reports are forwarded by another controller can't be reached by command
      // either: its orders are sent with the response to its next report.
      if (machine.session().isEmpty() || machine.address().isEmpty() || machine.reportForwarded()) {
        continue;
      }
      List<Order> orders = new ArrayList<>();
      for (Placement placement : machine.placements()) {
        if (orders.size() >= MAX_ORDERS_PER_COMMAND) {
          break;
        }
        if (placement.halting()) {
          if (placement.takeDueCommand()) {
            orders.add(placement.haltOrder());
          }
        } else if (machine.state() == Machine.State.UP
            && mayStartByCommand(machine, placement.task())
            && placement.takeDueCommand()) {
          orders.add(new Order.Run(placement.task(), placement.attempt()));
        }
      }
      if (!orders.isEmpty()) {
        send(machine, machine.session().get(), orders, () -> {});
      }
    }
  }

  /**
   * Whether a task may be started by command. It may not while the worker still lists an ended
   * attempt, which has to be cleared together with the start, nor once the limit on starts by
   * command is reached. Such tasks start with the response to the next report.
   */
  private static boolean mayStartByCommand(Machine machine, TaskId task) {
    return !machine.unmatched().hasEnded(task) && machine.pendingStarts().allowsCommandStart(task);
  }

  /**
   * Cancels commands with starts of these tasks that still wait for a socket. Their job was
   * withdrawn, and its user is about to be told so.
   */
  public void cancelStarts(List<Placement> placements) {
    placements.stream()
        .filter(placement -> placement.state() == Placement.State.ORDERED)
        .map(Placement::machine)
        .filter(Machine::commandInFlight)
        .map(Machine::address)
        .distinct()
        .forEach(outbox::cancelCommands);
  }

  /** Records that a response with this leader's token was sent to a machine's report. */
  public void responseSent(MachineId id, MonotonicTime now) {
    fleet.find(id).ifPresent(machine -> machine.delivery().responseSent(now));
  }

  /**
   * Sends the fencing token, in commands without orders, to machines that have not confirmed it yet
   * or do not seem to receive responses. A reply shows that they are reached.
   */
  public void pushTokens(MonotonicTime now) {
    int sent = 0;
    for (Machine machine : fleet.machines()) {
      if (sent == MAX_TOKEN_PUSHES_PER_TICK) {
        return;
      }
      boolean due =
          machine.state() == Machine.State.UNCONFIRMED
              || machine.state() == Machine.State.UP && !machine.delivery().working();
      if (due
          && !machine.commandInFlight()
          && !machine.address().isEmpty()
          && now.isPast(machine.delivery().lastTokenPushAt(), TOKEN_PUSH_INTERVAL)
          && now.isPast(machine.delivery().lastResponseAt(), CONFIRMATION_WAIT)) {
        sent++;
        machine.delivery().tokenPushed(now);
        send(machine, machine.session().orElse(SessionId.FIRST), List.of(), () -> {});
      }
    }
  }

  /**
   * Probes machines that have stopped reporting with commands without orders. A worker that can't
   * reach any controller but can be reached itself replies with its ended tasks and its session.
   */
  public void probeSilentMachines(MonotonicTime now) {
    for (Machine machine : fleet.machines()) {
      if (activeProbes >= MAX_CONCURRENT_PROBES) {
        return;
      }
      boolean silent =
          (machine.state() == Machine.State.UP || machine.state() == Machine.State.LEASE_EXPIRED)
              && now.isPast(machine.lastReportAt(), suspectAfter.times(PROBE_DELAY_FACTOR));
      if (silent
          && !machine.commandInFlight()
          && !machine.address().isEmpty()
          && now.isPast(machine.delivery().lastProbeAt(), suspectAfter)) {
        activeProbes++;
        machine.delivery().probed(now);
        send(machine, machine.session().orElse(SessionId.FIRST), List.of(), () -> activeProbes--);
      }
    }
  }

  private void send(Machine machine, SessionId session, List<Order> orders, Runnable completed) {
    List<Machine.TaskAttempt> runs = new ArrayList<>();
    for (Order order : orders) {
      if (order instanceof Order.Run) {
        runs.add(new Machine.TaskAttempt(order.task(), order.attempt()));
      }
    }
    Token token = machine.fence().current();
    runs.forEach(run -> machine.pendingStarts().sentByCommand(run, token));
    if (!runs.isEmpty()) {
      LOG.debug("sent starts to {} by command: {}", machine.id(), runs);
    }
    machine.commandInFlight(true);
    outbox.call(
        new Request.Command(machine.address(), token, session, orders),
        answer -> {
          machine.commandInFlight(false);
          completed.run();
          if (!(answer instanceof Answer.OutcomeUnknown)) {
            runs.forEach(machine.pendingStarts()::commandAnswered);
          }
          if (answer instanceof Answer.CommandResult commanded) {
            machine.delivery().commandReplied(clock);
            reportHandler.accept(commanded.report());
            if (!commanded.executed() && machine.state() == Machine.State.UNCONFIRMED) {
              // The session was a guess, and the report holds the actual one: push again at once.
              machine.delivery().forgetTokenPush();
            }
          }
        });
  }
}
