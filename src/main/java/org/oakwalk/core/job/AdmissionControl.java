package org.oakwalk.core.job;

import java.util.Map;
import org.oakwalk.core.Settings;
import org.oakwalk.core.store.StoreView;

/**
 * Whether another job can be taken: each node keeps all open ones in memory, so there is an end to
 * them. Every team has a share, half of it the same for all and half by guarantees, and may always
 * fill it; beyond it may use what others leave, but for a part of their shares that is kept for
 * them. So one team's flood is refused while the others go on being accepted.
 */
public final class AdmissionControl {
  /** Part of each team's share that nobody else may use. */
  private static final double RESERVED_FRACTION = 0.25;

  private final Map<String, Settings.Team> teams;
  private final StoreView view;
  private final int maxOpenJobs;

  /**
   * A gate before new jobs.
   *
   * @param maxOpenJobs about how many jobs may be open; when all teams come to fill their shares
   *     after one has used more than its own it can be up to {@code 1 + (1 - KEPT)} times that
   */
  public AdmissionControl(Map<String, Settings.Team> teams, StoreView view, int mostOpen) {
    this.teams = teams;
    this.view = view;
    this.maxOpenJobs = mostOpen;
  }

  /** Whether the team may submit another job now. */
  public boolean admits(String team) {
    if (view.openJobs().all() < maxOpenJobs * RESERVED_FRACTION / Math.max(1, teams.size())) {
      return true;
    }
    double guarantees = teams.values().stream().mapToDouble(Settings.Team::cpus).sum();
    if (view.openJobs().of(team) < share(teams.get(team), guarantees)) {
      return true;
    }
    double held = view.openJobs().all();
    for (Settings.Team other : teams.values()) {
      if (!other.name().equals(team)) {
        held +=
            Math.max(
                0, RESERVED_FRACTION * share(other, guarantees) - view.openJobs().of(other.name()));
      }
    }
    return held < maxOpenJobs;
  }

  private double share(Settings.Team team, double guarantees) {
    double alike = 1.0 / teams.size();
    double guaranteed = guarantees <= 0 ? alike : team.cpus() / guarantees;
    return maxOpenJobs * (alike + guaranteed) / 2;
  }
}
