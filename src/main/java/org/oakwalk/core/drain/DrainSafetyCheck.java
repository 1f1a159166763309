package org.oakwalk.core.drain;

import java.util.Collection;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.capacity.Autoscaler;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.store.StoreView;

/**
 * Determines whether drains have to pause. A reason applies for a while after it was last observed,
 * so that drains do not resume and pause again with each report.
 */
final class DrainSafetyCheck {
  private static final TimeSpan REASON_HOLD_TIME = TimeSpan.seconds(10);

  /**
   * Time without a confirmation after which the state service counts as unreachable. It answers a
   * watch request after at most one second.
   */
  private static final TimeSpan STORE_TIMEOUT = TimeSpan.seconds(5);

  /** Age up to which an unfit machine indicates a problem with new machines. */
  private static final TimeSpan NEW_MACHINE_AGE = TimeSpan.seconds(120);

  private static final int MIN_UNFIT_MACHINES = 2;

  private final Fleet fleet;
  private final StoreView view;
  private final Autoscaler autoscaler;
  private final JobRegistry jobs;
  private final ReplicaMover replicaMover;
  private String lastReason = "";
  private MonotonicTime lastSeen = new MonotonicTime(Long.MIN_VALUE / 2);

  DrainSafetyCheck(
      Fleet fleet,
      StoreView view,
      Autoscaler autoscaler,
      JobRegistry jobs,
      ReplicaMover replicaMover) {
    this.fleet = fleet;
    this.view = view;
    this.autoscaler = autoscaler;
    this.jobs = jobs;
    this.replicaMover = replicaMover;
  }

  /**
   * Returns the reason why drains have to pause, if there is one. Of several plans the shortest
   * permitted waits apply.
   */
  Optional<String> pauseReason(Collection<DrainPlan> plans, MonotonicTime now) {
    Optional<String> current = currentReason(plans, now);
    if (current.isPresent()) {
      lastReason = current.get();
      lastSeen = now;
    }
    return now.isPast(lastSeen, REASON_HOLD_TIME) ? Optional.empty() : Optional.of(lastReason);
  }

  private Optional<String> currentReason(Collection<DrainPlan> plans, MonotonicTime now) {
    if (now.isPast(view.lastConfirmed(), STORE_TIMEOUT)) {
      return Optional.of("the state service is unreachable");
    }
    if (!autoscaler.failureDetector().isSilenceReliable(now)) {
      return Optional.of("many machines were silent at the same time");
    }
    if (autoscaler.isCloudUnavailable()) {
      return Optional.of("the cloud does not answer");
    }
    if (autoscaler.anyPoolFailing(now)) {
      return Optional.of("new machines fail to boot");
    }
    if (newMachinesFail(now)) {
      return Optional.of("new machines fail their tasks or are slow");
    }
    Optional<TimeSpan> replica =
        plans.stream().map(DrainPlan::maxReplicaWait).min(TimeSpan::compareTo);
    Optional<TimeSpan> work = plans.stream().map(DrainPlan::maxWorkWait).min(TimeSpan::compareTo);
    if (replica.isEmpty() || work.isEmpty()) {
      return Optional.empty();
    }
    for (Job job : jobs.all()) {
      if (waitsTooLong(job, job.spec().service() ? replica.get() : work.get(), now)) {
        return Optional.of("tasks of class " + job.spec().jobClass() + " wait for capacity");
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether several recently rented machines that no plan removes have been marked unfit.
   */
  private boolean newMachinesFail(MonotonicTime now) {
    return fleet.machines().stream()
            .filter(machine -> machine.schedulingMode().unfit() && !machine.removalPlanned())
            .filter(machine -> !now.isPast(machine.knownSince(), NEW_MACHINE_AGE))
            .count()
        >= MIN_UNFIT_MACHINES;
  }

  /**
   * Returns whether a job has a pending task that is not being moved and has waited too long.
   * Suspect and low-priority jobs don't count.
   */
  private boolean waitsTooLong(Job job, TimeSpan maxWait, MonotonicTime now) {
    if (!job.isOpen()
        || job.pendingCount() <= 0
        || job.isSuspect()
        || job.spec().priority() == Priority.LOW) {
      return false;
    }
    int next = job.nextPending(0, now);
    return next >= 0
        && now.isPast(job.waitingSince(), maxWait)
        && !replicaMover.isMoving(new TaskId(job.id(), next));
  }
}
