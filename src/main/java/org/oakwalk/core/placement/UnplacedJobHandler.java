package org.oakwalk.core.placement;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles jobs that found no room: preempts tasks of lower precedence, or reserves a machine until
 * enough room is free on it.
 */
final class UnplacedJobHandler {
  private static final Logger LOG = LoggerFactory.getLogger(UnplacedJobHandler.class);

  private static final int MAX_PREEMPTIONS_PER_ROUND = 16;

  /** Bound on the reservations for jobs that are not gangs. */
  private static final int MAX_RESERVATIONS = 3;

  /** Bound on the tasks preempted to start a replica where its image is cached. */
  private static final int MAX_VICTIMS_FOR_IMAGE = 2;

  /** How long a replica may wait for room on a machine that has its image. */
  private static final TimeSpan MAX_IMAGE_WAIT = TimeSpan.millis(2000);

  private final Fleet fleet;
  private final CandidateMachines candidates;
  private final Quota quota;
  private final JobTargets targets;
  private final Predicate<List<Placement>> mayStop;
  private final PreemptionPlanner preemption;
  private final CapacityReserve reserve;
  private final CapacityExchange exchange;
  private int stopped;
  private MonotonicTime now = new MonotonicTime(0);
  private WallTime wall = new WallTime(0);

  UnplacedJobHandler(
      Fleet fleet,
      CandidateMachines candidates,
      Quota quota,
      JobTargets targets,
      Predicate<List<Placement>> mayStop,
      PreemptionPlanner preemption,
      CapacityReserve reserve,
      CapacityExchange exchange) {
    this.reserve = reserve;
    this.exchange = exchange;
    this.mayStop = mayStop;
    this.fleet = fleet;
    this.candidates = candidates;
    this.quota = quota;
    this.targets = targets;
    this.preemption = preemption;
  }

  /** Starts a round and resets the count of preemptions. */
  void beginRound(MonotonicTime time, WallTime wallTime) {
    now = time;
    wall = wallTime;
    stopped = 0;
    preemption.beginRound();
  }

  /**
   * Makes room for a job that found none, by exchange or by preemption.
   *
   * @return whether room is being freed or could be freed for the job
   */
  boolean preemptFor(Job job) {
    boolean mayPreempt =
        job.spec().priority().compareTo(Priority.NORMAL) > 0 || quota.withinGuarantee(job);
    boolean mayPreemptLow = job.spec().priority() == Priority.NORMAL;
    if (job.isSuspect()
        || !(mayPreempt || mayPreemptLow)
        || stopped >= MAX_PREEMPTIONS_PER_ROUND
        || !preemption.mayFreeCapacity(job)
        || reserve.claimsFreedResources(job)) {
      return false;
    }
    List<Machine> machines = candidates.eligible(job, candidates.tasksPerZone(job));
    if (exchange.requestCapacity(job, machines, now, wall)) {
      return true;
    }
    Iterator<PreemptionPlanner.PreemptionPlan> plans =
        preemption.plans(job, machines, now, wall).iterator();
    boolean anyPlan = plans.hasNext();
    int missing = job.pendingCount();
    while (missing > 0 && stopped < MAX_PREEMPTIONS_PER_ROUND && plans.hasNext()) {
      // Each plan reserves its machine, so that no other job takes the room that is being freed,
      // and
      // no second task of this job counts on it.
      missing -= carryOut(plans.next(), job) ? 1 : 0;
    }
    return anyPlan;
  }

  /**
   * Preempts tasks on a machine that is reserved for a gang, so that this number of the gang's
   * tasks have room there.
   */
  void preemptForGang(Job gang, Machine machine, int tasks) {
    Resources needed = gang.spec().resources().times(tasks);
    if (stopped < MAX_PREEMPTIONS_PER_ROUND
        && !gang.isSuspect()
        && !reserve.claimsFreedResources(gang)) {
      List<Placement> victims = preemption.victims(machine, gang, needed, now, wall);
      if (!victims.isEmpty() && mayStop.test(victims)) {
        victims.forEach(
            victim ->
                fleet.halt(
                    victim, victim.job().spec().checkpointDuration(), Fleet.StopReason.PREEMPTED));
        stopped += victims.size();
      }
    }
  }

