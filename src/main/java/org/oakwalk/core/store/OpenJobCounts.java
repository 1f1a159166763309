package org.oakwalk.core.store;

import java.util.HashMap;
import java.util.Map;

/** Number of stored jobs that have not ended, in total and by team. */
public final class OpenJobCounts {
  private final Map<String, Integer> byTeam = new HashMap<>();
  private int total;

  /** Counts a new or changed job; {@code before} is null if it was not known. */
  void update(String team, KnownJob before, KnownJob after) {
    boolean wasOpen = before != null && !before.phase().isFinal();
    int change = (after.phase().isFinal() ? 0 : 1) - (wasOpen ? 1 : 0);
    total += change;
    byTeam.merge(team, change, Integer::sum);
  }

  /** Number of open jobs of all teams. */
  public int total() {
    return total;
  }

  /** Number of open jobs of a team. */
  public int ofTeam(String team) {
    return byTeam.getOrDefault(team, 0);
  }
}
