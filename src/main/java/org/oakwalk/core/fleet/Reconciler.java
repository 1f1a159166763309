package org.oakwalk.core.fleet;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Report;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the fleet's placements with the reports of machines. */
final class Reconciler {
  private static final Logger LOG = LoggerFactory.getLogger(Reconciler.class);

  /**
   * Assumed limit on the delay of a report from which to conclude that a session ended before its
   * lease would have expired.
   */
  private static final TimeSpan MAX_REPORT_DELAY = TimeSpan.seconds(1);

  /**
   * A worker waits longer for a response; reports that arrive at shorter intervals were delayed.
   */
  private static final TimeSpan MIN_RESPONSE_WAIT = TimeSpan.seconds(3);

  private final Fleet fleet;
  private final JobRegistry jobs;
  private final Settings.WorkerTiming timing;
  private final Fleet.Listener listener;

  Reconciler(Fleet fleet, JobRegistry jobs, Settings.WorkerTiming timing, Fleet.Listener listener) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.timing = timing;
    this.listener = listener;
  }

  /**
   * Processes a report.
   *
   * @param unsolicited whether the worker sent it on its unsolicited, rather than in reply to a
   *     command
   * @return the machine, or empty if the report can't be used or its worker no longer waits for a
   *     response
   */
  Optional<Machine> handleReport(Report report, boolean unsolicited, MonotonicTime now) {
    if (fleet.isGone(report.machine())) {
      // Delayed by a network fault: the cloud has confirmed that this machine no longer exists.
      return Optional.empty();
    }
    Machine machine = fleet.find(report.machine()).orElse(null);
    boolean expected = machine != null;
    if (!expected) {
      machine =
          fleet
              .add(
                  report.machine(),
                  report.address(),
                  report.type(),
                  report.zone(),
                  report.spot(),
                  Machine.State.BOOTING,
                  now)
              .orElse(null);
      if (machine == null) {
        return Optional.empty();
      }
      LOG.info("unknown machine {} reports", machine.id());
    }
    if (unsolicited && machine.sessions().responseAbandoned(report.session(), report.sequence())) {
      return Optional.empty();
    }
    if (machine.state() == Machine.State.GONE) {
      return Optional.of(machine);
    }
    if (machine.sessions().stale(report.session(), report.sequence())) {
      if (unsolicited) {
        // Overtaken by the reply to a command, so its contents are outdated. But it shows that the
        // machine reports, and its worker accepts a response.
        machine.lastReportAt(now);
      }
      return Optional.of(machine);
    }
    boolean otherSession = machine.session().filter(report.session()::equals).isEmpty();
    boolean newSession = machine.advance(report.session(), report.sequence(), unsolicited);
    if (unsolicited || !newSession) {
      checkDelivery(machine, report, newSession, now);
    }
    if (otherSession) {
      // A session begins with a new lease, whatever kind of report shows it. Counted from the last
      // response in the previous session, the lease would seem to expire while tasks that were
      // started by command still run.
      machine.leaseRenewedAt(now);
    }
    machine.address(report.address());
    if (now.isPast(machine.lastReportAt(), timing.suspectAfter())) {
      // Unreachable or hanging: tasks that ended meanwhile would seem to have run until now.
      machine.placements().forEach(Placement::markObservationGap);
    }
    machine.fence().observe(report.token());
    machine.pendingStarts().fenced(report.token());
    if (unsolicited) {
      // Only unsolicited reports get a response, which renews the lease. A machine that merely
      // replies to commands loses all its tasks when its lease expires.
      machine.lastReportAt(now);
      machine.pendingStarts().responseResolved();
    }
    if (newSession) {
      LOG.info("machine {} started session {}", machine.id(), report.session());
      fleet.removeAllPlacements(machine, now);
    }
    if (report.reclaimNotice().isPresent()) {
      handleReclaimNotice(machine, report.reclaimNotice().get(), now);
    }
    reconcile(machine, report, now);
    if (machine.unverified() && unsolicited && fleet.olderAttemptsOver(machine, report.token())) {
      LOG.info(
          "machine {} does not receive responses, but attempts of older leaders have ended",
          machine.id());
      machine.delivery().markFailing(ResponseDelivery.State.TOKEN_NOT_RECEIVED, now);
      fleet.markVerified(machine);
    }
    if (machine.unverified() && machine.fence().mayHaveIssued(report.token())) {
      // An older leader may have renewed its lease at any time before this report.
      machine.leaseRenewedAt(now);
      fleet.markVerified(machine);
    }
    switch (machine.state()) {
      case BOOTING -> {
        if (expected && !machine.listedAsRunning()) {
          machine.booted(now);
        }
        machine.enter(Machine.State.REGISTERING);
      }
      case LEASE_EXPIRED -> {
        if (unsolicited) {
          // A machine that only replies to commands is unusable: its sessions end with their
          // leases.
          fleet.markUp(machine);
        }
      }
      case UNCONFIRMED -> {
        if (!machine.unverified()) {
          // Mostly confirmed by command: its first unsolicited report follows, unless it can't send
          // any.
          machine.lastReportAt(now);
          fleet.markUp(machine);
        }
      }
      case REGISTERING, UP, RETURNING, GONE -> {}
    }
    return Optional.of(machine);
  }

  /** Updates whether responses reach the machine, as far as a report shows it. */
  private void checkDelivery(
      Machine machine, Report report, boolean newSession, MonotonicTime now) {
    if (machine.fence().mayHaveIssued(report.token())) {
      machine.delivery().tokenConfirmed();
    }
    TimeSpan lease = timing.leaseDuration();
    if (!newSession) {
      machine.delivery().sessionContinued(lease.plusClockDrift(), now);
    } else if (now.isPast(machine.leaseRenewedAt(), MIN_RESPONSE_WAIT)
        && !now.isPast(machine.leaseRenewedAt(), lease.minus(MAX_REPORT_DELAY))) {
      // Had it received the last response, the previous session would have continued.
      LOG.info("machine {} does not receive responses", machine.id());
      machine.delivery().markFailing(ResponseDelivery.State.RESPONSES_NOT_RECEIVED, now);
    }
  }

  private static void handleReclaimNotice(Machine machine, TimeSpan left, MonotonicTime now) {
    MonotonicTime at = now.plus(left);
    if (machine.reclaimedAt() == null) {
      LOG.info("machine {} will be reclaimed in {}", machine.id(), left);
    }
    machine.reclaimedAt(at);
  }

  private void reconcile(Machine machine, Report report, MonotonicTime now) {
    Resources previousOrphanResources = machine.unmatched().orphanResources();
    machine.unmatched().clear();
    List<Placement> missing = machine.placementsCopy();
    for (Report.ReportedTask reported : report.tasks()) {
      Placement placement = machine.placement(reported.task());
      if (placement != null && placement.attempt().equals(reported.attempt())) {
        missing.remove(placement);
        observe(placement, reported, now);
      } else {
        handleUnmatched(machine, reported, now);
      }
    }
    if (!previousOrphanResources.equals(machine.unmatched().orphanResources())) {
      fleet.unaccountedResourcesChanged();
    }
    // Removed while processing the report, because it lists a later attempt at the task.
    missing.removeIf(placement -> placement.state() == Placement.State.ENDED);
    for (Placement placement : missing) {
      boolean seen = placement.state() != Placement.State.ORDERED;
      boolean open =
          machine.mayStillStart(new Machine.TaskAttempt(placement.task(), placement.attempt()));
      if (seen || (placement.halting() && !open)) {
        LOG.debug(
            "task {} attempt {} is no longer on its machine",
            placement.task(),
            placement.attempt());
        fleet.removePlacement(placement, now);
      }
    }
  }

  private void observe(Placement placement, Report.ReportedTask reported, MonotonicTime now) {
    switch (reported.state()) {
      case FETCHING -> {
        if (placement.state() == Placement.State.ORDERED) {
          placement.enter(Placement.State.FETCHING, now);
        }
      }
      case GATHERING, RUNNING -> {
        if (placement.state() != Placement.State.SAVING) {
          placement.enter(Placement.State.RUNNING, now);
        }
      }
      case FLUSHING -> placement.enter(Placement.State.SAVING, now);
      case ENDED -> {
        placement
            .machine()
            .unmatched()
            .uncleared(
                new Machine.TaskAttempt(placement.task(), placement.attempt()),
                reported.cause() == Report.Cause.DONE);
        handleEnd(placement, reported.cause(), now);
      }
    }
  }

  private void handleEnd(Placement placement, Report.Cause cause, MonotonicTime now) {
    Job job = placement.job();
    Machine machine = placement.machine();
    int index = placement.task().index();
    LOG.debug("task {} attempt {} ended: {}", placement.task(), placement.attempt(), cause);
    switch (cause) {
      case DONE -> {
        job.complete(index, now);
        machine.recordSuccess(placement, now);
        MonotonicTime since = placement.runningSince();
        boolean known = since != null && placement.continuouslyObserved();
        listener.completed(placement, known ? now.since(since) : null);
      }
      case ERROR -> {
        LOG.info("task {} failed on machine {}", placement.task(), machine.id());
        job.recordFailure(machine.id(), now);
        machine.recordFailure(placement, now);
        job.backOff(index, true, now);
      }
      case NO_ROOM -> {
        machine.blockedUntil(now.plus(TimeSpan.seconds(2)));
        job.backOff(index, false, now);
      }
      case BUSY, UNKNOWN -> job.backOff(index, false, now);
      case HALTED, OTHER -> {}
    }
    fleet.removePlacement(placement, now);
  }

  /** Handles an attempt without a placement: ordered by an earlier leader, or ended before. */
  private void handleUnmatched(Machine machine, Report.ReportedTask reported, MonotonicTime now) {
    Machine.TaskAttempt attempt = new Machine.TaskAttempt(reported.task(), reported.attempt());
    int index = reported.task().index();
    // An ended attempt is no reason to load a finished job; it may remain in reports for long.
    Optional<Job> found =
        reported.ended()
            ? jobs.find(reported.task().job())
            : jobs.findOrLoad(reported.task().job(), now);
    if (found.isEmpty() || index >= found.get().spec().tasks()) {
      if (reported.ended()) {
        machine.unmatched().uncleared(attempt, reported.cause() == Report.Cause.DONE);
      } else {
        // Neither its room nor its team is known, so the whole machine is counted.
        machine.unmatched().addOrphan(attempt, machine.type().resources());
      }
      return;
    }
    Job job = found.get();
    if (reported.ended()) {
      boolean done = reported.cause() == Report.Cause.DONE;
      machine.unmatched().uncleared(attempt, done);
      if (done && !job.isDone(index)) {
        completeFromOtherAttempt(job, reported.task(), now);
      }
      return;
    }
    removeSuperseded(job, reported, now);
    if (!job.isUnassigned(index)) {
      LOG.info(
          "orphaned attempt: task {} attempt {} on machine {}",
          reported.task(),
          reported.attempt(),
          machine.id());
      machine.unmatched().addOrphan(attempt, job.spec().resources());
      return;
    }
    Placement adopted =
        fleet.addPlacement(
            job, reported.task(), reported.attempt(), machine, job.spec().estimatedRunTime(), now);
    observe(adopted, reported, now);
    if (!job.isOpen()) {
      fleet.halt(adopted, TimeSpan.millis(0), Fleet.StopReason.WITHDRAWN);
    }
  }

  /**
   * Removes the placement of an earlier attempt that only a delayed report from before this term
   * has shown. An older leader ordered the later attempt when it was certain that the earlier one
   * had ended. Without the removal, the later attempt would be stopped as a duplicate.
   */
  private void removeSuperseded(Job job, Report.ReportedTask reported, MonotonicTime now) {
    if (job.isDone(reported.task().index())
        || reported.attempt().token().compareTo(fleet.token()) >= 0) {
      return;
    }
    fleet
        .placementOf(reported.task())
        .filter(earlier -> !confirmed(earlier.machine()))
        .filter(earlier -> earlier.attempt().value() < reported.attempt().value())
        .ifPresent(
            earlier -> {
              LOG.info(
                  "task {} attempt {} is superseded by a reported later attempt",
                  earlier.task(),
                  earlier.attempt());
              fleet.removePlacement(earlier, now);
            });
  }

  /**
   * Whether a machine has reported its current tasks in this term. A machine that is not registered
   * yet counts as unconfirmed.
   */
  private static boolean confirmed(Machine machine) {
    return machine.state() == Machine.State.UP && !machine.unverified();
  }

  private void completeFromOtherAttempt(Job job, TaskId task, MonotonicTime now) {
    job.complete(task.index(), now);
    fleet
        .placementOf(task)
        .ifPresent(other -> fleet.halt(other, TimeSpan.millis(0), Fleet.StopReason.NEEDLESS));
  }
}
