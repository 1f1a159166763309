package org.oakwalk.core.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.CapacityReserve;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.product.ExchangeTerms;

/** Finds the cheapest set of tasks to stop for a transfer, by the work lost and the image fetch. */
final class TransferPlanner {
  /** Fixed cost of each stopped task, in seconds of work. */
  private static final double STOP_COST_S = 2;

  /** Cost of each open transfer from the same giver, in seconds, so that givers take turns. */
  private static final double OPEN_TRANSFER_COST_S = 120;

  private final Fleet fleet;
  private final Quota quota;
  private final CapacityReserve reserve;
  private final ToIntFunction<Job> openTransfersOf;

  /**
   * Creates a planner.
   *
   * @param reserve the room that is reserved for other tasks
   * @param openTransfersOf returns the number of open transfers from a job
   */
  TransferPlanner(
      Fleet fleet, Quota quota, CapacityReserve reserve, ToIntFunction<Job> openTransfersOf) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.quota = quota;
    this.openTransfersOf = openTransfersOf;
  }

  /**
   * Room on one machine for one replica, and the tasks to stop for it.
   *
   * @param giver the job of the first chosen task, which the room is given back to
   * @param victims all tasks to stop, including tasks of the same gang on other machines
   * @param costSeconds the cost in seconds of lost work
   */
  record TransferPlan(Machine machine, Job giver, List<Placement> victims, double costSeconds) {}

  /** Returns whether priorities, guarantees and quotas allow stopping this task for the taker. */
  boolean mayStop(Placement placement, Job taker) {
    Job giver = placement.job();
    boolean sameTeam = giver.spec().team().equals(taker.spec().team());
    if (!sameTeam && quota.withinGuarantee(giver)) {
      return false;
    }
    boolean lowerPriority = giver.spec().priority().compareTo(taker.spec().priority()) < 0;
    boolean claimsGuarantee =
        quota.withinGuarantee(taker) && !sameTeam && quota.exceedsGuarantee(giver.spec().team());
    return lowerPriority || claimsGuarantee;
  }

  /** Returns the cheapest plan for one replica of the taker; empty if no giver is eligible. */
  Optional<TransferPlan> cheapestPlan(
      Job taker, ExchangeTerms terms, List<Machine> machines, MonotonicTime now) {
    Map<Job, List<Placement>> gangs = new HashMap<>();
    TransferPlan cheapest = null;
    for (Machine machine : machines) {
      TransferPlan plan = planFor(machine, taker, terms, gangs, now);
      if (plan != null && (cheapest == null || plan.costSeconds() < cheapest.costSeconds())) {
        cheapest = plan;
      }
    }
    return Optional.ofNullable(cheapest);
  }

  private TransferPlan planFor(
      Machine machine,
      Job taker,
      ExchangeTerms terms,
      Map<Job, List<Placement>> gangs,
      MonotonicTime now) {
    Resources required = taker.spec().resources();
    Resources free = reserve.freeFor(taker.spec(), machine);
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        free = free.plus(placement.job().spec().resources());
      } else if (terms.isGiver(placement.job().spec()) && mayStop(placement, taker)) {
        candidates.add(placement);
      }
    }
    Map<Placement, Double> costs = new HashMap<>();
    candidates.forEach(placement -> costs.put(placement, stopCostSeconds(placement, gangs, now)));
    candidates.sort(
        Comparator.comparingDouble((Placement p) -> costs.get(p)).thenComparing(BY_TASK_ID));
    List<Placement> chosen = new ArrayList<>();
    for (Placement placement : candidates) {
      if (required.fitsInto(free)) {
        break;
      }
      chosen.add(placement);
      free = free.plus(placement.job().spec().resources());
    }
    if (chosen.isEmpty() || !required.fitsInto(free)) {
      return null;
    }
    free = dropUnneeded(chosen, free, required);
    double cost = machine.hasImage(taker.spec().image()) ? 0 : fetchSeconds(machine, taker.spec());
    Set<Placement> victims = new LinkedHashSet<>();
    for (Placement placement : chosen) {
      cost += costs.get(placement);
      victims.addAll(
          placement.job().spec().gang()
              ? gangPlacements(placement.job(), gangs)
              : List.of(placement));
    }
    victims.removeIf(Placement::halting);
    return new TransferPlan(machine, chosen.get(0).job(), List.copyOf(victims), cost);
  }

  private static final Comparator<Placement> BY_TASK_ID =
      Comparator.comparing((Placement p) -> p.task().toString());

  /** Drops chosen tasks that are not needed after all, the most expensive first. */
  private static Resources dropUnneeded(
      List<Placement> chosen, Resources free, Resources required) {
    Resources remaining = free;
    for (int i = chosen.size() - 1; i >= 0 && chosen.size() > 1; i--) {
      Resources without = remaining.minus(chosen.get(i).job().spec().resources());
      if (required.fitsInto(without)) {
        chosen.remove(i);
        remaining = without;
      }
    }
    return remaining;
  }

  private static double fetchSeconds(Machine machine, JobSpec spec) {
    return machine.type().fetchTime(spec.imageGb()).asSeconds();
  }

  private List<Placement> gangPlacements(Job job, Map<Job, List<Placement>> gangs) {
    return gangs.computeIfAbsent(job, fleet::placementsOf);
  }

  /**
   * Returns the cost of stopping a task, in seconds. A job that checkpoints loses the time to write
   * the checkpoint, any other job all its work. Stopping one task of a gang stops all of them.
   */
  private double stopCostSeconds(
      Placement placement, Map<Job, List<Placement>> gangs, MonotonicTime now) {
    Job job = placement.job();
    double own = STOP_COST_S + OPEN_TRANSFER_COST_S * openTransfersOf.applyAsInt(job);
    if (!job.spec().gang()) {
      return own + lostWorkSeconds(placement, now);
    }
    List<Placement> all = gangPlacements(job, gangs);
    double gangCost =
        all.stream().mapToDouble(member -> STOP_COST_S + lostWorkSeconds(member, now)).sum();
    return own + gangCost;
  }

  private static double lostWorkSeconds(Placement placement, MonotonicTime now) {
    JobSpec spec = placement.job().spec();
    if (spec.checkpointInterval().millis() > 0) {
      return spec.checkpointDuration().asSeconds();
    }
    MonotonicTime since = placement.runningSince();
    TimeSpan runTime = since == null ? TimeSpan.millis(0) : now.since(since);
    return runTime.asSeconds();
  }
}
