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
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/**
 * The jobs with waiting tasks, each kind in the order of their scores. The order is kept rather
 * than worked out anew in each round: a score is looked at again when its job has changed, when its
 * deadline has come nearer by a twentieth or can't be met any more, or when run times or the number
 * of places have moved by more than {@link #DRIFT}. In between it differs from what it would be by
 * no more than that; what all gain by waiting is left out, since it does not change the order. So a
 * long queue costs little as long as nothing happens in it.
 *
 * <p>All scores of a class rest on the same learned run time and all of a kind on the same number
 * of places, also of jobs that come later: else jobs that are alike would leave in the order of
 * what was learned when they came, and the wait of some would have no end as long as others come.
 */
final class Ranking {
  /** By how much what all scores of a kind rest on may move before they are worked out anew. */
  private static final double DRIFT = 0.15;

  /**
   * Jobs that fare alike in a round: where there is no room for one, there is none for the others.
   *
   * @param together how many tasks have to start at once
   * @param alone set for a job whose own tasks decide where the others may go
   */
  record Kind(
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
      int together,
      Optional<JobId> alone) {

    static Kind of(Job job, boolean guaranteed) {
      JobSpec spec = job.spec();
      boolean bound = spec.gang() || spec.oneZone() || spec.spread();
      boolean single = bound && job.assignedCount() > 0 || job.isSuspect();
      return new Kind(
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
          single ? Optional.of(job.id()) : Optional.empty());
    }
  }

  /** A job in its place. */
  record Entry(Job job, Kind kind, double key, Revision stamp, Moment expires) {}

  private static final Comparator<Entry> FIRST_COME =
      Comparator.comparing(Entry::stamp).thenComparing(entry -> entry.job().id().value());

  private static final Comparator<Entry> ORDER =
      Comparator.comparingDouble((Entry entry) -> -entry.key()).thenComparing(FIRST_COME);

  /** All entries of a kind, and the number of places that their scores rest on. */
  private static final class Group {
    final TreeSet<Entry> entries = new TreeSet<>(ORDER);
    double places;

    Group(double places) {
      this.places = places;
    }
  }

  private final JobRegistry jobs;
  private final RunTimes runTimes;
  private final Score score;
  private final Quota quota;
  private final Map<Job, Entry> byJob = new IdentityHashMap<>();
  private final Map<Kind, Group> groups = new LinkedHashMap<>();

  /** By how much guesses are off, by class, as the scores have it. */
  private final Map<String, Double> factors = new HashMap<>();

  private final TreeSet<Entry> byExpiry =
      new TreeSet<>(Comparator.comparing(Entry::expires).thenComparing(FIRST_COME));
  private Map<MachineType, Integer> kinds = Map.of();
  private Resources largest = new Resources(1, 1, 1);
  private Moment now = new Moment(0);
  private WallTime wall = new WallTime(0);
  private long evaluations;

  Ranking(JobRegistry jobs, RunTimes runTimes, Score score, Quota quota) {
    this.jobs = jobs;
    this.runTimes = runTimes;
    this.score = score;
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
    kinds = machines;
    now = at;
    wall = dayTime;
    List<Job> touched = jobs.takeChanged();
    Resources before = largest;
    largest = largest();
    if (!largest.equals(before)) {
      List.copyOf(byJob.keySet()).forEach(this::place);
    }
    touched.forEach(this::place);
    regraded.forEach(this::place);
    score.replanned().forEach(this::place);
    while (!byExpiry.isEmpty() && !byExpiry.first().expires().isAfter(now)) {
      place(byExpiry.first().job());
    }
    followDrift();
    return touched;
  }

  private Resources largest() {
    Resources most = new Resources(1, 1, 1);
    for (MachineType type : kinds.keySet()) {
      Resources room = type.room();
      most =
          new Resources(
              Math.max(most.cpus(), room.cpus()),
              Math.max(most.gpus(), room.gpus()),
              Math.max(most.memoryGb(), room.memoryGb()));
    }
    return most;
  }

