package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** Finds tasks that may be stopped to make room for a more urgent one, at the least loss. */
final class Preemption {
  /** Seconds of work that a job's lateness counts as. */
  private static final double LATENESS = 60;

  private final Quota quota;
  private final Targets targets;
  private final RunTimes runTimes;

  Preemption(Quota quota, Targets targets, RunTimes runTimes) {
    this.quota = quota;
    this.targets = targets;
    this.runTimes = runTimes;
  }

  /** Tasks on one machine whose end would make room. */
  record Plan(Machine machine, List<Placement> victims, double cost) {}

  /** The cheapest plan for one task of the job on one of these machines, or null. */
  Plan cheapest(Job job, List<Machine> machines, Moment now, WallTime wall) {
    Plan best = null;
    boolean claims = quota.guarantees(job);
    for (Machine machine : machines) {
      Plan plan = on(machine, job, claims, now, wall);
      if (plan != null && (best == null || plan.cost() < best.cost())) {
        best = plan;
      }
    }
    return best;
  }

  private Plan on(Machine machine, Job job, boolean claims, Moment now, WallTime wall) {
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
    Map<Placement, Double> losses = new HashMap<>();
    candidates.forEach(candidate -> losses.put(candidate, loss(candidate, now, wall)));
    candidates.sort(Comparator.comparingDouble(losses::get));
    List<Placement> victims = new ArrayList<>();
    double cost = machine.hasImage(job.spec().image()) ? 0 : 5;
    for (Placement candidate : candidates) {
      if (asked.fits(free)) {
        break;
      }
      victims.add(candidate);
      cost += 1 + losses.get(candidate);
      free = free.plus(candidate.job().spec().room());
    }
    return asked.fits(free) ? new Plan(machine, victims, cost) : null;
  }

  /**
   * Whether it is work of the lowest priority that saves its progress, which fills idle machines
   * and gives way at once. Where a stop would lose the work, batch waits for it to end.
   */
  static boolean savable(Placement placement) {
    JobSpec spec = placement.job().spec();
    return spec.priority() == Priority.LOW && spec.checkpointEvery().millis() > 0;
  }

  private boolean yields(Placement placement, Job job, boolean claims) {
    Job other = placement.job();
    boolean stops = claims || job.spec().priority().compareTo(Priority.NORMAL) > 0;
    if (stops && other.spec().priority().compareTo(job.spec().priority()) < 0) {
      return true;
    }
    if (job.spec().priority() == Priority.NORMAL && savable(placement)) {
      return true;
    }
    return claims
        && !other.spec().service()
        && !other.spec().team().equals(job.spec().team())
        && quota.borrows(other.spec().team());
  }

  /**
   * Seconds of work that a stop would lose; more if the job would be in time but for the stop,
   * since one task that starts again makes its whole array late.
   */
  private double loss(Placement placement, Moment now, WallTime wall) {
    Moment since = placement.runningSince();
    Span ran = since == null ? Span.millis(0) : now.since(since);
    Job job = placement.job();
    Span run = runTimes.expected(job.spec());
    Span age = wall.since(job.accepted());
    Optional<Span> reached = targets.next(job.spec(), age.plus(run.minus(ran)));
    boolean late = reached.isPresent() && !reached.equals(targets.next(job.spec(), age.plus(run)));
    return ran.asSeconds() + (late ? LATENESS : 0);
  }
}
