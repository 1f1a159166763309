package org.oakwalk.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * Detects jobs that keep waiting although there is room that they may use, once all faults of the
 * scenario are over. A task counts as waiting while it is on no machine, not even to fetch its
 * image; a gang counts only if none of its tasks is on a machine. The room has to be available on
 * one machine throughout, or, for a gang, for all of its tasks at once. The wait starts anew
 * whenever a task of the job has been assigned. The rule looks at machines and not at the
 * controllers' records.
 */
final class StarvationRule {
  /** Longest time for which a job may wait although there is room for it. */
  private static final double MAX_WAIT_SECONDS = 90;

  /** Interval between two checks, in ticks. */
  private static final int TICKS_PER_CHECK = 4;

  /**
   * Requirements of a task on its machine. Jobs with equal requirements share the search result.
   */
  private record TaskRequirements(
      Resources resources, Set<String> machineTypes, Optional<String> zone, boolean spotAllowed) {
    static TaskRequirements of(JobSpec spec) {
      return new TaskRequirements(
          spec.resources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }
  }

  /** A job with waiting tasks, since when in seconds, and their number. */
  private record WaitingJob(double since, int waitingTasks) {}

  private final World world;
  private final Map<TaskRequirements, Map<SimWorker, Double>> capacityAvailableSince =
      new HashMap<>();
  private final Map<JobId, WaitingJob> waitingJobs = new HashMap<>();
  private double faultsEndAt;
  private int ticks;

  /** The current machine of each assigned task, including tasks that wait for their image. */
  private final Map<TaskId, SimWorker> assignedMachines = new HashMap<>();

  private final Map<String, Resources> teamUsage = new HashMap<>();
  private final Map<SimWorker, Resources> freeByMachine = new HashMap<>();
  private final Set<TaskRequirements> checkedRequirements = new HashSet<>();

  StarvationRule(World world) {
    this.world = world;
  }

  void setFaultsEnd(double seconds) {
    faultsEndAt = seconds;
  }

  /** Looks for starved jobs in every fourth call, and returns a description of one, if any. */
  Optional<String> tick() {
    if (ticks++ % TICKS_PER_CHECK != 0
        || world.time.seconds() < faultsEndAt
        || world.scenarioPolicy.mayReserveCapacity()) {
      return Optional.empty();
    }
    surveyMachines();
    for (JobId job : world.invariants.acceptedJobs()) {
      if (!world.invariants.isReportedEnded(job)
          && !world.invariants.isCancelRequested(job)
          && !world.failingJobs.contains(job)) {
        Optional<String> starved = checkJob(world.specs.get(job));
        if (starved.isPresent()) {
          return starved;
        }
      }
    }
    capacityAvailableSince.keySet().retainAll(checkedRequirements);
    return Optional.empty();
  }

  private void surveyMachines() {
    assignedMachines.clear();
    teamUsage.clear();
    freeByMachine.clear();
    checkedRequirements.clear();
    for (SimWorker worker : world.workers.values()) {
      worker.tasks.forEach(
          (id, task) -> {
            if (!task.ended()) {
              assignedMachines.put(id, worker);
              teamUsage.merge(task.spec.team(), task.spec.resources(), Resources::plus);
            }
          });
      if (acceptsTasks(worker)) {
        freeByMachine.put(worker, worker.type.resources().minus(worker.usedResources()));
      }
    }
  }

  /**
   * Whether a worker should start tasks: it is running, healthy, has no reclaim notice and no drain
   * plan may apply to it.
   */
  private boolean acceptsTasks(SimWorker worker) {
    return worker.isResponsive()
        && worker.isHealthy()
        && !worker.hasReclaimNotice()
        && !world.scenarioPolicy.mayDrain(worker.rentedAtSeconds());
  }

  private Optional<String> checkJob(JobSpec spec) {
    double now = world.time.seconds();
    int waiting = waitingTaskCount(spec);
    boolean mayStart = waiting > 0 && withinLimit(spec) && (!spec.gang() || gangFits(spec));
    if (!mayStart) {
      waitingJobs.remove(spec.id());
      return Optional.empty();
    }
    WaitingJob before = waitingJobs.get(spec.id());
    WaitingJob wait =
        new WaitingJob(
            before == null || waiting < before.waitingTasks() ? now : before.since(), waiting);
    waitingJobs.put(spec.id(), wait);
    Map<SimWorker, Double> availableSince = machinesWithCapacity(spec);
    if (now - wait.since() < MAX_WAIT_SECONDS) {
      return Optional.empty();
    }
    if (spec.gang()) {
      return Optional.of(
          spec.id()
              + " has been waiting since "
              + wait.since()
              + " s, and there is room for the whole gang");
    }
    return availableSince.entrySet().stream()
        .filter(entry -> now - entry.getValue() >= MAX_WAIT_SECONDS)
        .filter(entry -> zoneAllowed(spec, entry.getKey().pool.zone()))
        .findFirst()
        .map(
            entry ->
                String.format(
                    "%s has been waiting since %.1f s, and %s has had room since %.1f s",
                    spec.id(), wait.since(), entry.getKey().id, entry.getValue()));
  }

  /**
   * Returns the number of tasks that are neither complete nor assigned; 0 for a gang with any
   * assigned task.
   */
  private int waitingTaskCount(JobSpec spec) {
    int waiting = 0;
    for (int index = 0; index < spec.tasks(); index++) {
      TaskId task = new TaskId(spec.id(), index);
      if (assignedMachines.containsKey(task)) {
        if (spec.gang()) {
          return 0;
        }
      } else if (!world.invariants.isCompleted(task)) {
        waiting++;
      }
    }
    return waiting;
  }

  /** Whether the team limit allows one more task of the job, or the whole gang. */
  private boolean withinLimit(JobSpec spec) {
    Settings.Team team = world.settings.teams().get(spec.team());
    Resources added = spec.resources().times(spec.gang() ? waitingTaskCount(spec) : 1);
    Resources usage = teamUsage.getOrDefault(spec.team(), Resources.NONE).plus(added);
    return (team.cpusMax() <= 0 || usage.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || usage.gpus() <= team.gpusMax() + 1e-6);
  }

  /**
   * Returns the machines with room for a task of the job, each with the time since which it has had
   * it.
   */
  private Map<SimWorker, Double> machinesWithCapacity(JobSpec spec) {
    TaskRequirements need = TaskRequirements.of(spec);
    Map<SimWorker, Double> since =
        capacityAvailableSince.computeIfAbsent(need, n -> new HashMap<>());
    if (checkedRequirements.add(need)) {
      since.keySet().retainAll(freeByMachine.keySet());
      freeByMachine.forEach(
          (worker, room) -> {
            if (allows(spec, worker) && spec.resources().fitsInto(room)) {
              since.putIfAbsent(worker, world.time.seconds());
            } else {
              since.remove(worker);
            }
          });
    }
    return since;
  }

  private static boolean allows(JobSpec spec, SimWorker worker) {
    return spec.allows(worker.type.name(), worker.pool.zone(), worker.pool.spot());
  }

  private boolean zoneAllowed(JobSpec spec, String zone) {
    if (!spec.oneZone() && !spec.spread()) {
      return true;
    }
    int inZone = 0;
    int elsewhere = 0;
    for (int index = 0; index < spec.tasks(); index++) {
      SimWorker at = assignedMachines.get(new TaskId(spec.id(), index));
      if (at != null) {
        inZone += at.pool.zone().equals(zone) ? 1 : 0;
        elsewhere += at.pool.zone().equals(zone) ? 0 : 1;
      }
    }
    return (!spec.oneZone() || elsewhere == 0) && inZone < spec.maxTasksPerZone();
  }

  /** Whether there is room for all waiting tasks of a gang at once. */
  private boolean gangFits(JobSpec spec) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    freeByMachine.forEach(
        (worker, room) -> {
          if (allows(spec, worker)) {
            slotsByZone.merge(worker.pool.zone(), room.capacityFor(spec.resources()), Integer::sum);
          }
        });
    IntStream zones =
        slotsByZone.values().stream().mapToInt(n -> Math.min(n, spec.maxTasksPerZone()));
    int maxTasks = spec.oneZone() ? zones.max().orElse(0) : zones.sum();
    return maxTasks >= waitingTaskCount(spec);
  }
}
