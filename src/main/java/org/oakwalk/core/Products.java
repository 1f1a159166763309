package org.oakwalk.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.oakwalk.core.drain.Gate;
import org.oakwalk.core.exchange.Exchange;
import org.oakwalk.core.exchange.Take;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.headroom.Headroom;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.placement.RunTimes;
import org.oakwalk.core.placement.Takes;
import org.oakwalk.core.planner.DeadlinePlanner;
import org.oakwalk.core.planner.PlanRow;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.product.ProductKeeper;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.oakwalk.core.shared.SharedRecords;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreView;

/**
 * What stands round the scheduler under one token: dawns, headroom, exchanges. Without terms in the
 * store or in this node's file it does nothing at all.
 */
final class Products implements Takes {
  /** What the parts work on. */
  record Ground(
      Fleet fleet,
      JobBook jobs,
      Quota quota,
      Gate gate,
      RunTimes runTimes,
      Span suspectAfter,
      Reserve reserve,
      BiConsumer<Machine, Job> keepForGang) {}

  private final ProductKeeper keeper;
  private final Outbox outbox;
  private final Guard leader;
  private final Settings settings;
  private final DeadlinePlanner planner;
  private final Headroom headroom;
  private final Ground ground;
  private Optional<SharedRecords> shared = Optional.empty();
  private Optional<Exchange> exchange = Optional.empty();
  private SharedRecord<PlanRow> plans;

  Products(
      ProductTerms declared,
      StoreView view,
      Outbox outbox,
      Guard leader,
      Settings settings,
      Headroom headroom,
      DeadlinePlanner planner,
      Ground ground) {
    this.headroom = headroom;
    this.planner = planner;
    this.ground = ground;
    this.keeper = new ProductKeeper(outbox, view, leader, declared);
    this.outbox = outbox;
    this.leader = leader;
    this.settings = settings;
  }

  /**
   * Whether tasks may be placed: what older leaders promised has been read, or there can be no such
   * promise.
   */
  boolean known() {
    return keeper.inForce().none() || shared.filter(SharedRecords::isLoaded).isPresent();
  }

  /** What is to be added to the line on the state of things; empty without terms. */
  String summary() {
    return headroom.summary().map(line -> "; " + line).orElse("");
  }

  /** Follows what is in force. */
  void tick(Map<String, MachineType> types, boolean recovered, Moment now, WallTime wall) {
    if (keeper.idle()) {
      return;
    }
    keeper.tick(now);
    ProductTerms terms = keeper.inForce();
    if (terms.none()) {
      headroom.off();
      planner.disable();
      return;
    }
    if (!keeper.settled()) {
      return;
    }
    if (shared.isEmpty()) {
      begin(terms);
    }
    shared.get().tick(now);
    if (shared.get().isLoaded()) {
      headroom.tick(terms.headrooms(), recovered, now);
      planner.tick(terms.dawns(), plans, types, recovered, now, wall);
    }
    exchange.ifPresent(each -> each.tick(recovered, now, wall));
  }

  private void begin(ProductTerms terms) {
    SharedRecords state = new SharedRecords(outbox, leader, settings.state());
    headroom.share(state);
    plans = state.declare(DeadlinePlanner.RECORD_NAME, PlanRow.class);
    shared = Optional.of(state);
    if (!terms.exchanges().isEmpty()) {
      exchange =
          Optional.of(
              new Exchange(
                  terms.exchanges(),
                  state.declare("exchange", Take.class),
                  ground.fleet(),
                  ground.jobs(),
                  ground.quota(),
                  ground.gate(),
                  ground.runTimes(),
                  ground.suspectAfter(),
                  ground.reserve(),
                  ground.keepForGang()));
    }
  }

  @Override
  public boolean spares(Job asking, Placement placement) {
    return exchange.filter(each -> each.spares(asking, placement)).isPresent();
  }

  @Override
  public boolean ask(Job job, List<Machine> machines, Moment now, WallTime wall) {
    return exchange.filter(each -> each.ask(job, machines, now, wall)).isPresent();
  }
}
