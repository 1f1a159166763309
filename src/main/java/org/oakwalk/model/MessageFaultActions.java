package org.oakwalk.model;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Carries out the scenario actions that delay, lose, duplicate or add messages, or that make users
 * send unusual requests.
 */
final class MessageFaultActions {
  private final World world;
  private final HostSelector hostSelector;

  MessageFaultActions(World world, HostSelector hostSelector) {
    this.world = world;
    this.hostSelector = hostSelector;
  }

  /**
   * Carries out a line {@code at SECONDS ACTION ...}; returns false if the action is unknown here.
   */
  boolean run(ScenarioLine line) {
    double seconds = line.number("for", 10);
    switch (line.word(2)) {
      case "cut" ->
          world.network.partition(
              hostSelector.group(line.word(3)),
              hostSelector.group(line.word(4)),
              seconds,
              line.hasWord("hold"));
      case "slownet" ->
          world.network.delay(
              hostSelector.group(line.word(3)),
              hostSelector.group(line.word(4)),
              seconds,
              line.number("by", 0.5),
              line.hasWord("oneway"));
      case "copies" ->
          world.network.duplicate(
              hostSelector.group(line.word(3)),
              hostSelector.group(line.word(4)),
              seconds,
              line.number("after", 90),
              line.hasWord("runs"));
      case "deaf" -> world.network.dropInbound(hostSelector.group(line.word(3)), seconds);
      case "closelooks" -> world.consistencyProbes.begin(line);
      case "latereports" -> {
        if (line.hasWord("fornext")) {
          world.reportReplay.addRule(hostSelector.group(line.word(3)), line);
        } else {
          world.delayInjector.repeatReports(hostSelector.group(line.word(3)), line);
        }
      }
      case "latecommands" ->
          world.delayInjector.delayCommands(hostSelector.group(line.word(3)), line);
      case "laterentals" -> world.cloud.delayRentals(seconds, line.number("after", 0));
      case "quickboots" -> world.cloud.setQuickBoots(line.number(3));
      case "noreports" -> world.reportLoss.start(hostSelector.group(line.word(3)), seconds);
      case "latewrites" -> world.delayInjector.delayWrites(currentNodeNames(line.word(3)), line);
      case "cancelnow" -> world.cancellations.cancelNow(line);
      case "cancelatend" -> world.cancellations.cancelAtCompletion(line);
      case "oddrequests" -> world.edgeCaseRequests.begin(line);
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Returns a predicate that keeps matching the nodes that a name denotes now. */
  private Predicate<String> currentNodeNames(String name) {
    Set<String> names = new TreeSet<>();
    hostSelector.nodes(name).forEach(node -> names.add(node.id.value()));
    return names::contains;
  }
}
