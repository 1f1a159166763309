package org.oakwalk.core.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.drain.DisruptionLimiter;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.CapacityExchange;
import org.oakwalk.core.placement.CapacityReserve;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.RunTimeEstimates;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers room from batch jobs (givers) to service replicas (takers) and gives it back. Each
 * transfer is stored as an intent before its first stop. Its room is reserved for the taker alone
 * until the replica starts or the transfer ends, and the transfer stays open until the giver runs
 * again, the giver's job has ended, or the machine is gone.
 *
 * <p>A new leader continues from the stored record alone: it continues each open transfer on the
 * same machine and for the same demand, so that no demand is met twice.
 */
public final class ExchangeController implements CapacityExchange {
  private static final Logger LOG = LoggerFactory.getLogger(ExchangeController.class);
  private static final int MAX_TRANSFERS_PER_CALL = 16;

  private final List<ExchangeTerms> terms;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Quota quota;
  private final DisruptionLimiter disruptionLimiter;
  private final Token token;
  private final TimeSpan suspectAfter;
  private final TaskStarter starter;
  private final TransferPlanner planner;
  private final BiConsumer<Machine, Job> reserveForGang;
  private final OpenTransfers openTransfers;
  private final TakerDemand demand;
  private long lastNumber;

  /**
   * Creates a controller for one leader term.
   *
   * @param reserveForGang reserves a machine for a gang, whose tasks have to start together
   */
  public ExchangeController(
      List<ExchangeTerms> terms,
      SharedRecord<CapacityTransfer> record,
      Fleet fleet,
      JobRegistry jobs,
      Quota quota,
      DisruptionLimiter disruptionLimiter,
      RunTimeEstimates runTimes,
      TimeSpan suspectAfter,
      CapacityReserve reserve,
      BiConsumer<Machine, Job> reserveForGang) {
    this.terms = terms;
    this.openTransfers = new OpenTransfers(record, fleet);
    this.fleet = fleet;
    this.jobs = jobs;
    this.quota = quota;
    this.disruptionLimiter = disruptionLimiter;
    this.token = fleet.token();
    this.suspectAfter = suspectAfter;
    this.starter = new TaskStarter(fleet, quota, reserve, runTimes, suspectAfter);
    this.planner = new TransferPlanner(fleet, quota, reserve, openTransfers::countFromGiver);
    this.reserveForGang = reserveForGang;
    this.demand = new TakerDemand(terms, jobs);
  }

  private Optional<ExchangeTerms> termsFor(Job taker) {
    return terms.stream().filter(exchange -> exchange.isTaker(taker.spec())).findFirst();
  }

  private Optional<ExchangeTerms> termsOf(CapacityTransfer transfer) {
    return terms.stream()
        .filter(exchange -> exchange.name().equals(transfer.exchangeName()))
        .findFirst();
  }

  @Override
  public boolean excludesPreemption(Job asking, Placement placement) {
    return openTransfers.isUsable()
        && termsFor(asking)
            .filter(exchange -> exchange.isGiver(placement.job().spec()))
            .isPresent();
  }

  @Override
  public boolean requestCapacity(
      Job job, List<Machine> machines, MonotonicTime now, WallTime wall) {
    Optional<ExchangeTerms> found = openTransfers.isUsable() ? termsFor(job) : Optional.empty();
    if (found.isEmpty()) {
      return false;
    }
    ExchangeTerms exchange = found.get();
    int pendingTransfers = openTransfers.pendingCountFor(job);
    for (int i = 0; i < MAX_TRANSFERS_PER_CALL && pendingTransfers < job.pendingCount(); i++) {
      long held = openTransfers.countUnder(exchange);
      Optional<TransferPlanner.TransferPlan> plan =
          held < exchange.maxOpenTransfers() && quota.allows(job, pendingTransfers + 1)
              ? planner.cheapestPlan(job, exchange, machines, now)
              : Optional.empty();
      if (plan.isEmpty() || !disruptionLimiter.allows(plan.get().victims())) {
        break;
      }
      Optional<CapacityTransfer> replaced = returnUnusedTransfer(job, now, wall);
      addIntent(
          exchange,
          job,
          plan.get(),
          replaced.map(CapacityTransfer::demandLevel).orElse(demandLevel(exchange)),
          now,
          wall);
      pendingTransfers++;
    }
    return pendingTransfers > 0;
  }

