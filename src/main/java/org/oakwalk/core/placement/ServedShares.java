package org.oakwalk.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.Job;

/**
 * How much of each team's classes of jobs is served, so that none is left behind for good while
 * overload lasts: the ordinary order prefers short and urgent work, and if enough of that comes,
 * the rest would wait until it ends. A class of which clearly less than half has been served counts
 * as left behind; it gains a bonus until a quarter of what is placed goes to such classes.
 */
final class ServedShares {
  private static final double UNDERSERVED_BELOW = 0.6;
  private static final double MAX_UNDERSERVED_SHARE = 0.25;

  /** Jobs count only once they have waited for a while: what has just come is not behind. */
  static final Span COUNTED_AFTER = Span.seconds(30);

  /**
   * After this time half of what was done is forgotten, so that old merits don't count for long.
   */
  private static final double HALF_LIFE_SECONDS = 120;

  /** A team's jobs of one class. */
  record TeamClass(String team, String jobClass) {
    static TeamClass of(Job job) {
      return new TeamClass(job.spec().team(), job.spec().jobClass());
    }
  }

  private static final class ServedTally {
    double arrived;
    double served;
    double finished;
  }

  /** What a job adds to its account. */
  private static final class JobContribution {
    final Job job;
    int served;
    boolean counted;

    JobContribution(Job job) {
      this.job = job;
    }
  }

  private final Map<TeamClass, ServedTally> tallies = new HashMap<>();
  private final Map<Job, JobContribution> contributions = new IdentityHashMap<>();
  private final Deque<JobContribution> notYetCounted = new ArrayDeque<>();
  private Moment decayedAt;
  private double placed;
  private double placedUnderserved;

  /** A job has come, changed or ended. */
  void update(Job job) {
    JobContribution part = contributions.get(job);
    boolean counts = !job.over() && !job.suspect();
    ServedTally account = tallies.computeIfAbsent(TeamClass.of(job), key -> new ServedTally());
    if (part == null) {
      if (counts) {
        part = new JobContribution(job);
        contributions.put(job, part);
        notYetCounted.add(part);
      } else {
        return;
      }
    }
    int served = counts ? job.doneCount() + job.activeCount() : 0;
    account.served += served - part.served;
    part.served = served;
    if (!counts) {
      contributions.remove(job);
      if (part.counted) {
        account.arrived -= job.spec().tasks();
        part.counted = false;
      }
      account.finished += job.state() == Job.State.DONE ? job.spec().tasks() : 0;
    }
  }

  /** Lets time pass. */
  void beginRound(Moment now) {
    while (!notYetCounted.isEmpty() && now.past(notYetCounted.peek().job.seen(), COUNTED_AFTER)) {
      JobContribution part = notYetCounted.poll();
      if (contributions.get(part.job) == part) {
        part.counted = true;
        tallies.get(TeamClass.of(part.job)).arrived += part.job.spec().tasks();
      }
    }
    if (decayedAt != null) {
      double keep = Math.pow(0.5, now.since(decayedAt).asSeconds() / HALF_LIFE_SECONDS);
      tallies.values().forEach(account -> account.finished *= keep);
      placed *= keep;
      placedUnderserved *= keep;
    }
    decayedAt = now;
  }

  /** Whether a class of a team is left behind. */
  boolean underserved(TeamClass key) {
    return shortfall(key) > 0;
  }

  /** Whether any class of any team but this one is. */
  boolean othersUnderserved(TeamClass key) {
    return tallies.keySet().stream().anyMatch(other -> !other.equals(key) && underserved(other));
  }

  /** By how much it is: zero if not, one if nothing of it has been served. */
  double shortfall(TeamClass key) {
    ServedTally account = tallies.get(key);
    if (account == null || account.arrived <= 0) {
      return 0;
    }
    double share = (account.served + account.finished) / (account.arrived + account.finished);
    return Math.max(0, UNDERSERVED_BELOW - share) / UNDERSERVED_BELOW;
  }

  /** Whether what is left behind may go first now. */
  boolean mayBoost() {
    return placedUnderserved <= MAX_UNDERSERVED_SHARE * placed;
  }

  /** Tasks of a class were placed. */
  void recordPlaced(TeamClass key, int tasks) {
    placed += tasks;
    placedUnderserved += underserved(key) ? tasks : 0;
  }
}
