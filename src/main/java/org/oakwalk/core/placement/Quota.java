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
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/** Teams' guarantees and limits against what they use. */
public final class Quota {
  private final Map<String, Settings.Team> teams;
  private final Fleet fleet;
  private Set<Job> guaranteed = Set.of();

  /** Gangs for which their teams' limits are kept free, so that they start whole some day. */
  private final Map<String, Job> awaited = new HashMap<>();

  public Quota(Map<String, Settings.Team> teams, Fleet fleet) {
    this.teams = teams;
    this.fleet = fleet;
  }

  /**
   * Whether the team may use this much more. What is in doubt counts in full, since all of it may
   * be this team's.
   */
  public boolean allows(Job job, double count) {
    Settings.Team team = teams.get(job.spec().team());
    if (team == null) {
      return false;
    }
    Room use =
        fleet
            .teamUsage(team.name())
            .plus(fleet.unaccountedRoom())
            .plus(job.spec().room().times(count))
            .plus(keptFrom(job));
    return (team.cpusMax() <= 0 || use.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || use.gpus() <= team.gpusMax() + 1e-6);
  }

  /** How many places of this room the team's limit leaves, beside what it uses or may use. */
  public int placesLeft(String name, Room room) {
    return Math.max(0, rest(name).count(room));
  }

  /** How many tasks of this job its team's limit allows at once. */
  public int limitOf(JobSpec spec) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    return left(team, Room.NONE).count(spec.room());
  }

  /** Keeps what is free of their teams' limits for these gangs from now on, and for no others. */
  void await(Map<String, Job> gangs) {
    awaited.clear();
    awaited.putAll(gangs);
  }

  /** What batch work of a team has to leave of its limit; services start all the same. */
  private Room keptFrom(Job job) {
    Job gang = awaited.get(job.spec().team());
    boolean waits = gang != null && gang.open() && gang.activeCount() == 0;
    return waits && gang != job && job.spec().priority().compareTo(Priority.HIGH) < 0
        ? gang.spec().room().times(gang.pendingCount())
        : Room.NONE;
  }

  /** The rest of a team's limit, without regard to what is kept; negative where it is exceeded. */
  Room rest(String name) {
    Settings.Team team = teams.get(name);
    if (team == null) {
      // The settings name it no more; what it has waits.
      return Room.NONE;
    }
    return left(team, fleet.teamUsage(name).plus(fleet.unaccountedRoom()));
  }

  /** What a team's limit leaves beside this use; a limit of zero is none. */
  private static Room left(Settings.Team team, Room use) {
    return new Room(
        team.cpusMax() <= 0 ? Double.MAX_VALUE : team.cpusMax() - use.cpus(),
        team.gpusMax() <= 0 ? Double.MAX_VALUE : team.gpusMax() - use.gpus(),
        Double.MAX_VALUE);
  }

  /**
   * Finds the jobs that are within their teams' guarantees: those that fit in together with all
   * unfinished jobs that their team submitted before them. So they are a team's first ones, and the
   * rest need not be looked at.
   *
   * @return the jobs that are within a guarantee now and were not before, or the other way round
   */
  public List<Job> survey(JobBook jobs) {
    Set<Job> before = guaranteed;
    guaranteed = new LinkedHashSet<>();
    for (Settings.Team team : teams.values()) {
      if (team.cpus() > 0 || team.gpus() > 0) {
        survey(team, jobs.ofTeam(team.name()));
      }
    }
    List<Job> changed = new ArrayList<>();
    before.stream().filter(job -> !guaranteed.contains(job)).forEach(changed::add);
    guaranteed.stream().filter(job -> !before.contains(job)).forEach(changed::add);
    return changed;
  }

  private void survey(Settings.Team team, Collection<Job> inOrder) {
    Room sum = Room.NONE;
    for (Job job : inOrder) {
      if (job.open()) {
        Room asked = job.spec().room().times(job.spec().tasks() - job.doneCount());
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

  /** Whether the job was within its team's guarantee at the last survey. */
  public boolean guarantees(Job job) {
    return guaranteed.contains(job);
  }

  /**
   * Whether the team uses more than it is guaranteed, so that others may claim it back. Of a team
   * without any guarantee, such as a guest, that is all it uses.
   */
  public boolean borrows(String name) {
    Settings.Team team = teams.get(name);
    Room use = fleet.teamUsage(name);
    return team != null && (use.cpus() > team.cpus() + 1e-6 || use.gpus() > team.gpus() + 1e-6);
  }
}
