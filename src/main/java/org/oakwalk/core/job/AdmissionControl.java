package org.oakwalk.core.job;

import java.util.Map;
import org.oakwalk.core.Settings;
import org.oakwalk.core.store.StoreView;

/**
 * Limits the number of open jobs, because every node keeps all of them in memory.
 *
 * <p>Each team has a share of the limit: half of the limit is divided equally, the other half in
 * proportion to the CPU guarantees. A team may always fill its own share. Beyond it, the team may
 * use capacity that other teams leave unused, except for a fraction of each share that stays
 * reserved for its owner. One team submitting too many jobs is therefore refused while the others
 * are still accepted.
 */
public final class AdmissionControl {
  /** Fraction of each team's share that no other team may use. */
  private static final double RESERVED_FRACTION = 0.25;

  private final Map<String, Settings.Team> teams;
  private final StoreView view;
  private final int maxOpenJobs;

  /**
   * Creates admission control over the open jobs in {@code view}.
   *
   * @param maxOpenJobs approximate limit on open jobs; if all teams fill their shares after one
   *     team has exceeded its own, the total can reach {@code 1 + (1 - RESERVED_FRACTION)} times
   *     this number
   */
  public AdmissionControl(Map<String, Settings.Team> teams, StoreView view, int maxOpenJobs) {
    this.teams = teams;
    this.view = view;
    this.maxOpenJobs = maxOpenJobs;
  }

  /** Returns whether the team may submit another job now. */
  public boolean admits(String team) {
    if (view.openJobs().total() < maxOpenJobs * RESERVED_FRACTION / Math.max(1, teams.size())) {
      return true;
    }
    double guarantees = teams.values().stream().mapToDouble(Settings.Team::cpus).sum();
    if (view.openJobs().ofTeam(team) < share(teams.get(team), guarantees)) {
      return true;
    }
    // Open jobs, plus the part of the other teams' reserved capacity that they don't use yet.
    double committed = view.openJobs().total();
    for (Settings.Team other : teams.values()) {
      if (!other.name().equals(team)) {
        committed +=
            Math.max(
                0,
                RESERVED_FRACTION * share(other, guarantees)
                    - view.openJobs().ofTeam(other.name()));
      }
    }
    return committed < maxOpenJobs;
  }

  private double share(Settings.Team team, double guarantees) {
    double equal = 1.0 / teams.size();
    double guaranteed = guarantees <= 0 ? equal : team.cpus() / guarantees;
    return maxOpenJobs * (equal + guaranteed) / 2;
  }
}
