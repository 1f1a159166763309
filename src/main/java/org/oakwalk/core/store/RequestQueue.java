package org.oakwalk.core.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/**
 * Queues this node's requests to the state service until its request rate and write rate allow
 * them, most urgent first. Reads and writes have separate queues, since writes also have a limit of
 * their own. A request that the service refuses as over its rate returns to its place in the queue.
 */
public final class RequestQueue {
  /** After this time the caller has usually given up or would do better to ask another node. */
  private static final long MAX_WAIT_MILLIS = 2_500;

  private static final long SWEEP_INTERVAL_MILLIS = 200;

  /** Maximum number of queued requests, for reads and for writes each. */
  private static final int MAX_QUEUE_LENGTH = 400;

  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int MIN_PAUSE_MILLIS = 20;
  private static final int MAX_PAUSE_MILLIS = 80;

  private record QueuedRequest(
      Request.StateServiceRequest request,
      long sequence,
      long queuedAt,
      Consumer<Answer> callback) {
    int rank() {
      return request.urgency().ordinal();
    }

    boolean isSubmission() {
      return request.urgency() == Request.Urgency.ACCEPTANCE;
    }

    boolean lessUrgentThanSubmissions() {
      return rank() > Request.Urgency.ACCEPTANCE.ordinal();
    }

    /**
     * Returns true for lease calls and commits of leader election. They are few and small, and no
     * leader can be elected without them, so they are sent without waiting for a token.
     */
    boolean bypassesRates() {
      return request.urgency() == Request.Urgency.LEADERSHIP
          && !(request instanceof Request.Watch)
          && !(request instanceof Request.ReadPage);
    }
  }

  private static final Comparator<QueuedRequest> ORDER =
      Comparator.comparingInt(QueuedRequest::rank).thenComparingLong(QueuedRequest::sequence);

  private final AdaptiveTokenBucket requestRate;
  private final AdaptiveTokenBucket writeRate;
  private final BiConsumer<Request.StateServiceRequest, Consumer<Answer>> sender;
  private final PriorityQueue<QueuedRequest> reading = new PriorityQueue<>(ORDER);
  private final PriorityQueue<QueuedRequest> writing = new PriorityQueue<>(ORDER);
  private final SplittableRandom jitter;
  private long lastSequence;

  /**
   * Number of changes written for submissions, ahead of those for less urgent writes, since a less
   * urgent write began to wait.
   */
  private int submissionLead;

  private long clock;
  private long nextSweep;

  /**
   * Creates an empty queue.
   *
   * @param sender sends a request and answers it exactly once
   * @param now milliseconds of the steady clock
   */
  public RequestQueue(
      Settings settings,
      long now,
      BiConsumer<Request.StateServiceRequest, Consumer<Answer>> sender) {
    Settings.StateLimits limits = settings.state();
    int nodes = settings.peers().size() + 1;
    this.requestRate = new AdaptiveTokenBucket(limits.requestsPerSecond(), nodes, 3, 4, now);
    this.writeRate =
        new AdaptiveTokenBucket(
            limits.writesPerSecond(), nodes, 2, Math.max(4, limits.changesPerCommit()), now);
    this.sender = sender;
    this.jitter = new SplittableRandom(seed(settings.node()));
    this.clock = now;
  }

  /** Seeds the jitter per node, so that nodes refused at the same time do not retry together. */
  private static long seed(NodeId node) {
    return node.value().hashCode();
  }

  /**
   * Queues a request, which is sent once it is first in order and the rates allow.
   *
   * @param callback receives the service's answer, or a refusal if the queue is full or the request
   *     has waited too long
   */
  public void enqueue(Request.StateServiceRequest request, long now, Consumer<Answer> callback) {
    PriorityQueue<QueuedRequest> queue = queueFor(request);
    queue.add(new QueuedRequest(request, ++lastSequence, now, callback));
    if (queue.size() > MAX_QUEUE_LENGTH) {
      // Drops the last request of the urgency class that fills the queue, so that submissions do
      // not displace the few withdrawals, leadership claims and results. Reads are queued apart.
      QueuedRequest last = lastOfLargestClass(queue);
      queue.removeIf(queued -> queued == last);
      last.callback().accept(new Answer.Refused(HTTP_TOO_MANY_REQUESTS, "request queue is full"));
    }
    sendDue(now);
  }

  /** Returns the last request of the urgency class with the most queued requests. */
  private static QueuedRequest lastOfLargestClass(PriorityQueue<QueuedRequest> queue) {
    Map<Request.Urgency, List<QueuedRequest>> byUrgency = new EnumMap<>(Request.Urgency.class);
    queue.forEach(
        queued ->
            byUrgency
                .computeIfAbsent(queued.request().urgency(), u -> new ArrayList<>())
                .add(queued));
    return byUrgency.values().stream()
        .max(Comparator.comparingInt(List::size))
        .flatMap(largest -> largest.stream().max(ORDER))
        .orElseThrow();
  }

