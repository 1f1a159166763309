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
final class WaitingRule {
  private static final double LEFT_SECONDS = 90;

  /** Once in so many calls is enough. */
  private static final int EVERY = 4;

  /** What a task asks of its machine; jobs that ask the same share what is found. */
  private record Need(Resources room, Set<String> types, Optional<String> zone, boolean spot) {
    static Need of(JobSpec spec) {
      return new Need(spec.resources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }
  }

  /** A job that waits: since when, and how many of its tasks do. */
  private record Wait(double since, int tasks) {}

  private final World world;
  private final Map<Need, Map<SimWorker, Double>> roomSince = new HashMap<>();
  private final Map<JobId, Wait> waits = new HashMap<>();
  private double calmAfter;
  private int calls;

  /** Where tasks are at this moment, those that wait for their image included. */
  private final Map<TaskId, SimWorker> held = new HashMap<>();

  private final Map<String, Resources> use = new HashMap<>();
  private final Map<SimWorker, Resources> free = new HashMap<>();
  private final Set<Need> looked = new HashSet<>();

  WaitingRule(World world) {
    this.world = world;
  }

  void calmAfter(double seconds) {
    calmAfter = seconds;
  }

  /** To be called now and then; returns what is broken. */
  Optional<String> tick() {
    if (calls++ % EVERY != 0
        || world.time.seconds() < calmAfter
        || world.scenarioPolicy.promisesRoom()) {
      return Optional.empty();
    }
    look();
    for (JobId job : world.invariants.acceptedInOrder()) {
      if (!world.invariants.over(job)
          && !world.invariants.asked(job)
          && !world.failingJobs.contains(job)) {
        Optional<String> left = look(world.specs.get(job));
        if (left.isPresent()) {
          return left;
        }
      }
    }
    roomSince.keySet().retainAll(looked);
    return Optional.empty();
  }

  private void look() {
    held.clear();
    use.clear();
    free.clear();
    looked.clear();
    for (SimWorker worker : world.workers.values()) {
      worker.tasks.forEach(
          (id, task) -> {
            if (!task.ended()) {
              held.put(id, worker);
              use.merge(task.spec.team(), task.spec.resources(), Resources::plus);
            }
          });
      if (serves(worker)) {
        free.put(worker, worker.type.room().minus(worker.usedResources()));
      }
    }
  }

  /** Whether tasks may be expected to start there: it is up, sound, and nobody takes it away. */
  private boolean serves(SimWorker worker) {
    return worker.isResponsive()
        && worker.isHealthy()
        && !worker.hasReclaimNotice()
        && !world.scenarioPolicy.empties(worker.rentedAtSeconds());
  }

  private Optional<String> look(JobSpec spec) {
    double now = world.time.seconds();
    int waiting = waiting(spec);
    boolean mayStart = waiting > 0 && withinLimit(spec) && (!spec.gang() || fitsWhole(spec));
    if (!mayStart) {
      waits.remove(spec.id());
      return Optional.empty();
    }
    Wait before = waits.get(spec.id());
    Wait wait =
        new Wait(before == null || waiting < before.tasks() ? now : before.since(), waiting);
    waits.put(spec.id(), wait);
    Map<SimWorker, Double> room = room(spec);
    if (now - wait.since() < LEFT_SECONDS) {
      return Optional.empty();
    }
    if (spec.gang()) {
      return Optional.of(spec.id() + " waits since " + wait.since() + " s, and fits whole");
    }
    return room.entrySet().stream()
        .filter(entry -> now - entry.getValue() >= LEFT_SECONDS)
        .filter(entry -> zoneAllowed(spec, entry.getKey().pool.zone()))
        .findFirst()
        .map(
            entry ->
                String.format(
                    "%s waits since %.1f s, and %s has room since %.1f s",
                    spec.id(), wait.since(), entry.getKey().id, entry.getValue()));
  }

  /** How many tasks are neither done nor anywhere; none of a gang that is partly somewhere. */
  private int waiting(JobSpec spec) {
    int waiting = 0;
    for (int index = 0; index < spec.tasks(); index++) {
      TaskId task = new TaskId(spec.id(), index);
      if (held.containsKey(task)) {
        if (spec.gang()) {
          return 0;
        }
      } else if (!world.invariants.completed(task)) {
        waiting++;
      }
    }
    return waiting;
  }

  private boolean withinLimit(JobSpec spec) {
    Settings.Team team = world.settings.teams().get(spec.team());
    Resources more = spec.resources().times(spec.gang() ? waiting(spec) : 1);
    Resources then = use.getOrDefault(spec.team(), Resources.NONE).plus(more);
    return (team.cpusMax() <= 0 || then.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || then.gpus() <= team.gpusMax() + 1e-6);
  }

  /** Machines that have room for a task of this job, each with since when. */
  private Map<SimWorker, Double> room(JobSpec spec) {
    Need need = Need.of(spec);
    Map<SimWorker, Double> since = roomSince.computeIfAbsent(need, n -> new HashMap<>());
    if (looked.add(need)) {
      since.keySet().retainAll(free.keySet());
      free.forEach(
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
    int here = 0;
    int elsewhere = 0;
    for (int index = 0; index < spec.tasks(); index++) {
      SimWorker at = held.get(new TaskId(spec.id(), index));
      if (at != null) {
        here += at.pool.zone().equals(zone) ? 1 : 0;
        elsewhere += at.pool.zone().equals(zone) ? 0 : 1;
      }
    }
    return (!spec.oneZone() || elsewhere == 0) && here < spec.maxTasksPerZone();
  }

  /** Whether all tasks of a gang find room at once. */
  private boolean fitsWhole(JobSpec spec) {
    Map<String, Integer> places = new HashMap<>();
    free.forEach(
        (worker, room) -> {
          if (allows(spec, worker)) {
            places.merge(worker.pool.zone(), room.capacityFor(spec.resources()), Integer::sum);
          }
        });
    IntStream zones = places.values().stream().mapToInt(n -> Math.min(n, spec.maxTasksPerZone()));
    int most = spec.oneZone() ? zones.max().orElse(0) : zones.sum();
    return most >= waiting(spec);
  }
}
