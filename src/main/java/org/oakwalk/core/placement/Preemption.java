package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.PreemptionIndex;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** Finds tasks that may be stopped to make room for a more urgent one, at the least loss. */
final class Preemption {
  /** Seconds of work that a job's lateness counts as. */
  private static final double LATENESS = 60;

  private final PreemptionIndex stoppable;
  private final ServedShares servedShares;
  private final Quota quota;
  private final Targets targets;
  private final RunTimes runTimes;
  private final Reserve reserve;
  private final Takes takes;

  Preemption(
      PreemptionIndex stoppable,
      Quota quota,
      Targets targets,
      RunTimes runTimes,
      ServedShares servedShares,
      Reserve reserve,
      Takes takes) {
    this.reserve = reserve;
    this.takes = takes;
    this.servedShares = servedShares;
    this.stoppable = stoppable;
    this.quota = quota;
    this.targets = targets;
    this.runTimes = runTimes;
  }

  /** What a stop of a task would lose. */
  private record Loss(Placement placement, double seconds) {}

  private final Map<Job, Long> slacks = new IdentityHashMap<>();
  private long looks;

  /** Tasks on one machine whose end would make room. */
  record Plan(Machine machine, List<Placement> victims, double cost) {}

  /** A round begins: what is remembered of the one before holds no more. */
  void begin() {
    slacks.clear();
  }

  /** How many machines were looked into task by task, for tests that bound the work. */
  long looks() {
    return looks;
  }

  /**
   * Plans for tasks of the job, one a machine and the cheapest first; each holds as long as nothing
   * changes on its machine. Only machines with a task that may be stopped, or is being stopped, are
   * looked into: mostly there are few, while jobs that wait ask many times a second.
   */
  List<Plan> plans(Job job, List<Machine> machines, Moment now, WallTime wall) {
    List<Plan> plans = new ArrayList<>();
    boolean claims = quota.guarantees(job);
    Set<PreemptionIndex.PreemptionKey> yielding = stoppable.keys(sort -> yields(sort, job, claims));
    Set<Machine> concerned = stoppable.machinesWith(yielding);
    Room asked = job.spec().room();
    for (Machine machine : machines) {
      if (concerned.contains(machine)) {
        Plan plan = on(machine, job, asked, yielding, now, wall);
        if (plan != null) {
          plans.add(plan);
        }
      } else if (asked.fits(machine.free())) {
        plans.add(new Plan(machine, List.of(), imageCost(job, machine)));
      }
    }
    plans.sort(Comparator.comparingDouble(Plan::cost));
    return plans;
  }

  /** Whether anything is being stopped, or could be for this job. */
  boolean helps(Job job) {
    boolean claims = quota.guarantees(job);
    return stoppable.anyHalting() || stoppable.anyMatch(sort -> yields(sort, job, claims));
  }

  /** Tasks on a machine whose end would make this much room; none if too few may be stopped. */
  List<Placement> victims(Machine machine, Job job, Room asked, Moment now, WallTime wall) {
    boolean claims = quota.guarantees(job);
    Set<PreemptionIndex.PreemptionKey> yielding = stoppable.keys(sort -> yields(sort, job, claims));
    Plan plan = on(machine, job, asked, yielding, now, wall);
    return plan == null ? List.of() : plan.victims();
  }

  /** Whether a task may be stopped for a job. */
  boolean yields(Placement placement, Job job) {
    return yields(placement.preemptionKey(), job, quota.guarantees(job))
        && !takes.spares(job, placement);
  }

  private Plan on(
      Machine machine,
      Job job,
      Room asked,
      Set<PreemptionIndex.PreemptionKey> yielding,
      Moment now,
      WallTime wall) {
    looks++;
    Room free = reserve.free(job.spec(), machine);
    List<Placement> candidates = new ArrayList<>();
    Room most = free;
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        // Its room comes free without another stop.
        free = free.plus(placement.job().spec().room());
        most = most.plus(placement.job().spec().room());
      } else if (yielding.contains(placement.preemptionKey()) && !takes.spares(job, placement)) {
        candidates.add(placement);
        most = most.plus(placement.job().spec().room());
      }
    }
    if (!asked.fits(most)) {
      return null;
    }
    if (asked.fits(free)) {
      return new Plan(machine, List.of(), imageCost(job, machine));
    }
    List<Loss> losses = new ArrayList<>();
    candidates.forEach(each -> losses.add(new Loss(each, loss(each, now, wall))));
    losses.sort(Comparator.comparingDouble(Loss::seconds));
    List<Placement> victims = new ArrayList<>();
    double cost = imageCost(job, machine);
    for (Loss loss : losses) {
      if (asked.fits(free)) {
        break;
      }
      victims.add(loss.placement());
      cost += 1 + loss.seconds();
      free = free.plus(loss.placement().job().spec().room());
    }
    return asked.fits(free) ? new Plan(machine, victims, cost) : null;
  }

  private static double imageCost(Job job, Machine machine) {
    return machine.hasImage(job.spec().image()) ? 0 : 5;
  }

  /**
   * Whether it is work of the lowest priority that saves its progress, which fills idle machines
   * and gives way at once. Where a stop would lose the work, batch waits for it to end.
   */
  static boolean savable(PreemptionIndex.PreemptionKey sort) {
    return sort.priority() == Priority.LOW && sort.checkpoints();
  }

  private boolean yields(PreemptionIndex.PreemptionKey sort, Job job, boolean claims) {
    Priority asking = job.spec().priority();
    boolean stops = claims || asking.compareTo(Priority.NORMAL) > 0;
    if (stops && sort.priority().compareTo(asking) < 0) {
      return true;
    }
    // What is left behind would be stopped each time it comes to run.
    if (asking == Priority.NORMAL
        && savable(sort)
        && !servedShares.behind(new ServedShares.Key(sort.team(), sort.jobClass()))) {
      return true;
    }
    return claims
        && !sort.service()
        && !sort.team().equals(job.spec().team())
        && quota.borrows(sort.team());
  }

  /**
   * Seconds of work that a stop would lose; more if the job would be in time but for the stop,
   * since one task that starts again makes its whole array late.
   */
  private double loss(Placement placement, Moment now, WallTime wall) {
    Moment since = placement.runningSince();
    Span ran = since == null ? Span.millis(0) : now.since(since);
    Job job = placement.job();
    long slack = slacks.computeIfAbsent(job, each -> slack(each, wall));
    // With one task of a gang all are lost, and the only task of a large job is its beginning.
    boolean first = job.doneCount() == 0 && job.activeCount() == 1 && job.spec().tasks() > 1;
    int lost = job.spec().gang() ? Math.max(1, job.activeCount()) : 1;
    return lost * ran.asSeconds() + (ran.millis() >= slack || first ? LATENESS : 0);
  }

  /**
   * How long a task of the job may have run, in milliseconds, so that a run afresh still meets the
   * same target as the present one. Kept for a round: all tasks that could be stopped are asked.
   */
  private long slack(Job job, WallTime wall) {
    Span afterARun = wall.since(job.accepted()).plus(runTimes.expected(job.spec()));
    return targets
        .lastBefore(job.spec(), afterARun)
        .map(missed -> afterARun.minus(missed).millis())
        .orElse(Long.MAX_VALUE);
  }
}
