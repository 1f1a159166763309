package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/**
 * The machines that accept tasks in the current round, and the subset on which a given job may run.
 */
final class CandidateMachines {
  /**
   * Safety margin for backfilling a machine reserved for a gang, as a fraction of the expected run
   * time: a backfilled task that overruns by less does not delay the gang.
   */
  private static final double BACKFILL_MARGIN = 0.5;

  /** How long a machine with enough room stays reserved for a job that does not start there. */
  private static final TimeSpan MAX_UNUSED_RESERVATION = TimeSpan.seconds(10);

  /** A machine that has had room for a task of the job it is reserved for since this time. */
  private record UnusedReservation(Job holder, MonotonicTime since) {}

  private final Fleet fleet;
  private final RunTimeEstimates runTimes;
  private final TimeSpan suspectAfter;
  private final CapacityReserve reserve;
  private final Map<Machine, Job> reservations = new LinkedHashMap<>();

  private final Map<Machine, UnusedReservation> unusedReservations = new HashMap<>();
  private final Set<Machine> hopelessReservations = new HashSet<>();

  /** The time by which the machines reserved for a gang are expected to be free. */
  private final Map<Job, MonotonicTime> expectedStarts = new HashMap<>();

  private final List<Machine> all = new ArrayList<>();

  /** Machines with free CPU and memory; only a few under overload, so scanning them is cheap. */
  private final List<Machine> withFreeRoom = new ArrayList<>();

  private final Map<MachineType, Integer> machineCounts = new IdentityHashMap<>();
  private MonotonicTime roundStart = new MonotonicTime(0);

  CandidateMachines(
      Fleet fleet, RunTimeEstimates runTimes, TimeSpan suspectAfter, CapacityReserve reserve) {
    this.reserve = reserve;
    this.fleet = fleet;
    this.runTimes = runTimes;
    this.suspectAfter = suspectAfter;
  }

  /** Starts a round: collects the machines that accept tasks and drops outdated reservations. */
  void refresh(MonotonicTime now) {
    roundStart = now;
    all.clear();
    withFreeRoom.clear();
    machineCounts.clear();
    for (Machine machine : fleet.machines()) {
      if (machine.acceptsProbe(now, suspectAfter)) {
        withFreeRoom.add(machine);
      } else if (machine.acceptsTasks(now, suspectAfter)) {
        all.add(machine);
        machineCounts.merge(machine.type(), 1, Integer::sum);
        Resources free = machine.free();
        if (free.cpus() > 0 && free.memoryGb() > 0 && free.taskSlots() > 0) {
          withFreeRoom.add(machine);
        }
      }
    }
    if (!reservations.isEmpty()) {
      reservations.keySet().retainAll(new HashSet<>(all));
      reservations.values().removeIf(job -> !mayHoldReservation(job));
    }
    updateIdleReservations();
    expectedStarts.keySet().removeIf(job -> !job.isOpen() || job.assignedCount() > 0);
    reserve.beginRound(all, reservations);
  }

  /**
   * Whether a job still waits and, unless it is a gang, may start now if there is room. Gangs have
   * a time limit of their own.
   */
  private boolean mayHoldReservation(Job job) {
    if (!job.isOpen() || job.pendingCount() <= 0) {
      return false;
    }
    return job.spec().gang() || !job.isSuspect() && job.nextPending(0, roundStart) >= 0;
  }

  /** Notes how long reserved machines have had room for their jobs, and which never will. */
  private void updateIdleReservations() {
    hopelessReservations.clear();
    unusedReservations.keySet().retainAll(reservations.keySet());
    reservations.forEach(
        (machine, holder) -> {
          UnusedReservation before = unusedReservations.get(machine);
          if (!holder.spec().resources().fitsInto(machine.free())) {
            unusedReservations.remove(machine);
          } else if (before == null || before.holder() != holder) {
            unusedReservations.put(machine, new UnusedReservation(holder, roundStart));
          }
          if (!canGatherRoom(holder, machine)) {
            hopelessReservations.add(machine);
          }
        });
  }

  /**
   * Whether a machine has room for a task of the job once its present tasks have ended. Replicas do
   * not end, unless they are being stopped.
   */
  private static boolean canGatherRoom(Job job, Machine machine) {
    Resources room = machine.free();
    for (Placement placement : machine.placements()) {
      if (placement.halting() || !placement.job().spec().service()) {
        room = room.plus(placement.job().spec().resources());
      }
    }
    return job.spec().resources().fitsInto(room);
  }

  /**
   * The job that a machine is reserved for, or null. A reservation keeps other jobs away while room
   * is gathered. It does not where there has been room for long and the job still has not started,
   * for whatever reason, nor where replicas take what the job lacks: otherwise the rest of the
   * machine would be idle for as long as the job waits. Gangs start only when all their machines
   * have room.
   */
  private Job holder(Machine machine) {
    Job holder = reservations.get(machine);
    if (holder == null || holder.spec().gang()) {
      return holder;
    }
    UnusedReservation unused = unusedReservations.get(machine);
    boolean lapsed =
        unused != null
            && unused.holder() == holder
            && roundStart.isPast(unused.since(), MAX_UNUSED_RESERVATION);
    return lapsed || hopelessReservations.contains(machine) ? null : holder;
  }

  /** The number of machines of each type that accept tasks in this round. */
  Map<MachineType, Integer> machineCounts() {
    return machineCounts;
  }

