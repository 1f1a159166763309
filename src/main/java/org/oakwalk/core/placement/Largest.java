package org.oakwalk.core.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;

/**
 * Sees to it that the largest jobs of a class are started in time. The order prefers what is soon
 * complete, so under overload they wait for as long as anything smaller comes, even where their
 * class as a whole is served well. What the order does by itself is left alone; only what still
 * waits when {@link #PATIENCE} is over is helped:
 *
 * <ul>
 *   <li>One of which nothing has begun gains a bonus for its first task, which is little to the
 *       others: a tenth of what is placed at most. Those within {@link #BOUND} go first.
 *   <li>An array has begun only when as many of its tasks have as its team's limit allows at once.
 *       For the rest of these tasks it gains the same bonus, a task a round, out of another tenth,
 *       unless a plan says when they start.
 *   <li>The others gain one while too little of the largest of their class is served, and only
 *       while no other class of any team is left behind.
 * </ul>
 *
 * <p>Where all jobs of a class are about as large, they are the class, and {@link ServedShares}
 * sees to it. The wait counts from the job's acceptance, whoever led meanwhile. Gangs start whole
 * and have machines kept for them instead, see {@link GangKeeper}.
 */
final class Largest {
  /** How long a job may wait until it is helped. */
  static final Span PATIENCE = Span.seconds(150);

  /** By when the largest jobs should have started. */
  private static final Span BOUND = Span.seconds(240);

  /** In this time the bonus grows by another guarantee's. */
  private static final Span GROWS_IN = Span.seconds(30);

  private static final double MOST_GROWN = 3;
  private static final double SHARE = 0.2;
  private static final double SHARE_OF_FIRST = 0.1;
  private static final double SHARE_OF_REST = 0.1;

  /** Somewhat more than a tenth, since a leader does not know all jobs that ever were. */
  private static final double LARGE = 0.15;

  /** What is open when a leader rises is mostly large, since the small are done sooner. */
  private static final double LARGE_OF_INHERITED = 0.3;

  private static final double LEFT_BEHIND = 0.6;

  /** So many jobs of a team's class are met in each round before their turn. */
  private static final int MOST_A_ROUND = 8;

  private static final int HALVES_IN_SECONDS = 120;

  private static final Comparator<Part> OLDEST_FIRST =
      Comparator.comparing((Part part) -> part.job.accepted().millis())
          .thenComparing(part -> part.job.id().value());

  /** What is known of a job. */
  private static final class Part {
    final Job job;
    boolean large;
    int served;

    Part(Job job) {
      this.job = job;
    }
  }

  /** A team's jobs of one class. */
  private static final class Account {
    /** Large ones with waiting tasks. */
    final TreeSet<Part> waiting = new TreeSet<>(OLDEST_FIRST);

    double arrived;
    double served;
    double past;

    double farBehind() {
      double share = arrived <= 0 ? 1 : (served + past) / (arrived + past);
      return Math.max(0, LEFT_BEHIND - share) / LEFT_BEHIND;
    }
  }

  private final double guaranteeBonus;
  private final ServedShares servedShares;
  private final Deadlines planned;
  private final ToIntFunction<JobSpec> atOnce;
  private final Map<Job, Part> parts = new IdentityHashMap<>();
  private final Map<ServedShares.Key, Account> accounts = new LinkedHashMap<>();
  private final Map<String, Sizes> sizes = new HashMap<>();

  /** What may be large, once others of its class have come that it can be compared with. */
  private final Deque<Part> unrated = new ArrayDeque<>();

  /** What jobs gain in this round. */
  private final Map<Job, Double> favours = new LinkedHashMap<>();

  /** Those of them of which a single task is placed in this round. */
  private final Set<Job> oneTaskOnly = new LinkedHashSet<>();

  /** Classes of which a favoured job has found no place in this round. */
  private final Set<ServedShares.Key> hopeless = new HashSet<>();

  private Moment faded;
  private double placed;
  private double placedFirst;
  private double placedRest;
  private double placedLarge;

  /**
   * Nothing is known yet.
   *
   * @param guaranteeBonus what a guarantee adds to a score
   * @param planned by when jobs have to start after a plan
   * @param atOnce how many tasks of a job can run at once at most
   */
  Largest(
      double guaranteeBonus,
      ServedShares servedShares,
      Deadlines planned,
      ToIntFunction<JobSpec> atOnce) {
    this.planned = planned;
    this.atOnce = atOnce;
    this.guaranteeBonus = guaranteeBonus;
    this.servedShares = servedShares;
  }

  /** A job has come, changed or ended. */
  void touched(Job job) {
    boolean counts = !job.over() && !job.suspect() && concerns(job);
    Part part = parts.get(job);
    if (part == null) {
      if (!counts) {
        return;
      }
      part = new Part(job);
      parts.put(job, part);
      sizes.computeIfAbsent(job.spec().jobClass(), name -> new Sizes()).add(job.spec());
      if (!job.spec().gang()) {
        unrated.add(part);
      }
    }
    if (part.large) {
      Account account = accounts.computeIfAbsent(ServedShares.Key.of(job), key -> new Account());
      int served = counts ? started(job) : 0;
      account.served += served - part.served;
      part.served = served;
      if (counts && job.pendingCount() > 0) {
        account.waiting.add(part);
      } else {
        account.waiting.remove(part);
      }
      account.arrived -= counts ? 0 : job.spec().tasks();
      account.past += !counts && job.state() == Job.State.DONE ? job.spec().tasks() : 0;
    }
    if (!counts) {
      parts.remove(job);
    }
  }

