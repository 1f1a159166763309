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
 * Sends this node's requests to the state service, the cloud, workers and other controllers. Calls
 * to the state service and to the cloud are each limited by a rate budget, and commands to workers
 * by the number of sockets. Not thread-safe: used by the event loop only.
 */
public final class OutboundRequests {
  private static final long STATE_TIMEOUT_MILLIS = 1_200;
  private static final long CLOUD_TIMEOUT_MILLIS = 5_000;
  private static final long WORKER_TIMEOUT_MILLIS = 3_000;
  private static final long PEER_TIMEOUT_MILLIS = 1_500;

  /** Time that a watch may take beyond the wait that was requested of the service. */
  private static final long WATCH_MARGIN_MILLIS = 1_500;

  private static final long MAX_COMMAND_WAIT_MILLIS = 1_000;
  private static final int MAX_CLOUD_ATTEMPTS = 4;
  private static final long CLOUD_OVERLOAD_PAUSE_MILLIS = 500;
  private static final int TOO_MANY_REQUESTS = 429;

  /** Part of the cloud's request limit that this node uses. */
  private static final double CLOUD_RATE_FRACTION = 0.6;

  /** Addresses of the state service, the cloud and the other controllers. */
  public record ServiceAddresses(String state, String cloud, Map<NodeId, String> peers) {}

  /** Runs callbacks on the event loop's thread. */
  public interface CallbackExecutor {
    /** Schedules a callback; may be called on any thread. */
    void execute(Runnable callback);
  }

  private record QueuedCall(
      Request request, long enqueuedAt, int attempts, Consumer<Answer> callback) {}

  private final HttpCaller caller;
  private final ServiceAddresses addresses;
  private final CallbackExecutor callbacks;
  private final RequestQueue stateQueue;
  private final TokenBucket cloudTokenBucket;
  private final List<QueuedCall> cloudQueue = new ArrayList<>();
  private final Deque<QueuedCall> commandQueue = new ArrayDeque<>();
  private final int maxConcurrentCommands;
  private int commandsInFlight;
  private long answerTime;

  /** Creates a sender with empty queues; {@code now} is in milliseconds of the loop's clock. */
  public OutboundRequests(
      HttpCaller caller,
      ServiceAddresses addresses,
      Settings settings,
      SocketBudget sockets,
      CallbackExecutor callbacks,
      long now) {
    this.maxConcurrentCommands = sockets.maxConcurrentCommands();
    this.caller = caller;
    this.addresses = addresses;
    this.callbacks = callbacks;
    stateQueue = new RequestQueue(settings, now, this::sendState);
    double cloudRate = settings.cloud().requestsPerSecond() * CLOUD_RATE_FRACTION;
    cloudTokenBucket = new TokenBucket(cloudRate, Math.max(2, cloudRate), now);
  }

  /** Queues a request and sends it as soon as its budget allows. */
  public void call(Request request, long now, Consumer<Answer> callback) {
    if (request instanceof Request.StateServiceRequest stateRequest) {
      stateQueue.enqueue(stateRequest, now, callback);
    } else if (request instanceof Request.CloudRequest) {
      cloudQueue.add(new QueuedCall(request, now, 1, callback));
      sendDue(now);
    } else if (request instanceof Request.Command command) {
      commandQueue.add(new QueuedCall(command, now, 1, callback));
      sendCommands(now);
    } else if (request instanceof Request.SendToPeer peerRequest) {
      send(addresses.peers().get(peerRequest.node()), request, PEER_TIMEOUT_MILLIS, callback);
    }
  }

  /** Sends the queued requests that the budgets allow at this time. */
  public void sendDue(long now) {
    sendCommands(now);
    stateQueue.sendDue(now);
    while (!cloudQueue.isEmpty() && cloudTokenBucket.hasTokens(1, now)) {
      QueuedCall next = cloudQueue.remove(0);
      cloudTokenBucket.spend(1);
      send(
          addresses.cloud(),
          next.request(),
          CLOUD_TIMEOUT_MILLIS,
          answer -> handleCloudAnswer(next, answer));
    }
  }

  /** Refuses queued commands to this address that still wait for a socket; none was sent. */
  public void cancelCommands(String address) {
    List<QueuedCall> cancelled = new ArrayList<>();
    for (QueuedCall queued : commandQueue) {
      if (((Request.Command) queued.request()).address().equals(address)) {
        cancelled.add(queued);
      }
    }
    commandQueue.removeAll(cancelled);
    cancelled.forEach(queued -> queued.callback().accept(new Answer.Refused(0, "cancelled")));
  }

  /**
   * Sends queued commands while sockets are available. A command that waited for longer than {@link
   * #MAX_COMMAND_WAIT_MILLIS} is refused unsent; its orders go out with the response to the
   * worker's next report.
   */
  private void sendCommands(long now) {
    while (!commandQueue.isEmpty()) {
      QueuedCall next = commandQueue.peek();
      if (now - next.enqueuedAt() > MAX_COMMAND_WAIT_MILLIS) {
        commandQueue.poll();
        next.callback().accept(new Answer.Refused(0, "no socket available"));
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

  private void sendState(Request.StateServiceRequest request, Consumer<Answer> callback) {
    long timeout =
        request instanceof Request.Watch watch && watch.maxWait().millis() > 0
            ? watch.maxWait().millis() + WATCH_MARGIN_MILLIS
            : STATE_TIMEOUT_MILLIS;
    send(addresses.state(), request, timeout, callback);
  }

  private void handleCloudAnswer(QueuedCall call, Answer answer) {
    if (answer instanceof Answer.Refused refused && refused.status() == TOO_MANY_REQUESTS) {
      cloudTokenBucket.pauseUntil(answerTime + CLOUD_OVERLOAD_PAUSE_MILLIS);
      if (call.attempts() < MAX_CLOUD_ATTEMPTS) {
        cloudQueue.add(
            new QueuedCall(
                call.request(), call.enqueuedAt(), call.attempts() + 1, call.callback()));
        return;
      }
    }
    call.callback().accept(answer);
  }

  /** Sets the current time, at which answers are handled. */
  public void setTime(long now) {
    answerTime = now;
    stateQueue.setTime(now);
  }

  private void send(String address, Request request, long timeout, Consumer<Answer> callback) {
    caller.send(
        address, request, timeout, answer -> callbacks.execute(() -> callback.accept(answer)));
  }
}
