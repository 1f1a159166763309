package org.oakwalk.core.placement;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** Makes room for a job that found none: stops less urgent tasks, or keeps a machine for it. */
final class UnplacedJobHandler {
  private static final int MAX_PREEMPTIONS_PER_ROUND = 16;
  private static final int MAX_RESERVATIONS = 3;
  private static final int MAX_VICTIMS_FOR_IMAGE = 2;

  private static final Span MAX_IMAGE_WAIT = Span.millis(2000);

  private final Fleet fleet;
  private final CandidateMachines candidates;
  private final Quota quota;
  private final JobTargets targets;
  private final Predicate<List<Placement>> mayStop;
  private final PreemptionPlanner preemption;
  private final CapacityReserve reserve;
  private final CapacityExchange exchange;
  private int stopped;
  private Moment now = new Moment(0);
  private WallTime wall = new WallTime(0);

  UnplacedJobHandler(
      Fleet fleet,
      CandidateMachines candidates,
      Quota quota,
      JobTargets targets,
      Predicate<List<Placement>> mayStop,
      PreemptionPlanner preemption,
      CapacityReserve reserve,
      CapacityExchange takes) {
    this.reserve = reserve;
    this.exchange = takes;
    this.mayStop = mayStop;
    this.fleet = fleet;
    this.candidates = candidates;
    this.quota = quota;
    this.targets = targets;
    this.preemption = preemption;
  }

  /** A round begins; it has its own bound on stops. */
  void beginRound(Moment at, WallTime dayTime) {
    now = at;
    wall = dayTime;
    stopped = 0;
    preemption.beginRound();
  }

  /** Stops less urgent tasks for those of a job that found no room; true if there were any. */
  boolean preemptFor(Job job) {
    boolean stops =
        job.spec().priority().compareTo(Priority.NORMAL) > 0 || quota.withinGuarantee(job);
    boolean displaces = job.spec().priority() == Priority.NORMAL;
    if (job.suspect()
        || !(stops || displaces)
        || stopped >= MAX_PREEMPTIONS_PER_ROUND
        || !preemption.mayFreeRoom(job)
        || reserve.claimsFreedRoom(job)) {
      return false;
    }
    List<Machine> machines = candidates.eligible(job, candidates.tasksPerZone(job));
    if (exchange.requestRoom(job, machines, now, wall)) {
      return true;
    }
    Iterator<PreemptionPlanner.PreemptionPlan> plans =
        preemption.plans(job, machines, now, wall).iterator();
    boolean any = plans.hasNext();
    int missing = job.pendingCount();
    while (missing > 0 && stopped < MAX_PREEMPTIONS_PER_ROUND && plans.hasNext()) {
      // Nobody else may take the room, and no second task of this job counts on it.
      missing -= carryOut(plans.next(), job) ? 1 : 0;
    }
    return any;
  }

  /**
   * Stops less urgent tasks on a machine that is kept for a gang, until so many of the gang's have
   * room there.
   */
  void preemptForGang(Job gang, Machine machine, int tasks) {
    Room needed = gang.spec().room().times(tasks);
    if (stopped < MAX_PREEMPTIONS_PER_ROUND && !gang.suspect() && !reserve.claimsFreedRoom(gang)) {
      List<Placement> victims = preemption.victims(machine, gang, needed, now, wall);
      if (!victims.isEmpty() && mayStop.test(victims)) {
        victims.forEach(
            victim -> fleet.halt(victim, victim.job().spec().saveTime(), Fleet.Why.PREEMPTED));
        stopped += victims.size();
      }
    }
  }

  private boolean carryOut(PreemptionPlanner.PreemptionPlan plan, Job job) {
    if (!plan.victims().isEmpty() && !mayStop.test(plan.victims())) {
      return false;
    }
    for (Placement victim : plan.victims()) {
      fleet.halt(victim, victim.job().spec().saveTime(), Fleet.Why.PREEMPTED);
    }
    stopped += plan.victims().size();
    candidates.reservations().put(plan.machine(), job);
    return true;
  }

  /** Whether getting the image there would take longer than a task of this class may wait. */
  boolean fetchTooSlow(JobSpec spec, Machine machine) {
    return !machine.hasImage(spec.image())
        && targets
            .startTarget(spec)
            .filter(within -> within.compareTo(machine.type().fetch(spec.imageGb())) < 0)
            .isPresent();
  }

  /** Whether a job of this kind may still be worth a place where its image is. */
  static boolean mayWaitForImage(Job job, Moment now) {
    return job.spec().service()
        && job.spec().priority().compareTo(Priority.NORMAL) > 0
        && !now.past(job.waitingSince(), MAX_IMAGE_WAIT);
  }

  /**
   * Makes room for a replica where its image is, since the fetch alone would miss what is expected
   * of its start. Returns false if there is no such place; then it starts wherever there is room.
   */
  boolean preemptWhereImageIs(Job job, Map<String, Integer> zones) {
    if (!mayWaitForImage(job, now)) {
      return false;
    }
    List<Machine> warm = candidates.eligible(job, zones);
    warm.removeIf(machine -> !machine.hasImage(job.spec().image()));
    if (warm.stream().anyMatch(machine -> candidates.reservations().get(machine) == job)) {
      return true;
    }
    if (!preemption.mayFreeRoom(job)) {
      return false;
    }
    List<PreemptionPlanner.PreemptionPlan> plans = preemption.plans(job, warm, now, wall);
    if (plans.isEmpty() || plans.get(0).victims().size() > MAX_VICTIMS_FOR_IMAGE) {
      return false;
    }
    int before = stopped;
    boolean made = carryOut(plans.get(0), job);
    stopped = before;
    return made;
  }

  /** Keeps a machine for a job that is to start there, whatever else may find room. */
  void reserveMachine(Machine machine, Job job) {
    candidates.reservations().putIfAbsent(machine, job);
  }

  /** Whether more machines may be kept for jobs that find no room. */
  boolean mayReserve() {
    return candidates.reservations().values().stream().filter(job -> !job.spec().gang()).count()
        < MAX_RESERVATIONS;
  }

  /** Keeps the machine nearest to fitting for the job; false if there is none. */
  boolean reserveNearest(Job job) {
    if (candidates.reservations().containsValue(job) || !mayReserve()) {
      return true;
    }
    Machine nearest = null;
    double least = Double.MAX_VALUE;
    for (Machine machine : candidates.eligible(job, candidates.tasksPerZone(job))) {
      Room lack = job.spec().room().minus(machine.free());
      double shortage = lack.share(machine.type().room());
      if (job.spec().room().fits(machine.type().room()) && shortage < least) {
        least = shortage;
        nearest = machine;
      }
    }
    if (nearest != null) {
      candidates.reservations().put(nearest, job);
    }
    return nearest != null;
  }

  /** The job needs no machine to be kept for it any more. */
  void releaseReservations(Job job) {
    candidates.reservations().values().removeIf(job::equals);
  }
}
