package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Carries messages between named hosts, late, never or twice where a scenario says so. */
final class SimNetwork {
  private static final long LATENCY_MILLIS = 3;

  /** Two groups of hosts, and until when something is odd between them. */
  private record LinkFault(Predicate<String> left, Predicate<String> right, long expiresAt) {
    boolean connects(String a, String b) {
      return left.test(a) && right.test(b) || left.test(b) && right.test(a);
    }
  }

  private record LinkPartition(LinkFault link, boolean delaysMessages) {}

  /** One way: only what the first group sends to the second. */
  private record LinkDelay(LinkFault link, long delayMillis, boolean oneWay) {
    boolean delaysFrom(String from) {
      return !oneWay || link.left().test(from);
    }
  }

  private record InboundLoss(Predicate<String> hosts, long expiresAt) {}

  private record LinkDuplication(LinkFault link, long delayMillis, boolean includesStarts) {}

  private final Timeline time;
  private final List<LinkPartition> partitions = new ArrayList<>();
  private final List<LinkDelay> delays = new ArrayList<>();
  private final List<LinkDuplication> duplications = new ArrayList<>();
  private final List<InboundLoss> inboundLosses = new ArrayList<>();

  SimNetwork(Timeline time) {
    this.time = time;
  }

  private LinkFault linkFault(Predicate<String> left, Predicate<String> right, double seconds) {
    return new LinkFault(left, right, time.now() + Math.round(seconds * 1000));
  }

  private boolean isActive(LinkFault hosts, String from, String to) {
    return hosts.expiresAt() > time.now() && hosts.connects(from, to);
  }

  /** Cuts two groups of hosts off from each other; with hold, messages arrive after the end. */
  void cut(Predicate<String> left, Predicate<String> right, double seconds, boolean hold) {
    partitions.add(new LinkPartition(linkFault(left, right, seconds), hold));
  }

  /** What is sent between two groups from now on is under way for so much longer. */
  void delay(
      Predicate<String> left, Predicate<String> right, double seconds, double by, boolean oneWay) {
    delays.add(new LinkDelay(linkFault(left, right, seconds), Math.round(by * 1000), oneWay));
  }

  /** What is sent between two groups from now on arrives once more, so much later. */
  void duplicate(
      Predicate<String> left,
      Predicate<String> right,
      double seconds,
      double after,
      boolean runsToo) {
    duplications.add(
        new LinkDuplication(linkFault(left, right, seconds), Math.round(after * 1000), runsToo));
  }

  /** What is sent to these hosts from now on is lost, while what they send arrives. */
  void dropInbound(Predicate<String> hosts, double seconds) {
    inboundLosses.add(new InboundLoss(hosts, time.now() + Math.round(seconds * 1000)));
  }

  private boolean dropsInbound(String host) {
    return inboundLosses.stream()
        .anyMatch(one -> one.expiresAt() > time.now() && one.hosts().test(host));
  }

  boolean isPartitioned(String from, String to) {
    return partitions.stream().anyMatch(cut -> isActive(cut.link(), from, to));
  }

  void send(String from, String to, Runnable deliver) {
    send(from, to, deliver, runsToo -> deliver.run());
  }

  /** Sends a message of which late copies are received in a way of their own. */
  void send(String from, String to, Runnable deliver, Consumer<Boolean> again) {
    sendDuplicates(from, to, again);
    if (dropsInbound(to)) {
      return;
    }
    long late = 0;
    for (LinkPartition cut : partitions) {
      if (isActive(cut.link(), from, to)) {
        if (!cut.delaysMessages()) {
          return;
        }
        late = Math.max(late, cut.link().expiresAt() - time.now());
      }
    }
    for (LinkDelay one : delays) {
      late += isActive(one.link(), from, to) && one.delaysFrom(from) ? one.delayMillis() : 0;
    }
    time.after(late + LATENCY_MILLIS, deliver);
  }

  /** Only the late copies of a message, without the message itself. */
  void sendDuplicates(String from, String to, Consumer<Boolean> again) {
    for (LinkDuplication copy : duplications) {
      if (isActive(copy.link(), from, to)) {
        time.after(
            copy.delayMillis(),
            () -> {
              if (!isPartitioned(from, to) && !dropsInbound(to)) {
                again.accept(copy.includesStarts());
              }
            });
      }
    }
  }
}
