package org.oakwalk.core.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** The state service's limits and its watches, in virtual time; it keeps no values. */
final class LimitedService {
  static final int NODES = 7;
  static final double REQUESTS = 250;
  static final double WRITES = 50;
  private static final long ONE_WAY_MILLIS = 2;

  private record Event(long at, long number, Runnable action) {}

  private record Watcher(Request.Watch watch, long until, Consumer<Answer> then) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Watcher> watchers = new ArrayList<>();
  private double requestTokens = REQUESTS;
  private double writeTokens = WRITES;
  private long numbers;
  private long epoch = 1;
  long now;
  int requests;
  int refused;

  static Settings settings(int node) {
    return new Settings(
        new NodeId("node-" + node),
        "a",
        IntStream.range(1, NODES).mapToObj(i -> new NodeId("peer-" + i)).toList(),
        List.of("a"),
        Map.of(),
        List.of(),
        new Settings.WorkerTiming(Span.seconds(1), Span.seconds(10), Span.seconds(30)),
        new Settings.StateLimits(REQUESTS, WRITES, 4, 8),
        new Settings.CloudLimits(10, Span.seconds(1)),
        Span.millis(0));
  }

  void after(long millis, Runnable action) {
    events.add(new Event(now + millis, ++numbers, action));
  }

  /** As its page says: both limits allow bursts of one second's worth. */
  void serve(Request.StateServiceRequest request, Consumer<Answer> then) {
    after(ONE_WAY_MILLIS, () -> arrived(request, answer -> after(2, () -> then.accept(answer))));
  }

  private void arrived(Request.StateServiceRequest request, Consumer<Answer> then) {
    requests++;
    int writes = request.writeCount();
    if (requestTokens < 1 || writeTokens < writes) {
      refused++;
      then.accept(new Answer.Refused(429, ""));
      return;
    }
    requestTokens -= 1;
    writeTokens -= writes;
    if (request instanceof Request.Commit) {
      epoch++;
      then.accept(new Answer.Committed(new Revision(epoch)));
      List<Watcher> woken = List.copyOf(watchers);
      watchers.clear();
      woken.forEach(watcher -> watcher.then().accept(changes()));
    } else if (request instanceof Request.Watch watch) {
      if (watch.maxWait().millis() == 0 || watch.after().value() < epoch) {
        then.accept(changes());
      } else {
        watchers.add(new Watcher(watch, now + watch.maxWait().millis(), then));
      }
    } else if (request instanceof Request.ReadPage) {
      then.accept(new Answer.Page(List.of(), false, new Revision(epoch)));
    } else {
      then.accept(new Answer.Ok());
    }
  }

  private Answer changes() {
    return new Answer.Changes(
        new Revision(epoch), List.of(new News("k", Optional.empty(), new Revision(epoch))));
  }

  /** Goes on until then; the action is done each millisecond. */
  void run(long until, Runnable each) {
    for (; now < until; now++) {
      requestTokens = Math.min(REQUESTS, requestTokens + REQUESTS / 1000);
      writeTokens = Math.min(WRITES, writeTokens + WRITES / 1000);
      for (Watcher watcher : List.copyOf(watchers)) {
        if (watcher.until() <= now) {
          watchers.remove(watcher);
          watcher.then().accept(new Answer.Changes(new Revision(epoch), List.of()));
        }
      }
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().action().run();
      }
      each.run();
    }
  }
}
