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
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;

/**
 * The jobs with waiting tasks, each kind in the order of their scores. The order is kept rather
 * than worked out anew in each round: a score is looked at again when its job has changed, when its
 * deadline has come nearer by a twentieth or can't be met any more, or when run times or the number
 * of places have moved by more than {@link #MAX_DRIFT}. In between it differs from what it would be
 * by no more than that; what all gain by waiting is left out, since it does not change the order.
 * So a long queue costs little as long as nothing happens in it.
 *
 * <p>All scores of a class rest on the same learned run time and all of a kind on the same number
 * of places, also of jobs that come later: else jobs that are alike would leave in the order of
 * what was learned when they came, and the wait of some would have no end as long as others come.
 */
final class Ranking {
  /** By how much what all scores of a kind rest on may move before they are worked out anew. */
  private static final double MAX_DRIFT = 0.15;

  /**
   * Jobs that fare alike in a round: where there is no room for one, there is none for the others.
   *
   * @param together how many tasks have to start at once
   * @param alone set for a job whose own tasks decide where the others may go
   */
  record EquivalenceClass(
      String team,
      String jobClass,
      JobSpec.Shape shape,
      Priority priority,
      Room room,
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
      boolean bound = spec.gang() || spec.oneZone() || spec.spread();
      boolean single = bound && job.activeCount() > 0 || job.suspect();
      return new EquivalenceClass(
          spec.team(),
          spec.jobClass(),
          spec.shape(),
          spec.priority(),
          spec.room(),
          spec.types(),
          spec.zone(),
          spec.spotAllowed(),
          job.inherited(),
          guaranteed,
          spec.oneZone(),
          spec.spread(),
          spec.gang() ? job.pendingCount() : 1,
          single ? Optional.of(job.id()) : Optional.empty());
    }
  }

  /** A job in its place. */
  record RankedJob(
      Job job,
      EquivalenceClass equivalenceClass,
      double sortKey,
      Revision accepted,
      Moment rescoreAt) {}

  private static final Comparator<RankedJob> OLDEST_FIRST =
      Comparator.comparing(RankedJob::accepted).thenComparing(entry -> entry.job().id().value());

  private static final Comparator<RankedJob> HIGHEST_FIRST =
      Comparator.comparingDouble((RankedJob entry) -> -entry.sortKey()).thenComparing(OLDEST_FIRST);

  /** All entries of a kind, and the number of places that their scores rest on. */
  private static final class RankedGroup {
    final TreeSet<RankedJob> entries = new TreeSet<>(HIGHEST_FIRST);
    double places;

    RankedGroup(double places) {
      this.places = places;
    }
  }

  private final JobBook jobs;
  private final RunTimeEstimates runTimes;
  private final JobScorer scorer;
  private final Quota quota;
  private final Map<Job, RankedJob> byJob = new IdentityHashMap<>();
  private final Map<EquivalenceClass, RankedGroup> groups = new LinkedHashMap<>();

  /** By how much guesses are off, by class, as the scores have it. */
  private final Map<String, Double> guessFactors = new HashMap<>();

  private final TreeSet<RankedJob> byRescoreTime =
      new TreeSet<>(Comparator.comparing(RankedJob::rescoreAt).thenComparing(OLDEST_FIRST));
  private Map<MachineType, Integer> machineCounts = Map.of();
  private Room largestMachine = new Room(1, 1, 1);
  private Moment now = new Moment(0);
  private WallTime wall = new WallTime(0);
  private long evaluations;

  Ranking(JobBook jobs, RunTimeEstimates runTimes, JobScorer score, Quota quota) {
    this.jobs = jobs;
    this.runTimes = runTimes;
    this.scorer = score;
    this.quota = quota;
  }

  /** How many scores have been worked out, for tests that bound the work. */
  long evaluations() {
    return evaluations;
  }

  /**
   * Brings the order up to date.
   *
   * @param machines how many machines of each type take tasks
   * @param regraded jobs that came to be within a guarantee or fell out of one
   * @return the jobs that were looked at because they had changed
   */
  List<Job> refresh(
      Map<MachineType, Integer> machines, List<Job> regraded, Moment at, WallTime dayTime) {
    machineCounts = machines;
    now = at;
    wall = dayTime;
    List<Job> touched = jobs.takeTouched();
    Room before = largestMachine;
    largestMachine = largestMachine();
    if (!largestMachine.equals(before)) {
      List.copyOf(byJob.keySet()).forEach(this::rerank);
    }
    touched.forEach(this::rerank);
    regraded.forEach(this::rerank);
    scorer.takeReplannedJobs().forEach(this::rerank);
    while (!byRescoreTime.isEmpty() && !byRescoreTime.first().rescoreAt().isAfter(now)) {
      rerank(byRescoreTime.first().job());
    }
    rescoreDrifted();
    return touched;
  }

  private Room largestMachine() {
    Room most = new Room(1, 1, 1);
    for (MachineType type : machineCounts.keySet()) {
      Room room = type.room();
      most =
          new Room(
              Math.max(most.cpus(), room.cpus()),
              Math.max(most.gpus(), room.gpus()),
              Math.max(most.memoryGb(), room.memoryGb()));
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
        (kind, group) -> {
          double places = places(kind.room());
          if (drifted(group.places, places)) {
            group.places = places;
          } else if (!classes.contains(kind.jobClass())) {
            return;
          }
          group.entries.forEach(entry -> drifted.add(entry.job()));
        });
    drifted.forEach(this::rerank);
  }

  private static boolean drifted(double from, double to) {
    return Math.abs(to - from) > MAX_DRIFT * from;
  }

  /** The one place where a job's place is changed. */
  private void rerank(Job job) {
    RankedJob old = byJob.remove(job);
    if (old != null) {
      RankedGroup group = groups.get(old.equivalenceClass());
      group.entries.remove(old);
      if (old.rescoreAt() != null) {
        byRescoreTime.remove(old);
      }
    }
    if (!job.open() || job.pendingCount() <= 0) {
      removeGroupIfEmpty(old);
      return;
    }
    evaluations++;
    EquivalenceClass kind = EquivalenceClass.of(job, quota.withinGuarantee(job));
    RankedGroup group =
        groups.computeIfAbsent(kind, added -> new RankedGroup(places(added.room())));
    Span remaining = remaining(job, group);
    double key =
        scorer.score(job, remaining, Span.millis(0), largestMachine, kind.guaranteed(), wall)
            - scorer.waitTerm(job.waitingSince());
    Span holds = scorer.validFor(job, remaining, wall);
    RankedJob entry =
        new RankedJob(job, kind, key, job.stamp(), holds == null ? null : now.plus(holds));
    byJob.put(job, entry);
    group.entries.add(entry);
    if (holds != null) {
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
   * The time until a job could be complete: a run of one task, and before it what all machines
   * together need for the others. Of two jobs with equal tasks the one with fewer left goes first.
   */
  private Span remaining(Job job, RankedGroup group) {
    double factor = guessFactors.computeIfAbsent(job.spec().jobClass(), runTimes::guessFactor);
    Span run = runTimes.expected(job.spec(), factor);
    return run.plus(run.times(job.pendingCount() / Math.max(1, group.places)));
  }

  private double places(Room task) {
    return places(machineCounts, task);
  }

  /** How many tasks of this room so many machines of these types hold when they are empty. */
  static int places(Map<MachineType, Integer> machines, Room task) {
    int places = 0;
    for (Map.Entry<MachineType, Integer> kind : machines.entrySet()) {
      places += kind.getValue() * kind.getKey().room().count(task);
    }
    return places;
  }

  /** Walks down the order; kinds can be left out on the way. */
  final class RankingTraversal {
    private final PriorityQueue<Cursor> cursors = new PriorityQueue<>();
    private final ToDoubleFunction<EquivalenceClass> bonus;
    private Cursor last;

    /**
     * A walk from the top.
     *
     * @param inheritedToo whether jobs of older leaders are part of it
     * @param each jobs that are met even if their kind is left out
     * @param bonus what a kind's scores gain at this moment
     * @param favour what each of those gains, if it is more than its kind does
     */
    RankingTraversal(
        boolean inheritedToo,
        Set<Job> each,
        ToDoubleFunction<EquivalenceClass> bonus,
        ToDoubleFunction<Job> favour) {
      this.bonus = bonus;
      groups.forEach(
          (kind, group) -> {
            if (inheritedToo || !kind.inherited()) {
              add(
                  group.entries.stream().filter(entry -> !each.contains(entry.job())).iterator(),
                  0);
            }
          });
      for (Job job : each) {
        RankedJob entry = byJob.get(job);
        if (entry != null && (inheritedToo || !entry.equivalenceClass().inherited())) {
          add(List.of(entry).iterator(), favour.applyAsDouble(job));
        }
      }
    }

    private void add(Iterator<RankedJob> entries, double favour) {
      if (entries.hasNext()) {
        cursors.add(new Cursor(entries, bonus, favour));
      }
    }

    /** The next job, or null. */
    Job next() {
      if (last != null && last.advance()) {
        cursors.add(last);
      }
      last = cursors.poll();
      return last == null ? null : last.head.job();
    }

    /** The kind of the job met last. */
    EquivalenceClass equivalenceClass() {
      return last.head.equivalenceClass();
    }

    /** Leaves out the others of the kind that was met last, unless each is to be met. */
    void skipClass() {
      last = null;
    }
  }

  private static final class Cursor implements Comparable<Cursor> {
    private final Iterator<RankedJob> entries;
    private final double bonus;
    private RankedJob head;

    Cursor(Iterator<RankedJob> entries, ToDoubleFunction<EquivalenceClass> bonus, double favour) {
      this.entries = entries;
      this.head = entries.next();
      this.bonus = Math.max(bonus.applyAsDouble(head.equivalenceClass()), favour);
    }

    /** Goes on to the next entry, if there is one. */
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
