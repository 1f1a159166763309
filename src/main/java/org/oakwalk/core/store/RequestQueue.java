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
 * Where this node's requests to the state service wait for its rates, the most urgent first and
 * reads apart from writes, which are limited on their own. What the service refuses as too much
 * waits here again, in its old place.
 */
public final class RequestQueue {
  /** Longer than this nobody waits for an answer, or would rather ask another node. */
  private static final long MAX_WAIT_MILLIS = 2_500;

  private static final long SWEEP_INTERVAL_MILLIS = 200;

  /** So many wait at most, of reads and of writes. */
  private static final int MAX_QUEUE_LENGTH = 400;

  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int MIN_PAUSE_MILLIS = 20;
  private static final int MAX_PAUSE_MILLIS = 80;

  private record QueuedRequest(
      Request.State request, long sequence, long queuedAt, Consumer<Answer> callback) {
    int rank() {
      return request.urgency().ordinal();
    }

    boolean isSubmission() {
      return request.urgency() == Request.Urgency.ACCEPTANCE;
    }

    boolean lessUrgentThanSubmissions() {
      return rank() > Request.Urgency.ACCEPTANCE.ordinal();
    }

    /** A few small ones without which nobody leads: they wait for no budget. */
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
  private final BiConsumer<Request.State, Consumer<Answer>> sender;
  private final PriorityQueue<QueuedRequest> reading = new PriorityQueue<>(ORDER);
  private final PriorityQueue<QueuedRequest> writing = new PriorityQueue<>(ORDER);
  private final SplittableRandom jitter;
  private long lastSequence;

  /** How much has been written for submissions since something less urgent began to wait. */
  private int submissionLead;

  private long clock;
  private long nextSweep;

  /**
   * An empty line.
   *
   * @param sender takes what is due, and answers each exactly once
   * @param now milliseconds of the steady clock
   */
  public RequestQueue(
      Settings settings, long now, BiConsumer<Request.State, Consumer<Answer>> sender) {
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

  /** Nodes that were refused together must not come back together. */
  private static long seed(NodeId node) {
    return node.value().hashCode();
  }

  /** Takes a request; it is sent as soon as its turn comes and the rates allow. */
  public void enqueue(Request.State request, long now, Consumer<Answer> then) {
    PriorityQueue<QueuedRequest> line = queueFor(request);
    line.add(new QueuedRequest(request, ++lastSequence, now, then));
    if (line.size() > MAX_QUEUE_LENGTH) {
      // The last of whatever floods the line gives way: submissions must not keep out the few
      // withdrawals, claims and ends of jobs. Reads have a line of their own.
      QueuedRequest last = lastOfLargestClass(line);
      line.removeIf(waiting -> waiting == last);
      last.callback().accept(new Answer.Refused(HTTP_TOO_MANY_REQUESTS, "queue is full"));
    }
    sendDue(now);
  }

  /** Of the kind of which most wait, the one that came last. */
  private static QueuedRequest lastOfLargestClass(PriorityQueue<QueuedRequest> line) {
    Map<Request.Urgency, List<QueuedRequest>> kinds = new EnumMap<>(Request.Urgency.class);
    line.forEach(
        one -> kinds.computeIfAbsent(one.request().urgency(), u -> new ArrayList<>()).add(one));
    return kinds.values().stream()
        .max(Comparator.comparingInt(List::size))
        .flatMap(most -> most.stream().max(ORDER))
        .orElseThrow();
  }

  private PriorityQueue<QueuedRequest> queueFor(Request.State request) {
    return request.writes() > 0 ? writing : reading;
  }

  /** Sends what the rates allow by now. */
  public void sendDue(long now) {
    clock = now;
    if (now >= nextSweep) {
      nextSweep = now + SWEEP_INTERVAL_MILLIS;
      refuseExpired(reading, now);
      refuseExpired(writing, now);
    }
    for (QueuedRequest next = nextDue(now); next != null; next = nextDue(now)) {
      QueuedRequest sent = next;
      PriorityQueue<QueuedRequest> line = queueFor(sent.request());
      if (line.peek() == sent) {
        line.poll();
      } else {
        line.removeIf(waiting -> waiting == sent);
      }
      requestRate.consume(1);
      writeRate.consume(sent.request().writes());
      updateSubmissionLead(sent);
      sender.accept(sent.request(), answer -> onAnswer(sent, answer));
    }
  }

  /** Gives up what has waited for too long, also behind others that go on coming. */
  private static void refuseExpired(PriorityQueue<QueuedRequest> line, long now) {
    List<QueuedRequest> late = new ArrayList<>();
    for (QueuedRequest waiting : line) {
      if (now - waiting.queuedAt() > MAX_WAIT_MILLIS) {
        late.add(waiting);
      }
    }
    line.removeAll(late);
    late.forEach(
        waiting -> waiting.callback().accept(new Answer.Refused(HTTP_TOO_MANY_REQUESTS, "late")));
  }

  /** What is to leave the line next, or null if nothing may now. */
  private QueuedRequest nextDue(long now) {
    QueuedRequest write = ifAllowed(nextWrite(), now);
    QueuedRequest read = ifAllowed(reading.peek(), now);
    if (write == null || read == null) {
      return write == null ? read : write;
    }
    return ORDER.compare(write, read) <= 0 ? write : read;
  }

  /**
   * The write that comes next. Users submit without end, while everything else is bounded by what
   * was accepted or is there. So what is less urgent gets as much as submissions do once it waits:
   * else no job would be done, nor any result safe, for as long as more is submitted than the
   * service takes.
   */
  private QueuedRequest nextWrite() {
    QueuedRequest first = writing.peek();
    if (first == null || !first.isSubmission() || submissionLead == 0) {
      return first;
    }
    return writing.stream()
        .filter(one -> one.lessUrgentThanSubmissions() && one.request().writes() <= submissionLead)
        .min(Comparator.comparingLong(QueuedRequest::sequence))
        .orElse(first);
  }

  /** Counts how much submissions are ahead of what is less urgent. */
  private void updateSubmissionLead(QueuedRequest sent) {
    int cost = sent.request().writes();
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

  private QueuedRequest ifAllowed(QueuedRequest first, long now) {
    if (first == null) {
      return null;
    }
    int cost = first.request().writes();
    if (first.bypassesRates()) {
      return requestRate.isPaused(now) || (cost > 0 && writeRate.isPaused(now)) ? null : first;
    }
    return requestRate.refillAndCheck(1, now) && (cost == 0 || writeRate.refillAndCheck(cost, now))
        ? first
        : null;
  }

  private void onAnswer(QueuedRequest sent, Answer answer) {
    if (answer instanceof Answer.Refused refused && refused.status() == HTTP_TOO_MANY_REQUESTS) {
      // Which of the two limits it was is not told. Writes are far fewer, so it is mostly theirs.
      AdaptiveTokenBucket exceeded = sent.request().writes() > 0 ? writeRate : requestRate;
      exceeded.onRefused(clock, jitter.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
      queueFor(sent.request()).add(sent);
      return;
    }
    sent.callback().accept(answer);
  }

  /** The time by which answers are handled. */
  public void setTime(long now) {
    clock = now;
  }
}
