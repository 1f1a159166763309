package org.oakwalk.core.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.drain.Gate;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.placement.RunTimes;
import org.oakwalk.core.placement.Takes;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes room from batch work for serving and gives it back. Each take is stored as an intent before
 * its first stop, its room is kept for the taker alone until that starts or the intent ends, and it
 * is owed until the giver runs again, its job is over, or the room is no more.
 *
 * <p>A new leader goes on from the record alone: what it finds under way it goes on with, on the
 * same machine and for the same need, so that no need is met twice.
 */
public final class ExchangeController implements Takes {
  private static final Logger LOG = LoggerFactory.getLogger(ExchangeController.class);
  private static final int MAX_TRANSFERS_PER_CALL = 16;

  private final List<ExchangeTerms> terms;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Quota quota;
  private final Gate disruptionLimiter;
  private final Token token;
  private final Span suspectAfter;
  private final TaskStarter starter;
  private final TransferPlanner planner;
  private final BiConsumer<Machine, Job> reserveForGang;
  private final OpenTransfers openTransfers;
  private final TakerDemand demand;
  private long lastNumber;

  /**
   * Exchanges under one token.
   *
   * @param reserveForGang keeps a machine for a gang that has to start whole
   */
  public ExchangeController(
      List<ExchangeTerms> terms,
      SharedRecord<CapacityTransfer> record,
      Fleet fleet,
      JobRegistry jobs,
      Quota quota,
      Gate gate,
      RunTimes runTimes,
      Span suspectAfter,
      Reserve reserve,
      BiConsumer<Machine, Job> keepForGang) {
    this.terms = terms;
    this.openTransfers = new OpenTransfers(record, fleet);
    this.fleet = fleet;
    this.jobs = jobs;
    this.quota = quota;
    this.disruptionLimiter = gate;
    this.token = fleet.token();
    this.suspectAfter = suspectAfter;
    this.starter = new TaskStarter(fleet, quota, reserve, runTimes, suspectAfter);
    this.planner = new TransferPlanner(fleet, quota, reserve, openTransfers::countFromGiver);
    this.reserveForGang = keepForGang;
    this.demand = new TakerDemand(terms, jobs);
  }

  private Optional<ExchangeTerms> termsFor(Job taker) {
    return terms.stream().filter(each -> each.isTaker(taker.spec())).findFirst();
  }

  private Optional<ExchangeTerms> termsOf(CapacityTransfer take) {
    return terms.stream().filter(each -> each.name().equals(take.exchangeName())).findFirst();
  }

  @Override
  public boolean spares(Job asking, Placement placement) {
    return openTransfers.isUsable()
        && termsFor(asking).filter(each -> each.isGiver(placement.job().spec())).isPresent();
  }

  @Override
  public boolean ask(Job job, List<Machine> machines, Moment now, WallTime wall) {
    Optional<ExchangeTerms> found = openTransfers.isUsable() ? termsFor(job) : Optional.empty();
    if (found.isEmpty()) {
      return false;
    }
    ExchangeTerms each = found.get();
    int underWay = openTransfers.pendingCountFor(job);
    for (int i = 0; i < MAX_TRANSFERS_PER_CALL && underWay < job.pendingCount(); i++) {
      long held = openTransfers.countUnder(each);
      Optional<TransferPlanner.TransferPlan> plan =
          held < each.maxOpenTransfers() && quota.allows(job, underWay + 1)
              ? planner.cheapestPlan(job, each, machines, now)
              : Optional.empty();
      if (plan.isEmpty() || !disruptionLimiter.allows(plan.get().victims())) {
        break;
      }
      Optional<CapacityTransfer> instead = returnUnusedTransfer(job, now, wall);
      addIntent(
          each,
          job,
          plan.get(),
          instead.map(CapacityTransfer::demandLevel).orElse(demandLevel(each)),
          now,
          wall);
      underWay++;
    }
    return underWay > 0;
  }

