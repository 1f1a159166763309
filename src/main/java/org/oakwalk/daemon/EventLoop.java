package org.oakwalk.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.oakwalk.adapter.HttpListener;
import org.oakwalk.adapter.OutboundRequests;
import org.oakwalk.core.Controller;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the core in a single thread: takes events from a queue, passes them to the controller with
 * the current time, carries out the resulting effects, and produces periodic ticks.
 */
final class EventLoop implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final int MAX_QUEUED_EVENTS = 2000;
  private static final long TICK_INTERVAL_MILLIS = 50;

  private final BlockingQueue<Object> queue = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);
  private final ConcurrentLinkedQueue<Runnable> callbacks = new ConcurrentLinkedQueue<>();
  private final Controller controller;
  private final LatencyHistograms histograms = new LatencyHistograms(monotonicMillis());
  private final Map<InboundRequestId, Long> submissionTimes = new HashMap<>();
  private OutboundRequests outbound;
  private HttpListener listener;
  private volatile boolean stopped;

  EventLoop(Controller controller) {
    this.controller = controller;
  }

  /** Sets the outbound requests and the listener; must be called once before the loop runs. */
  void connect(OutboundRequests outboundRequests, HttpListener httpListener) {
    outbound = outboundRequests;
    listener = httpListener;
  }

  /** Enqueues an event from any thread; returns false if the queue is full. */
  boolean offer(Event event) {
    return queue.offer(event);
  }

  /**
   * Runs a task on the loop's thread. The callback queue needs no limit: each callback answers a
   * call made by this node, and the number of open calls is bounded.
   */
  void execute(Runnable task) {
    callbacks.add(task);
    queue.offer(Boolean.TRUE);
  }

  /** Makes the loop end after its current iteration. */
  void stop() {
    stopped = true;
  }

  /** Returns the monotonic clock in milliseconds. */
  static long monotonicMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void run() {
    long nextTick = monotonicMillis();
    while (!stopped) {
      try {
        long now = monotonicMillis();
        if (now >= nextTick) {
          nextTick = now + TICK_INTERVAL_MILLIS;
          handle(new Event.Tick());
          histograms.record(
              LatencyHistograms.LatencyMetric.ROUND, TimeSpan.millis(monotonicMillis() - now));
          histograms.logIfDue(now);
        }
        Object next = queue.poll(Math.max(1, nextTick - now), TimeUnit.MILLISECONDS);
        now = monotonicMillis();
        outbound.setTime(now);
        for (Runnable callback = callbacks.poll(); callback != null; callback = callbacks.poll()) {
          callback.run();
        }
        if (next instanceof Event event) {
          if (event instanceof Event.UserRequestReceived userRequest
              && userRequest.request() instanceof UserRequest.Submit) {
            submissionTimes.put(userRequest.requestId(), now);
          }
          handle(event);
        }
        outbound.sendDue(monotonicMillis());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // A failure to handle one event must not stop the node.
        LOG.error("event handling failed", e);
      }
    }
  }

  private static LatencyHistograms.LatencyMetric latencyMetric(Effect.DurationMetric metric) {
    return switch (metric) {
      case QUEUE_WAIT -> LatencyHistograms.LatencyMetric.QUEUE_WAIT;
      case FAILOVER -> LatencyHistograms.LatencyMetric.FAILOVER;
      case REPLICA_GAP -> LatencyHistograms.LatencyMetric.REPLICA_GAP;
    };
  }

  /**
   * Passes an event to the core with the current time. With the time of the event's arrival, a
   * process that was suspended in between would act on time limits that have passed long ago.
   */
  private void handle(Event event) {
    long now = monotonicMillis();
    for (Effect effect :
        controller.handle(
            event, new MonotonicTime(now), new WallTime(System.currentTimeMillis()))) {
      if (effect instanceof Effect.Respond respond) {
        Long submittedAt = submissionTimes.remove(respond.requestId());
        if (submittedAt != null && respond.response() instanceof Response.JobStatus) {
          histograms.record(
              LatencyHistograms.LatencyMetric.ACCEPTANCE,
              TimeSpan.millis(monotonicMillis() - submittedAt));
        }
        listener.respond(respond.requestId(), respond.response());
      } else if (effect instanceof Effect.RecordDuration recordDuration) {
        histograms.record(latencyMetric(recordDuration.metric()), recordDuration.span());
      } else if (effect instanceof Effect.CancelCommands cancelCommands) {
        outbound.cancelCommands(cancelCommands.address());
      } else if (effect instanceof Effect.Call call) {
        outbound.call(
            call.request(), now, answer -> handle(new Event.CallAnswered(call.call(), answer)));
      }
    }
  }
}
