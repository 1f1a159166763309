package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;

/**
 * Computes the machines that are missing for jobs which can run in one zone only. The fleet can be
 * large enough in total while its machines are in other zones, in particular after a zone has lost
 * machines; without this, such jobs would wait until the distribution changes.
 */
final class ZoneBoundDemand {
  /**
   * Minimum wait of a job before machines are rented for it: other tasks may end in the zone, or
   * booting machines may come up.
   */
  private static final TimeSpan MIN_WAIT = TimeSpan.seconds(20);

  /** Maximum number of jobs evaluated in one run. */
  private static final int MAX_JOBS = 100;

  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Demand demand;
  private final ToIntFunction<JobSpec> quotaRemaining;

  /**
   * Creates the computation for a fleet and its jobs.
   *
   * @param quotaRemaining returns how many more tasks of a job its team's quota allows
   */
  ZoneBoundDemand(
      Fleet fleet, JobRegistry jobs, Demand demand, ToIntFunction<JobSpec> quotaRemaining) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.demand = demand;
    this.quotaRemaining = quotaRemaining;
  }

  /**
   * Returns the number of missing machines by pool, for zone-bound jobs that have waited long
   * enough. Free room and machines that are coming up are deducted.
   */
  Map<BootTracker.RentalPool, Integer> missingMachines(
      Function<JobSpec, MachineType> cheapestType,
      TimeSpan suspectAfter,
      MonotonicTime now,
      WallTime wall) {
    Map<BootTracker.RentalPool, Double> missingByPool = new LinkedHashMap<>();
    Map<String, Integer> grantedByTeam = new HashMap<>();
    Map<String, Double> claimedByZone = new HashMap<>();
    Map<JobId, String> zoneByJob = null;
    int evaluated = 0;
    for (Job job : jobs.all()) {
      JobSpec spec = job.spec();
      boolean waits =
          job.isOpen() && job.pendingCount() > 0 && now.isPast(job.waitingSince(), MIN_WAIT);
      if (!waits || spec.zone().isEmpty() && !(spec.oneZone() && job.assignedCount() > 0)) {
        continue;
      }
      if (spec.zone().isEmpty() && zoneByJob == null) {
        zoneByJob = zonesInUse();
      }
      String zone = spec.zone().orElse(zoneByJob == null ? null : zoneByJob.get(job.id()));
      MachineType type = cheapestType.apply(spec);
      if (zone == null || type == null || !type.zones().contains(zone)) {
        continue;
      }
      int allowed = quotaRemaining.applyAsInt(spec) - grantedByTeam.getOrDefault(spec.team(), 0);
      int wanted = (int) Math.ceil(demand.concurrentTasks(job, type, wall)) - job.assignedCount();
      int tasks = Math.min(Math.min(wanted, job.pendingCount()), allowed);
      if (tasks <= 0 || spec.gang() && tasks < job.pendingCount()) {
        continue;
      }
      if (evaluated++ == MAX_JOBS) {
        break;
      }
      grantedByTeam.merge(spec.team(), tasks, Integer::sum);
      // Room that one job can use now or soon is not available to the next job.
      double claimedMachines = claimedByZone.getOrDefault(zone, 0.0);
      int perMachine = type.resources().capacityFor(spec.resources());
      int free =
          (int)
              Math.max(
                  0, availableSlots(spec, zone, suspectAfter, now) - claimedMachines * perMachine);
      int found = Math.min(free, tasks);
      claimedByZone.put(zone, claimedMachines + (double) found / perMachine);
      if (found < tasks) {
        missingByPool.merge(
            new BootTracker.RentalPool(type.name(), zone, spec.spotAllowed()),
            (double) (tasks - found) / perMachine,
            Double::sum);
      }
    }
    Map<BootTracker.RentalPool, Integer> missing = new LinkedHashMap<>();
    missingByPool.forEach((pool, machines) -> missing.put(pool, (int) Math.ceil(machines - 1e-6)));
    return missing;
  }

  /** Tasks of a job that fit into a zone, on machines that accept tasks or are coming up. */
  private int availableSlots(JobSpec spec, String zone, TimeSpan suspectAfter, MonotonicTime now) {
    int slots = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.zone().equals(zone) && spec.allows(machine.type().name(), zone, machine.spot())) {
        switch (machine.state()) {
          case BOOTING, REGISTERING ->
              slots += machine.type().resources().capacityFor(spec.resources());
          case UP ->
              slots +=
                  machine.acceptsTasks(now, suspectAfter)
                      ? machine.free().capacityFor(spec.resources())
                      : 0;
          case UNCONFIRMED, LEASE_EXPIRED, RETURNING, GONE -> {}
        }
      }
    }
    return slots;
  }

  /**
   * Zones of the jobs that must keep all tasks in one zone and have tasks placed; they cannot use
   * another zone meanwhile.
   */
  private Map<JobId, String> zonesInUse() {
    Map<JobId, String> zones = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      for (Placement placement : machine.placements()) {
        if (placement.job().spec().oneZone()) {
          zones.put(placement.job().id(), machine.zone());
        }
      }
    }
    return zones;
  }
}
