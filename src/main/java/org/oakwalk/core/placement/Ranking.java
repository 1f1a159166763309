package org.oakwalk.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/**
 * The jobs with waiting tasks, ordered by score within each equivalence class. The order is
 * maintained incrementally: a score is recomputed only when its job has changed, when the time to
 * its deadline has shrunk by a twentieth, when the deadline has become unreachable, or when
 * estimated run times or the number of places have changed by more than {@link #MAX_DRIFT}. Between
 * these updates a kept score deviates from the exact one by no more than that. The part of the
 * score that grows with waiting is the same for all jobs and left out. So a long queue costs little
 * as long as nothing changes in it.
 *
 * <p>All scores of a job class use the same learned run time factor, and all of an equivalence
 * class the same number of places, including jobs that arrive later. Otherwise equal jobs would be
 * ordered by the estimates at the time of their arrival, and some would starve as long as others
 * arrive.
 */
final class Ranking {
  /** Relative change of a shared input of scores above which they are recomputed. */
  private static final double MAX_DRIFT = 0.15;

  /**
   * A class of jobs that are equivalent for placement: if there is no room for one, there is none
   * for the others.
   *
   * @param tasksAtOnce the number of tasks that have to start together
   * @param onlyJob set for a job that forms a class of its own, since the placement of its active
   *     tasks restricts the others, or since it is probed as a suspect
   */
  record EquivalenceClass(
      String team,
      String jobClass,
      JobSpec.Shape shape,
      Priority priority,
      Resources room,
      Set<String> types,
      Optional<String> zone,
      boolean spotAllowed,
      boolean inherited,
      boolean guaranteed,
      boolean oneZone,
      boolean spread,
      int tasksAtOnce,
      Optional<JobId> onlyJob) {

    static EquivalenceClass of(Job job, boolean guaranteed) {
      JobSpec spec = job.spec();
      boolean constrained = spec.gang() || spec.oneZone() || spec.spread();
      boolean separate = constrained && job.assignedCount() > 0 || job.isSuspect();
      return new EquivalenceClass(
          spec.team(),
          spec.jobClass(),
          spec.shape(),
          spec.priority(),
          spec.resources(),
          spec.machineTypes(),
          spec.zone(),
          spec.spotAllowed(),
          job.inherited(),
          guaranteed,
          spec.oneZone(),
          spec.spread(),
          spec.gang() ? job.pendingCount() : 1,
          separate ? Optional.of(job.id()) : Optional.empty());
    }
  }

  /**
   * A job with its position in the order.
   *
   * @param sortKey the score without the part that grows with waiting
   * @param accepted the revision of the job's acceptance, which breaks ties
   * @param rescoreAt when the score has to be recomputed; null if only after a change
   */
  record RankedJob(
      Job job,
      EquivalenceClass equivalenceClass,
      double sortKey,
      Revision accepted,
      MonotonicTime rescoreAt) {}

  private static final Comparator<RankedJob> OLDEST_FIRST =
      Comparator.comparing(RankedJob::accepted).thenComparing(entry -> entry.job().id().value());

  private static final Comparator<RankedJob> HIGHEST_FIRST =
      Comparator.comparingDouble((RankedJob entry) -> -entry.sortKey()).thenComparing(OLDEST_FIRST);

  /** The jobs of an equivalence class, and the number of places used for their scores. */
  private static final class RankedGroup {
    final TreeSet<RankedJob> entries = new TreeSet<>(HIGHEST_FIRST);
    double places;

    RankedGroup(double places) {
      this.places = places;
    }
  }

  private final JobRegistry jobs;
  private final RunTimeEstimates runTimes;
  private final JobScorer scorer;
  private final Quota quota;
  private final Map<Job, RankedJob> byJob = new IdentityHashMap<>();
  private final Map<EquivalenceClass, RankedGroup> groups = new LinkedHashMap<>();

  /** The run time factor of each job class, as used for the present scores. */
  private final Map<String, Double> guessFactors = new HashMap<>();

  private final TreeSet<RankedJob> byRescoreTime =
      new TreeSet<>(Comparator.comparing(RankedJob::rescoreAt).thenComparing(OLDEST_FIRST));
  private Map<MachineType, Integer> machineCounts = Map.of();
  private Resources largestMachine = new Resources(1, 1, 1);
  private MonotonicTime now = new MonotonicTime(0);
  private WallTime wall = new WallTime(0);
  private long evaluations;

