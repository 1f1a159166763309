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
import org.oakwalk.core.job.Room;

/**
 * Sums of the open jobs by group, kept up to date with each change of a job, so that a plan looks
 * at groups alone.
 */
final class JobGroups {
  /** Open jobs of one group. */
  static final class JobGroup {
    final GroupKey key;
    final Set<Job> jobs = new LinkedHashSet<>();

    /** A job that stands for them. */
    JobSpec representative;

    /** Tasks of all jobs that came since it is known, done ones too, less what was withdrawn. */
    int acceptedTasks;

    int openTasks;
    int waitingTasks;

    /** Guessed seconds of the tasks that are open. */
    double openSeconds;

    int maxGangWidth = 1;

    /** What is in force for it, and by when it should be done; null if nothing is. */
    ActivePlan.ActiveGroup active;

    WallTime finishBy;

    /** By how much of their guesses tasks may take longer than on an average. */
    double runTimeSpread;

    /** Whether its share has been served. */
    boolean promiseServed;

    /** Guess of the longest task that was in it. */
    double longestEstimate;

    JobGroup(GroupKey key, JobSpec sample) {
      this.key = key;
      this.representative = sample;
    }

    double meanEstimate() {
      return openTasks <= 0 ? representative.guess().asSeconds() : openSeconds / openTasks;
    }

    int doneTasks() {
      return acceptedTasks - openTasks;
    }

    int servedTasks() {
      return acceptedTasks - waitingTasks;
    }
  }

  /** What a job adds. */
  private static final class CountedJob {
    JobGroup group;
    int openTasks;
    int waitingTasks;
    Room otherDemand = Room.NONE;

    /** Tasks that were done before the window opened. */
    int doneBefore;

    int acceptedTasks;
  }

  private final Map<GroupKey, JobGroup> groups = new LinkedHashMap<>();
  private final Map<Job, CountedJob> countedJobs = new IdentityHashMap<>();
  private final Map<String, Room> otherDemand = new HashMap<>();
  private Room serviceDemand = Room.NONE;

  Collection<JobGroup> all() {
    return groups.values();
  }

  JobGroup find(GroupKey key) {
    return groups.get(key);
  }

  /** The group of an open job; null if no dawn is set for it. */
  JobGroup groupOf(Job job) {
    CountedJob part = countedJobs.get(job);
    return part == null ? null : part.group;
  }

  /** Room that open services ask for and have not got. */
  Room serviceDemand() {
    return serviceDemand;
  }

  /** Room that a team's other work, which no dawn is set for, asks for. */
  Room otherDemand(String team) {
    return otherDemand.getOrDefault(team, Room.NONE);
  }

  /**
   * A job has come or changed.
   *
   * @param covered whether a dawn is set for it
   * @return the group whose sums it has changed, or null
   */
  JobGroup jobChanged(Job job, boolean covered) {
    CountedJob part = countedJobs.get(job);
    if (part == null) {
      if (job.over()) {
        return null;
      }
      part = new CountedJob();
      countedJobs.put(job, part);
      if (covered) {
        GroupKey key = GroupKey.of(job.spec());
        part.group = groups.computeIfAbsent(key, k -> new JobGroup(k, job.spec()));
        part.group.jobs.add(job);
        part.group.representative = job.spec();
        part.group.longestEstimate =
            Math.max(part.group.longestEstimate, job.spec().guess().asSeconds());
        part.group.maxGangWidth =
            Math.max(part.group.maxGangWidth, job.spec().gang() ? job.spec().tasks() : 1);
      }
    }
    if (part.group == null) {
      updateOtherDemand(job, part);
      return null;
    }
    JobGroup group = part.group;
    // What fails everywhere is no measure of the night, and nothing is promised for it.
    boolean counts = job.open() && !job.suspect();
    int open = counts ? job.spec().tasks() - job.doneCount() : 0;
    int waiting = counts ? job.pendingCount() : 0;
    group.openTasks += open - part.openTasks;
    group.waitingTasks += waiting - part.waitingTasks;
    group.openSeconds += (open - part.openTasks) * job.spec().guess().asSeconds();
    part.openTasks = open;
    part.waitingTasks = waiting;
    boolean lost = job.state() == Job.State.WITHDRAWN || job.suspect();
    int came = (lost ? job.doneCount() : job.spec().tasks()) - part.doneBefore;
    group.acceptedTasks += came - part.acceptedTasks;
    part.acceptedTasks = came;
    if (job.over()) {
      countedJobs.remove(job);
      group.jobs.remove(job);
    }
    return group;
  }

  private void updateOtherDemand(Job job, CountedJob part) {
    JobSpec spec = job.spec();
    int tasks = spec.service() ? job.pendingCount() : spec.tasks() - job.doneCount();
    Room asked = job.open() ? spec.room().times(tasks) : Room.NONE;
    if (spec.service()) {
      serviceDemand = serviceDemand.plus(asked).minus(part.otherDemand);
    } else {
      otherDemand.merge(spec.team(), asked.minus(part.otherDemand), Room::plus);
    }
    part.otherDemand = asked;
    if (job.over()) {
      countedJobs.remove(job);
    }
  }

  /** A new window: only what is open counts from now on. */
  void beginWindow(JobGroup group) {
    group.acceptedTasks = 0;
    for (Job job : group.jobs) {
      CountedJob part = countedJobs.get(job);
      part.doneBefore = job.doneCount();
      part.acceptedTasks = 0;
      jobChanged(job, true);
    }
  }

  /** Tasks of a group's open jobs that were accepted by then. */
  static int acceptedBy(JobGroup group, WallTime by) {
    int tasks = 0;
    for (Job job : group.jobs) {
      tasks += job.accepted().millis() <= by.millis() ? job.spec().tasks() : 0;
    }
    return tasks;
  }

  /** Drops groups that have neither open jobs nor a place in a plan. */
  void removeUnused(Set<GroupKey> planned) {
    groups.values().removeIf(group -> group.jobs.isEmpty() && !planned.contains(group.key));
  }
}
