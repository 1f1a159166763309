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
 * Totals of the open jobs by group, updated incrementally on each change of a job, so that planning
 * looks at groups instead of single jobs.
 */
final class JobGroups {
  /** The open jobs of one group and their totals. */
  static final class JobGroup {
    final GroupKey key;
    final Set<Job> jobs = new LinkedHashSet<>();

    /** The spec of the newest job, used for the whole group. */
    JobSpec representative;

    /**
     * Tasks that were open at the start of the window or accepted since, done ones included; of
     * withdrawn or suspect jobs, only the done ones.
     */
    int acceptedTasks;

    int openTasks;
    int waitingTasks;

    /** Total estimated run time of the open tasks, in seconds. */
    double openSeconds;

    int maxGangWidth = 1;

    /** The group's entry in the active plan; null if there is none. */
    ActivePlan.ActiveGroup active;

    /** When the group should be done; null if no window is open for it. */
    WallTime finishBy;

    /** How much longer than the mean tasks may run, as a fraction of their estimates. */
    double runTimeSpread;

    /** Whether all promised tasks of a partial plan have been started. */
    boolean promiseServed;

    /** The longest estimated run time of a task that was in the group, in seconds. */
    double longestEstimate;

    JobGroup(GroupKey key, JobSpec representative) {
      this.key = key;
      this.representative = representative;
    }

    double meanEstimate() {
      return openTasks <= 0
          ? representative.estimatedRunTime().asSeconds()
          : openSeconds / openTasks;
    }

    int doneTasks() {
      return acceptedTasks - openTasks;
    }

    int servedTasks() {
      return acceptedTasks - waitingTasks;
    }
  }

  /** What a job contributes to the totals. */
  private static final class CountedJob {
    JobGroup group;
    int openTasks;
    int waitingTasks;
    Resources otherDemand = Resources.NONE;

    /** Tasks that had completed before the window opened. */
    int doneBefore;

    int acceptedTasks;
  }

  private final Map<GroupKey, JobGroup> groups = new LinkedHashMap<>();
  private final Map<Job, CountedJob> countedJobs = new IdentityHashMap<>();
  private final Map<String, Resources> otherDemand = new HashMap<>();
  private Resources serviceDemand = Resources.NONE;

  Collection<JobGroup> all() {
    return groups.values();
  }

  JobGroup find(GroupKey key) {
    return groups.get(key);
  }

  /** Returns the group of an open job; null if no dawn covers the job. */
  JobGroup groupOf(Job job) {
    CountedJob counted = countedJobs.get(job);
    return counted == null ? null : counted.group;
  }

  /** Returns the resources of open services' replicas that have not been placed. */
  Resources serviceDemand() {
    return serviceDemand;
  }

  /** Returns the resources requested by a team's jobs that no dawn covers. */
  Resources otherDemand(String team) {
    return otherDemand.getOrDefault(team, Resources.NONE);
  }

  /**
   * Updates the totals for a new or changed job.
   *
   * @param covered whether a dawn covers the job
   * @return the group whose totals have changed, or null
   */
  JobGroup jobChanged(Job job, boolean covered) {
    CountedJob counted = countedJobs.get(job);
    if (counted == null) {
      if (job.isEnded()) {
        return null;
      }
      counted = new CountedJob();
      countedJobs.put(job, counted);
      if (covered) {
        GroupKey key = GroupKey.of(job.spec());
        counted.group = groups.computeIfAbsent(key, k -> new JobGroup(k, job.spec()));
        counted.group.jobs.add(job);
        counted.group.representative = job.spec();
        counted.group.longestEstimate =
            Math.max(counted.group.longestEstimate, job.spec().estimatedRunTime().asSeconds());
        counted.group.maxGangWidth =
            Math.max(counted.group.maxGangWidth, job.spec().gang() ? job.spec().tasks() : 1);
      }
    }
    if (counted.group == null) {
      updateOtherDemand(job, counted);
      return null;
    }
    JobGroup group = counted.group;
    // Jobs whose tasks fail on every machine would distort the plan, and nothing is promised for
    // them.
    boolean counts = job.isOpen() && !job.isSuspect();
    int open = counts ? job.spec().tasks() - job.doneCount() : 0;
    int waiting = counts ? job.pendingCount() : 0;
    group.openTasks += open - counted.openTasks;
    group.waitingTasks += waiting - counted.waitingTasks;
    group.openSeconds += (open - counted.openTasks) * job.spec().estimatedRunTime().asSeconds();
    counted.openTasks = open;
    counted.waitingTasks = waiting;
    boolean dropped = job.state() == Job.State.WITHDRAWN || job.isSuspect();
    int accepted = (dropped ? job.doneCount() : job.spec().tasks()) - counted.doneBefore;
    group.acceptedTasks += accepted - counted.acceptedTasks;
    counted.acceptedTasks = accepted;
    if (job.isEnded()) {
      countedJobs.remove(job);
      group.jobs.remove(job);
    }
    return group;
  }

  private void updateOtherDemand(Job job, CountedJob counted) {
    JobSpec spec = job.spec();
    int tasks = spec.service() ? job.pendingCount() : spec.tasks() - job.doneCount();
    Resources demand = job.isOpen() ? spec.resources().times(tasks) : Resources.NONE;
    if (spec.service()) {
      serviceDemand = serviceDemand.plus(demand).minus(counted.otherDemand);
    } else {
      otherDemand.merge(spec.team(), demand.minus(counted.otherDemand), Resources::plus);
    }
    counted.otherDemand = demand;
    if (job.isEnded()) {
      countedJobs.remove(job);
    }
  }

  /** Begins a new window: from now on, only tasks that are still open count as accepted. */
  void beginWindow(JobGroup group) {
    group.acceptedTasks = 0;
    for (Job job : group.jobs) {
      CountedJob counted = countedJobs.get(job);
      counted.doneBefore = job.doneCount();
      counted.acceptedTasks = 0;
      jobChanged(job, true);
    }
  }

  /** Returns the number of tasks in a group's open jobs that were accepted by a time. */
  static int acceptedBy(JobGroup group, WallTime by) {
    int tasks = 0;
    for (Job job : group.jobs) {
      tasks += job.acceptedAt().millis() <= by.millis() ? job.spec().tasks() : 0;
    }
    return tasks;
  }

  /** Removes groups that have no open jobs and are not in a plan. */
  void removeUnused(Set<GroupKey> planned) {
    groups.values().removeIf(group -> group.jobs.isEmpty() && !planned.contains(group.key));
  }
}
