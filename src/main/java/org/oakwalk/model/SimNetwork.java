package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Simulated network between named hosts, with delays, losses, duplicates and partitions. */
final class SimNetwork {
  private static final long LATENCY_MILLIS = 3;

  /** Two groups of hosts and the end of a fault on the links between them. */
  private record LinkFault(Predicate<String> left, Predicate<String> right, long expiresAt) {
    boolean connects(String a, String b) {
      return left.test(a) && right.test(b) || left.test(b) && right.test(a);
    }
  }

  private record LinkPartition(LinkFault link, boolean delaysMessages) {}

  /** Added latency; if one way, only for messages from the left group to the right. */
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

  private boolean isActive(LinkFault link, String from, String to) {
    return link.expiresAt() > time.now() && link.connects(from, to);
  }

  /**
   * Partitions two groups of hosts from each other.
   *
   * @param hold delivers the messages after the end of the partition instead of losing them
   */
  void partition(Predicate<String> left, Predicate<String> right, double seconds, boolean hold) {
    partitions.add(new LinkPartition(linkFault(left, right, seconds), hold));
  }

  /**
   * Adds latency to messages between two groups of hosts.
   *
   * @param by added latency in seconds
   */
  void delay(
      Predicate<String> left, Predicate<String> right, double seconds, double by, boolean oneWay) {
    delays.add(new LinkDelay(linkFault(left, right, seconds), Math.round(by * 1000), oneWay));
  }

  /**
   * Delivers messages between two groups of hosts a second time.
   *
   * @param after delay of the copy, in seconds
   * @param includeStarts includes the start orders in copies of commands
   */
  void duplicate(
      Predicate<String> left,
      Predicate<String> right,
      double seconds,
      double after,
      boolean includeStarts) {
    duplications.add(
        new LinkDuplication(
            linkFault(left, right, seconds), Math.round(after * 1000), includeStarts));
  }

  /** Loses messages to these hosts, while messages from them arrive. */
  void dropInbound(Predicate<String> hosts, double seconds) {
    inboundLosses.add(new InboundLoss(hosts, time.now() + Math.round(seconds * 1000)));
  }

  private boolean dropsInbound(String host) {
    return inboundLosses.stream()
        .anyMatch(loss -> loss.expiresAt() > time.now() && loss.hosts().test(host));
  }

  boolean isPartitioned(String from, String to) {
    return partitions.stream().anyMatch(partition -> isActive(partition.link(), from, to));
  }

  void send(String from, String to, Runnable deliver) {
    send(from, to, deliver, includeStarts -> deliver.run());
  }

  /**
   * Sends a message whose late copies are delivered by a separate handler.
   *
   * @param duplicate receives true if copies include start orders
   */
  void send(String from, String to, Runnable deliver, Consumer<Boolean> duplicate) {
    sendDuplicates(from, to, duplicate);
    if (dropsInbound(to)) {
      return;
    }
    long delayMillis = 0;
    for (LinkPartition partition : partitions) {
      if (isActive(partition.link(), from, to)) {
        if (!partition.delaysMessages()) {
          return;
        }
        delayMillis = Math.max(delayMillis, partition.link().expiresAt() - time.now());
      }
    }
    for (LinkDelay delay : delays) {
      delayMillis +=
          isActive(delay.link(), from, to) && delay.delaysFrom(from) ? delay.delayMillis() : 0;
    }
    time.after(delayMillis + LATENCY_MILLIS, deliver);
  }

  /** Schedules only the late copies of a message, not the message itself. */
  void sendDuplicates(String from, String to, Consumer<Boolean> duplicate) {
    for (LinkDuplication copy : duplications) {
      if (isActive(copy.link(), from, to)) {
        time.after(
            copy.delayMillis(),
            () -> {
              if (!isPartitioned(from, to) && !dropsInbound(to)) {
                duplicate.accept(copy.includesStarts());
              }
            });
      }
    }
  }
}
