package org.oakwalk.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;

/**
 * Tracks which share of the tasks of each team and job class has been served, so that no class
 * starves during a long overload. The ordinary order prefers short and urgent tasks, and as long as
 * enough of those arrive, all others would wait. A class is underserved if the share of its tasks
 * that are done or on machines is below {@link #UNDERSERVED_BELOW}; it then gets a score bonus as
 * long as no more than a quarter of the placed tasks belong to underserved classes.
 */
final class ServedShares {
  /** A class is underserved if less than this share of its tasks is served. */
  private static final double UNDERSERVED_BELOW = 0.6;

  /** Share of the placed tasks up to which underserved classes get a bonus. */
  private static final double MAX_UNDERSERVED_SHARE = 0.25;

  /**
   * Time after which a job counts as arrived, since a job that has just come is not underserved.
   */
  static final TimeSpan COUNTED_AFTER = TimeSpan.seconds(30);

  /**
   * Half-life of the counts of finished and placed tasks, so that tasks served long ago do not make
   * up for ones that wait now.
   */
  private static final double HALF_LIFE_SECONDS = 120;

  /** A job class of one team. */
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

  /** The part that an open job has in the tally of its class. */
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
  private MonotonicTime decayedAt;
  private double placed;
  private double placedUnderserved;

  /** To be called when a job was accepted, changed or ended. */
  void update(Job job) {
    JobContribution contribution = contributions.get(job);
    boolean active = !job.isEnded() && !job.isSuspect();
    ServedTally tally = tallies.computeIfAbsent(TeamClass.of(job), key -> new ServedTally());
    if (contribution == null) {
      if (active) {
        contribution = new JobContribution(job);
        contributions.put(job, contribution);
        notYetCounted.add(contribution);
      } else {
        return;
      }
    }
    int served = active ? job.doneCount() + job.assignedCount() : 0;
    tally.served += served - contribution.served;
    contribution.served = served;
    if (!active) {
      contributions.remove(job);
      if (contribution.counted) {
        tally.arrived -= job.spec().tasks();
        contribution.counted = false;
      }
      tally.finished += job.state() == Job.State.DONE ? job.spec().tasks() : 0;
    }
  }

  /** Starts a round: counts jobs that have become old enough and decays old counts. */
  void beginRound(MonotonicTime now) {
    while (!notYetCounted.isEmpty()
        && now.isPast(notYetCounted.peek().job.firstSeen(), COUNTED_AFTER)) {
      JobContribution contribution = notYetCounted.poll();
      if (contributions.get(contribution.job) == contribution) {
        contribution.counted = true;
        tallies.get(TeamClass.of(contribution.job)).arrived += contribution.job.spec().tasks();
      }
    }
    if (decayedAt != null) {
      double keep = Math.pow(0.5, now.since(decayedAt).asSeconds() / HALF_LIFE_SECONDS);
      tallies.values().forEach(tally -> tally.finished *= keep);
      placed *= keep;
      placedUnderserved *= keep;
    }
    decayedAt = now;
  }

  /** Whether a class of a team is underserved. */
  boolean underserved(TeamClass key) {
    return shortfall(key) > 0;
  }

  /** Whether any class other than this one is underserved, of any team. */
  boolean othersUnderserved(TeamClass key) {
    return tallies.keySet().stream().anyMatch(other -> !other.equals(key) && underserved(other));
  }

  /**
   * The degree to which a class is underserved: 0 if it is not, 1 if none of it has been served.
   */
  double shortfall(TeamClass key) {
    ServedTally tally = tallies.get(key);
    if (tally == null || tally.arrived <= 0) {
      return 0;
    }
    double share = (tally.served + tally.finished) / (tally.arrived + tally.finished);
    return Math.max(0, UNDERSERVED_BELOW - share) / UNDERSERVED_BELOW;
  }

  /** Whether underserved classes may get a bonus now. */
  boolean mayBoost() {
    return placedUnderserved <= MAX_UNDERSERVED_SHARE * placed;
  }

  /** Records that tasks of a class were placed. */
  void recordPlaced(TeamClass key, int tasks) {
    placed += tasks;
    placedUnderserved += underserved(key) ? tasks : 0;
  }
}
