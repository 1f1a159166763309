package org.oakwalk.core.drain;

import java.util.Collection;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.capacity.Capacity;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.store.StoreView;

/**
 * Why plans had better wait. A reason counts for a while after it has passed, so that a plan does
 * not go on and stop again with each report.
 */
final class Caution {
  private static final Span COUNTS_FOR = Span.seconds(10);

  /** A watch may be held for a second and has to be answered. */
  private static final Span STORE_OUT_AFTER = Span.seconds(5);

  private static final Span NEW_FOR = Span.seconds(120);
  private static final int SEVERAL = 2;

  private final Fleet fleet;
  private final StoreView view;
  private final Capacity capacity;
  private final JobRegistry jobs;
  private final Mover mover;
  private String reason = "";
  private Moment seen = new Moment(Long.MIN_VALUE / 2);

  Caution(Fleet fleet, StoreView view, Capacity capacity, JobRegistry jobs, Mover mover) {
    this.fleet = fleet;
    this.view = view;
    this.capacity = capacity;
    this.jobs = jobs;
    this.mover = mover;
  }

  /**
   * Why nothing should be drained now by these plans, if there is a reason; the strictest counts.
   */
  Optional<String> reason(Collection<DrainPlan> plans, Moment now) {
    Optional<String> present = present(plans, now);
    if (present.isPresent()) {
      reason = present.get();
      seen = now;
    }
    return now.isPast(seen, COUNTS_FOR) ? Optional.empty() : Optional.of(reason);
  }

  private Optional<String> present(Collection<DrainPlan> plans, Moment now) {
    if (now.isPast(view.lastConfirmed(), STORE_OUT_AFTER)) {
      return Optional.of("the state service is out of reach");
    }
    if (!capacity.health().listens(now)) {
      return Optional.of("many machines were silent together");
    }
    if (capacity.cloudFails()) {
      return Optional.of("the cloud does not answer");
    }
    if (capacity.bootsFail(now)) {
      return Optional.of("new machines don't come up");
    }
    if (newOnesFail(now)) {
      return Optional.of("new machines fail their tasks or are slow");
    }
    Optional<Span> replica = plans.stream().map(DrainPlan::replicaMayWait).min(Span::compareTo);
    Optional<Span> work = plans.stream().map(DrainPlan::workMayWait).min(Span::compareTo);
    if (replica.isEmpty() || work.isEmpty()) {
      return Optional.empty();
    }
    for (Job job : jobs.all()) {
      if (waits(job, job.spec().service() ? replica.get() : work.get(), now)) {
        return Optional.of("work of class " + job.spec().jobClass() + " waits for room");
      }
    }
    return Optional.empty();
  }

  /** Whether several machines that plans would leave alone were left out soon after they came. */
  private boolean newOnesFail(Moment now) {
    return fleet.machines().stream()
            .filter(
                machine ->
                    machine.schedulingMode() == SchedulingMode.UNFIT && !machine.removalPlanned())
            .filter(machine -> !now.isPast(machine.knownSince(), NEW_FOR))
            .count()
        >= SEVERAL;
  }

  private boolean waits(Job job, Span mayWait, Moment now) {
    if (!job.isOpen()
        || job.pendingCount() <= 0
        || job.isSuspect()
        || job.spec().priority() == Priority.LOW) {
      return false;
    }
    int next = job.nextPending(0, now);
    return next >= 0
        && now.isPast(job.waitingSince(), mayWait)
        && !mover.moves(new TaskId(job.id(), next));
  }
}