  /** Machines reserved for a job; the map is changed by the classes that make reservations. */
  Map<Machine, Job> reservations() {
    return reservations;
  }

  /** The time by which a waiting gang should be able to start, as first estimated. */
  Map<Job, MonotonicTime> expectedStarts() {
    return expectedStarts;
  }

  /**
   * Machines with free room on which the job may run.
   *
   * @param zones the number of the job's tasks in each zone, see {@link #tasksPerZone}
   */
  List<Machine> eligibleWithFreeResources(Job job, Map<String, Integer> zones) {
    return eligible(job, withFreeRoom, zones);
  }

  /** Machines on which the job may run, including full ones. */
  List<Machine> eligible(Job job, Map<String, Integer> zones) {
    return eligible(job, all, zones);
  }

  private List<Machine> eligible(Job job, List<Machine> machines, Map<String, Integer> zones) {
    JobSpec spec = job.spec();
    String only = spec.oneZone() ? chosenZone(job, zones) : null;
    Set<String> full = new HashSet<>();
    zones.forEach(
        (zone, count) -> {
          if (spec.spread() && count >= spec.maxTasksPerZone()) {
            full.add(zone);
          }
        });
    List<Machine> candidates = new ArrayList<>();
    MonotonicTime end = roundStart.plus(runTimes.expected(spec));
    for (Machine machine : machines) {
      Job holder = holder(machine);
      if (spec.allows(machine.type().name(), machine.zone(), machine.spot())
          && (only == null || only.equals(machine.zone()))
          && !full.contains(machine.zone())
          && accepts(machine, job, end)
          && (holder == null
              || holder == job
              || reserve.hasResourcesReservedFor(spec, machine)
              || mayUseReserved(job, holder, end))) {
        candidates.add(machine);
      }
    }
    return candidates;
  }

  private static boolean accepts(Machine machine, Job job, MonotonicTime end) {
    SchedulingMode mode = machine.schedulingMode();
    if (mode == SchedulingMode.PROBATION) {
      return machine.admitsProbe(job);
    }
    return !mode.backfillOnly() || endsBeforeEmptied(job.spec(), machine, end);
  }

  /**
   * Whether a job may use a machine that is reserved for another one. This is possible only if it
   * is reserved for a gang, and the job either has a higher priority (HIGH or above) or is a batch
   * task that can be backfilled: it ends well before the gang is expected to start.
   */
  private boolean mayUseReserved(Job job, Job holder, MonotonicTime end) {
    JobSpec spec = job.spec();
    if (!holder.spec().gang()) {
      return false;
    }
    if (spec.priority().compareTo(Priority.HIGH) >= 0
        && spec.priority().compareTo(holder.spec().priority()) > 0) {
      return true;
    }
    MonotonicTime start = expectedStarts.get(holder);
    return start != null
        && !spec.service()
        && !spec.gang()
        && !end.plus(end.since(roundStart).times(BACKFILL_MARGIN)).isAfter(start);
  }

  /**
   * Whether a task may run on a machine that is to be emptied. The machine is paid for until its
   * longest task has ended, so a task that ends before that adds no cost.
   */
  private static boolean endsBeforeEmptied(JobSpec spec, Machine machine, MonotonicTime end) {
    return !spec.service() && !spec.gang() && !end.isAfter(machine.expectedEmptyAt());
  }

  /**
   * Machines in any zone that may be reserved for a gang; those reserved for other gangs are not.
   */
  List<Machine> eligibleForGang(Job job) {
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : all) {
      if (job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
          && !machine.schedulingMode().backfillOnly()
          && mayPassToGang(reservations.get(machine), job)) {
        machines.add(machine);
      }
    }
    return machines;
  }

  /**
   * Whether a machine's reservation may pass to a gang. Reservations for jobs that are not gangs
   * may: otherwise a few machines would stay reserved for as long as any such job waits.
   */
  private static boolean mayPassToGang(Job holder, Job gang) {
    return holder == null
        || holder == gang
        || !holder.spec().gang()
            && holder.spec().priority().compareTo(gang.spec().priority()) <= 0
            && holder.spec().priority().compareTo(Priority.HIGH) < 0;
  }

  /**
   * The number of the job's tasks in each zone; empty if the job has no zone constraint that
   * depends on it.
   */
  Map<String, Integer> tasksPerZone(Job job) {
    Map<String, Integer> zones = new HashMap<>();
    if (job.spec().oneZone() || job.spec().spread()) {
      for (Placement placement : fleet.placementsOf(job)) {
        zones.merge(placement.machine().zone(), 1, Integer::sum);
      }
    }
    return zones;
  }

  /** The zone where the job's tasks or reservations already are, or else the one with most room. */
  private String chosenZone(Job job, Map<String, Integer> zones) {
    JobSpec spec = job.spec();
    if (!zones.isEmpty()) {
      return zones.keySet().iterator().next();
    }
    for (Map.Entry<Machine, Job> reservation : reservations.entrySet()) {
      if (reservation.getValue() == job) {
        return reservation.getKey().zone();
      }
    }
    Map<String, Integer> room = new HashMap<>();
    for (Machine machine : all) {
      if (spec.allows(machine.type().name(), machine.zone(), machine.spot())) {
        room.merge(machine.zone(), machine.free().capacityFor(spec.resources()), Integer::sum);
      }
    }
    return room.entrySet().stream()
        .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .orElse("");
  }
}