  private void followDrift() {
    Set<String> classes = new HashSet<>();
    factors.forEach(
        (jobClass, factor) -> {
          if (moved(factor, runTimes.factor(jobClass))) {
            classes.add(jobClass);
          }
        });
    classes.forEach(jobClass -> factors.put(jobClass, runTimes.factor(jobClass)));
    List<Job> drifted = new ArrayList<>();
    groups.forEach(
        (kind, group) -> {
          double places = places(kind.room());
          if (moved(group.places, places)) {
            group.places = places;
          } else if (!classes.contains(kind.jobClass())) {
            return;
          }
          group.entries.forEach(entry -> drifted.add(entry.job()));
        });
    drifted.forEach(this::place);
  }

  private static boolean moved(double from, double to) {
    return Math.abs(to - from) > DRIFT * from;
  }

  /** The one place where a job's place is changed. */
  private void place(Job job) {
    Entry old = byJob.remove(job);
    if (old != null) {
      Group group = groups.get(old.kind());
      group.entries.remove(old);
      if (old.expires() != null) {
        byExpiry.remove(old);
      }
    }
    if (!job.isOpen() || job.pendingCount() <= 0) {
      forgetIfEmpty(old);
      return;
    }
    evaluations++;
    Kind kind = Kind.of(job, quota.guarantees(job));
    Group group = groups.computeIfAbsent(kind, added -> new Group(places(added.room())));
    Span remaining = remaining(job, group);
    double key =
        score.of(job, remaining, Span.millis(0), largest, kind.guaranteed(), wall)
            - score.waited(job.waitingSince());
    Span holds = score.holdsFor(job, remaining, wall);
    Entry entry = new Entry(job, kind, key, job.revision(), holds == null ? null : now.plus(holds));
    byJob.put(job, entry);
    group.entries.add(entry);
    if (holds != null) {
      byExpiry.add(entry);
    }
    forgetIfEmpty(old);
  }

  private void forgetIfEmpty(Entry left) {
    if (left != null && groups.get(left.kind()).entries.isEmpty()) {
      groups.remove(left.kind());
    }
  }

  /**
   * The time until a job could be complete: a run of one task, and before it what all machines
   * together need for the others. Of two jobs with equal tasks the one with fewer left goes first.
   */
  private Span remaining(Job job, Group group) {
    double factor = factors.computeIfAbsent(job.spec().jobClass(), runTimes::factor);
    Span run = runTimes.expected(job.spec(), factor);
    return run.plus(run.times(job.pendingCount() / Math.max(1, group.places)));
  }

  private double places(Resources task) {
    return places(kinds, task);
  }

  /** How many tasks of this room so many machines of these types hold when they are empty. */
  static int places(Map<MachineType, Integer> machines, Resources task) {
    int places = 0;
    for (Map.Entry<MachineType, Integer> kind : machines.entrySet()) {
      places += kind.getValue() * kind.getKey().room().capacityFor(task);
    }
    return places;
  }

  /** Walks down the order; kinds can be left out on the way. */
  final class Walk {
    private final PriorityQueue<Cursor> cursors = new PriorityQueue<>();
    private final ToDoubleFunction<Kind> bonus;
    private Cursor last;

    /**
     * A walk from the top.
     *
     * @param inheritedToo whether jobs of older leaders are part of it
     * @param each jobs that are met even if their kind is left out
     * @param bonus what a kind's scores gain at this moment
     * @param favour what each of those gains, if it is more than its kind does
     */
    Walk(
        boolean inheritedToo,
        Set<Job> each,
        ToDoubleFunction<Kind> bonus,
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
        Entry entry = byJob.get(job);
        if (entry != null && (inheritedToo || !entry.kind().inherited())) {
          add(List.of(entry).iterator(), favour.applyAsDouble(job));
        }
      }
    }

    private void add(Iterator<Entry> entries, double favour) {
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
    Kind kind() {
      return last.head.kind();
    }

    /** Leaves out the others of the kind that was met last, unless each is to be met. */
    void leaveOut() {
      last = null;
    }
  }

  private static final class Cursor implements Comparable<Cursor> {
    private final Iterator<Entry> entries;
    private final double bonus;
    private Entry head;

    Cursor(Iterator<Entry> entries, ToDoubleFunction<Kind> bonus, double favour) {
      this.entries = entries;
      this.head = entries.next();
      this.bonus = Math.max(bonus.applyAsDouble(head.kind()), favour);
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
      int byScore = Double.compare(other.head.key() + other.bonus, head.key() + bonus);
      return byScore != 0 ? byScore : FIRST_COME.compare(head, other.head);
    }
  }
}
