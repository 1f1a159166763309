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
 * waits when {@link #BONUS_AFTER} is over is helped:
 *
 * <ul>
 *   <li>One of which nothing has begun gains a bonus for its first task, which is little to the
 *       others: a tenth of what is placed at most. Those within {@link #START_TARGET} go first.
 *   <li>An array has begun only when as many of its tasks have as its team's limit allows at once.
 *       For the rest of these tasks it gains the same bonus, a task a round, out of another tenth,
 *       unless a plan says when they start.
 *   <li>The others gain one while too little of the largest of their class is served, and only
 *       while no other class of any team is left behind.
 * </ul>
 *
 * <p>Where all jobs of a class are about as large, they are the class, and {@link ServedShares}
 * sees to it. The wait counts from the job's acceptance, whoever led meanwhile. Gangs start whole
 * and have machines kept for them instead, see {@link GangReservations}.
 */
final class LargeJobBonus {
  /** How long a job may wait until it is helped. */
  static final Span BONUS_AFTER = Span.seconds(150);

  /** By when the largest jobs should have started. */
  private static final Span START_TARGET = Span.seconds(240);

  /** In this time the bonus grows by another guarantee's. */
  private static final Span BONUS_GROWTH_PERIOD = Span.seconds(30);

  private static final double MAX_BONUS_FACTOR = 3;
  private static final double MAX_UNDERSERVED_SHARE = 0.2;
  private static final double MAX_FIRST_TASK_SHARE = 0.1;
  private static final double MAX_RAMP_UP_SHARE = 0.1;

  /** Somewhat more than a tenth, since a leader does not know all jobs that ever were. */
  private static final double LARGE_JOB_SHARE = 0.15;

  /** What is open when a leader rises is mostly large, since the small are done sooner. */
  private static final double INHERITED_LARGE_JOB_SHARE = 0.3;

  private static final double UNDERSERVED_BELOW = 0.6;

  /** So many jobs of a team's class are met in each round before their turn. */
  private static final int MAX_BOOSTED_PER_ROUND = 8;

  private static final int HALF_LIFE_SECONDS = 120;

  private static final Comparator<TrackedJob> OLDEST_FIRST =
      Comparator.comparing((TrackedJob part) -> part.job.accepted().millis())
          .thenComparing(part -> part.job.id().value());

  /** What is known of a job. */
  private static final class TrackedJob {
    final Job job;
    boolean large;
    int served;

    TrackedJob(Job job) {
      this.job = job;
    }
  }

  /** A team's jobs of one class. */
  private static final class LargeJobTally {
    /** Large ones with waiting tasks. */
    final TreeSet<TrackedJob> waiting = new TreeSet<>(OLDEST_FIRST);

    double arrived;
    double served;
    double finished;

    double shortfall() {
      double share = arrived <= 0 ? 1 : (served + finished) / (arrived + finished);
      return Math.max(0, UNDERSERVED_BELOW - share) / UNDERSERVED_BELOW;
    }
  }

  private final double guaranteeBonus;
  private final ServedShares servedShares;
  private final PlannedDeadlines planned;
  private final ToIntFunction<JobSpec> maxTasksAtOnce;
  private final Map<Job, TrackedJob> tracked = new IdentityHashMap<>();
  private final Map<ServedShares.TeamClass, LargeJobTally> tallies = new LinkedHashMap<>();
  private final Map<String, JobSizeHistogram> sizes = new HashMap<>();

  /** What may be large, once others of its class have come that it can be compared with. */
  private final Deque<TrackedJob> unclassified = new ArrayDeque<>();

  /** What jobs gain in this round. */
  private final Map<Job, Double> bonuses = new LinkedHashMap<>();

  /** Those of them of which a single task is placed in this round. */
  private final Set<Job> oneTaskOnly = new LinkedHashSet<>();

  /** Classes of which a favoured job has found no place in this round. */
  private final Set<ServedShares.TeamClass> classesWithoutRoom = new HashSet<>();

  private Moment decayedAt;
  private double placed;
  private double placedFirst;
  private double placedRampUp;
  private double placedUnderserved;

  /**
   * Nothing is known yet.
   *
   * @param guaranteeBonus what a guarantee adds to a score
   * @param planned by when jobs have to start after a plan
   * @param maxTasksAtOnce how many tasks of a job can run at once at most
   */
  LargeJobBonus(
      double guaranteeBonus,
      ServedShares servedShares,
      PlannedDeadlines planned,
      ToIntFunction<JobSpec> atOnce) {
    this.planned = planned;
    this.maxTasksAtOnce = atOnce;
    this.guaranteeBonus = guaranteeBonus;
    this.servedShares = servedShares;
  }

  /** A job has come, changed or ended. */
  void update(Job job) {
    boolean counts = !job.over() && !job.suspect() && belowProduction(job);
    TrackedJob part = tracked.get(job);
    if (part == null) {
      if (!counts) {
        return;
      }
      part = new TrackedJob(job);
      tracked.put(job, part);
      sizes.computeIfAbsent(job.spec().jobClass(), name -> new JobSizeHistogram()).add(job.spec());
      if (!job.spec().gang()) {
        unclassified.add(part);
      }
    }
    if (part.large) {
      LargeJobTally account =
          tallies.computeIfAbsent(ServedShares.TeamClass.of(job), key -> new LargeJobTally());
      int served = counts ? started(job) : 0;
      account.served += served - part.served;
      part.served = served;
      if (counts && job.pendingCount() > 0) {
        account.waiting.add(part);
      } else {
        account.waiting.remove(part);
      }
      account.arrived -= counts ? 0 : job.spec().tasks();
      account.finished += !counts && job.state() == Job.State.DONE ? job.spec().tasks() : 0;
    }
    if (!counts) {
      tracked.remove(job);
    }
  }

  /** Nothing goes before production. */
  private static boolean belowProduction(Job job) {
    return job.spec().priority().compareTo(Priority.PRODUCTION) < 0;
  }

  /** Whether it is one of the largest of its class. */
  boolean isLarge(Job job) {
    JobSizeHistogram known = sizes.get(job.spec().jobClass());
    return known != null
        && known.amongLargest(
            job.spec(), job.inherited() ? INHERITED_LARGE_JOB_SHARE : LARGE_JOB_SHARE);
  }

  /** Lets time pass, and finds out which jobs are favoured in this round. */
  void beginRound(Moment now, WallTime wall) {
    decay(now);
    while (!unclassified.isEmpty()
        && now.past(unclassified.peek().job.seen(), ServedShares.COUNTED_AFTER)) {
      classify(unclassified.poll());
    }
    bonuses.clear();
    oneTaskOnly.clear();
    classesWithoutRoom.clear();
    tallies.forEach((key, account) -> bonus(key, account, wall));
  }

  private void classify(TrackedJob part) {
    Job job = part.job;
    if (tracked.get(job) != part || !isLarge(job)) {
      return;
    }
    part.large = true;
    update(job);
    tallies.get(ServedShares.TeamClass.of(job)).arrived += job.spec().tasks();
  }

  private void decay(Moment now) {
    if (decayedAt != null) {
      double keep = Math.pow(0.5, now.since(decayedAt).asSeconds() / HALF_LIFE_SECONDS);
      placed *= keep;
      placedFirst *= keep;
      placedRampUp *= keep;
      placedUnderserved *= keep;
      tallies.values().forEach(account -> account.finished *= keep);
    }
    decayedAt = now;
  }

  private void bonus(ServedShares.TeamClass key, LargeJobTally account, WallTime wall) {
    if (account.waiting.isEmpty()
        || wall.since(account.waiting.first().job.accepted()).compareTo(BONUS_AFTER) < 0) {
      return;
    }
    boolean first = placedFirst <= MAX_FIRST_TASK_SHARE * placed;
    boolean rest = placedRampUp <= MAX_RAMP_UP_SHARE * placed;
    double far = account.shortfall();
    boolean all =
        far > 0
            && placedUnderserved <= MAX_UNDERSERVED_SHARE * placed
            && !servedShares.othersUnderserved(key);
    int met = 0;
    int late = 0;
    for (TrackedJob part : account.waiting) {
      Span age = wall.since(part.job.accepted());
      if (age.compareTo(BONUS_AFTER) < 0 || met >= MAX_BOOSTED_PER_ROUND) {
        break;
      }
      // Those that are late already must not make the others late as well.
      boolean tooLate = age.compareTo(START_TARGET) >= 0;
      if (tooLate && late >= MAX_BOOSTED_PER_ROUND / 2) {
        continue;
      }
      if (started(part.job) == 0
          ? first
          : rest && !rampedUp(part.job) && !planned(part.job, wall)) {
        bonuses.put(part.job, (tooLate ? 1 : bonusFactor(age)) * guaranteeBonus);
        oneTaskOnly.add(part.job);
      } else if (all) {
        bonuses.put(part.job, (1 + far) * guaranteeBonus);
      } else {
        continue;
      }
      met++;
      late += tooLate ? 1 : 0;
    }
  }

  /** Whether as many of its tasks have begun as can run at once. */
  private boolean rampedUp(Job job) {
    JobSpec spec = job.spec();
    return started(job) >= Math.min(spec.tasks(), maxTasksAtOnce.applyAsInt(spec));
  }

  /** How many tasks of a job are done or on machines. */
  private static int started(Job job) {
    return job.doneCount() + job.activeCount();
  }

  /** Whether a plan says when its tasks start; what else would start now may break its promises. */
  private boolean planned(Job job, WallTime wall) {
    return planned.timeToStart(job, wall).isPresent();
  }

  /** How many guarantees' bonus a wait of this length is worth. */
  private static double bonusFactor(Span waited) {
    return Math.min(
        MAX_BONUS_FACTOR,
        1 + waited.minus(BONUS_AFTER).asSeconds() / BONUS_GROWTH_PERIOD.asSeconds());
  }

  /** Jobs that are met on their own in this round. */
  Set<Job> boostedJobs() {
    return bonuses.keySet();
  }

  /** What the job gains in this round. */
  double bonus(Job job) {
    return bonuses.getOrDefault(job, 0.0);
  }

  /** Whether it is favoured for a single task in this round. */
  boolean oneTaskOnly(Job job) {
    return oneTaskOnly.contains(job);
  }

  /** The job found no place: if it is favoured, others of its class need not be met now. */
  void recordNoRoom(Job job) {
    if (bonuses.containsKey(job)) {
      classesWithoutRoom.add(ServedShares.TeamClass.of(job));
    }
  }

  /** Whether the job is favoured, but another of its class found no place in this round. */
  boolean classHasNoRoom(Job job) {
    return bonuses.containsKey(job) && classesWithoutRoom.contains(ServedShares.TeamClass.of(job));
  }

  /** Tasks of a job were placed. */
  void recordPlaced(Job job, int tasks) {
    placed += tasks;
    if (oneTaskOnly.contains(job)) {
      if (started(job) > tasks) {
        placedRampUp += tasks;
      } else {
        placedFirst += tasks;
      }
    } else if (bonuses.containsKey(job)) {
      placedUnderserved += tasks;
    }
  }
}
