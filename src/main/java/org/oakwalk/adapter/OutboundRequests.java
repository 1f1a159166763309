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
public final class OutboundRequests {
  private static final long STATE_TIMEOUT_MILLIS = 1_200;
  private static final long CLOUD_TIMEOUT_MILLIS = 5_000;
  private static final long WORKER_TIMEOUT_MILLIS = 3_000;
  private static final long PEER_TIMEOUT_MILLIS = 1_500;
  private static final long WATCH_MARGIN_MILLIS = 1_500;
  private static final long MAX_COMMAND_WAIT_MILLIS = 1_000;
  private static final int MAX_CLOUD_ATTEMPTS = 4;
  private static final int TOO_MANY_REQUESTS = 429;

  /** Where things are. */
  public record ServiceAddresses(String state, String cloud, Map<NodeId, String> peers) {}

  /** Takes an answer on whichever thread it comes. */
  public interface CallbackExecutor {
    void execute(Runnable onLoop);
  }

  private record QueuedCall(
      Request request, long enqueuedAt, int attempts, Consumer<Answer> callback) {}

  private final HttpCaller caller;
  private final ServiceAddresses addresses;
  private final CallbackExecutor callbacks;
  private final RequestQueue stateQueue;
  private final TokenBucket cloudBudget;
  private final List<QueuedCall> cloudQueue = new ArrayList<>();
  private final Deque<QueuedCall> commandQueue = new ArrayDeque<>();
  private final int maxConcurrentCommands;
  private int commandsInFlight;
  private long answerTime;

  public OutboundRequests(
      HttpCaller caller,
      ServiceAddresses addresses,
      Settings settings,
      SocketBudget sockets,
      CallbackExecutor later,
      long now) {
    this.maxConcurrentCommands = sockets.maxConcurrentCommands();
    this.caller = caller;
    this.addresses = addresses;
    this.callbacks = later;
    stateQueue = new RequestQueue(settings, now, this::sendState);
    double cps = settings.cloud().requestsPerSecond() * 0.6;
    cloudBudget = new TokenBucket(cps, Math.max(2, cps), now);
  }

  /** Sends a request as soon as its budget allows. */
  public void call(Request request, long now, Consumer<Answer> then) {
    if (request instanceof Request.State asked) {
      stateQueue.enqueue(asked, now, then);
    } else if (request instanceof Request.Cloud) {
      cloudQueue.add(new QueuedCall(request, now, 1, then));
      sendDue(now);
    } else if (request instanceof Request.Command command) {
      commandQueue.add(new QueuedCall(command, now, 1, then));
      sendCommands(now);
    } else if (request instanceof Request.Tell tell) {
      send(addresses.peers().get(tell.node()), request, PEER_TIMEOUT_MILLIS, then);
    }
  }

  /** Sends what the budgets allow by now. */
  public void sendDue(long now) {
    sendCommands(now);
    stateQueue.sendDue(now);
    while (!cloudQueue.isEmpty() && cloudBudget.hasTokens(1, now)) {
      QueuedCall next = cloudQueue.remove(0);
      cloudBudget.spend(1);
      send(
          addresses.cloud(),
          next.request(),
          CLOUD_TIMEOUT_MILLIS,
          answer -> cloudAnswered(next, answer));
    }
  }

  /** Gives up commands to this address that still wait for a socket; nothing of them was sent. */
  public void cancelCommands(String address) {
    List<QueuedCall> recalled = new ArrayList<>();
    for (QueuedCall waiting : commandQueue) {
      if (((Request.Command) waiting.request()).address().equals(address)) {
        recalled.add(waiting);
      }
    }
    commandQueue.removeAll(recalled);
    recalled.forEach(waiting -> waiting.callback().accept(new Answer.Refused(0, "recalled")));
  }

  /**
   * Sends commands while sockets allow. One that has to wait for long is given up unsent: its
   * orders go out with the answer to the worker's next report.
   */
  private void sendCommands(long now) {
    while (!commandQueue.isEmpty()) {
      QueuedCall next = commandQueue.peek();
      if (now - next.enqueuedAt() > MAX_COMMAND_WAIT_MILLIS) {
        commandQueue.poll();
        next.callback().accept(new Answer.Refused(0, "no socket"));
      } else if (commandsInFlight < maxConcurrentCommands) {
        commandQueue.poll();
        commandsInFlight++;
        send(
            ((Request.Command) next.request()).address(),
            next.request(),
            WORKER_TIMEOUT_MILLIS,
            answer -> {
              commandsInFlight--;
              next.callback().accept(answer);
            });
      } else {
        return;
      }
    }
  }

  private void sendState(Request.State request, Consumer<Answer> then) {
    long timeout =
        request instanceof Request.Watch watch && watch.hold().millis() > 0
            ? watch.hold().millis() + WATCH_MARGIN_MILLIS
            : STATE_TIMEOUT_MILLIS;
    send(addresses.state(), request, timeout, then);
  }

  private void cloudAnswered(QueuedCall sent, Answer answer) {
    if (answer instanceof Answer.Refused refused && refused.status() == TOO_MANY_REQUESTS) {
      cloudBudget.pauseUntil(answerTime + 500);
      if (sent.attempts() < MAX_CLOUD_ATTEMPTS) {
        cloudQueue.add(
            new QueuedCall(
                sent.request(), sent.enqueuedAt(), sent.attempts() + 1, sent.callback()));
        return;
      }
    }
    sent.callback().accept(answer);
  }

  /** The time by which answers are handled. */
  public void setTime(long now) {
    answerTime = now;
    stateQueue.setTime(now);
  }

  private void send(String address, Request request, long timeout, Consumer<Answer> then) {
    caller.send(address, request, timeout, answer -> callbacks.execute(() -> then.accept(answer)));
  }
}
