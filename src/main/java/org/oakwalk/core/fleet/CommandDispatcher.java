package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends orders straight to the workers, one command at a time to each. A command without an answer
 * may still be executed later: its runs stay open until the worker's session ends.
 */
public final class CommandDispatcher {
  private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
  private static final Span TOKEN_PUSH_INTERVAL = Span.millis(1000);
  private static final int MAX_ORDERS_PER_COMMAND = 200;

  /**
   * How many machines are shown the token between two ticks. All at once, a thousand commands would
   * be worked off before the reports that make most of them needless.
   */
  private static final int MAX_TOKEN_PUSHES_PER_TICK = 50;

  /** So many machines that don't report are asked at a time: most may be out of reach for long. */
  private static final int MAX_CONCURRENT_PROBES = 5;

  /** A little after it is suspected, since many a report is merely late. */
  private static final double PROBE_DELAY_FACTOR = 1.1;

  /** Who has just been answered has the token, and reports so within half a second. */
  private static final Span CONFIRMATION_WAIT = Span.millis(1000);

  private final Outbox outbox;
  private final Fleet fleet;
  private final Consumer<Report> reportHandler;
  private final Map<MachineId, Moment> lastTokenPush = new HashMap<>();
  private final Map<MachineId, Moment> lastResponse = new HashMap<>();
  private final Span suspectAfter;
  private int activeProbes;
  private Moment clock = new Moment(Long.MIN_VALUE / 2);

  public CommandDispatcher(
      Outbox outbox, Fleet fleet, Span suspectAfter, Consumer<Report> reported) {
    this.suspectAfter = suspectAfter;
    this.outbox = outbox;
    this.fleet = fleet;
    this.reportHandler = reported;
  }

  /** Sends what is due. */
  public void flush(Moment now) {
    clock = now;
    for (Machine machine : fleet.takeCommandable()) {
      // A machine whose reports another controller carries is not reached by command either: its
      // orders go out with the answer.
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
            orders.add(Fleet.haltOrder(placement));
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
   * Not beside an ended attempt, which has to be cleared in the same breath, and only so often in a
   * session. What does not start by command starts with the answer to the next report.
   */
  private static boolean mayStartByCommand(Machine machine, TaskId task) {
    return !machine.unmatched().hasEnded(task) && machine.pendingStarts().allowsCommandStart(task);
  }

  /**
   * Keeps starts of these tasks from leaving, as far as they still wait for a socket: their job was
   * withdrawn, which their user is about to be told.
   */
  public void cancelStarts(List<Placement> placements) {
    placements.stream()
        .filter(placement -> placement.state() == Placement.State.ORDERED)
        .map(Placement::machine)
        .filter(Machine::commandInFlight)
        .map(Machine::address)
        .distinct()
        .forEach(outbox::recall);
  }

  /** A machine's report was answered under this token, whatever it is used for. */
  public void responseSent(MachineId machine, Moment now) {
    lastResponse.put(machine, now);
  }

  /**
   * Shows the token to machines that have not confirmed it yet, or that don't seem to hear; the
   * answer shows that they do.
   */
  public void pushTokens(Moment now) {
    int sent = 0;
    for (Machine machine : fleet.machines()) {
      if (sent == MAX_TOKEN_PUSHES_PER_TICK) {
        return;
      }
      boolean asked =
          machine.state() == Machine.State.UNCONFIRMED
              || machine.state() == Machine.State.UP && !machine.delivery().working();
      if (asked
          && !machine.commandInFlight()
          && !machine.address().isEmpty()
          && !within(lastTokenPush, TOKEN_PUSH_INTERVAL, machine, now)
          && !within(lastResponse, CONFIRMATION_WAIT, machine, now)) {
        sent++;
        lastTokenPush.put(machine.id(), now);
        send(machine, machine.session().orElse(SessionId.FIRST), List.of(), () -> {});
      }
    }
  }

  /**
   * Asks machines that have ceased to report. One that can't reach any controller, but is reached,
   * tells what has ended there and whether its session is over.
   */
  public void probeSilentMachines(Moment now) {
    for (Machine machine : fleet.machines()) {
      if (activeProbes >= MAX_CONCURRENT_PROBES) {
        return;
      }
      boolean silent =
          (machine.state() == Machine.State.UP || machine.state() == Machine.State.LEASE_EXPIRED)
              && now.past(machine.lastReportAt(), suspectAfter.times(PROBE_DELAY_FACTOR));
      if (silent
          && !machine.commandInFlight()
          && !machine.address().isEmpty()
          && now.past(machine.delivery().lastProbeAt(), suspectAfter)) {
        activeProbes++;
        machine.delivery().probed(now);
        send(machine, machine.session().orElse(SessionId.FIRST), List.of(), () -> activeProbes--);
      }
    }
  }

  private static boolean within(
      Map<MachineId, Moment> times, Span span, Machine machine, Moment now) {
    Moment last = times.get(machine.id());
    return last != null && !now.past(last, span);
  }

  private void send(Machine machine, SessionId session, List<Order> orders, Runnable settled) {
    List<Machine.TaskAttempt> runs = new ArrayList<>();
    for (Order order : orders) {
      if (order instanceof Order.Run) {
        runs.add(new Machine.TaskAttempt(order.task(), order.attempt()));
      }
    }
    Token token = machine.fence().current();
    runs.forEach(run -> machine.pendingStarts().sentByCommand(run, token));
    if (!runs.isEmpty()) {
      LOG.debug("starts sent to {} by command: {}", machine.id(), runs);
    }
    machine.commandInFlight(true);
    outbox.call(
        new Request.Command(machine.address(), token, session, orders),
        answer -> {
          machine.commandInFlight(false);
          settled.run();
          if (!(answer instanceof Answer.Nothing)) {
            runs.forEach(machine.pendingStarts()::commandAnswered);
          }
          if (answer instanceof Answer.Commanded commanded) {
            machine.delivery().commandReplied(clock);
            reportHandler.accept(commanded.report());
            if (!commanded.executed() && machine.state() == Machine.State.UNCONFIRMED) {
              // The session was a guess; the report told the right one.
              lastTokenPush.remove(machine.id());
            }
          }
        });
  }
}
