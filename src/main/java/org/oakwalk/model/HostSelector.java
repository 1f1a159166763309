package org.oakwalk.model;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.TaskId;

/** Resolves host names and group names of a scenario to the hosts they denote at present. */
final class HostSelector {
  private final World world;

  HostSelector(World world) {
    this.world = world;
  }

  /**
   * Returns the nodes denoted by {@code all}, {@code down}, {@code leader}, {@code followers},
   * {@code leading} (empty if no node leads), or the name of a node.
   */
  List<SimNode> nodes(String name) {
    return switch (name) {
      case "all" -> world.nodes;
      case "down" -> world.nodes.stream().filter(node -> !node.isUp()).toList();
      case "leader" -> List.of(leader());
      case "leading" -> world.leader().map(List::of).orElse(List.of());
      case "followers" -> world.nodes.stream().filter(node -> node != leader()).toList();
      default -> List.of(world.node(new NodeId(name)));
    };
  }

  private SimNode leader() {
    return world.leader().orElseThrow(() -> new AssertionError("no node leads"));
  }

  /** Returns a machine by name, or by a task on it ({@code of:TASK}). */
  SimWorker worker(String name) {
    if (name.startsWith("of:")) {
      TaskId task = TaskId.parse(name.substring(3)).orElseThrow();
      return world.workers.values().stream()
          .filter(w -> w.tasks.containsKey(task) && !w.tasks.get(task).ended())
          .findFirst()
          .orElseThrow(() -> new AssertionError("no machine has task " + task));
    }
    return world.workers.get(new MachineId(name));
  }

  /**
   * Returns a predicate on host addresses for {@code leader}, {@code leading}, {@code followers},
   * {@code nodes}, {@code workers}, {@code everybody}, {@code zone:Z}, {@code of:TASK}, or the name
   * of one host or service.
   */
  Predicate<String> group(String name) {
    if (name.startsWith("zone:")) {
      String zone = name.substring(5);
      return host ->
          world.workerAt(host).map(w -> w.pool.zone().equals(zone)).orElse(false)
              || world.nodes.stream()
                  .anyMatch(n -> n.id.value().equals(host) && n.zone.equals(zone));
    }
    if (name.startsWith("of:")) {
      String address = worker(name).address();
      return address::equals;
    }
    Set<String> nodeNames = new TreeSet<>();
    switch (name) {
      case "leader", "followers" -> nodes(name).forEach(n -> nodeNames.add(n.id.value()));
      case "leading" -> nodes(name).forEach(n -> nodeNames.add(n.id.value()));
      case "nodes" -> world.nodes.forEach(n -> nodeNames.add(n.id.value()));
      default -> {}
    }
    return switch (name) {
      case "leader", "leading", "followers", "nodes" -> nodeNames::contains;
      case "workers" -> host -> world.workerAt(host).isPresent();
      case "everybody" -> host -> true;
      default -> name::equals;
    };
  }
}
