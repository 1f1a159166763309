package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** One round: waiting tasks leave in the order of their scores for the nearest fitting machine. */
public final class Placer {
  private static final int MOST_PREEMPTIONS = 16;
  private static final int MOST_RESERVATIONS = 3;
  private static final int MOST_FOR_WARMTH = 2;
  private static final Span WARM_PATIENCE = Span.millis(2000);

  private final Fleet fleet;
  private final JobBook jobs;
  private final Policy policy;
  private final Quota quota;
  private final RunTimes runTimes;
  private final Targets targets;
  private final Score score;
  private final IdealHost hosts;
  private final Preemption preemption;
  private final Span suspectAfter;
  private final Map<Machine, Job> reserved = new HashMap<>();

  /** How many machines of each type take tasks in this round. */
  private final Map<MachineType, Integer> kinds = new IdentityHashMap<>();

  private int placed;

  /** Found out once a round, if it matters. */
  private Boolean savable;

  private WallTime wall = new WallTime(0);
  private Moment clock = new Moment(0);

  public Placer(
      Fleet fleet,
      JobBook jobs,
      Policy policy,
      Targets targets,
      Quota quota,
      RunTimes runTimes,
      Span suspectAfter) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.policy = policy;
    this.quota = quota;
    this.runTimes = runTimes;
    this.targets = targets;
    this.score = new Score(policy.scoring(), targets);
    this.hosts = new IdealHost(policy.hosts());
    this.preemption = new Preemption(quota, targets, runTimes);
    this.suspectAfter = suspectAfter;
  }

  private record Ranked(Job job, double score) {}

  /**
   * Places what can be placed.
   *
   * @param inheritedToo whether tasks of older jobs that have not been seen are surely nowhere
   * @return how many tasks were placed
   */
  public int round(boolean inheritedToo, boolean regular, Moment now, WallTime wall) {
    placed = 0;
    savable = null;
    this.wall = wall;
    this.clock = now;
    quota.survey(jobs.all());
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.takesTasks(now, suspectAfter)) {
        machines.add(machine);
      }
    }
    reserved.keySet().retainAll(new HashSet<>(machines));
    reserved.values().removeIf(job -> !job.open() || job.pendingCount() <= 0);
    kinds.clear();
    machines.forEach(machine -> kinds.merge(machine.type(), 1, Integer::sum));
    List<Ranked> ranked = rank(inheritedToo, now, wall);
    int preemptions = 0;
    for (Ranked entry : ranked) {
      Job job = entry.job();
      Outcome outcome = place(job, machines, now);
      if (outcome == Outcome.NO_ROOM) {
        if (regular) {
          job.unplacedRounds(job.unplacedRounds() + 1);
        }
        preemptions += makeRoom(job, machines, MOST_PREEMPTIONS - preemptions, now);
        if (job.unplacedRounds() >= policy.hosts().reserveAfterRounds()) {
          reserve(job, machines);
        }
      } else if (outcome != Outcome.WARMING) {
        job.unplacedRounds(0);
        reserved.values().removeIf(job::equals);
      }
    }
    return placed;
  }

  private List<Ranked> rank(boolean inheritedToo, Moment now, WallTime wall) {
    Room largest = new Room(1, 1, 1);
    for (MachineType type : kinds.keySet()) {
      Room room = type.room();
      largest =
          new Room(
              Math.max(largest.cpus(), room.cpus()),
              Math.max(largest.gpus(), room.gpus()),
              Math.max(largest.memoryGb(), room.memoryGb()));
    }
    List<Ranked> ranked = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (job.open()
          && job.pendingCount() > 0
          && (inheritedToo || !job.inherited())
          && job.nextPending(0, now) >= 0) {
        double value =
            score.of(
                job,
                remaining(job),
                now.since(job.waitingSince()),
                largest,
                quota.guarantees(job),
                wall);
        ranked.add(new Ranked(job, value));
      }
    }
    ranked.sort(
        Comparator.comparingDouble((Ranked r) -> -r.score()).thenComparing(r -> r.job().stamp()));
    return ranked;
  }

  /**
   * The time until a job could be complete: a run of one task, and before it what all machines
   * together need for the others. Of two jobs with equal tasks the one with fewer left goes first.
   */
  private Span remaining(Job job) {
    Span run = runTimes.expected(job.spec());
    int places = 0;
    for (Map.Entry<MachineType, Integer> kind : kinds.entrySet()) {
      places += kind.getValue() * kind.getKey().room().count(job.spec().room());
    }
    return run.plus(run.times(job.pendingCount() / (double) Math.max(1, places)));
  }

  private enum Outcome {
    ALL,
    NO_ROOM,
    LIMITED,
    /** Room is being made where the image is. */
    WARMING
  }

  private Outcome place(Job job, List<Machine> machines, Moment now) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = zoneUse(job);
    if (spec.gang()) {
      return placeGang(job, machines, zones, now);
    }
    // All tasks of a job share the list, unless where one goes says where the next may go.
    boolean zonesMatter = spec.oneZone() || spec.spread();
    HostSearch search = search(job, machines, zones, now);
    int index = job.nextPending(0, now);
    while (index >= 0) {
      if (!quota.allows(job, 1)) {
        return Outcome.LIMITED;
      }
      Machine machine = search.nearest(new TaskId(job.id(), index));
      if (spec.service() && (machine == null || tooCold(spec, machine))) {
        Outcome outcome = warmPlace(job, machines, zones, now);
        if (outcome != null) {
          return outcome;
        }
      }
      if (machine == null) {
        return Outcome.NO_ROOM;
      }
      fleet.place(job, index, fleet.nextAttempt(), machine, runTimes.expected(spec), now);
      placed++;
      zones.merge(machine.zone(), 1, Integer::sum);
      if (zonesMatter) {
        search = search(job, machines, zones, now);
      } else {
        search.taken();
      }
      index = job.nextPending(index + 1, now);
    }
    return Outcome.ALL;
  }

  private HostSearch search(
      Job job, List<Machine> machines, Map<String, Integer> zones, Moment now) {
    Span run = runTimes.expected(job.spec());
    return new HostSearch(hosts, job, candidates(job, machines, zones), run, now);
  }

  /** Whether getting the image there would take longer than a task of this class may wait. */
  private boolean tooCold(JobSpec spec, Machine machine) {
    return !machine.hasImage(spec.image())
        && targets
            .start(spec)
            .filter(within -> within.compareTo(machine.type().fetch(spec.imageGb())) < 0)
            .isPresent();
  }

  /**
   * Makes room for a replica where its image is, since the fetch alone would miss what is expected
   * of its start. Returns null if there is no such place; then it starts wherever there is room.
   */
  private Outcome warmPlace(
      Job job, List<Machine> machines, Map<String, Integer> zones, Moment now) {
    if (now.past(job.waitingSince(), WARM_PATIENCE)
        || job.spec().priority().compareTo(Priority.NORMAL) <= 0) {
      return null;
    }
    List<Machine> warm = candidates(job, machines, zones);
    warm.removeIf(machine -> !machine.hasImage(job.spec().image()));
    if (warm.stream().anyMatch(machine -> reserved.get(machine) == job)) {
      return Outcome.WARMING;
    }
    Preemption.Plan plan = preemption.cheapest(job, warm, now, wall);
    if (plan == null || plan.victims().size() > MOST_FOR_WARMTH) {
      return null;
    }
    plan.victims().forEach(victim -> fleet.halt(victim, victim.job().spec().saveTime()));
    reserved.put(plan.machine(), job);
    return Outcome.WARMING;
  }

  /** All tasks of a gang find a place in one round, or none is placed. */
  private Outcome placeGang(
      Job job, List<Machine> machines, Map<String, Integer> zones, Moment now) {
    int missing = job.pendingCount();
    if (job.activeCount() > 0) {
      // What is left of a broken gang ends first; then all start again together.
      disband(job);
      return Outcome.LIMITED;
    }
    if (!quota.allows(job, missing)) {
      return Outcome.LIMITED;
    }
    Map<Machine, Integer> shares = new HashMap<>();
    int found = 0;
    for (Machine machine : candidates(job, machines, zones)) {
      int room = Math.min(missing - found, machine.free().count(job.spec().room()));
      if (room > 0) {
        shares.put(machine, room);
        found += room;
      }
    }
    if (found < missing) {
      return Outcome.NO_ROOM;
    }
    Attempt attempt = fleet.nextAttempt();
    for (Machine machine : candidates(job, machines, zones)) {
      for (int i = shares.getOrDefault(machine, 0); i > 0; i--) {
        int index = job.nextPending(0, now);
        if (index < 0) {
          return Outcome.NO_ROOM;
        }
        fleet.place(job, index, attempt, machine, runTimes.expected(job.spec()), now);
        placed++;
      }
    }
    return Outcome.ALL;
  }

  private void disband(Job job) {
    for (Machine machine : fleet.machines()) {
      for (Placement placement : machine.placements()) {
        if (placement.job() == job && !placement.halting()) {
          fleet.halt(placement, job.spec().saveTime());
        }
      }
    }
  }

  /** Machines that the job allows, given where its other tasks are. */
  private List<Machine> candidates(Job job, List<Machine> machines, Map<String, Integer> zones) {
    JobSpec spec = job.spec();
    String only = spec.oneZone() ? chosenZone(spec, machines, zones) : null;
    Set<String> full = new HashSet<>();
    zones.forEach(
        (zone, count) -> {
          if (spec.spread() && count >= spec.zoneLimit()) {
            full.add(zone);
          }
        });
    List<Machine> candidates = new ArrayList<>();
    Moment end = clock.plus(runTimes.expected(spec));
    for (Machine machine : machines) {
      Job holder = reserved.get(machine);
      if (spec.allows(machine.type().name(), machine.zone(), machine.spot())
          && (only == null || only.equals(machine.zone()))
          && !full.contains(machine.zone())
          && (!machine.retiring() || fills(spec, machine, end))
          && (holder == null || holder == job)) {
        candidates.add(machine);
      }
    }
    return candidates;
  }

  /**
   * Whether a task may use what is left of a machine that goes when it is empty: it is paid for
   * until its longest task has ended, so what ends before that costs nothing.
   */
  private static boolean fills(JobSpec spec, Machine machine, Moment end) {
    return !spec.service() && !spec.gang() && !end.isAfter(machine.emptyBy());
  }

  private Map<String, Integer> zoneUse(Job job) {
    Map<String, Integer> zones = new HashMap<>();
    if (job.spec().oneZone() || job.spec().spread()) {
      for (Machine machine : fleet.machines()) {
        for (Placement placement : machine.placements()) {
          if (placement.job() == job) {
            zones.merge(machine.zone(), 1, Integer::sum);
          }
        }
      }
    }
    return zones;
  }

  /** The zone where the job's tasks are already, or the one with the most room for them. */
  private static String chosenZone(
      JobSpec spec, List<Machine> machines, Map<String, Integer> zones) {
    if (!zones.isEmpty()) {
      return zones.keySet().iterator().next();
    }
    Map<String, Integer> room = new HashMap<>();
    for (Machine machine : machines) {
      if (spec.allows(machine.type().name(), machine.zone(), machine.spot())) {
        room.merge(machine.zone(), machine.free().count(spec.room()), Integer::sum);
      }
    }
    return room.entrySet().stream()
        .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .orElse("");
  }

  /** Stops less urgent tasks for those of a job that found no room. */
  private int makeRoom(Job job, List<Machine> machines, int most, Moment now) {
    boolean claims = quota.guarantees(job);
    boolean stops = job.spec().priority().compareTo(Priority.NORMAL) > 0 || claims;
    boolean displaces = job.spec().priority() == Priority.NORMAL && anySavable(machines);
    if (job.suspect() || !(stops || displaces)) {
      return 0;
    }
    int stopped = 0;
    List<Machine> candidates = candidates(job, machines, zoneUse(job));
    for (int missing = job.pendingCount(); missing > 0 && stopped < most; missing--) {
      Preemption.Plan plan = preemption.cheapest(job, candidates, now, wall);
      if (plan == null) {
        break;
      }
      plan.victims().forEach(victim -> fleet.halt(victim, victim.job().spec().saveTime()));
      stopped += plan.victims().size();
      // Nobody else may take the room, and no second task of this job counts on it.
      reserved.put(plan.machine(), job);
      candidates.remove(plan.machine());
    }
    return stopped;
  }

  /** Whether there is work of the lowest priority whose stop would lose hardly anything. */
  private boolean anySavable(List<Machine> machines) {
    if (savable == null) {
      savable =
          machines.stream()
              .flatMap(machine -> machine.placements().stream())
              .anyMatch(placement -> !placement.halting() && Preemption.savable(placement));
    }
    return savable;
  }

  private void reserve(Job job, List<Machine> machines) {
    if (reserved.containsValue(job) || reserved.size() >= MOST_RESERVATIONS) {
      return;
    }
    Machine nearest = null;
    double least = Double.MAX_VALUE;
    for (Machine machine : candidates(job, machines, zoneUse(job))) {
      Room lack = job.spec().room().minus(machine.free());
      double shortage = lack.share(machine.type().room());
      if (job.spec().room().fits(machine.type().room()) && shortage < least) {
        least = shortage;
        nearest = machine;
      }
    }
    if (nearest != null) {
      reserved.put(nearest, job);
    }
  }
}