  /**
   * Ensures that a job never holds more transfers than it has replicas, before it starts another
   * one. If it holds that many, it gives back one that no replica uses, for example because the
   * replica was lost when its machine's lease expired. The return is written in the same revision
   * of the record. Such a transfer exists: some of the job's replicas are pending without a pending
   * transfer, so fewer replicas are placed than the job holds transfers.
   *
   * @return the transfer that is given back; the new one replaces it, at the same demand level
   */
  private Optional<CapacityTransfer> returnUnusedTransfer(
      Job job, MonotonicTime now, WallTime wall) {
    List<TrackedTransfer> held = openTransfers.activeFor(job);
    if (held.size() < job.spec().tasks()) {
      return Optional.empty();
    }
    Optional<TrackedTransfer> unused =
        held.stream()
            .filter(
                tracked ->
                    tracked.transfer.state() == CapacityTransfer.State.TAKEN
                        && openTransfers.isUnused(tracked))
            .min(Comparator.comparing(tracked -> machineAcceptsTasks(tracked, now)));
    unused.ifPresent(
        tracked -> beginReturn(tracked, job.id() + " uses another transfer instead", now, wall));
    return unused.map(tracked -> tracked.transfer);
  }

  /** Returns whether the transfer's machine accepts tasks now, rather than being unreachable. */
  private boolean machineAcceptsTasks(TrackedTransfer tracked, MonotonicTime now) {
    return fleet
        .find(tracked.transfer.machine())
        .filter(machine -> machine.acceptsTasks(now, suspectAfter))
        .isPresent();
  }

  /** Returns the takers' replica count, including pending transfers and one more replica. */
  private int demandLevel(ExchangeTerms exchange) {
    int level = 1;
    for (Job other : jobs.all()) {
      level += other.isOpen() && exchange.isTaker(other.spec()) ? other.assignedCount() : 0;
    }
    for (TrackedTransfer tracked : openTransfers.all()) {
      level +=
          tracked.transfer.isPending() && tracked.transfer.exchangeName().equals(exchange.name())
              ? 1
              : 0;
    }
    return level;
  }

  private void addIntent(
      ExchangeTerms exchange,
      Job job,
      TransferPlanner.TransferPlan plan,
      int level,
      MonotonicTime now,
      WallTime wall) {
    CapacityTransfer transfer =
        new CapacityTransfer(
            new TransferId(token, ++lastNumber),
            CapacityTransfer.State.INTENDED,
            exchange.name(),
            plan.giver().id(),
            plan.giver().spec().team(),
            plan.victims().size(),
            job.id(),
            job.spec().resources(),
            plan.machine().id(),
            level,
            wall);
    TrackedTransfer tracked = new TrackedTransfer(transfer, now);
    tracked.victims = plan.victims();
    tracked.reserveOn(plan.machine());
    openTransfers.add(tracked);
    LOG.info(
        "transfer {}: {} takes the room of {} tasks of {} on {}, cost {} s",
        transfer.id(),
        job.id(),
        transfer.stoppedTasks(),
        transfer.giver(),
        transfer.machine(),
        Math.round(plan.costSeconds()));
  }

  /** Advances the open transfers; orders no stop or start before recovery is complete. */
  public void tick(boolean recovered, MonotonicTime now, WallTime wall) {
    if (!openTransfers.restoreWhenLoaded(now)) {
      return;
    }
    if (recovered) {
      demand.update(now);
      for (TrackedTransfer tracked : openTransfers.all()) {
        step(tracked, now, wall);
      }
      returnExcess(now, wall);
    }
    openTransfers.writeChanges();
  }

  private void step(TrackedTransfer tracked, MonotonicTime now, WallTime wall) {
    switch (tracked.transfer.state()) {
      case INTENDED, SAVING -> proceed(tracked, now, wall);
      case TAKEN -> checkTaken(tracked, now, wall);
      case RETURNING -> resumeGiver(tracked, now);
      case SETTLED -> {}
    }
  }

  private boolean withinHoldTimeout(TrackedTransfer tracked, MonotonicTime now) {
    TimeSpan holdTimeout =
        termsOf(tracked.transfer).map(ExchangeTerms::holdTimeout).orElse(TimeSpan.seconds(0));
    return !now.isPast(tracked.stateSince, holdTimeout);
  }

