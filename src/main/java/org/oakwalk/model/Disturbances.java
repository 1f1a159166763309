package org.oakwalk.model;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Plays the lines of a scenario that disturb what hosts and users send to each other. */
final class Disturbances {
  private final World world;
  private final Hosts hosts;

  Disturbances(World world, Hosts hosts) {
    this.world = world;
    this.hosts = hosts;
  }

  /** Plays a line of the form {@code at SECONDS ACTION ...}; false if it is none of these. */
  boolean play(Words line) {
    double seconds = line.number("for", 10);
    switch (line.word(2)) {
      case "cut" ->
          world.network.cut(
              hosts.group(line.word(3)), hosts.group(line.word(4)), seconds, line.has("hold"));
      case "slownet" ->
          world.network.slow(
              hosts.group(line.word(3)),
              hosts.group(line.word(4)),
              seconds,
              line.number("by", 0.5),
              line.has("oneway"));
      case "copies" ->
          world.network.copies(
              hosts.group(line.word(3)),
              hosts.group(line.word(4)),
              seconds,
              line.number("after", 90),
              line.has("runs"));
      case "deaf" -> world.network.deafen(hosts.group(line.word(3)), seconds);
      case "closelooks" -> world.closeLooks.begin(line);
      case "latereports" -> {
        if (line.has("fornext")) {
          world.keptReports.keep(hosts.group(line.word(3)), line);
        } else {
          world.lateness.repeatReports(hosts.group(line.word(3)), line);
        }
      }
      case "laterentals" -> world.cloud.lateRentals(seconds, line.number("after", 0));
      case "quickboots" -> world.cloud.quickBoots(line.number(3));
      case "noreports" -> world.noReports.begin(hosts.group(line.word(3)), seconds);
      case "latewrites" -> world.lateness.delayWrites(named(line.word(3)), line);
      case "cancelnow" -> world.cancellations.cancelNow(line);
      case "cancelatend" -> world.cancellations.cancelAtCompletion(line);
      case "oddrequests" -> world.oddRequests.begin(line);
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Those whom a word means now, whatever becomes of them. */
  private Predicate<String> named(String who) {
    Set<String> names = new TreeSet<>();
    hosts.nodes(who).forEach(node -> names.add(node.id.value()));
    return names::contains;
  }
}
