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
 * Whether a job is left waiting beside room that it may use, once all troubles are over. A task
 * counts as waiting while it is on no machine, not even for its image, and none of its job has
 * begun; the room has to be on one and the same machine all the while, or, for a gang, for all of
 * its tasks at once. It looks at machines, not at what controllers believe of them.
 */
final class StarvationRule {
  private static final double MAX_WAIT_SECONDS = 90;

  /** Once in so many calls is enough. */
  private static final int TICKS_PER_CHECK = 4;

  /** What a task asks of its machine; jobs that ask the same share what is found. */
  private record TaskRequirements(
      Resources resources, Set<String> machineTypes, Optional<String> zone, boolean spotAllowed) {
    static TaskRequirements of(JobSpec spec) {
      return new TaskRequirements(
          spec.resources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }
  }

  /** A job that waits: since when, and how many of its tasks do. */
  private record WaitingJob(double since, int waitingTasks) {}

  private final World world;
  private final Map<TaskRequirements, Map<SimWorker, Double>> roomAvailableSince = new HashMap<>();
  private final Map<JobId, WaitingJob> waitingJobs = new HashMap<>();
  private double faultsEndAt;
  private int ticks;

  /** Where tasks are at this moment, those that wait for their image included. */
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

  /** To be called now and then; returns what is broken. */
  Optional<String> tick() {
    if (ticks++ % TICKS_PER_CHECK != 0
        || world.time.seconds() < faultsEndAt
        || world.plans.mayReserveRoom()) {
      return Optional.empty();
    }
    look();
    for (JobId job : world.rules.acceptedJobs()) {
      if (!world.rules.isReportedEnded(job)
          && !world.rules.isCancelRequested(job)
          && !world.failing.contains(job)) {
        Optional<String> left = look(world.specs.get(job));
        if (left.isPresent()) {
          return left;
        }
      }
    }
    roomAvailableSince.keySet().retainAll(checkedRequirements);
    return Optional.empty();
  }

  private void look() {
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
        freeByMachine.put(worker, worker.type.room().minus(worker.used()));
      }
    }
  }

  /** Whether tasks may be expected to start there: it is up, sound, and nobody takes it away. */
  private boolean acceptsTasks(SimWorker worker) {
    return worker.awake()
        && worker.sound()
        && !worker.noticed()
        && !world.plans.mayDrain(worker.rentedSeconds());
  }

  private Optional<String> look(JobSpec spec) {
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
    Map<SimWorker, Double> room = machinesWithRoom(spec);
    if (now - wait.since() < MAX_WAIT_SECONDS) {
      return Optional.empty();
    }
    if (spec.gang()) {
      return Optional.of(spec.id() + " waits since " + wait.since() + " s, and fits whole");
    }
    return room.entrySet().stream()
        .filter(entry -> now - entry.getValue() >= MAX_WAIT_SECONDS)
        .filter(entry -> zoneAllowed(spec, entry.getKey().market.zone()))
        .findFirst()
        .map(
            entry ->
                String.format(
                    "%s waits since %.1f s, and %s has room since %.1f s",
                    spec.id(), wait.since(), entry.getKey().id, entry.getValue()));
  }

  /** How many tasks are neither done nor anywhere; none of a gang that is partly somewhere. */
  private int waitingTaskCount(JobSpec spec) {
    int waiting = 0;
    for (int index = 0; index < spec.tasks(); index++) {
      TaskId task = new TaskId(spec.id(), index);
      if (assignedMachines.containsKey(task)) {
        if (spec.gang()) {
          return 0;
        }
      } else if (!world.rules.isCompleted(task)) {
        waiting++;
      }
    }
    return waiting;
  }

  private boolean withinLimit(JobSpec spec) {
    Settings.Team team = world.settings.teams().get(spec.team());
    Resources more = spec.resources().times(spec.gang() ? waitingTaskCount(spec) : 1);
    Resources then = teamUsage.getOrDefault(spec.team(), Resources.NONE).plus(more);
    return (team.cpusMax() <= 0 || then.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || then.gpus() <= team.gpusMax() + 1e-6);
  }

  /** Machines that have room for a task of this job, each with since when. */
  private Map<SimWorker, Double> machinesWithRoom(JobSpec spec) {
    TaskRequirements need = TaskRequirements.of(spec);
    Map<SimWorker, Double> since = roomAvailableSince.computeIfAbsent(need, n -> new HashMap<>());
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
    return spec.allows(worker.type.name(), worker.market.zone(), worker.market.spot());
  }

  private boolean zoneAllowed(JobSpec spec, String zone) {
    if (!spec.oneZone() && !spec.spread()) {
      return true;
    }
    int here = 0;
    int elsewhere = 0;
    for (int index = 0; index < spec.tasks(); index++) {
      SimWorker at = assignedMachines.get(new TaskId(spec.id(), index));
      if (at != null) {
        here += at.market.zone().equals(zone) ? 1 : 0;
        elsewhere += at.market.zone().equals(zone) ? 0 : 1;
      }
    }
    return (!spec.oneZone() || elsewhere == 0) && here < spec.maxTasksPerZone();
  }

  /** Whether all tasks of a gang find room at once. */
  private boolean gangFits(JobSpec spec) {
    Map<String, Integer> places = new HashMap<>();
    freeByMachine.forEach(
        (worker, room) -> {
          if (allows(spec, worker)) {
            places.merge(worker.market.zone(), room.capacityFor(spec.resources()), Integer::sum);
          }
        });
    IntStream zones = places.values().stream().mapToInt(n -> Math.min(n, spec.maxTasksPerZone()));
    int most = spec.oneZone() ? zones.max().orElse(0) : zones.sum();
    return most >= waitingTaskCount(spec);
  }
}
