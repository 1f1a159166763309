package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oakwalk.core.Moment;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Room;

/** Finds tasks that may be stopped to make room for a more urgent one, at the least loss. */
final class Preemption {
  private final Quota quota;

  Preemption(Quota quota) {
    this.quota = quota;
  }

  /** Tasks on one machine whose end would make room. */
  record Plan(Machine machine, List<Placement> victims, double cost) {}

  /** The cheapest plan for one task of the job on one of these machines, or null. */
  Plan cheapest(Job job, List<Machine> machines, Moment now) {
    Plan best = null;
    boolean claims = quota.guarantees(job);
    for (Machine machine : machines) {
      Plan plan = on(machine, job, claims, now);
      if (plan != null && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
    }
    return best;
  }

  private Plan on(Machine machine, Job job, boolean claims, Moment now) {
    Room free = machine.free();
    Room asked = job.spec().room();
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        // Its room comes free without another stop.
        free = free.plus(placement.job().spec().room());
      } else if (yields(placement, job, claims)) {
        candidates.add(placement);
      }
    }
    candidates.sort(Comparator.comparingDouble(p -> progress(p, now)));
    List<Placement> victims = new ArrayList<>();
    double cost = machine.hasImage(job.spec().image()) ? 0 : 5;
    for (Placement candidate : candidates) {
      if (asked.fits(free)) {
        break;
      }
      victims.add(candidate);
      cost += 1 + progress(candidate, now);
      free = free.plus(candidate.job().spec().room());
    }
    return asked.fits(free) ? new Plan(machine, victims, cost) : null;
  }

  private boolean yields(Placement placement, Job job, boolean claims) {
    Job other = placement.job();
    if (other.spec().priority().compareTo(job.spec().priority()) < 0) {
      return true;
    }
    return claims
        && !other.spec().service()
        && !other.spec().team().equals(job.spec().team())
        && quota.borrows(other.spec().team());
  }

  /** Seconds of work that a stop would lose. */
  private static double progress(Placement placement, Moment now) {
    Moment since = placement.runningSince();
    return since == null ? 0 : now.since(since).asSeconds();
  }
}
