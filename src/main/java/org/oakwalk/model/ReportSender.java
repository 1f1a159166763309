package org.oakwalk.model;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.port.Response;

/** Sends the reports of a worker: to one node at a time, with at most one report in flight. */
final class ReportSender {
  private static final long RESPONSE_TIMEOUT_MILLIS = 4000;
  private static final long MIN_INTERVAL_MILLIS = 500;
  private static final long NODE_SWITCH_DELAY_MILLIS = 1000;

  private final World world;
  private final SimWorker worker;
  private long lastReportAt = Long.MIN_VALUE / 2;
  private boolean changed;
  private boolean inFlight;
  private long reportCount;
  private int nodeIndex;
  private long pausedUntil;

  ReportSender(World world, SimWorker worker) {
    this.world = world;
    this.worker = worker;
    this.nodeIndex = Math.abs(worker.address().hashCode()) % world.nodes.size();
  }

  /** Returns the node that the worker currently reports to. */
  SimNode target() {
    return world.nodes.get(nodeIndex);
  }

  /** Notes a change, so that the next report is sent before the regular interval ends. */
  void markChanged() {
    changed = true;
  }

  /** Sends a report if one is due and none is in flight. */
  void sendIfDue(BiConsumer<Response.Orders, SentReport> orders) {
    long now = world.time.now();
    long every = world.settings.workers().reportInterval().millis();
    boolean due =
        now - lastReportAt >= every || (changed && now - lastReportAt >= MIN_INTERVAL_MILLIS);
    if (!inFlight && due && now >= pausedUntil) {
      sendReport(orders);
    }
  }

  /** Time and worker session of a sent report. */
  record SentReport(long at, long session) {}

  private void sendReport(BiConsumer<Response.Orders, SentReport> orders) {
    SentReport sent = new SentReport(world.time.now(), worker.session());
    long number = ++reportCount;
    lastReportAt = sent.at();
    changed = false;
    inFlight = true;
    NodeId to = world.nodes.get(nodeIndex).id;
    Report report = worker.snapshot();
    world.workerTraffic.reportSent(report);
    if (MessageSizeRule.exceedsLimit(report)) {
      // Any controller answers 400, so the worker goes on to the next one.
      world.invariants.reportRefused(worker, report.tasks().size());
      inFlight = false;
      switchNode();
      return;
    }
    if (!world.reportLoss.isLost(worker.address())) {
      deliver(
          report,
          to,
          response -> {
            if (number == reportCount && inFlight && worker.isResponsive()) {
              inFlight = false;
              handleResponse(response, sent, orders);
            }
          });
    }
    world.time.after(
        RESPONSE_TIMEOUT_MILLIS,
        () -> {
          if (number == reportCount && inFlight) {
            inFlight = false;
            switchNode();
          }
        });
  }

  private void deliver(Report report, NodeId to, Consumer<Response> then) {
    if (!world.reportReplay.recordSent(report)) {
      world.network.send(
          worker.address(),
          to.value(),
          () ->
              world
                  .node(to)
                  .receiveReport(
                      report,
                      response ->
                          world.network.send(
                              to.value(), worker.address(), () -> then.accept(response))));
    }
    if (!world.network.isPartitioned(worker.address(), to.value())) {
      world
          .delayInjector
          .reportRepeatDelay(worker.address())
          .ifPresent(
              delay ->
                  world.time.after(delay, () -> world.node(to).receiveDuplicateReport(report)));
    }
  }

  private void handleResponse(
      Response response, SentReport sent, BiConsumer<Response.Orders, SentReport> then) {
    if (response instanceof Response.Orders orders) {
      then.accept(orders, sent);
    } else if (response instanceof Response.Redirect elsewhere
        && elsewhere.leader().isPresent()
        && world.indexOf(elsewhere.leader().get()) != nodeIndex) {
      nodeIndex = world.indexOf(elsewhere.leader().get());
      changed = true;
    } else {
      switchNode();
    }
  }

  private void switchNode() {
    nodeIndex = (nodeIndex + 1) % world.nodes.size();
    pausedUntil = world.time.now() + NODE_SWITCH_DELAY_MILLIS;
    changed = true;
  }
}