  Ranking(JobRegistry jobs, RunTimeEstimates runTimes, JobScorer scorer, Quota quota) {
    this.jobs = jobs;
    this.runTimes = runTimes;
    this.scorer = scorer;
    this.quota = quota;
  }

  /** The number of scores computed so far; used by tests that bound the work. */
  long evaluations() {
    return evaluations;
  }

  /**
   * Brings the order up to date.
   *
   * @param machines the number of machines of each type that accept tasks
   * @param guaranteeChanges jobs that have come to be within a guarantee, or have ceased to be
   * @return the jobs that have changed since the last call
   */
  List<Job> refresh(
      Map<MachineType, Integer> machines,
      List<Job> guaranteeChanges,
      MonotonicTime time,
      WallTime wallTime) {
    machineCounts = machines;
    now = time;
    wall = wallTime;
    List<Job> touched = jobs.takeChanged();
    Resources before = largestMachine;
    largestMachine = largestMachine();
    if (!largestMachine.equals(before)) {
      List.copyOf(byJob.keySet()).forEach(this::rerank);
    }
    touched.forEach(this::rerank);
    guaranteeChanges.forEach(this::rerank);
    scorer.takeReplannedJobs().forEach(this::rerank);
    while (!byRescoreTime.isEmpty() && !byRescoreTime.first().rescoreAt().isAfter(now)) {
      rerank(byRescoreTime.first().job());
    }
    rescoreDrifted();
    return touched;
  }

  private Resources largestMachine() {
    Resources most = new Resources(1, 1, 1);
    for (MachineType type : machineCounts.keySet()) {
      Resources resources = type.resources();
      most =
          new Resources(
              Math.max(most.cpus(), resources.cpus()),
              Math.max(most.gpus(), resources.gpus()),
              Math.max(most.memoryGb(), resources.memoryGb()));
    }
    return most;
  }

  private void rescoreDrifted() {
    Set<String> classes = new HashSet<>();
    guessFactors.forEach(
        (jobClass, factor) -> {
          if (drifted(factor, runTimes.guessFactor(jobClass))) {
            classes.add(jobClass);
          }
        });
    classes.forEach(jobClass -> guessFactors.put(jobClass, runTimes.guessFactor(jobClass)));
    List<Job> drifted = new ArrayList<>();
    groups.forEach(
        (equivalenceClass, group) -> {
          double places = places(equivalenceClass.room());
          if (drifted(group.places, places)) {
            group.places = places;
          } else if (!classes.contains(equivalenceClass.jobClass())) {
            return;
          }
          group.entries.forEach(entry -> drifted.add(entry.job()));
        });
    drifted.forEach(this::rerank);
  }

  private static boolean drifted(double from, double to) {
    return Math.abs(to - from) > MAX_DRIFT * from;
  }

  /** Recomputes a job's position; no other method changes the order. */
  private void rerank(Job job) {
    RankedJob old = byJob.remove(job);
    if (old != null) {
      RankedGroup group = groups.get(old.equivalenceClass());
      group.entries.remove(old);
      if (old.rescoreAt() != null) {
        byRescoreTime.remove(old);
      }
    }
    if (!job.isOpen() || job.pendingCount() <= 0) {
      removeGroupIfEmpty(old);
      return;
    }
    evaluations++;
    EquivalenceClass equivalenceClass = EquivalenceClass.of(job, quota.withinGuarantee(job));
    RankedGroup group =
        groups.computeIfAbsent(equivalenceClass, added -> new RankedGroup(places(added.room())));
    TimeSpan remaining = remaining(job, group);
    double sortKey =
        scorer.score(
                job,
                remaining,
                TimeSpan.millis(0),
                largestMachine,
                equivalenceClass.guaranteed(),
                wall)
            - scorer.waitTerm(job.waitingSince());
    TimeSpan validity = scorer.validFor(job, remaining, wall);
    RankedJob entry =
        new RankedJob(
            job,
            equivalenceClass,
            sortKey,
            job.revision(),
            validity == null ? null : now.plus(validity));
    byJob.put(job, entry);
    group.entries.add(entry);
    if (validity != null) {
      byRescoreTime.add(entry);
    }
    removeGroupIfEmpty(old);
  }

