package org.oakwalk.model;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.port.Response;

/** When and to whom a worker reports: to one node at a time, one report at a time. */
final class Reporting {
  private static final long ANSWER_WAIT = 4000;
  private static final long LEAST_SPACING = 500;
  private static final long NEXT_NODE_AFTER = 1000;

  private final World world;
  private final SimWorker worker;
  private long lastReport = Long.MIN_VALUE / 2;
  private boolean changed;
  private boolean inFlight;
  private long reports;
  private int node;
  private long quietUntil;

  Reporting(World world, SimWorker worker) {
    this.world = world;
    this.worker = worker;
    this.node = Math.abs(worker.address().hashCode()) % world.nodes.size();
  }

  /** The node that it reports to. */
  SimNode to() {
    return world.nodes.get(node);
  }

  /** There is something new to report. */
  void changed() {
    changed = true;
  }

  /** Reports if it is time. */
  void step(BiConsumer<Response.Orders, Sent> orders) {
    long now = world.time.now();
    long every = world.settings.workers().reportInterval().millis();
    boolean due = now - lastReport >= every || (changed && now - lastReport >= LEAST_SPACING);
    if (!inFlight && due && now >= quietUntil) {
      report(orders);
    }
  }

  /** When a report was sent, and in which session. */
  record Sent(long at, long session) {}

  private void report(BiConsumer<Response.Orders, Sent> orders) {
    Sent sent = new Sent(world.time.now(), worker.session());
    long number = ++reports;
    lastReport = sent.at();
    changed = false;
    inFlight = true;
    NodeId to = world.nodes.get(node).id;
    Report report = worker.snapshot();
    world.reportLoad.reported(report);
    if (!world.noReports.lose(worker.address())) {
      send(
          report,
          to,
          response -> {
            if (number == reports && inFlight && worker.awake()) {
              inFlight = false;
              answered(response, sent, orders);
            }
          });
    }
    world.time.after(
        ANSWER_WAIT,
        () -> {
          if (number == reports && inFlight) {
            inFlight = false;
            nextNode();
          }
        });
  }

  private void send(Report report, NodeId to, Consumer<Response> then) {
    if (!world.keptReports.sent(report)) {
      world.network.send(
          worker.address(),
          to.value(),
          () ->
              world
                  .node(to)
                  .report(
                      report,
                      response ->
                          world.network.send(
                              to.value(), worker.address(), () -> then.accept(response))));
    }
    if (!world.network.parted(worker.address(), to.value())) {
      world
          .lateness
          .reportRepeatDelay(worker.address())
          .ifPresent(late -> world.time.after(late, () -> world.node(to).reportAgain(report)));
    }
  }

  private void answered(Response response, Sent sent, BiConsumer<Response.Orders, Sent> then) {
    if (response instanceof Response.Orders orders) {
      then.accept(orders, sent);
    } else if (response instanceof Response.Redirect elsewhere
        && elsewhere.leader().isPresent()
        && world.indexOf(elsewhere.leader().get()) != node) {
      node = world.indexOf(elsewhere.leader().get());
      changed = true;
    } else {
      nextNode();
    }
  }

  private void nextNode() {
    node = (node + 1) % world.nodes.size();
    quietUntil = world.time.now() + NEXT_NODE_AFTER;
    changed = true;
  }
}