  /**
   * Before a job takes once more: it never holds more takes than it has replicas. One that it holds
   * and makes no use of, since the replica there was lost with its machine's lease, say, goes back
   * in the same revision of the record. There is one: of its replicas some wait for which nothing
   * is under way, so fewer are placed than it holds takes.
   *
   * @return what goes back; the other stands for the same replica, so need is at the same level
   */
  private Optional<CapacityTransfer> returnUnusedTransfer(Job job, Moment now, WallTime wall) {
    List<TrackedTransfer> held = openTransfers.activeFor(job);
    if (held.size() < job.spec().tasks()) {
      return Optional.empty();
    }
    Optional<TrackedTransfer> given =
        held.stream()
            .filter(
                live ->
                    live.transfer.state() == CapacityTransfer.State.TAKEN
                        && openTransfers.isUnused(live))
            .min(Comparator.comparing(live -> machineAcceptsTasks(live, now)));
    given.ifPresent(live -> beginReturn(live, job.id() + " has room elsewhere instead", now, wall));
    return given.map(live -> live.transfer);
  }

  /** Whether room that was taken may have a replica at once, rather than be out of reach. */
  private boolean machineAcceptsTasks(TrackedTransfer live, Moment now) {
    return fleet
        .find(live.transfer.machine())
        .filter(machine -> machine.takesTasks(now, suspectAfter))
        .isPresent();
  }

  /** How many replicas of the takers there are, with one more. */
  private int demandLevel(ExchangeTerms each) {
    int level = 1;
    for (Job other : jobs.all()) {
      level += other.isOpen() && each.isTaker(other.spec()) ? other.assignedCount() : 0;
    }
    for (TrackedTransfer live : openTransfers.all()) {
      level +=
          live.transfer.isPending() && live.transfer.exchangeName().equals(each.name()) ? 1 : 0;
    }
    return level;
  }

  private void addIntent(
      ExchangeTerms each,
      Job job,
      TransferPlanner.TransferPlan plan,
      int level,
      Moment now,
      WallTime wall) {
    CapacityTransfer take =
        new CapacityTransfer(
            new TransferId(token, ++lastNumber),
            CapacityTransfer.State.INTENDED,
            each.name(),
            plan.giver().id(),
            plan.giver().spec().team(),
            plan.victims().size(),
            job.id(),
            job.spec().resources(),
            plan.machine().id(),
            level,
            wall);
    TrackedTransfer live = new TrackedTransfer(take, now);
    live.victims = plan.victims();
    live.reserveOn(plan.machine());
    openTransfers.add(live);
    LOG.info(
        "take {}: {} takes {} tasks of {} on {}, at a cost of {} s",
        take.id(),
        job.id(),
        take.stoppedTasks(),
        take.giver(),
        take.machine(),
        Math.round(plan.costSeconds()));
  }

  /** Goes on with what is open; orders nothing before it is known what runs. */
  public void tick(boolean recovered, Moment now, WallTime wall) {
    if (!openTransfers.restoreWhenLoaded(now)) {
      return;
    }
    if (recovered) {
      demand.update(now);
      for (TrackedTransfer live : openTransfers.all()) {
        step(live, now, wall);
      }
      returnExcess(now, wall);
    }
    openTransfers.writeChanges();
  }

  private void step(TrackedTransfer live, Moment now, WallTime wall) {
    switch (live.transfer.state()) {
      case INTENDED, SAVING -> proceed(live, now, wall);
      case TAKEN -> checkTaken(live, now, wall);
      case RETURNING -> resumeGiver(live, now);
      case SETTLED -> {}
    }
  }

  private boolean withinHoldTimeout(TrackedTransfer live, Moment now) {
    Span patience = termsOf(live.transfer).map(ExchangeTerms::holdTimeout).orElse(Span.seconds(0));
    return !now.past(live.stateSince, patience);
  }

