package org.oakwalk.core.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;

/**
 * What jobs lack that may run in one zone only. All that is held may be enough by number and yet
 * stand in other zones, in particular after a zone has lost machines; such jobs would wait for as
 * long as that is so.
 */
final class ZoneBoundDemand {
  /** Until then other work may end there, or machines on their way may come up. */
  private static final Span MIN_WAIT = Span.seconds(20);

  private static final int MAX_JOBS = 100;

  private final Fleet fleet;
  private final JobBook jobs;
  private final Demand demand;
  private final ToIntFunction<JobSpec> quotaRemaining;

  /**
   * Looks at these jobs and machines.
   *
   * @param quotaRemaining for how many tasks more of a job its team's limit leaves room
   */
  ZoneBoundDemand(Fleet fleet, JobBook jobs, Demand demand, ToIntFunction<JobSpec> placesLeft) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.demand = demand;
    this.quotaRemaining = placesLeft;
  }

  /** Machines that bound jobs have lacked for a while, by sort; those on their way are set off. */
  Map<BootTracker.MachinePool, Integer> missingMachines(
      Function<JobSpec, MachineType> cheapest, Span suspectAfter, Moment now, WallTime wall) {
    Map<BootTracker.MachinePool, Double> lacks = new LinkedHashMap<>();
    Map<String, Integer> granted = new HashMap<>();
    Map<String, Double> claimed = new HashMap<>();
    Map<JobId, String> begunIn = null;
    int looked = 0;
    for (Job job : jobs.all()) {
      JobSpec spec = job.spec();
      boolean waits =
          job.open() && job.pendingCount() > 0 && now.past(job.waitingSince(), MIN_WAIT);
      if (!waits || spec.zone().isEmpty() && !(spec.oneZone() && job.activeCount() > 0)) {
        continue;
      }
      if (spec.zone().isEmpty() && begunIn == null) {
        begunIn = zonesInUse();
      }
      String zone = spec.zone().orElse(begunIn == null ? null : begunIn.get(job.id()));
      MachineType type = cheapest.apply(spec);
      if (zone == null || type == null || !type.zones().contains(zone)) {
        continue;
      }
      int within = quotaRemaining.applyAsInt(spec) - granted.getOrDefault(spec.team(), 0);
      int wanted = (int) Math.ceil(demand.concurrentTasks(job, type, wall)) - job.activeCount();
      int tasks = Math.min(Math.min(wanted, job.pendingCount()), within);
      if (tasks <= 0 || spec.gang() && tasks < job.pendingCount()) {
        continue;
      }
      if (looked++ == MAX_JOBS) {
        break;
      }
      granted.merge(spec.team(), tasks, Integer::sum);
      // What one job finds room on, or will, is not there for the next one.
      double used = claimed.getOrDefault(zone, 0.0);
      int each = type.room().count(spec.room());
      int free = (int) Math.max(0, availableSlots(spec, zone, suspectAfter, now) - used * each);
      int found = Math.min(free, tasks);
      claimed.put(zone, used + (double) found / each);
      if (found < tasks) {
        lacks.merge(
            new BootTracker.MachinePool(type.name(), zone, spec.spotAllowed()),
            (double) (tasks - found) / each,
            Double::sum);
      }
    }
    Map<BootTracker.MachinePool, Integer> missing = new LinkedHashMap<>();
    lacks.forEach((sort, machines) -> missing.put(sort, (int) Math.ceil(machines - 1e-6)));
    return missing;
  }

  /** Places for such tasks in a zone, on machines that take some or are on their way. */
  private int availableSlots(JobSpec spec, String zone, Span suspectAfter, Moment now) {
    int places = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.zone().equals(zone) && spec.allows(machine.type().name(), zone, machine.spot())) {
        switch (machine.state()) {
          case BOOTING, ENROLLING -> places += machine.type().room().count(spec.room());
          case UP ->
              places +=
                  machine.takesTasks(now, suspectAfter) ? machine.free().count(spec.room()) : 0;
          case UNCONFIRMED, LAPSED, RETURNING, GONE -> {}
        }
      }
    }
    return places;
  }

  /** Where jobs are that have begun in one zone and may use no other as long as they are there. */
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
