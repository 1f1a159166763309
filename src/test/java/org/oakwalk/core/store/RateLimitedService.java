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
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;

/** State service with rate limits and watches, in virtual time. It stores no values. */
final class RateLimitedService {
  static final int NODES = 7;
  static final double REQUESTS_PER_SECOND = 250;
  static final double WRITES_PER_SECOND = 50;
  private static final long ONE_WAY_MILLIS = 2;

  private record Event(long at, long sequence, Runnable action) {}

  private record Watcher(Request.Watch watch, long until, Consumer<Answer> callback) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final List<Watcher> watchers = new ArrayList<>();
  private double requestTokens = REQUESTS_PER_SECOND;
  private double writeTokens = WRITES_PER_SECOND;
  private long lastSequence;
  private long revision = 1;
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
        new Settings.WorkerTiming(TimeSpan.seconds(1), TimeSpan.seconds(10), TimeSpan.seconds(30)),
        new Settings.StateLimits(REQUESTS_PER_SECOND, WRITES_PER_SECOND, 4, 8),
        new Settings.CloudLimits(10, TimeSpan.seconds(1)),
        TimeSpan.millis(0));
  }

  void after(long millis, Runnable action) {
    events.add(new Event(now + millis, ++lastSequence, action));
  }

  /** Both limits allow bursts of one second's worth, as the real service does. */
  void serve(Request.StateServiceRequest request, Consumer<Answer> callback) {
    after(
        ONE_WAY_MILLIS, () -> receive(request, answer -> after(2, () -> callback.accept(answer))));
  }

  private void receive(Request.StateServiceRequest request, Consumer<Answer> callback) {
    requests++;
    int writes = request.writeCount();
    if (requestTokens < 1 || writeTokens < writes) {
      refused++;
      callback.accept(new Answer.Refused(429, ""));
      return;
    }
    requestTokens -= 1;
    writeTokens -= writes;
    if (request instanceof Request.Commit) {
      revision++;
      callback.accept(new Answer.Committed(new Revision(revision)));
      List<Watcher> notified = List.copyOf(watchers);
      watchers.clear();
      notified.forEach(watcher -> watcher.callback().accept(changes()));
    } else if (request instanceof Request.Watch watch) {
      if (watch.maxWait().millis() == 0 || watch.after().value() < revision) {
        callback.accept(changes());
      } else {
        watchers.add(new Watcher(watch, now + watch.maxWait().millis(), callback));
      }
    } else if (request instanceof Request.ReadPage) {
      callback.accept(new Answer.Page(List.of(), false, new Revision(revision)));
    } else {
      callback.accept(new Answer.Ok());
    }
  }

  private Answer changes() {
    return new Answer.Changes(
        new Revision(revision),
        List.of(new KeyChange("k", Optional.empty(), new Revision(revision))));
  }

  /** Advances the time to {@code until} and runs an action each millisecond. */
  void run(long until, Runnable everyMillisecond) {
    for (; now < until; now++) {
      requestTokens = Math.min(REQUESTS_PER_SECOND, requestTokens + REQUESTS_PER_SECOND / 1000);
      writeTokens = Math.min(WRITES_PER_SECOND, writeTokens + WRITES_PER_SECOND / 1000);
      for (Watcher watcher : List.copyOf(watchers)) {
        if (watcher.until() <= now) {
          watchers.remove(watcher);
          watcher.callback().accept(new Answer.Changes(new Revision(revision), List.of()));
        }
      }
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().action().run();
      }
      everyMillisecond.run();
    }
  }
}
