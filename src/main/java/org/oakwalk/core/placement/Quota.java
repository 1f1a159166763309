package org.oakwalk.core.placement;

import java.util.Map;
import org.oakwalk.core.Settings;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Room;

/** Teams' guarantees and limits against what they use. */
public final class Quota {
  private final Map<String, Settings.Team> teams;
  private final Fleet fleet;

  public Quota(Map<String, Settings.Team> teams, Fleet fleet) {
    this.teams = teams;
    this.fleet = fleet;
  }

  /**
   * Whether the team may use this much more. A machine of which it is not known what runs there
   * counts in full, since all of it may be this team's.
   */
  public boolean allows(Job job, double count) {
    Settings.Team team = teams.get(job.spec().team());
    if (team == null) {
      return false;
    }
    Room use =
        fleet.use(team.name()).plus(fleet.unconfirmedRoom()).plus(job.spec().room().times(count));
    return (team.cpusMax() <= 0 || use.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || use.gpus() <= team.gpusMax() + 1e-6);
  }

  /** Whether one more task of the job stays within its team's guarantee. */
  public boolean guarantees(Job job) {
    Settings.Team team = teams.get(job.spec().team());
    if (team == null || (team.cpus() <= 0 && team.gpus() <= 0)) {
      return false;
    }
    Room use = fleet.use(team.name()).plus(job.spec().room());
    return use.cpus() <= team.cpus() + 1e-6
        && (job.spec().room().gpus() <= 0 || use.gpus() <= team.gpus() + 1e-6);
  }

  /** Whether the team uses more than it is guaranteed, so that others may claim it back. */
  public boolean borrows(String name) {
    Settings.Team team = teams.get(name);
    Room use = fleet.use(name);
    return team != null
        && (team.cpus() > 0 || team.gpus() > 0)
        && (use.cpus() > team.cpus() + 1e-6 || use.gpus() > team.gpus() + 1e-6);
  }
}