  /** Stops the giver's tasks once that is stored, and starts the taker when they are gone. */
  private void proceed(TrackedTransfer live, Moment now, WallTime wall) {
    Machine machine = live.reservedMachine;
    Optional<Job> taker = findTaker(live);
    if (machine == null
        || !machine.takesTasks(now, suspectAfter) && !withinHoldTimeout(live, now)) {
      beginReturn(live, "its machine is gone", now, wall);
    } else if (taker.isEmpty()) {
      proceedWithoutTaker(live, now, wall);
    } else if (!withinHoldTimeout(live, now)) {
      beginReturn(live, "it took too long", now, wall);
    } else if (live.isRoomFree()) {
      startTaker(live, taker.get(), now, wall);
    } else if (live.transfer.state() == CapacityTransfer.State.INTENDED
        && openTransfers.isStored(live)) {
      orderStops(live, taker.get(), now);
    }
  }

  /**
   * Nobody needs it any more. If the giver was told to stop, its room is kept as if it had been
   * used, so that need which swings does not stop the giver each time it comes back.
   */
  private void proceedWithoutTaker(TrackedTransfer live, Moment now, WallTime wall) {
    if (live.transfer.state() == CapacityTransfer.State.INTENDED) {
      beginReturn(live, "nobody needs it any more", now, wall);
    } else if (live.isRoomFree()) {
      openTransfers.advance(live, live.transfer.toTaken(live.transfer.taker()), now);
    } else if (!withinHoldTimeout(live, now)) {
      beginReturn(live, "it took too long", now, wall);
    }
  }

  /** The job that the room is for: the one that asked, or another that waits for such room. */
  private Optional<Job> findTaker(TrackedTransfer live) {
    Optional<Job> first = jobs.find(live.transfer.taker()).filter(job -> waitsForRoom(job, live));
    if (first.isPresent() || termsOf(live.transfer).isEmpty()) {
      return first;
    }
    ExchangeTerms each = termsOf(live.transfer).get();
    return jobs.all().stream()
        .filter(job -> each.isTaker(job.spec()) && waitsForRoom(job, live))
        .filter(job -> openTransfers.pendingCountFor(job) < job.pendingCount())
        .min(Comparator.comparing(Job::waitingSince));
  }

  private boolean waitsForRoom(Job job, TrackedTransfer live) {
    return job.isOpen()
        && job.pendingCount() > 0
        && job.spec().resources().fitsInto(live.transfer.resources());
  }

  private void orderStops(TrackedTransfer live, Job taker, Moment now) {
    List<Placement> victims = new ArrayList<>();
    if (live.victims.isEmpty()) {
      // An older leader intended it: the giver's tasks that are still there.
      Resources free = live.reservedMachine.free().plus(live.transfer.resources());
      for (Placement placement : live.reservedMachine.placements()) {
        boolean gives =
            placement.job().id().equals(live.transfer.giver()) && planner.mayStop(placement, taker);
        if (placement.halting()) {
          free = free.plus(placement.job().spec().resources());
        } else if (gives && !live.transfer.resources().fitsInto(free)) {
          victims.add(placement);
          free = free.plus(placement.job().spec().resources());
        }
      }
    } else {
      live.victims.stream()
          .filter(victim -> victim.state() != Placement.State.OVER && !victim.halting())
          .filter(victim -> planner.mayStop(victim, taker))
          .forEach(victims::add);
    }
    if (!victims.isEmpty() && !disruptionLimiter.allows(victims)) {
      return;
    }
    victims.forEach(
        victim -> fleet.halt(victim, victim.job().spec().checkpointDuration(), Fleet.Why.TAKEN));
    openTransfers.advance(live, live.transfer.toSaving(), now);
  }