  private void removeGroupIfEmpty(RankedJob left) {
    if (left != null && groups.get(left.equivalenceClass()).entries.isEmpty()) {
      groups.remove(left.equivalenceClass());
    }
  }

  /**
   * The estimated time until a job could be complete: the time that all machines together need for
   * its waiting tasks, plus the run of one task. So of two jobs with equal tasks the one with fewer
   * tasks left comes first.
   */
  private TimeSpan remaining(Job job, RankedGroup group) {
    double factor = guessFactors.computeIfAbsent(job.spec().jobClass(), runTimes::guessFactor);
    TimeSpan run = runTimes.expected(job.spec(), factor);
    return run.plus(run.times(job.pendingCount() / Math.max(1, group.places)));
  }

  private double places(Resources task) {
    return places(machineCounts, task);
  }

  /** The number of tasks of this size that these machines could hold if they were empty. */
  static int places(Map<MachineType, Integer> machines, Resources task) {
    int places = 0;
    for (Map.Entry<MachineType, Integer> count : machines.entrySet()) {
      places += count.getValue() * count.getKey().resources().capacityFor(task);
    }
    return places;
  }

  /** Iterates over the jobs by decreasing score; equivalence classes can be skipped on the way. */
  final class RankingTraversal {
    private final PriorityQueue<Cursor> cursors = new PriorityQueue<>();
    private final ToDoubleFunction<EquivalenceClass> bonus;
    private Cursor last;

    /**
     * Starts at the highest score.
     *
     * @param inheritedToo whether jobs accepted under earlier leaders are included
     * @param individual jobs that are returned even if their equivalence class is skipped
     * @param bonus the present score bonus of an equivalence class
     * @param jobBonus the bonus of an individual job, which applies if it is the larger one
     */
    RankingTraversal(
        boolean inheritedToo,
        Set<Job> individual,
        ToDoubleFunction<EquivalenceClass> bonus,
        ToDoubleFunction<Job> jobBonus) {
      this.bonus = bonus;
      groups.forEach(
          (equivalenceClass, group) -> {
            if (inheritedToo || !equivalenceClass.inherited()) {
              add(
                  group.entries.stream()
                      .filter(entry -> !individual.contains(entry.job()))
                      .iterator(),
                  0);
            }
          });
      for (Job job : individual) {
        RankedJob entry = byJob.get(job);
        if (entry != null && (inheritedToo || !entry.equivalenceClass().inherited())) {
          add(List.of(entry).iterator(), jobBonus.applyAsDouble(job));
        }
      }
    }

    private void add(Iterator<RankedJob> entries, double jobBonus) {
      if (entries.hasNext()) {
        cursors.add(new Cursor(entries, bonus, jobBonus));
      }
    }

    /** Returns the next job, or null if there is none. */
    Job next() {
      if (last != null && last.advance()) {
        cursors.add(last);
      }
      last = cursors.poll();
      return last == null ? null : last.head.job();
    }

    /** The equivalence class of the job returned last. */
    EquivalenceClass equivalenceClass() {
      return last.head.equivalenceClass();
    }

    /** Skips the rest of the equivalence class of the job returned last, except individual jobs. */
    void skipClass() {
      last = null;
    }
  }

  private static final class Cursor implements Comparable<Cursor> {
    private final Iterator<RankedJob> entries;
    private final double bonus;
    private RankedJob head;

    Cursor(Iterator<RankedJob> entries, ToDoubleFunction<EquivalenceClass> bonus, double jobBonus) {
      this.entries = entries;
      this.head = entries.next();
      this.bonus = Math.max(bonus.applyAsDouble(head.equivalenceClass()), jobBonus);
    }

    /** Moves to the next job; returns false if there is none. */
    boolean advance() {
      if (!entries.hasNext()) {
        return false;
      }
      head = entries.next();
      return true;
    }

    @Override
    public int compareTo(Cursor other) {
      int byScore = Double.compare(other.head.sortKey() + other.bonus, head.sortKey() + bonus);
      return byScore != 0 ? byScore : OLDEST_FIRST.compare(head, other.head);
    }
  }
}