  /** Stops the giver's tasks once the intent is stored, and starts the taker when they are gone. */
  private void proceed(TrackedTransfer tracked, MonotonicTime now, WallTime wall) {
    Machine machine = tracked.reservedMachine;
    Optional<Job> taker = findTaker(tracked);
    if (machine == null
        || !machine.acceptsTasks(now, suspectAfter) && !withinHoldTimeout(tracked, now)) {
      beginReturn(tracked, "machine lost or not accepting tasks", now, wall);
    } else if (taker.isEmpty()) {
      proceedWithoutTaker(tracked, now, wall);
    } else if (!withinHoldTimeout(tracked, now)) {
      beginReturn(tracked, "hold timeout exceeded", now, wall);
    } else if (tracked.isCapacityFree()) {
      startTaker(tracked, taker.get(), now, wall);
    } else if (tracked.transfer.state() == CapacityTransfer.State.INTENDED
        && openTransfers.isStored(tracked)) {
      orderStops(tracked, taker.get(), now);
    }
  }

  /**
   * Continues a transfer whose room no job waits for any more. If the giver has been ordered to
   * stop, the room is kept as if it had been used, so that fluctuating demand does not stop the
   * giver each time it returns.
   */
  private void proceedWithoutTaker(TrackedTransfer tracked, MonotonicTime now, WallTime wall) {
    if (tracked.transfer.state() == CapacityTransfer.State.INTENDED) {
      beginReturn(tracked, "no job waits for the room", now, wall);
    } else if (tracked.isCapacityFree()) {
      openTransfers.advance(tracked, tracked.transfer.toTaken(tracked.transfer.taker()), now);
    } else if (!withinHoldTimeout(tracked, now)) {
      beginReturn(tracked, "hold timeout exceeded", now, wall);
    }
  }

  /** Returns the job to use the room: the recorded taker, or else another that waits for room. */
  private Optional<Job> findTaker(TrackedTransfer tracked) {
    Optional<Job> recordedTaker =
        jobs.find(tracked.transfer.taker()).filter(job -> waitsForCapacity(job, tracked));
    if (recordedTaker.isPresent() || termsOf(tracked.transfer).isEmpty()) {
      return recordedTaker;
    }
    ExchangeTerms exchange = termsOf(tracked.transfer).get();
    return jobs.all().stream()
        .filter(job -> exchange.isTaker(job.spec()) && waitsForCapacity(job, tracked))
        .filter(job -> openTransfers.pendingCountFor(job) < job.pendingCount())
        .min(Comparator.comparing(Job::waitingSince));
  }

  private boolean waitsForCapacity(Job job, TrackedTransfer tracked) {
    return job.isOpen()
        && job.pendingCount() > 0
        && job.spec().resources().fitsInto(tracked.transfer.resources());
  }

  private void orderStops(TrackedTransfer tracked, Job taker, MonotonicTime now) {
    List<Placement> victims = new ArrayList<>();
    if (tracked.victims.isEmpty()) {
      // An earlier leader planned the transfer: select among the giver's remaining tasks.
      Resources free = tracked.reservedMachine.free().plus(tracked.transfer.resources());
      for (Placement placement : tracked.reservedMachine.placements()) {
        boolean eligible =
            placement.job().id().equals(tracked.transfer.giver())
                && planner.mayStop(placement, taker);
        if (placement.halting()) {
          free = free.plus(placement.job().spec().resources());
        } else if (eligible && !tracked.transfer.resources().fitsInto(free)) {
          victims.add(placement);
          free = free.plus(placement.job().spec().resources());
        }
      }
    } else {
      tracked.victims.stream()
          .filter(victim -> victim.state() != Placement.State.ENDED && !victim.halting())
          .filter(victim -> planner.mayStop(victim, taker))
          .forEach(victims::add);
    }
    if (!victims.isEmpty() && !disruptionLimiter.allows(victims)) {
      return;
    }
    victims.forEach(
        victim ->
            fleet.halt(victim, victim.job().spec().checkpointDuration(), Fleet.StopReason.TAKEN));
    openTransfers.advance(tracked, tracked.transfer.toSaving(), now);
  }