  private void startTaker(TrackedTransfer live, Job taker, Moment now, WallTime wall) {
    Machine machine = live.reservedMachine;
    int index = taker.nextPending(0, now);
    if (taker.spec().allows(machine.type().name(), machine.zone(), machine.spot())
        && starter.mayStart(taker, index, machine, now)) {
      Optional<CapacityTransfer> instead =
          taker.id().equals(live.transfer.taker())
              ? Optional.empty()
              : returnUnusedTransfer(taker, now, wall);
      live.releaseReservation();
      starter.place(taker, index, machine, now);
      openTransfers.advance(
          live, live.transfer.toTaken(taker.id()).withLowerDemandLevel(instead), now);
    }
  }

  private void beginReturn(TrackedTransfer live, String why, Moment now, WallTime wall) {
    LOG.info("take {} ends: {}", live.transfer.id(), why);
    openTransfers.advance(live, live.transfer.toReturning(wall), now);
  }

  /** The taker's replica may have ended: others that wait get its room, or it is kept a while. */
  private void checkTaken(TrackedTransfer live, Moment now, WallTime wall) {
    Optional<Machine> machine = fleet.find(live.transfer.machine());
    if (machine.isEmpty()) {
      LOG.info("take {}: its room is gone with {}", live.transfer.id(), live.transfer.machine());
      openTransfers.advance(live, live.transfer.toSettled(), now);
      return;
    }
    if (live.reservedMachine == null) {
      if (!openTransfers.isUnused(live)) {
        return;
      }
      live.reserveOn(machine.get());
    }
    if (live.isRoomFree()) {
      findTaker(live).ifPresent(taker -> startTaker(live, taker, now, wall));
    }
  }

  /** Gives back what need has fallen below for long enough, the oldest debts first. */
  private void returnExcess(Moment now, WallTime wall) {
    for (ExchangeTerms each : terms) {
      List<TrackedTransfer> held =
          openTransfers.all().stream()
              .filter(l -> l.transfer.exchangeName().equals(each.name()))
              .filter(l -> l.transfer.state() == CapacityTransfer.State.TAKEN)
              .toList();
      int due = demand.dueForReturn(each, held.stream().map(live -> live.transfer).toList(), now);
      held.stream()
          .limit(due)
          .forEach(
              live ->
                  beginReturn(live, "need has fallen to " + demand.replicaCount(each), now, wall));
    }
    for (TrackedTransfer live : openTransfers.all()) {
      if (live.transfer.state() == CapacityTransfer.State.TAKEN
          && termsOf(live.transfer).isEmpty()) {
        beginReturn(live, "its exchange is declared no more", now, wall);
      }
    }
  }

  /** The giver goes on in the room that is kept for it, or wherever there is room. */
  private void resumeGiver(TrackedTransfer live, Moment now) {
    Optional<Job> giver = jobs.find(live.transfer.giver()).filter(Job::isOpen);
    if (giver.isEmpty() || giver.get().pendingCount() <= 0 || !withinHoldTimeout(live, now)) {
      LOG.info(
          "take {}: {} {}",
          live.transfer.id(),
          live.transfer.giver(),
          giver.isEmpty() ? "is over" : giver.get().pendingCount() <= 0 ? "runs" : "can't go on");
      openTransfers.advance(live, live.transfer.toSettled(), now);
      return;
    }
    if (!openTransfers.isStored(live)) {
      return;
    }
    Job job = giver.get();
    if (job.spec().gang()) {
      if (live.reservedMachine != null) {
        Machine machine = live.reservedMachine;
        live.releaseReservation();
        reserveForGang.accept(machine, job);
      }
      return;
    }
    Machine machine =
        live.reservedMachine != null ? live.reservedMachine : starter.findMachine(job, now);
    if (machine == null) {
      return;
    }
    live.releaseReservation();
    int placed = starter.startUpTo(job, live.transfer.stoppedTasks(), machine, now);
    if (placed > 0) {
      LOG.info("take {}: {} tasks of {} go on", live.transfer.id(), placed, job.id());
      openTransfers.advance(live, live.transfer.toSettled(), now);
    }
  }
}
