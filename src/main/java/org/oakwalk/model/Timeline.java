package org.oakwalk.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: things happen in order, and no clock is waited for. */
final class Timeline {
  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private long now = 1_000_000;
  private final long origin = now;
  private long lastSequence;

  long now() {
    return now;
  }

  double seconds() {
    return (now - origin) / 1000.0;
  }

  void after(long millis, Runnable action) {
    queue.add(new ScheduledAction(now + Math.max(0, millis), ++lastSequence, action));
  }

  void at(double seconds, Runnable action) {
    queue.add(new ScheduledAction(origin + Math.round(seconds * 1000), ++lastSequence, action));
  }

  void runUntil(double seconds) {
    long end = origin + Math.round(seconds * 1000);
    while (!queue.isEmpty() && queue.peek().at() <= end) {
      ScheduledAction next = queue.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }
}
