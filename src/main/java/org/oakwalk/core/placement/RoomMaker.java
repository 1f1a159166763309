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
final class RoomMaker {
  private static final int MOST_PREEMPTIONS = 16;
  private static final int MOST_RESERVATIONS = 3;
  private static final int MOST_FOR_WARMTH = 2;

  private static final Span WARM_PATIENCE = Span.millis(2000);

  private final Fleet fleet;
  private final Candidates candidates;
  private final Quota quota;
  private final Targets targets;
  private final Predicate<List<Placement>> mayStop;
  private final Preemption preemption;
  private final Reserve reserve;
  private final Takes takes;
  private int stopped;
  private Moment now = new Moment(0);
  private WallTime wall = new WallTime(0);

  RoomMaker(
      Fleet fleet,
      Candidates candidates,
      Quota quota,
      Targets targets,
      Predicate<List<Placement>> mayStop,
      Preemption preemption,
      Reserve reserve,
      Takes takes) {
    this.reserve = reserve;
    this.takes = takes;
    this.mayStop = mayStop;
    this.fleet = fleet;
    this.candidates = candidates;
    this.quota = quota;
    this.targets = targets;
    this.preemption = preemption;
  }

  /** A round begins; it has its own bound on stops. */
  void begin(Moment at, WallTime dayTime) {
    now = at;
    wall = dayTime;
    stopped = 0;
    preemption.begin();
  }

  /** Stops less urgent tasks for those of a job that found no room; true if there were any. */
  boolean stop(Job job) {
    boolean stops = job.spec().priority().compareTo(Priority.NORMAL) > 0 || quota.guarantees(job);
    boolean displaces = job.spec().priority() == Priority.NORMAL;
    if (job.suspect()
        || !(stops || displaces)
        || stopped >= MOST_PREEMPTIONS
        || !preemption.helps(job)
        || reserve.withholds(job)) {
      return false;
    }
    List<Machine> machines = candidates.of(job, candidates.zoneUse(job));
    if (takes.ask(job, machines, now, wall)) {
      return true;
    }
    Iterator<Preemption.Plan> plans = preemption.plans(job, machines, now, wall).iterator();
    boolean any = plans.hasNext();
    int missing = job.pendingCount();
    while (missing > 0 && stopped < MOST_PREEMPTIONS && plans.hasNext()) {
      // Nobody else may take the room, and no second task of this job counts on it.
      missing -= carryOut(plans.next(), job) ? 1 : 0;
    }
    return any;
  }

  /**
   * Stops less urgent tasks on a machine that is kept for a gang, until so many of the gang's have
   * room there.
   */
  void stopFor(Job gang, Machine machine, int tasks) {
    Room needed = gang.spec().room().times(tasks);
    if (stopped < MOST_PREEMPTIONS && !gang.suspect() && !reserve.withholds(gang)) {
      List<Placement> victims = preemption.victims(machine, gang, needed, now, wall);
      if (!victims.isEmpty() && mayStop.test(victims)) {
        victims.forEach(
            victim -> fleet.halt(victim, victim.job().spec().saveTime(), Fleet.Why.PREEMPTED));
        stopped += victims.size();
      }
    }
  }

  private boolean carryOut(Preemption.Plan plan, Job job) {
    if (!plan.victims().isEmpty() && !mayStop.test(plan.victims())) {
      return false;
    }
    for (Placement victim : plan.victims()) {
      fleet.halt(victim, victim.job().spec().saveTime(), Fleet.Why.PREEMPTED);
    }
    stopped += plan.victims().size();
    candidates.reserved().put(plan.machine(), job);
    return true;
  }

  /** Whether getting the image there would take longer than a task of this class may wait. */
  boolean tooCold(JobSpec spec, Machine machine) {
    return !machine.hasImage(spec.image())
        && targets
            .start(spec)
            .filter(within -> within.compareTo(machine.type().fetch(spec.imageGb())) < 0)
            .isPresent();
  }

  /** Whether a job of this kind may still be worth a place where its image is. */
  static boolean mayWarm(Job job, Moment now) {
    return job.spec().service()
        && job.spec().priority().compareTo(Priority.NORMAL) > 0
        && !now.isPast(job.waitingSince(), WARM_PATIENCE);
  }

  /**
   * Makes room for a replica where its image is, since the fetch alone would miss what is expected
   * of its start. Returns false if there is no such place; then it starts wherever there is room.
   */
  boolean warm(Job job, Map<String, Integer> zones) {
    if (!mayWarm(job, now)) {
      return false;
    }
    List<Machine> warm = candidates.of(job, zones);
    warm.removeIf(machine -> !machine.hasImage(job.spec().image()));
    if (warm.stream().anyMatch(machine -> candidates.reserved().get(machine) == job)) {
      return true;
    }
    if (!preemption.helps(job)) {
      return false;
    }
    List<Preemption.Plan> plans = preemption.plans(job, warm, now, wall);
    if (plans.isEmpty() || plans.get(0).victims().size() > MOST_FOR_WARMTH) {
      return false;
    }
    int before = stopped;
    boolean made = carryOut(plans.get(0), job);
    stopped = before;
    return made;
  }

  /** Keeps a machine for a job that is to start there, whatever else may find room. */
  void keep(Machine machine, Job job) {
    candidates.reserved().putIfAbsent(machine, job);
  }

  /** Whether more machines may be kept for jobs that find no room. */
  boolean mayReserve() {
    return candidates.reserved().values().stream().filter(job -> !job.spec().gang()).count()
        < MOST_RESERVATIONS;
  }

  /** Keeps the machine nearest to fitting for the job; false if there is none. */
  boolean reserve(Job job) {
    if (candidates.reserved().containsValue(job) || !mayReserve()) {
      return true;
    }
    Machine nearest = null;
    double least = Double.MAX_VALUE;
    for (Machine machine : candidates.of(job, candidates.zoneUse(job))) {
      Room lack = job.spec().room().minus(machine.free());
      double shortage = lack.share(machine.type().room());
      if (job.spec().room().fits(machine.type().room()) && shortage < least) {
        least = shortage;
        nearest = machine;
      }
    }
    if (nearest != null) {
      candidates.reserved().put(nearest, job);
    }
    return nearest != null;
  }

  /** The job needs no machine to be kept for it any more. */
  void settled(Job job) {
    candidates.reserved().values().removeIf(job::equals);
  }
}
