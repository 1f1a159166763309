package org.oakwalk.core.fleet;

import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Report;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.Room;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares what machines report with what the fleet takes to be there. */
final class Reconciler {
  private static final Logger LOG = LoggerFactory.getLogger(Reconciler.class);

  /** How long the way of a report may take at most to tell that a session ended too early. */
  private static final Span ON_ITS_WAY = Span.seconds(1);

  /** A worker waits longer for an answer; reports that come closer together were held back. */
  private static final Span LEAST_WAIT = Span.seconds(3);

  private final Fleet fleet;
  private final JobBook jobs;
  private final Settings.WorkerTiming timing;
  private final Fleet.Listener listener;

  Reconciler(Fleet fleet, JobBook jobs, Settings.WorkerTiming timing, Fleet.Listener listener) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.timing = timing;
    this.listener = listener;
  }

  /**
   * Takes over a report.
   *
   * @param own whether the worker sent it by itself, rather than as the answer to a command
   * @return the machine, unless the report could not be used, or is so old that its worker takes no
   *     answer
   */
  Optional<Machine> report(Report report, boolean own, Moment now) {
    if (fleet.isGone(report.machine())) {
      // Held back by a cut and late: the cloud has confirmed that this machine is no more.
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
      LOG.info("machine {} reports unexpectedly", machine.id());
    }
    if (own && machine.sessions().givenUp(report.session(), report.sequence())) {
      return Optional.empty();
    }
    if (machine.state() == Machine.State.GONE) {
      return Optional.of(machine);
    }
    if (machine.sessions().stale(report.session(), report.sequence())) {
      if (own) {
        // The answer to a command has overtaken it. It tells nothing new, but that the machine
        // reports, and its worker takes the answer.
        machine.heard(now);
      }
      return Optional.of(machine);
    }
    boolean otherSession = machine.session().filter(report.session()::equals).isEmpty();
    boolean freshSession = machine.advance(report.session(), report.sequence(), own);
    if (own || !freshSession) {
      listens(machine, report, freshSession, now);
    }
    if (otherSession) {
      // A session begins with a lease of its own, whoever told of it. Counted from the last answer
      // in the session before, it would seem to be over while tasks that came by command run.
      machine.renewed(now);
    }
    machine.address(report.address());
    if (now.isPast(machine.heard(), timing.suspectAfter())) {
      // Out of reach, or hanging: what ended meanwhile would seem to have run until now.
      machine.placements().forEach(Placement::unwatched);
    }
    machine.fence().shows(report.token());
    machine.openRuns().fenced(report.token());
    if (own) {
      // Only these are answered, and so renew a lease: a machine that merely does what it is told
      // loses all its tasks when its lease is over.
      machine.heard(now);
      machine.openRuns().responseSettled();
    }
    if (freshSession) {
      LOG.info("machine {} begins session {}", machine.id(), report.session());
      fleet.loseAll(machine, now);
    }
    if (report.reclaimNotice().isPresent()) {
      notice(machine, report.reclaimNotice().get(), now);
    }
    reconcile(machine, report, now);
    if (machine.inDoubt() && own && fleet.nothingOlderLeft(machine, report.token())) {
      LOG.info("machine {} does not hear, but what older leaders ordered is over", machine.id());
      machine.hearing().deaf(Hearing.State.NOT_THE_TOKEN, now);
      fleet.settled(machine);
    }
    if (machine.inDoubt() && machine.fence().covers(report.token())) {
      // Until this report an older leader may have renewed its lease.
      machine.renewed(now);
      fleet.settled(machine);
    }
    switch (machine.state()) {
      case BOOTING -> {
        if (expected && !machine.listedAsUp()) {
          machine.booted(now);
        }
        machine.enter(Machine.State.ENROLLING);
      }
      case LAPSED -> {
        if (own) {
          // One that only answers commands is of no use: no session of it outlives its lease.
          fleet.up(machine);
        }
      }
      case UNCONFIRMED -> {
        if (!machine.inDoubt()) {
          // By command, most often: its first own report is on its way, unless it can't send any.
          machine.heard(now);
          fleet.up(machine);
        }
      }
      case ENROLLING, UP, RETURNING, GONE -> {}
    }
    return Optional.of(machine);
  }

  /** Whether the machine takes what it is told, as far as this report shows. */
  private void listens(Machine machine, Report report, boolean freshSession, Moment now) {
    if (machine.fence().covers(report.token())) {
      machine.hearing().showsToken();
    }
    Span lease = timing.leaseDuration();
    if (!freshSession) {
      machine.hearing().sessionLives(lease.plusClockDrift(), now);
    } else if (now.isPast(machine.renewed(), LEAST_WAIT)
        && !now.isPast(machine.renewed(), lease.minus(ON_ITS_WAY))) {
      // Had it taken the last answer, the session before would live on.
      LOG.info("machine {} does not hear", machine.id());
      machine.hearing().deaf(Hearing.State.NOT_THE_ANSWERS, now);
    }
  }

  private static void notice(Machine machine, Span left, Moment now) {
    Moment at = now.plus(left);
    if (machine.reclaimedAt() == null) {
      LOG.info("machine {} is taken back in {}", machine.id(), left);
    }
    machine.reclaimedAt(at);
  }

  private void reconcile(Machine machine, Report report, Moment now) {
    Room strayed = machine.leftovers().strayRoom();
    machine.leftovers().clear();
    List<Placement> missing = machine.placementsCopy();
    for (Report.ReportedTask piece : report.tasks()) {
      Placement placement = machine.placement(piece.task());
      if (placement != null && placement.attempt().equals(piece.attempt())) {
        missing.remove(placement);
        observe(placement, piece, now);
      } else {
        foreign(machine, piece, now);
      }
    }
    if (!strayed.equals(machine.leftovers().strayRoom())) {
      fleet.doubtChanged();
    }
    // A later attempt at its task is listed.
    missing.removeIf(placement -> placement.state() == Placement.State.OVER);
    for (Placement placement : missing) {
      boolean seen = placement.state() != Placement.State.ORDERED;
      boolean open = machine.runOpen(new Machine.Try(placement.task(), placement.attempt()));
      if (seen || (placement.halting() && !open)) {
        LOG.debug("task {} try {} is gone", placement.task(), placement.attempt());
        fleet.lose(placement, now);
      }
    }
  }

  private void observe(Placement placement, Report.ReportedTask piece, Moment now) {
    switch (piece.state()) {
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
            .leftovers()
            .uncleared(
                new Machine.Try(placement.task(), placement.attempt()),
                piece.cause() == Report.Cause.DONE);
        over(placement, piece.cause(), now);
      }
    }
  }

  private void over(Placement placement, Report.Cause cause, Moment now) {
    Job job = placement.job();
    Machine machine = placement.machine();
    int index = placement.task().index();
    LOG.debug("task {} try {} ended: {}", placement.task(), placement.attempt(), cause);
    switch (cause) {
      case DONE -> {
        job.complete(index, now);
        machine.succeeded();
        Moment since = placement.runningSince();
        boolean known = since != null && placement.watched();
        listener.completed(placement, known ? now.since(since) : null);
      }
      case ERROR -> {
        LOG.info("task {} failed on {}", placement.task(), machine.id());
        job.failedOn(machine.id(), now);
        machine.failed(job);
        job.pause(index, true, now);
      }
      case NO_ROOM -> {
        machine.blockedUntil(now.plus(Span.seconds(2)));
        job.pause(index, false, now);
      }
      case BUSY, UNKNOWN -> job.pause(index, false, now);
      case HALTED, OTHER -> {}
    }
    fleet.lose(placement, now);
  }

  /** A piece that no placement stands for: left by an earlier leader, or ended before. */
  private void foreign(Machine machine, Report.ReportedTask piece, Moment now) {
    Machine.Try attempt = new Machine.Try(piece.task(), piece.attempt());
    int index = piece.task().index();
    // What has ended says nothing new of a job that is over, which may be listed for long.
    Optional<Job> found =
        piece.ended() ? jobs.find(piece.task().job()) : jobs.findOrLoad(piece.task().job(), now);
    if (found.isEmpty() || index >= found.get().spec().tasks()) {
      if (piece.ended()) {
        machine.leftovers().uncleared(attempt, piece.cause() == Report.Cause.DONE);
      } else {
        // How much it takes, and of whose limit, nobody knows.
        machine.leftovers().stray(attempt, machine.type().room());
      }
      return;
    }
    Job job = found.get();
    if (piece.ended()) {
      boolean done = piece.cause() == Report.Cause.DONE;
      machine.leftovers().uncleared(attempt, done);
      if (done && !job.isDone(index)) {
        completeElsewhere(job, piece.task(), now);
      }
      return;
    }
    supersede(job, piece, now);
    if (!job.isFree(index)) {
      LOG.info("task {} try {} is on {} astray", piece.task(), piece.attempt(), machine.id());
      machine.leftovers().stray(attempt, job.spec().room());
      return;
    }
    Placement adopted =
        fleet.hold(job, piece.task(), piece.attempt(), machine, job.spec().guess(), now);
    observe(adopted, piece, now);
    if (!job.open()) {
      fleet.halt(adopted, Span.millis(0), Fleet.Why.WITHDRAWN);
    }
  }

  /**
   * Lets go of an earlier attempt that only a report from before this term shows. An older leader
   * ordered the later one after it was certain that the earlier one was over; the report was held
   * up, and taken at its word it would have the later attempt stopped as one too many.
   */
  private void supersede(Job job, Report.ReportedTask piece, Moment now) {
    if (job.isDone(piece.task().index()) || piece.attempt().token().compareTo(fleet.token()) >= 0) {
      return;
    }
    fleet
        .placementOf(piece.task())
        .filter(earlier -> !confirmed(earlier.machine()))
        .filter(earlier -> earlier.attempt().value() < piece.attempt().value())
        .ifPresent(
            earlier -> {
              LOG.info(
                  "task {} try {} is over, a later one is seen", earlier.task(), earlier.attempt());
              fleet.lose(earlier, now);
            });
  }

  /** Whether it has shown what is there now; one that is not registered has not either. */
  private static boolean confirmed(Machine machine) {
    return machine.state() == Machine.State.UP && !machine.inDoubt();
  }

  private void completeElsewhere(Job job, TaskId task, Moment now) {
    job.complete(task.index(), now);
    fleet
        .placementOf(task)
        .ifPresent(other -> fleet.halt(other, Span.millis(0), Fleet.Why.NEEDLESS));
  }
}
