package org.oakwalk.core.planner;

import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;

/**
 * Sums of the open jobs by group, kept up to date with each change of a job, so that a plan looks
 * at groups alone.
 */
final class Groups {
  /** Open jobs of one group. */
  static final class Group {
    final GroupKey key;
    final Set<Job> jobs = new LinkedHashSet<>();

    /** A job that stands for them. */
    JobSpec sample;

    /** Tasks of all jobs that came since it is known, done ones too, less what was withdrawn. */
    int came;

    int open;
    int waiting;

    /** Guessed seconds of the tasks that are open. */
    double seconds;

    int widest = 1;

    /** What is in force for it, and by when it should be done; null if nothing is. */
    PlanInForce.Entry entry;

    WallTime ends;

    /** By how much of their guesses tasks may take longer than on an average. */
    double strays;

    /** Whether its share has been served. */
    boolean beyond;

    /** Guess of the longest task that was in it. */
    double longest;

    Group(GroupKey key, JobSpec sample) {
      this.key = key;
      this.sample = sample;
    }

    double guess() {
      return open <= 0 ? sample.estimatedRunTime().asSeconds() : seconds / open;
    }

    int done() {
      return came - open;
    }

    int served() {
      return came - waiting;
    }
  }

  /** What a job adds. */
  private static final class Part {
    Group group;
    int open;
    int waiting;
    Resources other = Resources.NONE;

    /** Tasks that were done before the window opened. */
    int before;

    int came;
  }

  private final Map<GroupKey, Group> groups = new LinkedHashMap<>();
  private final Map<Job, Part> parts = new IdentityHashMap<>();
  private final Map<String, Resources> others = new HashMap<>();
  private Resources services = Resources.NONE;

  Collection<Group> all() {
    return groups.values();
  }

  Group find(GroupKey key) {
    return groups.get(key);
  }

  /** The group of an open job; null if no dawn is set for it. */
  Group of(Job job) {
    Part part = parts.get(job);
    return part == null ? null : part.group;
  }

  /** Room that open services ask for and have not got. */
  Resources servicesWaiting() {
    return services;
  }

  /** Room that a team's other work, which no dawn is set for, asks for. */
  Resources others(String team) {
    return others.getOrDefault(team, Resources.NONE);
  }

  /**
   * A job has come or changed.
   *
   * @param covered whether a dawn is set for it
   * @return the group whose sums it has changed, or null
   */
  Group touched(Job job, boolean covered) {
    Part part = parts.get(job);
    if (part == null) {
      if (job.isEnded()) {
        return null;
      }
      part = new Part();
      parts.put(job, part);
      if (covered) {
        GroupKey key = GroupKey.of(job.spec());
        part.group = groups.computeIfAbsent(key, k -> new Group(k, job.spec()));
        part.group.jobs.add(job);
        part.group.sample = job.spec();
        part.group.longest =
            Math.max(part.group.longest, job.spec().estimatedRunTime().asSeconds());
        part.group.widest = Math.max(part.group.widest, job.spec().gang() ? job.spec().tasks() : 1);
      }
    }
    if (part.group == null) {
      other(job, part);
      return null;
    }
    Group group = part.group;
    // What fails everywhere is no measure of the night, and nothing is promised for it.
    boolean counts = job.isOpen() && !job.isSuspect();
    int open = counts ? job.spec().tasks() - job.doneCount() : 0;
    int waiting = counts ? job.pendingCount() : 0;
    group.open += open - part.open;
    group.waiting += waiting - part.waiting;
    group.seconds += (open - part.open) * job.spec().estimatedRunTime().asSeconds();
    part.open = open;
    part.waiting = waiting;
    boolean lost = job.state() == Job.State.WITHDRAWN || job.isSuspect();
    int came = (lost ? job.doneCount() : job.spec().tasks()) - part.before;
    group.came += came - part.came;
    part.came = came;
    if (job.isEnded()) {
      parts.remove(job);
      group.jobs.remove(job);
    }
    return group;
  }

  private void other(Job job, Part part) {
    JobSpec spec = job.spec();
    int tasks = spec.service() ? job.pendingCount() : spec.tasks() - job.doneCount();
    Resources asked = job.isOpen() ? spec.resources().times(tasks) : Resources.NONE;
    if (spec.service()) {
      services = services.plus(asked).minus(part.other);
    } else {
      others.merge(spec.team(), asked.minus(part.other), Resources::plus);
    }
    part.other = asked;
    if (job.isEnded()) {
      parts.remove(job);
    }
  }

  /** A new window: only what is open counts from now on. */
  void begin(Group group) {
    group.came = 0;
    for (Job job : group.jobs) {
      Part part = parts.get(job);
      part.before = job.doneCount();
      part.came = 0;
      touched(job, true);
    }
  }

  /** Tasks of a group's open jobs that were accepted by then. */
  static int acceptedBy(Group group, WallTime by) {
    int tasks = 0;
    for (Job job : group.jobs) {
      tasks += job.acceptedAt().millis() <= by.millis() ? job.spec().tasks() : 0;
    }
    return tasks;
  }

  /** Drops groups that have neither open jobs nor a place in a plan. */
  void sweep(Set<GroupKey> planned) {
    groups.values().removeIf(group -> group.jobs.isEmpty() && !planned.contains(group.key));
  }
}