  private PriorityQueue<QueuedRequest> queueFor(Request.StateServiceRequest request) {
    return request.writeCount() > 0 ? writing : reading;
  }

  /** Refuses requests that have waited too long and sends those that the rates now allow. */
  public void sendDue(long now) {
    clock = now;
    if (now >= nextSweep) {
      nextSweep = now + SWEEP_INTERVAL_MILLIS;
      refuseExpired(reading, now);
      refuseExpired(writing, now);
    }
    for (QueuedRequest next = nextDue(now); next != null; next = nextDue(now)) {
      QueuedRequest sent = next;
      PriorityQueue<QueuedRequest> queue = queueFor(sent.request());
      if (queue.peek() == sent) {
        queue.poll();
      } else {
        queue.removeIf(queued -> queued == sent);
      }
      requestRate.consume(1);
      writeRate.consume(sent.request().writeCount());
      updateSubmissionLead(sent);
      sender.accept(sent.request(), answer -> onAnswer(sent, answer));
    }
  }

  /**
   * Refuses requests that have waited too long, including those that never reach the head of the
   * queue because more urgent ones keep arriving.
   */
  private static void refuseExpired(PriorityQueue<QueuedRequest> queue, long now) {
    List<QueuedRequest> expired = new ArrayList<>();
    for (QueuedRequest queued : queue) {
      if (now - queued.queuedAt() > MAX_WAIT_MILLIS) {
        expired.add(queued);
      }
    }
    queue.removeAll(expired);
    expired.forEach(
        queued ->
            queued
                .callback()
                .accept(
                    new Answer.Refused(
                        HTTP_TOO_MANY_REQUESTS, "waited too long in the request queue")));
  }

  /** Returns the request to send next, or null if the rates allow none now. */
  private QueuedRequest nextDue(long now) {
    QueuedRequest write = ifAllowed(nextWrite(), now);
    QueuedRequest read = ifAllowed(reading.peek(), now);
    if (write == null || read == null) {
      return write == null ? read : write;
    }
    return ORDER.compare(write, read) <= 0 ? write : read;
  }

  /**
   * Returns the write that is next in order. Submissions are unbounded, while all other writes are
   * bounded by the accepted jobs and the existing machines. Waiting writes that are less urgent
   * than submissions therefore get as many changes as submissions. Otherwise no job would be
   * completed and no result stored while users submit more than the service can take.
   */
  private QueuedRequest nextWrite() {
    QueuedRequest first = writing.peek();
    if (first == null || !first.isSubmission() || submissionLead == 0) {
      return first;
    }
    return writing.stream()
        .filter(
            queued ->
                queued.lessUrgentThanSubmissions()
                    && queued.request().writeCount() <= submissionLead)
        .min(Comparator.comparingLong(QueuedRequest::sequence))
        .orElse(first);
  }

  /** Updates the number of changes by which submissions are ahead of less urgent writes. */
  private void updateSubmissionLead(QueuedRequest sent) {
    int cost = sent.request().writeCount();
    if (cost == 0) {
      return;
    }
    if (writing.stream().noneMatch(QueuedRequest::lessUrgentThanSubmissions)) {
      submissionLead = 0;
    } else if (sent.isSubmission()) {
      submissionLead += cost;
    } else if (sent.lessUrgentThanSubmissions()) {
      submissionLead = Math.max(0, submissionLead - cost);
    }
  }

  /** Returns the request if the rates allow it now, otherwise null. */
  private QueuedRequest ifAllowed(QueuedRequest first, long now) {
    if (first == null) {
      return null;
    }
    int cost = first.request().writeCount();
    if (first.bypassesRates()) {
      return requestRate.isPaused(now) || (cost > 0 && writeRate.isPaused(now)) ? null : first;
    }
    return requestRate.refillAndCheck(1, now) && (cost == 0 || writeRate.refillAndCheck(cost, now))
        ? first
        : null;
  }

  private void onAnswer(QueuedRequest sent, Answer answer) {
    if (answer instanceof Answer.Refused refused && refused.status() == HTTP_TOO_MANY_REQUESTS) {
      // The service does not say which limit was exceeded. The write limit is far lower than the
      // request limit, so for a write it is most likely that one.
      AdaptiveTokenBucket exceeded = sent.request().writeCount() > 0 ? writeRate : requestRate;
      exceeded.onRefused(clock, jitter.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
      queueFor(sent.request()).add(sent);
      return;
    }
    sent.callback().accept(answer);
  }

  /** Sets the current time, in milliseconds of the steady clock, used when answers arrive. */
  public void setTime(long now) {
    clock = now;
  }
}
