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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;

/**
 * Adds a bonus to the scores of the largest jobs of a class, so that they start in time. The queue
 * order prefers jobs that are soon complete, so under overload the largest jobs would wait for as
 * long as smaller ones arrive, even where their class as a whole is well served. Only jobs that
 * have waited for {@link #BONUS_AFTER} get a bonus:
 *
 * <ul>
 *   <li>A job without any started task gets it for its first task. At most a tenth of all placed
 *       tasks are such first tasks, so other jobs lose little. Jobs that have waited for less than
 *       {@link #START_TARGET} get the larger bonus.
 *   <li>An array that has started gets the same bonus, for one task a round, until as many of its
 *       tasks have started as its team's limit and the fleet allow at once (ramp-up). This uses at
 *       most another tenth of all placed tasks. A plan that sets the start of these tasks takes
 *       precedence.
 *   <li>Other large jobs get one while the large jobs of their class are underserved as a whole,
 *       and only while no other class of any team is underserved.
 * </ul>
 *
 * <p>If most jobs of a class have about the same size, none of them counts as large, and {@link
 * ServedShares} protects the class as a whole. The wait is counted from the job's acceptance, also
 * across changes of the leader. Gangs, whose tasks start together, have machines reserved for them
 * instead, see {@link GangReservations}.
 */
final class LargeJobBonus {
  /** The wait after which a large job may get a bonus. */
  static final TimeSpan BONUS_AFTER = TimeSpan.seconds(150);

  /** The time after acceptance by which large jobs should have started. */
  private static final TimeSpan START_TARGET = TimeSpan.seconds(240);

  /** The time in which the bonus grows by the size of one guarantee bonus. */
  private static final TimeSpan BONUS_GROWTH_PERIOD = TimeSpan.seconds(30);

  /** Upper bound of a growing bonus, as a multiple of the guarantee bonus. */
  private static final double MAX_BONUS_FACTOR = 3;

  /** Share of the placed tasks up to which underserved large jobs get a bonus. */
  private static final double MAX_UNDERSERVED_SHARE = 0.2;

  /** Share of the placed tasks up to which first tasks get a bonus. */
  private static final double MAX_FIRST_TASK_SHARE = 0.1;

  /** Share of the placed tasks up to which the ramp-up of arrays gets a bonus. */
  private static final double MAX_RAMP_UP_SHARE = 0.1;

  /**
   * The part of a class that counts as large. It is somewhat more than a tenth, since a leader does
   * not know all earlier jobs of the class.
   */
  private static final double LARGE_JOB_SHARE = 0.15;

  /**
   * The same for jobs accepted under earlier leaders. The jobs that are open when a leader takes
   * over are mostly large, since small ones complete sooner.
   */
  private static final double INHERITED_LARGE_JOB_SHARE = 0.3;

  /** Large jobs of a class are underserved if less than this share of their tasks is served. */
  private static final double UNDERSERVED_BELOW = 0.6;

  /** Bound on the jobs of a team's class that get a bonus in one round. */
  private static final int MAX_BOOSTED_PER_ROUND = 8;

  /** Half-life of the counts of placed and finished tasks. */
  private static final int HALF_LIFE_SECONDS = 120;

  private static final Comparator<TrackedJob> OLDEST_FIRST =
      Comparator.comparing((TrackedJob entry) -> entry.job.acceptedAt().millis())
          .thenComparing(entry -> entry.job.id().value());

  /** The state kept for an open job. */
  private static final class TrackedJob {
    final Job job;
    boolean large;
    int served;

    TrackedJob(Job job) {
      this.job = job;
    }
  }

  /** Task counts of the large jobs of one team and class. */
  private static final class LargeJobTally {
    /** Large jobs with waiting tasks. */
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

  /**
   * Jobs that have yet to be classified as large or not; they wait until other jobs of the class
   * have arrived for comparison.
   */
  private final Deque<TrackedJob> unclassified = new ArrayDeque<>();