  /** Nothing goes before production. */
  private static boolean concerns(Job job) {
    return job.spec().priority().compareTo(Priority.PRODUCTION) < 0;
  }

  /** Whether it is one of the largest of its class. */
  boolean large(Job job) {
    Sizes known = sizes.get(job.spec().jobClass());
    return known != null
        && known.amongLargest(job.spec(), job.inherited() ? LARGE_OF_INHERITED : LARGE);
  }

  /** Lets time pass, and finds out which jobs are favoured in this round. */
  void round(Moment now, WallTime wall) {
    fade(now);
    while (!unrated.isEmpty() && now.isPast(unrated.peek().job.seen(), ServedShares.RIPE_AFTER)) {
      rate(unrated.poll());
    }
    favours.clear();
    oneTaskOnly.clear();
    hopeless.clear();
    accounts.forEach((key, account) -> favour(key, account, wall));
  }

  private void rate(Part part) {
    Job job = part.job;
    if (parts.get(job) != part || !large(job)) {
      return;
    }
    part.large = true;
    touched(job);
    accounts.get(ServedShares.Key.of(job)).arrived += job.spec().tasks();
  }

  private void fade(Moment now) {
    if (faded != null) {
      double keep = Math.pow(0.5, now.since(faded).asSeconds() / HALVES_IN_SECONDS);
      placed *= keep;
      placedFirst *= keep;
      placedRest *= keep;
      placedLarge *= keep;
      accounts.values().forEach(account -> account.past *= keep);
    }
    faded = now;
  }

  private void favour(ServedShares.Key key, Account account, WallTime wall) {
    if (account.waiting.isEmpty()
        || wall.since(account.waiting.first().job.accepted()).compareTo(PATIENCE) < 0) {
      return;
    }
    boolean first = placedFirst <= SHARE_OF_FIRST * placed;
    boolean rest = placedRest <= SHARE_OF_REST * placed;
    double far = account.farBehind();
    boolean all = far > 0 && placedLarge <= SHARE * placed && !servedShares.othersBehind(key);
    int met = 0;
    int late = 0;
    for (Part part : account.waiting) {
      Span age = wall.since(part.job.accepted());
      if (age.compareTo(PATIENCE) < 0 || met >= MOST_A_ROUND) {
        break;
      }
      // Those that are late already must not make the others late as well.
      boolean tooLate = age.compareTo(BOUND) >= 0;
      if (tooLate && late >= MOST_A_ROUND / 2) {
        continue;
      }
      if (started(part.job) == 0
          ? first
          : rest && !hasBegun(part.job) && !planned(part.job, wall)) {
        favours.put(part.job, (tooLate ? 1 : grown(age)) * guaranteeBonus);
        oneTaskOnly.add(part.job);
      } else if (all) {
        favours.put(part.job, (1 + far) * guaranteeBonus);
      } else {
        continue;
      }
      met++;
      late += tooLate ? 1 : 0;
    }
  }

  /** Whether as many of its tasks have begun as can run at once. */
  private boolean hasBegun(Job job) {
    JobSpec spec = job.spec();
    return started(job) >= Math.min(spec.tasks(), atOnce.applyAsInt(spec));
  }

  /** How many tasks of a job are done or on machines. */
  private static int started(Job job) {
    return job.doneCount() + job.activeCount();
  }

  /** Whether a plan says when its tasks start; what else would start now may break its promises. */
  private boolean planned(Job job, WallTime wall) {
    return planned.left(job, wall).isPresent();
  }

  /** How many guarantees' bonus a wait of this length is worth. */
  private static double grown(Span waited) {
    return Math.min(MOST_GROWN, 1 + waited.minus(PATIENCE).asSeconds() / GROWS_IN.asSeconds());
  }

  /** Jobs that are met on their own in this round. */
  Set<Job> favoured() {
    return favours.keySet();
  }

  /** What the job gains in this round. */
  double favour(Job job) {
    return favours.getOrDefault(job, 0.0);
  }

  /** Whether it is favoured for a single task in this round. */
  boolean oneTaskOnly(Job job) {
    return oneTaskOnly.contains(job);
  }

  /** The job found no place: if it is favoured, others of its class need not be met now. */
  void inVain(Job job) {
    if (favours.containsKey(job)) {
      hopeless.add(ServedShares.Key.of(job));
    }
  }

  /** Whether the job is favoured, but another of its class found no place in this round. */
  boolean hopeless(Job job) {
    return favours.containsKey(job) && hopeless.contains(ServedShares.Key.of(job));
  }

  /** Tasks of a job were placed. */
  void placed(Job job, int tasks) {
    placed += tasks;
    if (oneTaskOnly.contains(job)) {
      if (started(job) > tasks) {
        placedRest += tasks;
      } else {
        placedFirst += tasks;
      }
    } else if (favours.containsKey(job)) {
      placedLarge += tasks;
    }
  }
}
