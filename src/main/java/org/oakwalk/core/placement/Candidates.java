package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** The machines that take tasks in a round, and which of them a job may use. */
final class Candidates {
  /** By how much a task may run longer than expected and still not hold up a gang. */
  private static final double FILLING_MARGIN = 0.5;

  private final Fleet fleet;
  private final RunTimes runTimes;
  private final Span suspectAfter;
  private final Reserve reserve;
  private final Map<Machine, Job> reserved = new LinkedHashMap<>();

  /** By when the machines that are kept for a gang should be free. */
  private final Map<Job, Moment> awaited = new HashMap<>();

  private final List<Machine> all = new ArrayList<>();

  /** Those with anything free, which are few while there is more work than room. */
  private final List<Machine> roomy = new ArrayList<>();

  private final Map<MachineType, Integer> kinds = new IdentityHashMap<>();
  private Moment clock = new Moment(0);

  Candidates(Fleet fleet, RunTimes runTimes, Span suspectAfter, Reserve reserve) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.runTimes = runTimes;
    this.suspectAfter = suspectAfter;
  }

  /** Finds out which machines take tasks now. */
  void survey(Moment now) {
    clock = now;
    all.clear();
    roomy.clear();
    kinds.clear();
    for (Machine machine : fleet.machines()) {
      if (machine.acceptsTasks(now, suspectAfter)) {
        all.add(machine);
        kinds.merge(machine.type(), 1, Integer::sum);
        Room free = machine.free();
        if (free.cpus() > 0 && free.memoryGb() > 0) {
          roomy.add(machine);
        }
      }
    }
    if (!reserved.isEmpty()) {
      reserved.keySet().retainAll(new HashSet<>(all));
      reserved.values().removeIf(job -> !job.open() || job.pendingCount() <= 0);
    }
    awaited.keySet().removeIf(job -> !job.open() || job.activeCount() > 0);
    reserve.survey(all, reserved);
  }

  /** How many machines of each type take tasks in this round. */
  Map<MachineType, Integer> kinds() {
    return kinds;
  }

  /** Machines that are kept free for a job. */
  Map<Machine, Job> reserved() {
    return reserved;
  }

  /** By when a gang should be able to start, as first foreseen. */
  Map<Job, Moment> awaited() {
    return awaited;
  }

  /** Machines with anything free that the job allows, given where its other tasks are. */
  List<Machine> withRoom(Job job, Map<String, Integer> zones) {
    return of(job, roomy, zones);
  }

  /** Machines that the job allows, full ones included. */
  List<Machine> of(Job job, Map<String, Integer> zones) {
    return of(job, all, zones);
  }

  private List<Machine> of(Job job, List<Machine> machines, Map<String, Integer> zones) {
    JobSpec spec = job.spec();
    String only = spec.oneZone() ? chosenZone(job, zones) : null;
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
          && (!machine.schedulingMode().backfillOnly() || fills(spec, machine, end))
          && (holder == null
              || holder == job
              || reserve.serves(spec, machine)
              || mayUse(job, holder, end))) {
        candidates.add(machine);
      }
    }
    return candidates;
  }

  /**
   * Whether a machine that is kept for a gang may be used by another job meanwhile: one that goes
   * before it anyhow, or one that ends well before the others on which the gang waits.
   */
  private boolean mayUse(Job job, Job holder, Moment end) {
    JobSpec spec = job.spec();
    if (!holder.spec().gang()) {
      return false;
    }
    if (spec.priority().compareTo(Priority.HIGH) >= 0
        && spec.priority().compareTo(holder.spec().priority()) > 0) {
      return true;
    }
    Moment opens = awaited.get(holder);
    return opens != null
        && !spec.service()
        && !spec.gang()
        && !end.plus(end.since(clock).times(FILLING_MARGIN)).isAfter(opens);
  }

  /**
   * Whether a task may use what is left of a machine that goes when it is empty: it is paid for
   * until its longest task has ended, so what ends before that costs nothing.
   */
  private static boolean fills(JobSpec spec, Machine machine, Moment end) {
    return !spec.service() && !spec.gang() && !end.isAfter(machine.expectedEmptyAt());
  }

  /** Machines on which a gang may wait, whichever zone; those kept for other gangs left out. */
  List<Machine> forGang(Job job) {
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : all) {
      if (job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
          && !machine.schedulingMode().backfillOnly()
          && yields(reserved.get(machine), job)) {
        machines.add(machine);
      }
    }
    return machines;
  }

  /** What is kept for single tasks, a few machines for as long as any wait, may go to a gang. */
  private static boolean yields(Job holder, Job gang) {
    return holder == null
        || holder == gang
        || !holder.spec().gang()
            && holder.spec().priority().compareTo(gang.spec().priority()) <= 0
            && holder.spec().priority().compareTo(Priority.HIGH) < 0;
  }

  /** Where the job's tasks are, if that decides where the others may go. */
  Map<String, Integer> zoneUse(Job job) {
    Map<String, Integer> zones = new HashMap<>();
    if (job.spec().oneZone() || job.spec().spread()) {
      for (Placement placement : fleet.placementsOf(job)) {
        zones.merge(placement.machine().zone(), 1, Integer::sum);
      }
    }
    return zones;
  }

  /** The zone where the job's tasks are already, or the one with the most room for them. */
  private String chosenZone(Job job, Map<String, Integer> zones) {
    JobSpec spec = job.spec();
    if (!zones.isEmpty()) {
      return zones.keySet().iterator().next();
    }
    for (Map.Entry<Machine, Job> kept : reserved.entrySet()) {
      if (kept.getValue() == job) {
        return kept.getKey().zone();
      }
    }
    Map<String, Integer> room = new HashMap<>();
    for (Machine machine : all) {
      if (spec.allows(machine.type().name(), machine.zone(), machine.spot())) {
        room.merge(machine.zone(), machine.free().count(spec.room()), Integer::sum);
      }
    }
    return room.entrySet().stream()
        .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .orElse("");
  }
}