  /** The bonus of each boosted job in this round. */
  private final Map<Job, Double> bonuses = new LinkedHashMap<>();

  /** Boosted jobs of which only one task is placed in this round. */
  private final Set<Job> oneTaskOnly = new LinkedHashSet<>();

  /** Classes of which a boosted job found no room in this round. */
  private final Set<ServedShares.TeamClass> classesWithoutRoom = new HashSet<>();

  private MonotonicTime decayedAt;
  private double placed;
  private double placedFirst;
  private double placedRampUp;
  private double placedUnderserved;

  /**
   * Creates an instance that knows no jobs.
   *
   * @param guaranteeBonus the score bonus of a job within its team's guarantee
   * @param planned the deadlines that a plan sets
   * @param maxTasksAtOnce the largest number of tasks of a job that can run at the same time
   */
  LargeJobBonus(
      double guaranteeBonus,
      ServedShares servedShares,
      PlannedDeadlines planned,
      ToIntFunction<JobSpec> maxTasksAtOnce) {
    this.planned = planned;
    this.maxTasksAtOnce = maxTasksAtOnce;
    this.guaranteeBonus = guaranteeBonus;
    this.servedShares = servedShares;
  }

  /** To be called when a job was accepted, changed or ended. */
  void update(Job job) {
    boolean active = !job.isEnded() && !job.isSuspect() && belowProduction(job);
    TrackedJob entry = tracked.get(job);
    if (entry == null) {
      if (!active) {
        return;
      }
      entry = new TrackedJob(job);
      tracked.put(job, entry);
      sizes.computeIfAbsent(job.spec().jobClass(), name -> new JobSizeHistogram()).add(job.spec());
      if (!job.spec().gang()) {
        unclassified.add(entry);
      }
    }
    if (entry.large) {
      LargeJobTally tally =
          tallies.computeIfAbsent(ServedShares.TeamClass.of(job), key -> new LargeJobTally());
      int served = active ? started(job) : 0;
      tally.served += served - entry.served;
      entry.served = served;
      if (active && job.pendingCount() > 0) {
        tally.waiting.add(entry);
      } else {
        tally.waiting.remove(entry);
      }
      tally.arrived -= active ? 0 : job.spec().tasks();
      tally.finished += !active && job.state() == Job.State.DONE ? job.spec().tasks() : 0;
    }
    if (!active) {
      tracked.remove(job);
    }
  }

  /** Whether the job can be boosted; jobs of the highest priority need no bonus. */
  private static boolean belowProduction(Job job) {
    return job.spec().priority().compareTo(Priority.PRODUCTION) < 0;
  }

  /** Whether the job is one of the largest of its class. */
  boolean isLarge(Job job) {
    JobSizeHistogram known = sizes.get(job.spec().jobClass());
    return known != null
        && known.amongLargest(
            job.spec(), job.inherited() ? INHERITED_LARGE_JOB_SHARE : LARGE_JOB_SHARE);
  }

  /** Starts a round: decays old counts and selects the jobs that get a bonus. */
  void beginRound(MonotonicTime now, WallTime wall) {
    decay(now);
    while (!unclassified.isEmpty()
        && now.isPast(unclassified.peek().job.firstSeen(), ServedShares.COUNTED_AFTER)) {
      classify(unclassified.poll());
    }
    bonuses.clear();
    oneTaskOnly.clear();
    classesWithoutRoom.clear();
    tallies.forEach((key, tally) -> selectBoosted(key, tally, wall));
  }

  private void classify(TrackedJob entry) {
    Job job = entry.job;
    if (tracked.get(job) != entry || !isLarge(job)) {
      return;
    }
    entry.large = true;
    update(job);
    tallies.get(ServedShares.TeamClass.of(job)).arrived += job.spec().tasks();
  }

