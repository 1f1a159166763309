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
  private static final Span PUSH_EVERY = Span.millis(1000);
  private static final int MOST_ORDERS = 200;

  /**
   * How many machines are shown the token between two ticks. All at once, a thousand commands would
   * be worked off before the reports that make most of them needless.
   */
  private static final int MOST_PUSHED = 50;

  /** So many machines that don't report are asked at a time: most may be out of reach for long. */
  private static final int MOST_ASKED = 5;

  /** A little after it is suspected, since many a report is merely late. */
  private static final double SURELY_SILENT = 1.1;

  /** Who has just been answered has the token, and reports so within half a second. */
  private static final Span CONFIRMS_BY_ITSELF = Span.millis(1000);

  private final Outbox outbox;
  private final Fleet fleet;
  private final Consumer<Report> reported;
  private final Map<MachineId, Moment> pushed = new HashMap<>();
  private final Map<MachineId, Moment> answered = new HashMap<>();
  private final Span suspectAfter;
  private int asking;
  private Moment clock = new Moment(Long.MIN_VALUE / 2);

  public CommandDispatcher(
      Outbox outbox, Fleet fleet, Span suspectAfter, Consumer<Report> reported) {
    this.suspectAfter = suspectAfter;
    this.outbox = outbox;
    this.fleet = fleet;
    this.reported = reported;
  }

  /** Sends what is due. */
  public void flush(Moment now) {
    clock = now;
    for (Machine machine : fleet.takeCommandable()) {
      // A machine whose reports another controller carries is not reached by command either: its
      // orders go out with the answer.
      if (machine.session().isEmpty() || machine.address().isEmpty() || machine.carried()) {
        continue;
      }
      List<Order> orders = new ArrayList<>();
      for (Placement placement : machine.placements()) {
        if (orders.size() >= MOST_ORDERS) {
          break;
        }
        if (placement.halting()) {
          if (placement.takeCommand()) {
            orders.add(Fleet.haltOrder(placement));
          }
        } else if (machine.state() == Machine.State.UP
            && startsByCommand(machine, placement.task())
            && placement.takeCommand()) {
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
  private static boolean startsByCommand(Machine machine, TaskId task) {
    return !machine.leftovers().remembers(task) && machine.openRuns().takesByCommand(task);
  }

  /**
   * Keeps starts of these tasks from leaving, as far as they still wait for a socket: their job was
   * withdrawn, which their user is about to be told.
   */
  public void recall(List<Placement> placements) {
    placements.stream()
        .filter(placement -> placement.state() == Placement.State.ORDERED)
        .map(Placement::machine)
        .filter(Machine::commanding)
        .map(Machine::address)
        .distinct()
        .forEach(outbox::cancelCommands);
  }

  /** A machine's report was answered under this token, whatever it is used for. */
  public void answered(MachineId machine, Moment now) {
    answered.put(machine, now);
  }

  /**
   * Shows the token to machines that have not confirmed it yet, or that don't seem to hear; the
   * answer shows that they do.
   */
  public void push(Moment now) {
    int sent = 0;
    for (Machine machine : fleet.machines()) {
      if (sent == MOST_PUSHED) {
        return;
      }
      boolean asked =
          machine.state() == Machine.State.UNCONFIRMED
              || machine.state() == Machine.State.UP && !machine.hearing().hears();
      if (asked
          && !machine.commanding()
          && !machine.address().isEmpty()
          && !within(pushed, PUSH_EVERY, machine, now)
          && !within(answered, CONFIRMS_BY_ITSELF, machine, now)) {
        sent++;
        pushed.put(machine.id(), now);
        send(machine, machine.session().orElse(SessionId.FIRST), List.of(), () -> {});
      }
    }
  }

  /**
   * Asks machines that have ceased to report. One that can't reach any controller, but is reached,
   * tells what has ended there and whether its session is over.
   */
  public void ask(Moment now) {
    for (Machine machine : fleet.machines()) {
      if (asking >= MOST_ASKED) {
        return;
      }
      boolean silent =
          (machine.state() == Machine.State.UP || machine.state() == Machine.State.LAPSED)
              && now.isPast(machine.heard(), suspectAfter.times(SURELY_SILENT));
      if (silent
          && !machine.commanding()
          && !machine.address().isEmpty()
          && now.isPast(machine.hearing().asked(), suspectAfter)) {
        asking++;
        machine.hearing().ask(now);
        send(machine, machine.session().orElse(SessionId.FIRST), List.of(), () -> asking--);
      }
    }
  }

  private static boolean within(
      Map<MachineId, Moment> times, Span span, Machine machine, Moment now) {
    Moment last = times.get(machine.id());
    return last != null && !now.isPast(last, span);
  }

  private void send(Machine machine, SessionId session, List<Order> orders, Runnable settled) {
    List<Machine.Try> runs = new ArrayList<>();
    for (Order order : orders) {
      if (order instanceof Order.Run) {
        runs.add(new Machine.Try(order.task(), order.attempt()));
      }
    }
    Token token = machine.fence().current();
    runs.forEach(run -> machine.openRuns().sentByCommand(run, token));
    if (!runs.isEmpty()) {
      LOG.debug("starts sent to {} by command: {}", machine.id(), runs);
    }
    machine.commanding(true);
    outbox.call(
        new Request.Command(machine.address(), token, session, orders),
        answer -> {
          machine.commanding(false);
          settled.run();
          if (!(answer instanceof Answer.OutcomeUnknown)) {
            runs.forEach(machine.openRuns()::commandSettled);
          }
          if (answer instanceof Answer.CommandResult commanded) {
            machine.hearing().answered(clock);
            reported.accept(commanded.report());
            if (!commanded.executed() && machine.state() == Machine.State.UNCONFIRMED) {
              // The session was a guess; the report told the right one.
              pushed.remove(machine.id());
            }
          }
        });
  }
}
