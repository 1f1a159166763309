package org.oakwalk.core.drain;

import java.util.Collection;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.capacity.Autoscaler;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.store.StoreView;

/**
 * Why plans had better wait. A reason counts for a while after it has passed, so that a plan does
 * not go on and stop again with each report.
 */
final class DrainSafetyCheck {
  private static final Span REASON_HOLD_TIME = Span.seconds(10);

  /** A watch may be held for a second and has to be answered. */
  private static final Span STORE_TIMEOUT = Span.seconds(5);

  private static final Span NEW_MACHINE_AGE = Span.seconds(120);
  private static final int MIN_UNFIT_MACHINES = 2;

  private final Fleet fleet;
  private final StoreView view;
  private final Autoscaler autoscaler;
  private final JobBook jobs;
  private final ReplicaMover mover;
  private String lastReason = "";
  private Moment lastSeen = new Moment(Long.MIN_VALUE / 2);

  DrainSafetyCheck(
      Fleet fleet, StoreView view, Autoscaler capacity, JobBook jobs, ReplicaMover mover) {
    this.fleet = fleet;
    this.view = view;
    this.autoscaler = capacity;
    this.jobs = jobs;
    this.mover = mover;
  }

  /**
   * Why nothing should be drained now by these plans, if there is a reason; the strictest counts.
   */
  Optional<String> pauseReason(Collection<DrainPlan> plans, Moment now) {
    Optional<String> present = currentReason(plans, now);
    if (present.isPresent()) {
      lastReason = present.get();
      lastSeen = now;
    }
    return now.past(lastSeen, REASON_HOLD_TIME) ? Optional.empty() : Optional.of(lastReason);
  }

  private Optional<String> currentReason(Collection<DrainPlan> plans, Moment now) {
    if (now.past(view.lastConfirmed(), STORE_TIMEOUT)) {
      return Optional.of("the state service is out of reach");
    }
    if (!autoscaler.failureDetector().isSilenceReliable(now)) {
      return Optional.of("many machines were silent together");
    }
    if (autoscaler.isCloudUnavailable()) {
      return Optional.of("the cloud does not answer");
    }
    if (autoscaler.anyPoolFailing(now)) {
      return Optional.of("new machines don't come up");
    }
    if (newMachinesFail(now)) {
      return Optional.of("new machines fail their tasks or are slow");
    }
    Optional<Span> replica = plans.stream().map(DrainPlan::maxReplicaWait).min(Span::compareTo);
    Optional<Span> work = plans.stream().map(DrainPlan::maxWorkWait).min(Span::compareTo);
    if (replica.isEmpty() || work.isEmpty()) {
      return Optional.empty();
    }
    for (Job job : jobs.all()) {
      if (waitsTooLong(job, job.spec().service() ? replica.get() : work.get(), now)) {
        return Optional.of("work of class " + job.spec().jobClass() + " waits for room");
      }
    }
    return Optional.empty();
  }

  /** Whether several machines that plans would leave alone were left out soon after they came. */
  private boolean newMachinesFail(Moment now) {
    return fleet.machines().stream()
            .filter(machine -> machine.duty() == Duty.UNFIT && !machine.leavesSoon())
            .filter(machine -> !now.past(machine.known(), NEW_MACHINE_AGE))
            .count()
        >= MIN_UNFIT_MACHINES;
  }

  private boolean waitsTooLong(Job job, Span mayWait, Moment now) {
    if (!job.open()
        || job.pendingCount() <= 0
        || job.suspect()
        || job.spec().priority() == Priority.LOW) {
      return false;
    }
    int next = job.nextPending(0, now);
    return next >= 0
        && now.past(job.waitingSince(), mayWait)
        && !mover.isMoving(new TaskId(job.id(), next));
  }
}