  private void decay(MonotonicTime now) {
    if (decayedAt != null) {
      double keep = Math.pow(0.5, now.since(decayedAt).asSeconds() / HALF_LIFE_SECONDS);
      placed *= keep;
      placedFirst *= keep;
      placedRampUp *= keep;
      placedUnderserved *= keep;
      tallies.values().forEach(tally -> tally.finished *= keep);
    }
    decayedAt = now;
  }

  private void selectBoosted(ServedShares.TeamClass key, LargeJobTally tally, WallTime wall) {
    if (tally.waiting.isEmpty()
        || wall.since(tally.waiting.first().job.acceptedAt()).compareTo(BONUS_AFTER) < 0) {
      return;
    }
    boolean first = placedFirst <= MAX_FIRST_TASK_SHARE * placed;
    boolean rampUp = placedRampUp <= MAX_RAMP_UP_SHARE * placed;
    double shortfall = tally.shortfall();
    boolean underserved =
        shortfall > 0
            && placedUnderserved <= MAX_UNDERSERVED_SHARE * placed
            && !servedShares.othersUnderserved(key);
    int boosted = 0;
    int late = 0;
    for (TrackedJob entry : tally.waiting) {
      TimeSpan waited = wall.since(entry.job.acceptedAt());
      if (waited.compareTo(BONUS_AFTER) < 0 || boosted >= MAX_BOOSTED_PER_ROUND) {
        break;
      }
      // Jobs past the start target must not make the others miss it as well.
      boolean tooLate = waited.compareTo(START_TARGET) >= 0;
      if (tooLate && late >= MAX_BOOSTED_PER_ROUND / 2) {
        continue;
      }
      if (started(entry.job) == 0
          ? first
          : rampUp && !rampedUp(entry.job) && !planned(entry.job, wall)) {
        bonuses.put(entry.job, (tooLate ? 1 : bonusFactor(waited)) * guaranteeBonus);
        oneTaskOnly.add(entry.job);
      } else if (underserved) {
        bonuses.put(entry.job, (1 + shortfall) * guaranteeBonus);
      } else {
        continue;
      }
      boosted++;
      late += tooLate ? 1 : 0;
    }
  }

  /** Whether as many of the job's tasks have started as can run at the same time. */
  private boolean rampedUp(Job job) {
    JobSpec spec = job.spec();
    return started(job) >= Math.min(spec.tasks(), maxTasksAtOnce.applyAsInt(spec));
  }

  /** The number of tasks of a job that are done or on machines. */
  private static int started(Job job) {
    return job.doneCount() + job.assignedCount();
  }

  /** Whether a plan sets the start of the job's tasks; an earlier start may break the plan. */
  private boolean planned(Job job, WallTime wall) {
    return planned.timeToStart(job, wall).isPresent();
  }

  /** The bonus for a wait of this length, as a multiple of the guarantee bonus. */
  private static double bonusFactor(TimeSpan waited) {
    return Math.min(
        MAX_BONUS_FACTOR,
        1 + waited.minus(BONUS_AFTER).asSeconds() / BONUS_GROWTH_PERIOD.asSeconds());
  }

  /** Jobs that have a bonus in this round. */
  Set<Job> boostedJobs() {
    return bonuses.keySet();
  }

  /** The job's bonus in this round; 0 for a job that is not boosted. */
  double bonus(Job job) {
    return bonuses.getOrDefault(job, 0.0);
  }

  /** Whether the job is boosted for only one task in this round. */
  boolean oneTaskOnly(Job job) {
    return oneTaskOnly.contains(job);
  }

  /** Records that a job found no room; its class is then skipped if the job is boosted. */
  void recordUnplaced(Job job) {
    if (bonuses.containsKey(job)) {
      classesWithoutRoom.add(ServedShares.TeamClass.of(job));
    }
  }

  /** Whether the job is boosted, but a boosted job of its class found no room in this round. */
  boolean isClassUnplaced(Job job) {
    return bonuses.containsKey(job) && classesWithoutRoom.contains(ServedShares.TeamClass.of(job));
  }

  /** Records that tasks of a job were placed. */
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
