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
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.product.ExchangeTerms;

/** What a take would cost, and from whom it costs least for the room that it frees. */
final class TransferPlanner {
  /** Seconds of work that one more stop counts as, whatever is lost by it. */
  private static final double STOP_COST_S = 2;

  /** Seconds that an earlier take which is still owed counts as, so that giving goes round. */
  private static final double OPEN_TRANSFER_COST_S = 120;

  private final Fleet fleet;
  private final Quota quota;
  private final Reserve reserve;
  private final ToIntFunction<Job> openTransfersOf;

  /**
   * Weighs takes.
   *
   * @param reserve room that is kept for others
   * @param openTransfersOf how many takes of a job are not given back yet
   */
  TransferPlanner(Fleet fleet, Quota quota, Reserve reserve, ToIntFunction<Job> owed) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.quota = quota;
    this.openTransfersOf = owed;
  }

  /**
   * Room on one machine for one replica.
   *
   * @param giver the job that gives most of it
   * @param victims all tasks that have to stop, those of a gang on other machines too
   */
  record TransferPlan(Machine machine, Job giver, List<Placement> victims, double costSeconds) {}

  /** Whether the protocol lets this task be stopped for that job, and no guarantee forbids it. */
  boolean mayStop(Placement placement, Job taker) {
    Job giver = placement.job();
    boolean sameTeam = giver.spec().team().equals(taker.spec().team());
    if (!sameTeam && quota.guarantees(giver)) {
      return false;
    }
    boolean lower = giver.spec().priority().compareTo(taker.spec().priority()) < 0;
    boolean claims = quota.guarantees(taker) && !sameTeam && quota.borrows(giver.spec().team());
    return lower || claims;
  }

  /** The cheapest place for one replica of the taker; empty if nobody may give one. */
  Optional<TransferPlan> cheapestPlan(
      Job taker, ExchangeTerms terms, List<Machine> machines, Moment now) {
    Map<Job, List<Placement>> gangs = new HashMap<>();
    TransferPlan best = null;
    for (Machine machine : machines) {
      TransferPlan plan = planFor(machine, taker, terms, gangs, now);
      if (plan != null && (best == null || plan.costSeconds() < best.costSeconds())) {
        best = plan;
      }
    }
    return Optional.ofNullable(best);
  }

  private TransferPlan planFor(
      Machine machine,
      Job taker,
      ExchangeTerms terms,
      Map<Job, List<Placement>> gangs,
      Moment now) {
    Resources asked = taker.spec().resources();
    Resources free = reserve.free(taker.spec(), machine);
    List<Placement> able = new ArrayList<>();
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        free = free.plus(placement.job().spec().resources());
      } else if (terms.isGiver(placement.job().spec()) && mayStop(placement, taker)) {
        able.add(placement);
      }
    }
    Map<Placement, Double> losses = new HashMap<>();
    able.forEach(placement -> losses.put(placement, stopCostSeconds(placement, gangs, now)));
    able.sort(Comparator.comparingDouble((Placement p) -> losses.get(p)).thenComparing(BY_TASK_ID));
    List<Placement> chosen = new ArrayList<>();
    for (Placement placement : able) {
      if (asked.fitsInto(free)) {
        break;
      }
      chosen.add(placement);
      free = free.plus(placement.job().spec().resources());
    }
    if (chosen.isEmpty() || !asked.fitsInto(free)) {
      return null;
    }
    free = dropUnneeded(chosen, free, asked);
    double cost = machine.hasImage(taker.spec().image()) ? 0 : fetchSeconds(machine, taker.spec());
    Set<Placement> victims = new LinkedHashSet<>();
    for (Placement placement : chosen) {
      cost += losses.get(placement);
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

  /** Spares those that turn out not to be needed, the dearest first. */
  private static Resources dropUnneeded(List<Placement> chosen, Resources free, Resources asked) {
    Resources left = free;
    for (int i = chosen.size() - 1; i >= 0 && chosen.size() > 1; i--) {
      Resources without = left.minus(chosen.get(i).job().spec().resources());
      if (asked.fitsInto(without)) {
        chosen.remove(i);
        left = without;
      }
    }
    return left;
  }

  private static double fetchSeconds(Machine machine, JobSpec spec) {
    return machine.type().fetch(spec.imageGb()).asSeconds();
  }

  private List<Placement> gangPlacements(Job job, Map<Job, List<Placement>> gangs) {
    return gangs.computeIfAbsent(job, fleet::placementsOf);
  }

  /**
   * Seconds of work that stopping a task loses. What saves its progress loses the time to save;
   * what does not, all it did. Of a gang all tasks are lost with one.
   */
  private double stopCostSeconds(Placement placement, Map<Job, List<Placement>> gangs, Moment now) {
    Job job = placement.job();
    double own = STOP_COST_S + OPEN_TRANSFER_COST_S * openTransfersOf.applyAsInt(job);
    if (!job.spec().gang()) {
      return own + lostWorkSeconds(placement, now);
    }
    List<Placement> all = gangPlacements(job, gangs);
    double each = all.stream().mapToDouble(one -> STOP_COST_S + lostWorkSeconds(one, now)).sum();
    return own + each;
  }

  private static double lostWorkSeconds(Placement placement, Moment now) {
    JobSpec spec = placement.job().spec();
    if (spec.checkpointInterval().millis() > 0) {
      return spec.checkpointDuration().asSeconds();
    }
    Moment since = placement.runningSince();
    Span ran = since == null ? Span.millis(0) : now.since(since);
    return ran.asSeconds();
  }
}
