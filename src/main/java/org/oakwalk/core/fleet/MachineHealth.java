package org.oakwalk.core.fleet;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;

/**
 * Judges from the outcomes of tasks whether a machine is at fault, rather than its jobs. Evidence
 * is withdrawn when its job turns out to be at fault itself or is cancelled, and becomes invalid
 * with age; the judgement is then made anew. An unfit machine that keeps tasks for long is put on
 * probation from time to time: it gets a single task as a probe, and is healthy again if that
 * completes in the usual time.
 */
final class MachineHealth {
  /** State of the judgement. */
  enum State {
    /** No evidence against the machine. */
    HEALTHY,
    /** Some evidence, not enough to exclude the machine. */
    SUSPECTED,
    /** Excluded from placement, and to be returned when it is empty. */
    UNFIT,
    /** As unfit, but takes a single probe task. */
    ON_PROBATION
  }

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(State.HEALTHY, EnumSet.of(State.SUSPECTED, State.UNFIT));
    LEGAL.put(State.SUSPECTED, EnumSet.of(State.HEALTHY, State.UNFIT));
    LEGAL.put(State.UNFIT, EnumSet.of(State.HEALTHY, State.ON_PROBATION));
    LEGAL.put(State.ON_PROBATION, EnumSet.of(State.HEALTHY, State.UNFIT));
  }

  /** Late tasks, less timely ones, from which on the machine itself is considered slow. */
  private static final int SLOW_THRESHOLD = 3;

  /**
   * Errors of a single job, whose tasks complete elsewhere, from which on the machine is considered
   * faulty.
   */
  private static final int ERRORS_PER_JOB_THRESHOLD = 3;

  /** Jobs with errors from which on the machine is considered faulty. */
  private static final int FAILED_JOBS_THRESHOLD = 3;

  /** Age from which on evidence that did not suffice to exclude the machine is invalid. */
  static final TimeSpan EVIDENCE_LIFETIME = TimeSpan.seconds(600);

  /**
   * Time from the exclusion until evidence of jobs that have only failed, and on other machines as
   * well, is invalid. It takes tasks of a sound job that long to complete elsewhere.
   */
  static final TimeSpan REVIEW_INTERVAL = TimeSpan.seconds(10);

  /** Time from the exclusion to the first probe, which doubles with each failed probe. */
  static final TimeSpan MIN_PROBE_INTERVAL = TimeSpan.seconds(10);

  static final TimeSpan MAX_PROBE_INTERVAL = TimeSpan.seconds(60);

  /**
   * How long a machine on probation waits for a job that has completed tasks. The failure of
   * another one's probe may be the job's fault.
   */
  static final TimeSpan PROVEN_JOB_WAIT = TimeSpan.seconds(5);

  /** Run time of a probe that shows a machine not to fail its tasks. */
  static final TimeSpan HEALTHY_RUN_TIME = TimeSpan.seconds(30);

  /** Errors of one job's tasks since a task last succeeded, and the time of the last one. */
  private record JobErrors(int count, MonotonicTime lastAt) {}

  private final Map<Job, JobErrors> errorsByJob = new HashMap<>();
  private State state = State.HEALTHY;
  private int lateScore;
  private MonotonicTime lastLateAt;
  private boolean slow;
  private TimeSpan probeInterval = MIN_PROBE_INTERVAL;
  private MonotonicTime nextProbe;
  private MonotonicTime excludedAt;
  private Placement probe;
  private MonotonicTime probationSince;
  private boolean unprovenJobsToo;

  State state() {
    return state;
  }

  /** Whether the judgement keeps the machine from placement, except for probes. */
  boolean excluded() {
    return state == State.UNFIT || state == State.ON_PROBATION;
  }

  /** Whether there is anything to judge, so that {@link #judge} may change the state. */
  boolean hasEvidence() {
    return state != State.HEALTHY || lateScore > 0 || !errorsByJob.isEmpty();
  }

  /** Errors of this job's tasks since a task last succeeded. */
  int errorsOf(Job job) {
    JobErrors errors = errorsByJob.get(job);
    return errors == null ? 0 : errors.count();
  }

  /** Whether the machine runs its tasks far slower than others. */
  boolean slow() {
    return slow;
  }

  /**
   * Whether errors are attributed to the machine: tasks of several jobs failed without a success in
   * between, or several tasks of a job that completes tasks elsewhere. Jobs that are at fault
   * themselves, or were cancelled, are not counted.
   */
  boolean faulty() {
    int jobs = 0;
    boolean succeedsElsewhere = false;
    for (Map.Entry<Job, JobErrors> entry : errorsByJob.entrySet()) {
      if (isWithdrawn(entry.getKey())) {
        continue;
      }
      jobs++;
      succeedsElsewhere |=
          entry.getValue().count() >= ERRORS_PER_JOB_THRESHOLD && entry.getKey().doneCount() > 0;
    }
    return jobs >= FAILED_JOBS_THRESHOLD || succeedsElsewhere;
  }

  private static boolean isWithdrawn(Job job) {
    return job.isSuspect() || job.state() == Job.State.WITHDRAWN;
  }

  /**
   * Makes the judgement anew from the evidence that is left.
   *
   * @param mayExclude whether the machine may be excluded if it is at fault
   * @param wantsProbe whether an unfit machine is to be probed once a probe is due
   * @return whether the state has changed
   */
  boolean judge(boolean mayExclude, boolean wantsProbe, MonotonicTime now) {
    State before = state;
    dropInvalidEvidence(now);
    checkRunningProbe(now);
    boolean atFault = faulty() || slow;
    if (!atFault) {
      enter(errorsByJob.isEmpty() && lateScore == 0 ? State.HEALTHY : stateOfDoubt());
    } else if (excluded()) {
      if (state == State.UNFIT && wantsProbe && !nextProbe.isAfter(now)) {
        probationSince = now;
        unprovenJobsToo = false;
        enter(State.ON_PROBATION);
      }
      unprovenJobsToo |= state == State.ON_PROBATION && now.isPast(probationSince, PROVEN_JOB_WAIT);
    } else if (mayExclude) {
      probeInterval = MIN_PROBE_INTERVAL;
      nextProbe = now.plus(probeInterval);
      excludedAt = now;
      enter(State.UNFIT);
    } else {
      enter(State.SUSPECTED);
    }
    return state != before;
  }

  /** Does not let a probe that runs for long hold up the judgement, or the next probe. */
  private void checkRunningProbe(MonotonicTime now) {
    if (probe == null) {
      return;
    }
    boolean running = probe.state() == Placement.State.RUNNING;
    if (running && !slow && now.isPast(probe.runningSince(), HEALTHY_RUN_TIME)) {
      probeSucceeded();
    } else if (now.isPast(probe.orderedAt(), MAX_PROBE_INTERVAL)) {
      probe = null;
    }
  }

  /** The state of a machine with evidence that does not suffice: a cleared one is healthy first. */
  private State stateOfDoubt() {
    return excluded() ? State.HEALTHY : State.SUSPECTED;
  }

  private void dropInvalidEvidence(MonotonicTime now) {
    Iterator<Map.Entry<Job, JobErrors>> entries = errorsByJob.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Job, JobErrors> entry = entries.next();
      boolean invalid =
          excluded()
              ? now.isPast(excludedAt, REVIEW_INTERVAL) && entry.getKey().isDoubtful()
              : now.isPast(entry.getValue().lastAt(), EVIDENCE_LIFETIME);
      if (invalid || entry.getKey().state() == Job.State.WITHDRAWN) {
        entries.remove();
      }
    }
    if (!excluded() && lateScore > 0 && now.isPast(lastLateAt, EVIDENCE_LIFETIME)) {
      clearLateness();
    }
  }

  private void clearLateness() {
    lateScore = 0;
    slow = false;
  }

  /** Records that a task of this job failed. */
  void recordFailure(Job job, Placement placement, MonotonicTime now) {
    int before = errorsOf(job);
    errorsByJob.put(job, new JobErrors(before + 1, now));
    if (placement == probe && !isWithdrawn(job)) {
      probeFailed(now);
    }
  }

  /**
   * Records that a task completed. A success clears errors; that of a task which an unfit machine
   * still had only allows a probe at once. Whether a slow machine is cured shows only in whether
   * its probe was timely.
   */
  void recordSuccess(Placement placement, MonotonicTime now) {
    if (!excluded()) {
      errorsByJob.clear();
    } else if (placement == probe && !slow) {
      probeSucceeded();
    } else if (state == State.UNFIT && !slow) {
      nextProbe = now;
    }
  }

  /** Records that a task takes far longer than others of its job. */
  void recordLateTask(Placement placement, MonotonicTime now) {
    lateScore++;
    lastLateAt = now;
    slow |= lateScore >= SLOW_THRESHOLD;
    if (placement == probe) {
      probeFailed(now);
    }
  }

  /**
   * Records that a task took no longer than others of its job.
   *
   * @param comparable whether its usual run time is known, so that it can show that a slow machine
   *     is cured
   */
  void recordTimelyTask(Placement placement, boolean comparable) {
    if (placement == probe) {
      if (comparable) {
        probeSucceeded();
      }
      return;
    }
    lateScore = Math.max(0, lateScore - 1);
    slow &= lateScore > 0;
  }

  /** Whether a machine on probation may get its probe task now. */
  boolean probeDue() {
    return state == State.ON_PROBATION && probe == null;
  }

  /** Whether the probe may be a task of this job. */
  boolean admitsProbe(Job job) {
    return probeDue() && (job.doneCount() > 0 || unprovenJobsToo && !job.hasOnlyFailed());
  }

  /** Records that a task was placed as the probe. */
  void probeStarted(Placement placement) {
    probe = placement;
  }

  /** Records that a task is not on the machine any more; a lost probe is no evidence. */
  void placementEnded(Placement placement) {
    if (placement == probe) {
      probe = null;
    }
  }

  private void probeFailed(MonotonicTime now) {
    probe = null;
    probeInterval = probeInterval.times(2);
    if (probeInterval.compareTo(MAX_PROBE_INTERVAL) > 0) {
      probeInterval = MAX_PROBE_INTERVAL;
    }
    nextProbe = now.plus(probeInterval);
    enter(State.UNFIT);
  }

  private void probeSucceeded() {
    probe = null;
    errorsByJob.clear();
    clearLateness();
    enter(State.HEALTHY);
  }

  /** Changes the state; all changes go through this method. */
  private void enter(State next) {
    if (next == state) {
      return;
    }
    if (!LEGAL.get(state).contains(next)) {
      throw new IllegalStateException("illegal change of health from " + state + " to " + next);
    }
    state = next;
    if (!excluded()) {
      // A probe that is still running is an ordinary task from now on.
      probe = null;
    }
  }
}
