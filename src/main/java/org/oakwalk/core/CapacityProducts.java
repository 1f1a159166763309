package org.oakwalk.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.oakwalk.core.drain.DisruptionLimiter;
import org.oakwalk.core.exchange.CapacityTransfer;
import org.oakwalk.core.exchange.ExchangeController;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.headroom.HeadroomController;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.placement.CapacityExchange;
import org.oakwalk.core.placement.CapacityReserve;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.RunTimeEstimates;
import org.oakwalk.core.planner.DeadlinePlanner;
import org.oakwalk.core.planner.PlanRow;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.core.product.ProductTermsWriter;
import org.oakwalk.core.shared.SharedRecord;
import org.oakwalk.core.shared.SharedRecords;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreView;

/**
 * Capacity features around the scheduler under one token: planning for recurring batch deadlines
 * ({@code dawn} blocks of the policy file), headroom for service replicas, and transfers of
 * capacity between batch jobs and services. Without terms for them, stored or configured on this
 * node, it does nothing.
 */
final class CapacityProducts implements CapacityExchange {
  /** Scheduler components that the capacity features operate on. */
  record ProductContext(
      Fleet fleet,
      JobRegistry jobs,
      Quota quota,
      DisruptionLimiter disruptionLimiter,
      RunTimeEstimates runTimes,
      TimeSpan suspectAfter,
      CapacityReserve reserve,
      BiConsumer<Machine, Job> reserveForGang) {}

  private final ProductTermsWriter termsWriter;
  private final Outbox outbox;
  private final Guard leaderGuard;
  private final Settings settings;
  private final DeadlinePlanner planner;
  private final HeadroomController headroom;
  private final ProductContext context;
  private Optional<SharedRecords> sharedRecords = Optional.empty();
  private Optional<ExchangeController> exchange = Optional.empty();
  private SharedRecord<PlanRow> plans;

  CapacityProducts(
      ProductTerms declared,
      StoreView view,
      Outbox outbox,
      Guard leader,
      Settings settings,
      HeadroomController headroom,
      DeadlinePlanner planner,
      ProductContext context) {
    this.headroom = headroom;
    this.planner = planner;
    this.context = context;
    this.termsWriter = new ProductTermsWriter(outbox, view, leader, declared);
    this.outbox = outbox;
    this.leaderGuard = leader;
    this.settings = settings;
  }

  /**
   * Whether tasks may be placed: the commitments of earlier leaders have been read, or there can be
   * none.
   */
  boolean allowsPlacement() {
    return termsWriter.activeTerms().isUndeclared()
        || sharedRecords.filter(SharedRecords::isLoaded).isPresent();
  }

  /** Summary of the headroom for the leader's log line; empty without terms. */
  String summary() {
    return headroom.summary().map(line -> "; " + line).orElse("");
  }

  /** Runs the capacity features under the active terms. */
  void tick(Map<String, MachineType> types, boolean recovered, MonotonicTime now, WallTime wall) {
    if (termsWriter.isUnused()) {
      return;
    }
    termsWriter.tick(now);
    ProductTerms terms = termsWriter.activeTerms();
    if (terms.isUndeclared()) {
      headroom.disable();
      planner.disable();
      return;
    }
    if (!termsWriter.isUpToDate()) {
      return;
    }
    if (sharedRecords.isEmpty()) {
      openRecords(terms);
    }
    sharedRecords.get().tick(now);
    if (sharedRecords.get().isLoaded()) {
      headroom.tick(terms.headrooms(), recovered, now);
      planner.tick(terms.batchDeadlines(), plans, types, recovered, now, wall);
    }
    exchange.ifPresent(each -> each.tick(recovered, now, wall));
  }

  private void openRecords(ProductTerms terms) {
    SharedRecords records = new SharedRecords(outbox, leaderGuard, settings.state());
    headroom.declareRecord(records);
    plans = records.declare(DeadlinePlanner.RECORD_NAME, PlanRow.class);
    sharedRecords = Optional.of(records);
    if (!terms.exchanges().isEmpty()) {
      exchange =
          Optional.of(
              new ExchangeController(
                  terms.exchanges(),
                  records.declare("exchange", CapacityTransfer.class),
                  context.fleet(),
                  context.jobs(),
                  context.quota(),
                  context.disruptionLimiter(),
                  context.runTimes(),
                  context.suspectAfter(),
                  context.reserve(),
                  context.reserveForGang()));
    }
  }

  @Override
  public boolean excludesPreemption(Job asking, Placement placement) {
    return exchange.filter(each -> each.excludesPreemption(asking, placement)).isPresent();
  }

  @Override
  public boolean requestCapacity(
      Job job, List<Machine> machines, MonotonicTime now, WallTime wall) {
    return exchange.filter(each -> each.requestCapacity(job, machines, now, wall)).isPresent();
  }
}