  private boolean carryOut(PreemptionPlanner.PreemptionPlan plan, Job job) {
    if (!plan.victims().isEmpty() && !mayStop.test(plan.victims())) {
      return false;
    }
    for (Placement victim : plan.victims()) {
      fleet.halt(victim, victim.job().spec().checkpointDuration(), Fleet.StopReason.PREEMPTED);
    }
    stopped += plan.victims().size();
    candidates.reservations().put(plan.machine(), job);
    return true;
  }

  /**
   * Whether fetching the image there would take longer than the start target of the job's class.
   */
  boolean fetchTooSlow(JobSpec spec, Machine machine) {
    return !machine.hasImage(spec.image())
        && targets
            .startTarget(spec)
            .filter(within -> within.compareTo(machine.type().fetchTime(spec.imageGb())) < 0)
            .isPresent();
  }

  /** Whether a job may still wait for room on a machine that has its image. */
  static boolean mayWaitForImage(Job job, MonotonicTime now) {
    return job.spec().service()
        && job.spec().priority().compareTo(Priority.NORMAL) > 0
        && !now.isPast(job.waitingSince(), MAX_IMAGE_WAIT);
  }

  /**
   * Makes room for a replica on a machine that has its image, since fetching the image would miss
   * the start target. Returns false if there is no such machine; the replica is then placed
   * wherever there is room.
   */
  boolean preemptWhereImageIs(Job job, Map<String, Integer> zones) {
    if (!mayWaitForImage(job, now)) {
      return false;
    }
    List<Machine> withImage = candidates.eligible(job, zones);
    withImage.removeIf(machine -> !machine.hasImage(job.spec().image()));
    if (withImage.stream().anyMatch(machine -> candidates.reservations().get(machine) == job)) {
      return true;
    }
    if (!preemption.mayFreeCapacity(job)) {
      return false;
    }
    List<PreemptionPlanner.PreemptionPlan> plans = preemption.plans(job, withImage, now, wall);
    if (plans.isEmpty() || plans.get(0).victims().size() > MAX_VICTIMS_FOR_IMAGE) {
      return false;
    }
    int before = stopped;
    boolean made = carryOut(plans.get(0), job);
    stopped = before;
    return made;
  }

  /** Reserves a machine for a job, unless the machine is reserved already. */
  void reserveMachine(Machine machine, Job job) {
    candidates.reservations().putIfAbsent(machine, job);
  }

  /** Whether further machines may be reserved for jobs that are not gangs. */
  boolean mayReserve() {
    return candidates.reservations().values().stream().filter(job -> !job.spec().gang()).count()
        < MAX_RESERVATIONS;
  }

  /**
   * Reserves the machine that lacks the least room for the job.
   *
   * @return false if no eligible machine is large enough; true also if the job has a reservation
   *     already, the bound on reservations is reached, or the job is suspect and merely probed
   */
  boolean reserveNearest(Job job) {
    if (job.isSuspect() || candidates.reservations().containsValue(job) || !mayReserve()) {
      return true;
    }
    Machine nearest = null;
    double least = Double.MAX_VALUE;
    for (Machine machine : candidates.eligible(job, candidates.tasksPerZone(job))) {
      Resources shortfall = job.spec().resources().minus(machine.free());
      double shortage = shortfall.dominantShare(machine.type().resources());
      if (job.spec().resources().fitsInto(machine.type().resources()) && shortage < least) {
        least = shortage;
        nearest = machine;
      }
    }
    if (nearest != null) {
      candidates.reservations().put(nearest, job);
      LOG.debug("machine {} is reserved for job {}", nearest.id(), job.id());
    }
    return nearest != null;
  }

  /** Drops all reservations of a job. */
  void releaseReservations(Job job) {
    candidates.reservations().values().removeIf(job::equals);
  }
}
