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
  private static final long LONGEST_WAIT_MILLIS = 2_500;

  private static final long SWEEP_EVERY_MILLIS = 200;

  /** So many wait at most, of reads and of writes. */
  private static final int LONGEST = 400;

  private static final int TOO_MANY = 429;
  private static final int LEAST_PAUSE_MILLIS = 20;
  private static final int MOST_PAUSE_MILLIS = 80;

  private record Waiting(
      Request.StateServiceRequest request, long number, long since, Consumer<Answer> then) {
    int rank() {
      return request.urgency().ordinal();
    }

    boolean submission() {
      return request.urgency() == Request.Urgency.ACCEPTANCE;
    }

    boolean lessUrgentThanSubmissions() {
      return rank() > Request.Urgency.ACCEPTANCE.ordinal();
    }

    /** A few small ones without which nobody leads: they wait for no budget. */
    boolean vital() {
      return request.urgency() == Request.Urgency.LEADERSHIP
          && !(request instanceof Request.Watch)
          && !(request instanceof Request.ReadPage);
    }
  }

  private static final Comparator<Waiting> ORDER =
      Comparator.comparingInt(Waiting::rank).thenComparingLong(Waiting::number);

  private final SharedRate requests;
  private final SharedRate writes;
  private final BiConsumer<Request.StateServiceRequest, Consumer<Answer>> sender;
  private final PriorityQueue<Waiting> reading = new PriorityQueue<>(ORDER);
  private final PriorityQueue<Waiting> writing = new PriorityQueue<>(ORDER);
  private final SplittableRandom jitter;
  private long numbers;

  /** How much has been written for submissions since something less urgent began to wait. */
  private int owed;

  private long clock;
  private long nextSweep;

  /**
   * An empty line.
   *
   * @param sender takes what is due, and answers each exactly once
   * @param now milliseconds of the steady clock
   */
  public RequestQueue(
      Settings settings,
      long now,
      BiConsumer<Request.StateServiceRequest, Consumer<Answer>> sender) {
    Settings.StateLimits limits = settings.state();
    int nodes = settings.peers().size() + 1;
    this.requests = new SharedRate(limits.requestsPerSecond(), nodes, 3, 4, now);
    this.writes =
        new SharedRate(
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
  public void call(Request.StateServiceRequest request, long now, Consumer<Answer> then) {
    PriorityQueue<Waiting> line = line(request);
    line.add(new Waiting(request, ++numbers, now, then));
    if (line.size() > LONGEST) {
      // The last of whatever floods the line gives way: submissions must not keep out the few
      // withdrawals, claims and ends of jobs. Reads have a line of their own.
      Waiting last = lastOfMost(line);
      line.removeIf(waiting -> waiting == last);
      last.then().accept(new Answer.Refused(TOO_MANY, "queue is full"));
    }
    pump(now);
  }

  /** Of the kind of which most wait, the one that came last. */
  private static Waiting lastOfMost(PriorityQueue<Waiting> line) {
    Map<Request.Urgency, List<Waiting>> kinds = new EnumMap<>(Request.Urgency.class);
    line.forEach(
        one -> kinds.computeIfAbsent(one.request().urgency(), u -> new ArrayList<>()).add(one));
    return kinds.values().stream()
        .max(Comparator.comparingInt(List::size))
        .flatMap(most -> most.stream().max(ORDER))
        .orElseThrow();
  }

  private PriorityQueue<Waiting> line(Request.StateServiceRequest request) {
    return request.writeCount() > 0 ? writing : reading;
  }

  /** Sends what the rates allow by now. */
  public void pump(long now) {
    clock = now;
    if (now >= nextSweep) {
      nextSweep = now + SWEEP_EVERY_MILLIS;
      sweep(reading, now);
      sweep(writing, now);
    }
    for (Waiting next = next(now); next != null; next = next(now)) {
      Waiting sent = next;
      PriorityQueue<Waiting> line = line(sent.request());
      if (line.peek() == sent) {
        line.poll();
      } else {
        line.removeIf(waiting -> waiting == sent);
      }
      requests.spend(1);
      writes.spend(sent.request().writeCount());
      share(sent);
      sender.accept(sent.request(), answer -> answered(sent, answer));
    }
  }

  /** Gives up what has waited for too long, also behind others that go on coming. */
  private static void sweep(PriorityQueue<Waiting> line, long now) {
    List<Waiting> late = new ArrayList<>();
    for (Waiting waiting : line) {
      if (now - waiting.since() > LONGEST_WAIT_MILLIS) {
        late.add(waiting);
      }
    }
    line.removeAll(late);
    late.forEach(waiting -> waiting.then().accept(new Answer.Refused(TOO_MANY, "late")));
  }

  /** What is to leave the line next, or null if nothing may now. */
  private Waiting next(long now) {
    Waiting write = due(firstWrite(), now);
    Waiting read = due(reading.peek(), now);
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
  private Waiting firstWrite() {
    Waiting first = writing.peek();
    if (first == null || !first.submission() || owed == 0) {
      return first;
    }
    return writing.stream()
        .filter(one -> one.lessUrgentThanSubmissions() && one.request().writeCount() <= owed)
        .min(Comparator.comparingLong(Waiting::number))
        .orElse(first);
  }

  /** Counts how much submissions are ahead of what is less urgent. */
  private void share(Waiting sent) {
    int cost = sent.request().writeCount();
    if (cost == 0) {
      return;
    }
    if (writing.stream().noneMatch(Waiting::lessUrgentThanSubmissions)) {
      owed = 0;
    } else if (sent.submission()) {
      owed += cost;
    } else if (sent.lessUrgentThanSubmissions()) {
      owed = Math.max(0, owed - cost);
    }
  }

  private Waiting due(Waiting first, long now) {
    if (first == null) {
      return null;
    }
    int cost = first.request().writeCount();
    if (first.vital()) {
      return requests.paused(now) || (cost > 0 && writes.paused(now)) ? null : first;
    }
    return requests.has(1, now) && (cost == 0 || writes.has(cost, now)) ? first : null;
  }

  private void answered(Waiting sent, Answer answer) {
    if (answer instanceof Answer.Refused refused && refused.status() == TOO_MANY) {
      // Which of the two limits it was is not told. Writes are far fewer, so it is mostly theirs.
      SharedRate exceeded = sent.request().writeCount() > 0 ? writes : requests;
      exceeded.refused(clock, jitter.nextInt(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS));
      line(sent.request()).add(sent);
      return;
    }
    sent.then().accept(answer);
  }

  /** The time by which answers are handled. */
  public void clock(long now) {
    clock = now;
  }
}
