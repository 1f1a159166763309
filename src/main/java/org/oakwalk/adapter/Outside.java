package org.oakwalk.adapter;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.RequestQueue;

/**
 * Everything this node calls: the state service and the cloud each within a budget of its own, the
 * workers and the other controllers directly. Used by one thread only.
 */
public final class Outside {
  private static final long STATE_TIMEOUT = 1_200;
  private static final long CLOUD_TIMEOUT = 5_000;
  private static final long WORKER_TIMEOUT = 3_000;
  private static final long PEER_TIMEOUT = 1_500;
  private static final long WATCH_GRACE = 1_500;
  private static final long LONGEST_COMMAND_WAIT = 1_000;
  private static final int MOST_TRIES = 4;
  private static final int TOO_MANY = 429;

  /** Where things are. */
  public record Addresses(String state, String cloud, Map<NodeId, String> peers) {}

  /** Takes an answer on whichever thread it comes. */
  public interface Later {
    void run(Runnable onLoop);
  }

  private record Waiting(Request request, long since, int tries, Consumer<Answer> then) {}

  private final HttpCaller caller;
  private final Addresses addresses;
  private final Later later;
  private final RequestQueue state;
  private final RateBudget cloud;
  private final List<Waiting> cloudQueue = new ArrayList<>();
  private final Deque<Waiting> commandQueue = new ArrayDeque<>();
  private final int mostCommands;
  private int commandsOut;
  private long clock;

  public Outside(
      HttpCaller caller,
      Addresses addresses,
      Settings settings,
      Sockets sockets,
      Later later,
      long now) {
    this.mostCommands = sockets.commands();
    this.caller = caller;
    this.addresses = addresses;
    this.later = later;
    state = new RequestQueue(settings, now, this::sendState);
    double cps = settings.cloud().requestsPerSecond() * 0.6;
    cloud = new RateBudget(cps, Math.max(2, cps), now);
  }

  /** Sends a request as soon as its budget allows. */
  public void call(Request request, long now, Consumer<Answer> then) {
    if (request instanceof Request.StateServiceRequest asked) {
      state.enqueue(asked, now, then);
    } else if (request instanceof Request.CloudRequest) {
      cloudQueue.add(new Waiting(request, now, 1, then));
      pump(now);
    } else if (request instanceof Request.Command command) {
      commandQueue.add(new Waiting(command, now, 1, then));
      pumpCommands(now);
    } else if (request instanceof Request.SendToPeer tell) {
      send(addresses.peers().get(tell.node()), request, PEER_TIMEOUT, then);
    }
  }

  /** Sends what the budgets allow by now. */
  public void pump(long now) {
    pumpCommands(now);
    state.sendDue(now);
    while (!cloudQueue.isEmpty() && cloud.has(1, now)) {
      Waiting next = cloudQueue.remove(0);
      cloud.spend(1);
      send(addresses.cloud(), next.request(), CLOUD_TIMEOUT, answer -> cloudAnswered(next, answer));
    }
  }

  /** Gives up commands to this address that still wait for a socket; nothing of them was sent. */
  public void recall(String address) {
    List<Waiting> recalled = new ArrayList<>();
    for (Waiting waiting : commandQueue) {
      if (((Request.Command) waiting.request()).address().equals(address)) {
        recalled.add(waiting);
      }
    }
    commandQueue.removeAll(recalled);
    recalled.forEach(waiting -> waiting.then().accept(new Answer.Refused(0, "recalled")));
  }

  /**
   * Sends commands while sockets allow. One that has to wait for long is given up unsent: its
   * orders go out with the answer to the worker's next report.
   */
  private void pumpCommands(long now) {
    while (!commandQueue.isEmpty()) {
      Waiting next = commandQueue.peek();
      if (now - next.since() > LONGEST_COMMAND_WAIT) {
        commandQueue.poll();
        next.then().accept(new Answer.Refused(0, "no socket"));
      } else if (commandsOut < mostCommands) {
        commandQueue.poll();
        commandsOut++;
        send(
            ((Request.Command) next.request()).address(),
            next.request(),
            WORKER_TIMEOUT,
            answer -> {
              commandsOut--;
              next.then().accept(answer);
            });
      } else {
        return;
      }
    }
  }

  private void sendState(Request.StateServiceRequest request, Consumer<Answer> then) {
    long timeout =
        request instanceof Request.Watch watch && watch.maxWait().millis() > 0
            ? watch.maxWait().millis() + WATCH_GRACE
            : STATE_TIMEOUT;
    send(addresses.state(), request, timeout, then);
  }

  private void cloudAnswered(Waiting sent, Answer answer) {
    if (answer instanceof Answer.Refused refused && refused.status() == TOO_MANY) {
      cloud.pause(clock + 500);
      if (sent.tries() < MOST_TRIES) {
        cloudQueue.add(new Waiting(sent.request(), sent.since(), sent.tries() + 1, sent.then()));
        return;
      }
    }
    sent.then().accept(answer);
  }

  /** The time by which answers are handled. */
  public void clock(long now) {
    clock = now;
    state.setTime(now);
  }

  private void send(String address, Request request, long timeout, Consumer<Answer> then) {
    caller.send(address, request, timeout, answer -> later.run(() -> then.accept(answer)));
  }
}
