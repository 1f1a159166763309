package org.oakwalk.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and event queue of the simulation. Actions run in the order of their time, and
 * those of equal time in the order of scheduling.
 */
final class Timeline {
  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private long now = 1_000_000;
  private final long origin = now;
  private long lastSequence;

  /** Returns the virtual time in milliseconds. */
  long now() {
    return now;
  }

  /** Returns the virtual time since the start of the simulation, in seconds. */
  double seconds() {
    return (now - origin) / 1000.0;
  }

  /** Schedules an action after a delay. */
  void after(long millis, Runnable action) {
    queue.add(new ScheduledAction(now + Math.max(0, millis), ++lastSequence, action));
  }

  /** Schedules an action at a time in seconds since the start of the simulation. */
  void at(double seconds, Runnable action) {
    queue.add(new ScheduledAction(origin + Math.round(seconds * 1000), ++lastSequence, action));
  }

  /** Runs all actions that are due until a time, and advances the clock to it. */
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
