package org.oakwalk.model;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Plays the lines of a scenario that disturb what hosts and users send to each other. */
final class MessageFaultActions {
  private final World world;
  private final HostSelector hosts;

  MessageFaultActions(World world, HostSelector hosts) {
    this.world = world;
    this.hosts = hosts;
  }

  /** Plays a line of the form {@code at SECONDS ACTION ...}; false if it is none of these. */
  boolean play(ScenarioLine line) {
    double seconds = line.number("for", 10);
    switch (line.word(2)) {
      case "cut" ->
          world.network.cut(
              hosts.group(line.word(3)), hosts.group(line.word(4)), seconds, line.hasWord("hold"));
      case "slownet" ->
          world.network.delay(
              hosts.group(line.word(3)),
              hosts.group(line.word(4)),
              seconds,
              line.number("by", 0.5),
              line.hasWord("oneway"));
      case "copies" ->
          world.network.duplicate(
              hosts.group(line.word(3)),
              hosts.group(line.word(4)),
              seconds,
              line.number("after", 90),
              line.hasWord("runs"));
      case "deaf" -> world.network.dropInbound(hosts.group(line.word(3)), seconds);
      case "closelooks" -> world.closeLooks.begin(line);
      case "latereports" -> {
        if (line.hasWord("fornext")) {
          world.reportReplay.addRule(hosts.group(line.word(3)), line);
        } else {
          world.lateness.reports(hosts.group(line.word(3)), line);
        }
      }
      case "laterentals" -> world.cloud.delayRentals(seconds, line.number("after", 0));
      case "quickboots" -> world.cloud.setQuickBoots(line.number(3));
      case "noreports" -> world.reportLoss.start(hosts.group(line.word(3)), seconds);
      case "latewrites" -> world.lateness.writes(currentNodeNames(line.word(3)), line);
      case "cancelnow" -> world.cancellations.now(line);
      case "cancelatend" -> world.cancellations.atEnd(line);
      case "oddrequests" -> world.oddRequests.begin(line);
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Those whom a word means now, whatever becomes of them. */
  private Predicate<String> currentNodeNames(String who) {
    Set<String> names = new TreeSet<>();
    hosts.nodes(who).forEach(node -> names.add(node.id.value()));
    return names::contains;
  }
}
