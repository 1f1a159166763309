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
  private static final double LEFT_BEHIND = 0.6;
  private static final double SHARE = 0.25;

  /** Jobs count only once they have waited for a while: what has just come is not behind. */
  static final Span RIPE_AFTER = Span.seconds(30);

  /**
   * After this time half of what was done is forgotten, so that old merits don't count for long.
   */
  private static final double HALVES_IN_SECONDS = 120;

  /** A team's jobs of one class. */
  record Key(String team, String jobClass) {
    static Key of(Job job) {
      return new Key(job.spec().team(), job.spec().jobClass());
    }
  }

  private static final class Account {
    double arrived;
    double served;
    double past;
  }

  /** What a job adds to its account. */
  private static final class Part {
    final Job job;
    int served;
    boolean ripe;

    Part(Job job) {
      this.job = job;
    }
  }

  private final Map<Key, Account> accounts = new HashMap<>();
  private final Map<Job, Part> parts = new IdentityHashMap<>();
  private final Deque<Part> unripe = new ArrayDeque<>();
  private Moment faded;
  private double placed;
  private double placedBehind;

  /** A job has come, changed or ended. */
  void touched(Job job) {
    Part part = parts.get(job);
    boolean counts = !job.over() && !job.suspect();
    Account account = accounts.computeIfAbsent(Key.of(job), key -> new Account());
    if (part == null) {
      if (counts) {
        part = new Part(job);
        parts.put(job, part);
        unripe.add(part);
      } else {
        return;
      }
    }
    int served = counts ? job.doneCount() + job.activeCount() : 0;
    account.served += served - part.served;
    part.served = served;
    if (!counts) {
      parts.remove(job);
      if (part.ripe) {
        account.arrived -= job.spec().tasks();
        part.ripe = false;
      }
      account.past += job.state() == Job.State.DONE ? job.spec().tasks() : 0;
    }
  }

  /** Lets time pass. */
  void round(Moment now) {
    while (!unripe.isEmpty() && now.isPast(unripe.peek().job.seen(), RIPE_AFTER)) {
      Part part = unripe.poll();
      if (parts.get(part.job) == part) {
        part.ripe = true;
        accounts.get(Key.of(part.job)).arrived += part.job.spec().tasks();
      }
    }
    if (faded != null) {
      double keep = Math.pow(0.5, now.since(faded).asSeconds() / HALVES_IN_SECONDS);
      accounts.values().forEach(account -> account.past *= keep);
      placed *= keep;
      placedBehind *= keep;
    }
    faded = now;
  }

  /** Whether a class of a team is left behind. */
  boolean behind(Key key) {
    return farBehind(key) > 0;
  }

  /** Whether any class of any team but this one is. */
  boolean othersBehind(Key key) {
    return accounts.keySet().stream().anyMatch(other -> !other.equals(key) && behind(other));
  }

  /** By how much it is: zero if not, one if nothing of it has been served. */
  double farBehind(Key key) {
    Account account = accounts.get(key);
    if (account == null || account.arrived <= 0) {
      return 0;
    }
    double share = (account.served + account.past) / (account.arrived + account.past);
    return Math.max(0, LEFT_BEHIND - share) / LEFT_BEHIND;
  }

  /** Whether what is left behind may go first now. */
  boolean helps() {
    return placedBehind <= SHARE * placed;
  }

  /** Tasks of a class were placed. */
  void placed(Key key, int tasks) {
    placed += tasks;
    placedBehind += behind(key) ? tasks : 0;
  }
}
