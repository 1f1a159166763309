package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Settings;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** Compares the resource use of teams with their guarantees and limits. */
public final class Quota {
  private final Map<String, Settings.Team> teams;
  private final Fleet fleet;
  private Set<Job> guaranteed = Set.of();

  /**
   * The gang of each team for which the free part of the team's limit is reserved. Without it,
   * single tasks would use up the limit and the gang would never start.
   */
  private final Map<String, Job> waitingGangs = new HashMap<>();

  public Quota(Map<String, Settings.Team> teams, Fleet fleet) {
    this.teams = teams;
    this.fleet = fleet;
  }

  /**
   * Whether the limit of the job's team allows this many more of the job's tasks. Machines whose
   * tasks are not known yet count in full, since all of those may be the team's.
   */
  public boolean allows(Job job, double count) {
    Settings.Team team = teams.get(job.spec().team());
    if (team == null) {
      return false;
    }
    Resources use =
        fleet
            .teamUsage(team.name())
            .plus(fleet.unaccountedResources())
            .plus(job.spec().resources().times(count))
            .plus(reservedForGang(job));
    return (team.cpusMax() <= 0 || use.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || use.gpus() <= team.gpusMax() + 1e-6);
  }

  /** The number of further tasks of this size that the team's limit allows. */
  public int placesLeft(String name, Resources resources) {
    return Math.max(0, remaining(name).capacityFor(resources));
  }

  /** The number of tasks of this job that its team's limit allows at the same time. */
  public int maxTasksAtOnce(JobSpec spec) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    return remainingAfter(team, Resources.NONE).capacityFor(spec.resources());
  }

  /** Reserves the free part of the teams' limits for these gangs, and for no others any more. */
  void reserveFor(Map<String, Job> gangs) {
    waitingGangs.clear();
    waitingGangs.putAll(gangs);
  }

  /**
   * The part of the team's limit that this job must leave to a waiting gang; none for jobs of
   * priority HIGH and above, which start all the same.
   */
  private Resources reservedForGang(Job job) {
    Job gang = waitingGangs.get(job.spec().team());
    boolean waits = gang != null && gang.isOpen() && gang.assignedCount() == 0;
    return waits && gang != job && job.spec().priority().compareTo(Priority.HIGH) < 0
        ? gang.spec().resources().times(gang.pendingCount())
        : Resources.NONE;
  }

  /**
   * The unused part of a team's limit, regardless of reservations for gangs; negative where the
   * limit is exceeded.
   */
  Resources remaining(String name) {
    Settings.Team team = teams.get(name);
    if (team == null) {
      // The team was removed from the settings; its jobs wait.
      return Resources.NONE;
    }
    return remainingAfter(team, fleet.teamUsage(name).plus(fleet.unaccountedResources()));
  }

  /** The part of a team's limit that this use leaves; a limit of zero means unlimited. */
  private static Resources remainingAfter(Settings.Team team, Resources use) {
    return new Resources(
        team.cpusMax() <= 0 ? Double.MAX_VALUE : team.cpusMax() - use.cpus(),
        team.gpusMax() <= 0 ? Double.MAX_VALUE : team.gpusMax() - use.gpus(),
        Double.MAX_VALUE,
        Double.MAX_VALUE);
  }

  /**
   * Determines the jobs that are within their teams' guarantees: a job is if it fits into the
   * guarantee together with all unfinished jobs that the team submitted before it. So these are a
   * team's oldest jobs, and the rest need not be examined.
   *
   * @return the jobs that have come to be within a guarantee, or have ceased to be, since the last
   *     call
   */
  public List<Job> updateGuarantees(JobRegistry jobs) {
    Set<Job> before = guaranteed;
    guaranteed = new LinkedHashSet<>();
    for (Settings.Team team : teams.values()) {
      if (team.cpus() > 0 || team.gpus() > 0) {
        updateGuarantees(team, jobs.unfinishedOfTeam(team.name()));
      }
    }
    List<Job> changed = new ArrayList<>();
    before.stream().filter(job -> !guaranteed.contains(job)).forEach(changed::add);
    guaranteed.stream().filter(job -> !before.contains(job)).forEach(changed::add);
    return changed;
  }

  private void updateGuarantees(Settings.Team team, Collection<Job> inOrder) {
    Resources sum = Resources.NONE;
    for (Job job : inOrder) {
      if (job.isOpen()) {
        Resources asked = job.spec().resources().times(job.spec().tasks() - job.doneCount());
        sum = sum.plus(asked);
        if (sum.cpus() > team.cpus() + 1e-6) {
          return;
        }
        if (asked.gpus() <= 0 || sum.gpus() <= team.gpus() + 1e-6) {
          guaranteed.add(job);
        }
      }
    }
  }

  /** Whether the job was within its team's guarantee at the last update. */
  public boolean withinGuarantee(Job job) {
    return guaranteed.contains(job);
  }

  /**
   * Whether the team uses more than its guarantee, so that other teams may preempt its tasks. For a
   * team without a guarantee, such as guests, this holds for any use.
   */
  public boolean exceedsGuarantee(String name) {
    Settings.Team team = teams.get(name);
    Resources use = fleet.teamUsage(name);
    return team != null && (use.cpus() > team.cpus() + 1e-6 || use.gpus() > team.gpus() + 1e-6);
  }
}
