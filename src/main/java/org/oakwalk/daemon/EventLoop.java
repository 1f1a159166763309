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
  private static final int LONGEST_QUEUE = 2000;
  private static final long TICK_MILLIS = 50;

  private final BlockingQueue<Object> queue = new ArrayBlockingQueue<>(LONGEST_QUEUE);
  private final ConcurrentLinkedQueue<Runnable> answers = new ConcurrentLinkedQueue<>();
  private final Controller controller;
  private final Histograms histograms = new Histograms(steadyMillis());
  private final Map<InboundRequestId, Long> submissions = new HashMap<>();
  private OutboundRequests outside;
  private HttpListener listener;
  private volatile boolean stopped;

  EventLoop(Controller controller) {
    this.controller = controller;
  }

  /** Connects the loop with the outside; to be called once, before it runs. */
  void connect(OutboundRequests calls, HttpListener doors) {
    outside = calls;
    listener = doors;
  }

  /** Takes an event from any thread; false if there are too many. */
  boolean offer(Event event) {
    return queue.offer(event);
  }

  /** Runs something in the loop. Answers to own calls are bounded by the calls, so all fit. */
  void later(Runnable task) {
    answers.add(task);
    queue.offer(Boolean.TRUE);
  }

  void stop() {
    stopped = true;
  }

  static long steadyMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void run() {
    long nextTick = steadyMillis();
    while (!stopped) {
      try {
        long now = steadyMillis();
        if (now >= nextTick) {
          nextTick = now + TICK_MILLIS;
          handle(new Event.Tick());
          histograms.record(Histograms.Kind.ROUND, Span.millis(steadyMillis() - now));
          histograms.tick(now);
        }
        Object next = queue.poll(Math.max(1, nextTick - now), TimeUnit.MILLISECONDS);
        now = steadyMillis();
        outside.setTime(now);
        for (Runnable answer = answers.poll(); answer != null; answer = answers.poll()) {
          answer.run();
        }
        if (next instanceof Event event) {
          if (event instanceof Event.UserRequestReceived asks
              && asks.request() instanceof UserRequest.Submit) {
            submissions.put(asks.requestId(), now);
          }
          handle(event);
        }
        outside.sendDue(steadyMillis());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // One event that can't be handled must not end the service.
        LOG.error("event failed", e);
      }
    }
  }

  private static Histograms.Kind kind(Effect.DurationMetric measure) {
    return switch (measure) {
      case QUEUE_WAIT -> Histograms.Kind.QUEUE_WAIT;
      case FAILOVER -> Histograms.Kind.FAILOVER;
      case REPLICA_GAP -> Histograms.Kind.REPLICA_GAP;
    };
  }

  /**
   * Hands an event to the core with the time as it is now. Were it the time at which the event
   * came, a process that stood still in between would act on bounds that have long passed.
   */
  private void handle(Event event) {
    long now = steadyMillis();
    for (Effect effect :
        controller.handle(event, new Moment(now), new WallTime(System.currentTimeMillis()))) {
      if (effect instanceof Effect.Respond respond) {
        Long since = submissions.remove(respond.requestId());
        if (since != null && respond.response() instanceof Response.JobStatus) {
          histograms.record(Histograms.Kind.ACCEPTANCE, Span.millis(steadyMillis() - since));
        }
        listener.respond(respond.requestId(), respond.response());
      } else if (effect instanceof Effect.RecordDuration measured) {
        histograms.record(kind(measured.metric()), measured.span());
      } else if (effect instanceof Effect.CancelCommands recall) {
        outside.cancelCommands(recall.address());
      } else if (effect instanceof Effect.Call call) {
        outside.call(
            call.request(), now, answer -> handle(new Event.CallAnswered(call.call(), answer)));
      }
    }
  }
}
