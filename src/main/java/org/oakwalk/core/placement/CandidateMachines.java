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
final class CandidateMachines {
  /** By how much a task may run longer than expected and still not hold up a gang. */
  private static final double BACKFILL_MARGIN = 0.5;

  private final Fleet fleet;
  private final RunTimeEstimates runTimes;
  private final Span suspectAfter;
  private final CapacityReserve reserve;
  private final Map<Machine, Job> reservations = new LinkedHashMap<>();

  /** By when the machines that are kept for a gang should be free. */
  private final Map<Job, Moment> expectedStarts = new HashMap<>();

  private final List<Machine> all = new ArrayList<>();

  /** Those with anything free, which are few while there is more work than room. */
  private final List<Machine> withFreeRoom = new ArrayList<>();

  private final Map<MachineType, Integer> machineCounts = new IdentityHashMap<>();
  private Moment roundStart = new Moment(0);

  CandidateMachines(
      Fleet fleet, RunTimeEstimates runTimes, Span suspectAfter, CapacityReserve reserve) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.runTimes = runTimes;
    this.suspectAfter = suspectAfter;
  }

  /** Finds out which machines take tasks now. */
  void refresh(Moment now) {
    roundStart = now;
    all.clear();
    withFreeRoom.clear();
    machineCounts.clear();
    for (Machine machine : fleet.machines()) {
      if (machine.takesTasks(now, suspectAfter)) {
        all.add(machine);
        machineCounts.merge(machine.type(), 1, Integer::sum);
        Room free = machine.free();
        if (free.cpus() > 0 && free.memoryGb() > 0) {
          withFreeRoom.add(machine);
        }
      }
    }
    if (!reservations.isEmpty()) {
      reservations.keySet().retainAll(new HashSet<>(all));
      reservations.values().removeIf(job -> !job.open() || job.pendingCount() <= 0);
    }
    expectedStarts.keySet().removeIf(job -> !job.open() || job.activeCount() > 0);
    reserve.beginRound(all, reservations);
  }

  /** How many machines of each type take tasks in this round. */
  Map<MachineType, Integer> machineCounts() {
    return machineCounts;
  }

  /** Machines that are kept free for a job. */
  Map<Machine, Job> reservations() {
    return reservations;
  }

  /** By when a gang should be able to start, as first foreseen. */
  Map<Job, Moment> expectedStarts() {
    return expectedStarts;
  }

  /** Machines with anything free that the job allows, given where its other tasks are. */
  List<Machine> eligibleWithFreeRoom(Job job, Map<String, Integer> zones) {
    return eligible(job, withFreeRoom, zones);
  }

  /** Machines that the job allows, full ones included. */
  List<Machine> eligible(Job job, Map<String, Integer> zones) {
    return eligible(job, all, zones);
  }

  private List<Machine> eligible(Job job, List<Machine> machines, Map<String, Integer> zones) {
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
    Moment end = roundStart.plus(runTimes.expected(spec));
    for (Machine machine : machines) {
      Job holder = reservations.get(machine);
      if (spec.allows(machine.type().name(), machine.zone(), machine.spot())
          && (only == null || only.equals(machine.zone()))
          && !full.contains(machine.zone())
          && (!machine.duty().fillsUp() || endsBeforeEmptied(spec, machine, end))
          && (holder == null
              || holder == job
              || reserve.hasRoomReservedFor(spec, machine)
              || mayUseReserved(job, holder, end))) {
        candidates.add(machine);
      }
    }
    return candidates;
  }

  /**
   * Whether a machine that is kept for a gang may be used by another job meanwhile: one that goes
   * before it anyhow, or one that ends well before the others on which the gang waits.
   */
  private boolean mayUseReserved(Job job, Job holder, Moment end) {
    JobSpec spec = job.spec();
    if (!holder.spec().gang()) {
      return false;
    }
    if (spec.priority().compareTo(Priority.HIGH) >= 0
        && spec.priority().compareTo(holder.spec().priority()) > 0) {
      return true;
    }
    Moment opens = expectedStarts.get(holder);
    return opens != null
        && !spec.service()
        && !spec.gang()
        && !end.plus(end.since(roundStart).times(BACKFILL_MARGIN)).isAfter(opens);
  }

  /**
   * Whether a task may use what is left of a machine that goes when it is empty: it is paid for
   * until its longest task has ended, so what ends before that costs nothing.
   */
  private static boolean endsBeforeEmptied(JobSpec spec, Machine machine, Moment end) {
    return !spec.service() && !spec.gang() && !end.isAfter(machine.emptyBy());
  }

  /** Machines on which a gang may wait, whichever zone; those kept for other gangs left out. */
  List<Machine> eligibleForGang(Job job) {
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : all) {
      if (job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
          && !machine.duty().fillsUp()
          && mayPassToGang(reservations.get(machine), job)) {
        machines.add(machine);
      }
    }
    return machines;
  }

  /** What is kept for single tasks, a few machines for as long as any wait, may go to a gang. */
  private static boolean mayPassToGang(Job holder, Job gang) {
    return holder == null
        || holder == gang
        || !holder.spec().gang()
            && holder.spec().priority().compareTo(gang.spec().priority()) <= 0
            && holder.spec().priority().compareTo(Priority.HIGH) < 0;
  }

  /** Where the job's tasks are, if that decides where the others may go. */
  Map<String, Integer> tasksPerZone(Job job) {
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
    for (Map.Entry<Machine, Job> kept : reservations.entrySet()) {
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
