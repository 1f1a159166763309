package org.oakwalk.core.store;

import java.util.HashMap;
import java.util.Map;

/** How many stored jobs are not over, in all and of each team. */
public final class OpenJobCounts {
  private final Map<String, Integer> byTeam = new HashMap<>();
  private int total;

  /** A job has come or changed; {@code before} is null if it was not known. */
  void update(String team, KnownJob before, KnownJob now) {
    boolean was = before != null && !before.phase().isFinal();
    int change = (now.phase().isFinal() ? 0 : 1) - (was ? 1 : 0);
    total += change;
    byTeam.merge(team, change, Integer::sum);
  }

  public int total() {
    return total;
  }

  public int ofTeam(String team) {
    return byTeam.getOrDefault(team, 0);
  }
}