  private void startTaker(TrackedTransfer tracked, Job taker, MonotonicTime now, WallTime wall) {
    Machine machine = tracked.reservedMachine;
    int index = taker.nextPending(0, now);
    if (taker.spec().allows(machine.type().name(), machine.zone(), machine.spot())
        && starter.mayStart(taker, index, machine, now)) {
      Optional<CapacityTransfer> replaced =
          taker.id().equals(tracked.transfer.taker())
              ? Optional.empty()
              : returnUnusedTransfer(taker, now, wall);
      tracked.releaseReservation();
      starter.place(taker, index, machine, now);
      openTransfers.advance(
          tracked, tracked.transfer.toTaken(taker.id()).withLowerDemandLevel(replaced), now);
    }
  }

  private void beginReturn(
      TrackedTransfer tracked, String reason, MonotonicTime now, WallTime wall) {
    LOG.info("transfer {}: returning the room, {}", tracked.transfer.id(), reason);
    openTransfers.advance(tracked, tracked.transfer.toReturning(wall), now);
  }

  /** Reuses or reserves the room when the taker's replica has ended. */
  private void checkTaken(TrackedTransfer tracked, MonotonicTime now, WallTime wall) {
    Optional<Machine> machine = fleet.find(tracked.transfer.machine());
    if (machine.isEmpty()) {
      LOG.info(
          "transfer {}: settled, machine {} is gone",
          tracked.transfer.id(),
          tracked.transfer.machine());
      openTransfers.advance(tracked, tracked.transfer.toSettled(), now);
      return;
    }
    if (tracked.reservedMachine == null) {
      if (!openTransfers.isUnused(tracked)) {
        return;
      }
      tracked.reserveOn(machine.get());
    }
    if (tracked.isCapacityFree()) {
      findTaker(tracked).ifPresent(taker -> startTaker(tracked, taker, now, wall));
    }
  }

  /** Begins the return of room that the takers no longer need, the oldest transfers first. */
  private void returnExcess(MonotonicTime now, WallTime wall) {
    for (ExchangeTerms exchange : terms) {
      List<TrackedTransfer> held =
          openTransfers.all().stream()
              .filter(tracked -> tracked.transfer.exchangeName().equals(exchange.name()))
              .filter(tracked -> tracked.transfer.state() == CapacityTransfer.State.TAKEN)
              .toList();
      int due =
          demand.dueForReturn(
              exchange, held.stream().map(tracked -> tracked.transfer).toList(), now);
      held.stream()
          .limit(due)
          .forEach(
              tracked ->
                  beginReturn(
                      tracked,
                      "replica demand fell to " + demand.replicaCount(exchange),
                      now,
                      wall));
    }
    for (TrackedTransfer tracked : openTransfers.all()) {
      if (tracked.transfer.state() == CapacityTransfer.State.TAKEN
          && termsOf(tracked.transfer).isEmpty()) {
        beginReturn(tracked, "its exchange is no longer declared", now, wall);
      }
    }
  }

  /** Resumes the giver in the room reserved for it, or on any machine with room. */
  private void resumeGiver(TrackedTransfer tracked, MonotonicTime now) {
    Optional<Job> giver = jobs.find(tracked.transfer.giver()).filter(Job::isOpen);
    if (giver.isEmpty() || giver.get().pendingCount() <= 0 || !withinHoldTimeout(tracked, now)) {
      LOG.info(
          "transfer {}: settled, giver {} {}",
          tracked.transfer.id(),
          tracked.transfer.giver(),
          giver.isEmpty()
              ? "has ended"
              : giver.get().pendingCount() <= 0
                  ? "has no pending tasks"
                  : "did not resume within the hold timeout");
      openTransfers.advance(tracked, tracked.transfer.toSettled(), now);
      return;
    }
    if (!openTransfers.isStored(tracked)) {
      return;
    }
    Job job = giver.get();
    if (job.spec().gang()) {
      if (tracked.reservedMachine != null) {
        Machine machine = tracked.reservedMachine;
        tracked.releaseReservation();
        reserveForGang.accept(machine, job);
      }
      return;
    }
    Machine machine =
        tracked.reservedMachine != null ? tracked.reservedMachine : starter.findMachine(job, now);
    if (machine == null) {
      return;
    }
    tracked.releaseReservation();
    int placed = starter.startUpTo(job, tracked.transfer.stoppedTasks(), machine, now);
    if (placed > 0) {
      LOG.info(
          "transfer {}: resumed {} tasks of giver {}", tracked.transfer.id(), placed, job.id());
      openTransfers.advance(tracked, tracked.transfer.toSettled(), now);
    }
  }
}
