package org.oakwalk.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.oakwalk.adapter.Listener;
import org.oakwalk.adapter.Outside;
import org.oakwalk.core.Controller;
import org.oakwalk.core.ExchangeId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread in which the core runs: takes events, hands out effects, keeps time. */
final class EventLoop implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final int MAX_QUEUED_EVENTS = 2000;
  private static final long TICK_INTERVAL_MILLIS = 50;

  private final BlockingQueue<Object> queue = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);
  private final ConcurrentLinkedQueue<Runnable> callbacks = new ConcurrentLinkedQueue<>();
  private final Controller controller;
  private final LatencyHistograms histograms = new LatencyHistograms(monotonicMillis());
  private final Map<ExchangeId, Long> submissionTimes = new HashMap<>();
  private Outside outbound;
  private Listener listener;
  private volatile boolean stopped;

  EventLoop(Controller controller) {
    this.controller = controller;
  }

  /** Connects the loop with the outside; to be called once, before it runs. */
  void connect(Outside outboundRequests, Listener httpListener) {
    outbound = outboundRequests;
    listener = httpListener;
  }

  /** Takes an event from any thread; false if there are too many. */
  boolean offer(Event event) {
    return queue.offer(event);
  }

  /** Runs something in the loop. Answers to own calls are bounded by the calls, so all fit. */
  void execute(Runnable task) {
    callbacks.add(task);
    queue.offer(Boolean.TRUE);
  }

  void stop() {
    stopped = true;
  }

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
              LatencyHistograms.LatencyMetric.ROUND, Span.millis(monotonicMillis() - now));
          histograms.logIfDue(now);
        }
        Object next = queue.poll(Math.max(1, nextTick - now), TimeUnit.MILLISECONDS);
        now = monotonicMillis();
        outbound.clock(now);
        for (Runnable callback = callbacks.poll(); callback != null; callback = callbacks.poll()) {
          callback.run();
        }
        if (next instanceof Event event) {
          if (event instanceof Event.UserAsks userRequest
              && userRequest.request() instanceof UserRequest.Submit) {
            submissionTimes.put(userRequest.exchange(), now);
          }
          handle(event);
        }
        outbound.pump(monotonicMillis());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // One event that can't be handled must not end the service.
        LOG.error("event failed", e);
      }
    }
  }

  private static LatencyHistograms.LatencyMetric latencyMetric(Effect.Measure metric) {
    return switch (metric) {
      case QUEUE_WAIT -> LatencyHistograms.LatencyMetric.QUEUE_WAIT;
      case FAILOVER -> LatencyHistograms.LatencyMetric.FAILOVER;
      case REPLICA_GAP -> LatencyHistograms.LatencyMetric.REPLICA_GAP;
    };
  }

  /**
   * Hands an event to the core with the time as it is now. Were it the time at which the event
   * came, a process that stood still in between would act on bounds that have long passed.
   */
  private void handle(Event event) {
    long now = monotonicMillis();
    for (Effect effect :
        controller.handle(event, new Moment(now), new WallTime(System.currentTimeMillis()))) {
      if (effect instanceof Effect.Respond respond) {
        Long submittedAt = submissionTimes.remove(respond.exchange());
        if (submittedAt != null && respond.response() instanceof Response.JobStatus) {
          histograms.record(
              LatencyHistograms.LatencyMetric.ACCEPTANCE,
              Span.millis(monotonicMillis() - submittedAt));
        }
        listener.respond(respond.exchange(), respond.response());
      } else if (effect instanceof Effect.Measured measured) {
        histograms.record(latencyMetric(measured.measure()), measured.span());
      } else if (effect instanceof Effect.Recall recall) {
        outbound.recall(recall.address());
      } else if (effect instanceof Effect.Call call) {
        outbound.call(
            call.request(), now, answer -> handle(new Event.Answered(call.call(), answer)));
      }
    }
  }
}
