package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Carries messages between named hosts, late, never or twice where a scenario says so. */
final class Network {
  private static final long LATENCY = 3;

  /** Two groups of hosts, and until when something is odd between them. */
  private record Between(Predicate<String> left, Predicate<String> right, long end) {
    boolean parts(String a, String b) {
      return left.test(a) && right.test(b) || left.test(b) && right.test(a);
    }
  }

  private record Cut(Between hosts, boolean hold) {}

  /** One way: only what the first group sends to the second. */
  private record Slow(Between hosts, long millis, boolean oneWay) {
    boolean holdsUp(String from) {
      return !oneWay || hosts.left().test(from);
    }
  }

  private record Deaf(Predicate<String> hosts, long end) {}

  private record Copies(Between hosts, long after, boolean runsToo) {}

  private final Timeline time;
  private final List<Cut> cuts = new ArrayList<>();
  private final List<Slow> slow = new ArrayList<>();
  private final List<Copies> copies = new ArrayList<>();
  private final List<Deaf> deaf = new ArrayList<>();

  Network(Timeline time) {
    this.time = time;
  }

  private Between between(Predicate<String> left, Predicate<String> right, double seconds) {
    return new Between(left, right, time.now() + Math.round(seconds * 1000));
  }

  private boolean now(Between hosts, String from, String to) {
    return hosts.end() > time.now() && hosts.parts(from, to);
  }

  /** Cuts two groups of hosts off from each other; with hold, messages arrive after the end. */
  void cut(Predicate<String> left, Predicate<String> right, double seconds, boolean hold) {
    cuts.add(new Cut(between(left, right, seconds), hold));
  }

  /** What is sent between two groups from now on is under way for so much longer. */
  void slow(
      Predicate<String> left, Predicate<String> right, double seconds, double by, boolean oneWay) {
    slow.add(new Slow(between(left, right, seconds), Math.round(by * 1000), oneWay));
  }

  /** What is sent between two groups from now on arrives once more, so much later. */
  void copies(
      Predicate<String> left,
      Predicate<String> right,
      double seconds,
      double after,
      boolean runsToo) {
    copies.add(new Copies(between(left, right, seconds), Math.round(after * 1000), runsToo));
  }

  /** What is sent to these hosts from now on is lost, while what they send arrives. */
  void deafen(Predicate<String> hosts, double seconds) {
    deaf.add(new Deaf(hosts, time.now() + Math.round(seconds * 1000)));
  }

  private boolean deaf(String host) {
    return deaf.stream().anyMatch(one -> one.end() > time.now() && one.hosts().test(host));
  }

  boolean parted(String from, String to) {
    return cuts.stream().anyMatch(cut -> now(cut.hosts(), from, to));
  }

  void send(String from, String to, Runnable deliver) {
    send(from, to, deliver, runsToo -> deliver.run());
  }

  /** Sends a message of which late copies are received in a way of their own. */
  void send(String from, String to, Runnable deliver, Consumer<Boolean> again) {
    sendAgain(from, to, again);
    if (deaf(to)) {
      return;
    }
    long late = 0;
    for (Cut cut : cuts) {
      if (now(cut.hosts(), from, to)) {
        if (!cut.hold()) {
          return;
        }
        late = Math.max(late, cut.hosts().end() - time.now());
      }
    }
    for (Slow one : slow) {
      late += now(one.hosts(), from, to) && one.holdsUp(from) ? one.millis() : 0;
    }
    time.after(late + LATENCY, deliver);
  }

  /** Only the late copies of a message, without the message itself. */
  void sendAgain(String from, String to, Consumer<Boolean> again) {
    for (Copies copy : copies) {
      if (now(copy.hosts(), from, to)) {
        time.after(
            copy.after(),
            () -> {
              if (!parted(from, to) && !deaf(to)) {
                again.accept(copy.runsToo());
              }
            });
      }
    }
  }
}
