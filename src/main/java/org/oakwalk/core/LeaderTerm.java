package org.oakwalk.core;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.oakwalk.core.capacity.Autoscaler;
import org.oakwalk.core.capacity.BootTracker;
import org.oakwalk.core.capacity.MachineTypeWriter;
import org.oakwalk.core.drain.DisruptionLimiter;
import org.oakwalk.core.drain.DrainController;
import org.oakwalk.core.drain.DrainPlanRegistry;
import org.oakwalk.core.drain.ReplicaMover;
import org.oakwalk.core.drain.StopGrants;
import org.oakwalk.core.fleet.CommandDispatcher;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineRegistry;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.headroom.HeadroomController;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.leadership.RelayExpiry;
import org.oakwalk.core.placement.JobTargets;
import org.oakwalk.core.placement.Placer;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.RunTimeEstimates;
import org.oakwalk.core.placement.SlowMachineDetector;
import org.oakwalk.core.planner.DeadlinePlanner;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.recovery.Recovery;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** State and activities of a leader under one fencing token; discarded when the token is lost. */
final class LeaderTerm implements Fleet.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  /** Minimum time between a placement round triggered by an event and the round before it. */
  private static final TimeSpan MIN_EVENT_ROUND_INTERVAL = TimeSpan.millis(100);

  private final Token token;
  private final Outbox outbox;
  private final StoreView view;
  private final Policy policy;
  private final JobRegistry jobs;
  private final RelayExpiry relayExpiry;
  private final Fleet fleet;
  private final CommandDispatcher dispatcher;
  private final MachineRegistry machineRegistry;
  private final ResultWriter resultWriter;
  private final Recovery recovery;
  private final RunTimeEstimates runTimes = new RunTimeEstimates();
  private final SlowMachineDetector slowMachineDetector = new SlowMachineDetector(runTimes);
  private final Placer placer;
  private final Autoscaler autoscaler;
  private final DisruptionLimiter disruptionLimiter;
  private final ReplicaMover replicaMover;
  private final DrainController drainController;
  private final MachineTypeWriter machineTypeWriter;
  private final CapacityProducts products;
  private final DeadlinePlanner planner;
  private boolean roundDue = true;
  private MonotonicTime nextRegularRound;
  private MonotonicTime lastRound = new MonotonicTime(Long.MIN_VALUE / 2);
  private Map<String, MachineType> machineTypes = Map.of();
  private boolean hasPlaced;
  private Optional<MonotonicTime> recoveryCompletedAt = Optional.empty();
  private boolean recoveryLogged;
  private final MonotonicTime termStart;
  private MonotonicTime currentTime;

  /** The time of day of the last tick if starts may be ordered; empty otherwise. */
  private Optional<WallTime> placementWallTime = Optional.empty();

  LeaderTerm(
      Token token,
      Settings settings,
      Policy policy,
      Outbox outbox,
      StoreView view,
      TimeSpan graceLimit,
      Consumer<Token> onHigherToken,
      MonotonicTime now) {
    this.token = token;
    this.outbox = outbox;
    this.view = view;
    this.policy = policy;
    this.termStart = now;
    this.currentTime = now;
    this.nextRegularRound = now;
    Guard guard = new Guard(StoreKeys.LEADER, new Revision(token.value()));
    TimeSpan suspectAfter = settings.workers().suspectAfter();
    this.jobs = new JobRegistry(view, token, now);
    this.relayExpiry = new RelayExpiry(outbox, view, guard, token, settings.workers());
    this.fleet = new Fleet(token, jobs, view, relayExpiry, settings.workers(), this);
    this.dispatcher =
        new CommandDispatcher(
            outbox,
            fleet,
            suspectAfter,
            report -> {
              if (reportsHigherToken(report)) {
                onHigherToken.accept(report.token());
              } else {
                fleet.handleReport(report, false, currentTime);
              }
            });
    this.machineRegistry = new MachineRegistry(outbox, fleet, guard, settings.state());
    this.resultWriter = new ResultWriter(outbox, jobs, view, guard, settings.state());
    this.recovery =
        new Recovery(
            outbox,
            fleet,
            jobs,
            resultWriter,
            machineRegistry,
            peersPossiblyInGrace(settings, view, graceLimit, now),
            graceLimit,
            now);
    this.disruptionLimiter =
        new DisruptionLimiter(
            policy.drains().budgetsFor(settings.teams().keySet()),
            new StopGrants(outbox, guard, view.recentStops(), view::recentStopsRevision),
            fleet,
            jobs,
            suspectAfter);
    Quota quota = new Quota(settings.teams(), fleet);
    HeadroomController headroom =
        new HeadroomController(fleet, jobs, quota, settings, disruptionLimiter::allows);
    this.planner =
        new DeadlinePlanner(
            fleet, jobs, settings, policy.scoring().minTimeLeft(), headroom::reservedSpecs);
    this.replicaMover =
        new ReplicaMover(fleet, quota, disruptionLimiter, outbox, suspectAfter, headroom);
    this.products =
        new CapacityProducts(
            policy.product(),
            view,
            outbox,
            guard,
            settings,
            headroom,
            planner,
            new CapacityProducts.ProductContext(
                fleet,
                jobs,
                quota,
                disruptionLimiter,
                runTimes,
                suspectAfter,
                headroom,
                this::reserveForGang));
    this.placer =
        new Placer(
            fleet,
            jobs,
            policy,
            new JobTargets(settings.objectives(), planner),
            quota,
            runTimes,
            suspectAfter,
            disruptionLimiter::allows,
            headroom,
            products);
    this.machineTypeWriter = new MachineTypeWriter(outbox, view, guard, settings.state());
    this.autoscaler =
        new Autoscaler(
            outbox,
            fleet,
            jobs,
            machineRegistry,
            policy.capacity(),
            settings,
            runTimes,
            planner,
            suspectAfter,
            sort -> isExcludedByDrain(view, sort),
            spec -> quota.placesLeft(spec.team(), spec.resources()));
    autoscaler.setReservedSpecs(headroom::reservedSpecs);
    this.drainController =
        new DrainController(
            fleet,
            jobs,
            view,
            autoscaler,
            new DrainPlanRegistry(outbox, view, guard, fleet, policy.drains().plans()),
            disruptionLimiter,
            replicaMover);
  }

  private static boolean isExcludedByDrain(StoreView view, BootTracker.RentalPool pool) {
    return view.drainPlans().all().stream()
        .anyMatch(drain -> drain.plan().forbidsRenting(pool.zone(), pool.type(), pool.spot()));
  }

  /**
   * Peers that may still answer workers under an older token: those whose leader key was seen to
   * disappear within the maximum lease grace, or all peers if this node has not followed the key
   * for that long.
   */
  private static Set<NodeId> peersPossiblyInGrace(
      Settings settings, StoreView view, TimeSpan graceLimit, MonotonicTime now) {
    Set<NodeId> peers = new HashSet<>(settings.peers());
    view.recentLeaders(graceLimit.plusClockDrift(), now).ifPresent(peers::retainAll);
    return peers;
  }

  private void reserveForGang(Machine machine, Job job) {
    placer.reserveMachine(machine, job);
  }

  /** The fencing token of this term. */
  Token token() {
    return token;
  }

  /** Whether a worker reports a higher token than this leader has sent to it. */
  boolean reportsHigherToken(Report report) {
    return fleet.showsUnissuedToken(report);
  }

  /** Handles a job that was stored, finished or withdrawn. */
  void jobChanged(KnownJob job, MonotonicTime now) {
    Optional<Job> withdrawn = jobs.applyStoredChange(job, now);
    withdrawn.ifPresent(this::haltAll);
    if (job.phase().isFinal()) {
      jobs.find(job.id()).ifPresent(resultWriter::jobEnded);
    }
    roundDue = true;
  }

  private void haltAll(Job job) {
    List<Placement> placements = fleet.placementsOf(job);
    placements.forEach(
        placement -> fleet.halt(placement, TimeSpan.millis(0), Fleet.StopReason.WITHDRAWN));
    dispatcher.cancelStarts(placements);
  }

  /** Whether the state left by earlier leaders has been read, so that reports can be processed. */
  boolean acceptsReports() {
    return recovery.acceptsReports();
  }

  /** Records an answer to a worker, which may come before its report can be processed. */
  void workerAnswered(MachineId machine, MonotonicTime now) {
    recovery.leaseRenewedBeforeReports(now);
    if (!recovery.complete()) {
      dispatcher.responseSent(machine, now);
    }
  }

  /** Orders for a worker that reported; empty if its report can't be used yet. */
  Optional<Response.Orders> handleReport(Report report, boolean forwarded, MonotonicTime now) {
    currentTime = now;
    Optional<Machine> machine = fleet.handleReport(report, true, now);
    if (machine.isEmpty() || fleet.mustNotRenewLease(machine.get(), now)) {
      return Optional.empty();
    }
    machine.get().reportForwarded(forwarded);
    workerAnswered(report.machine(), now);
    preemptBeforeReclaim(machine.get(), now);
    if (machine.get().commandStartLimitReached()) {
      // A task placed after this answer would wait for the worker's next report.
      placementWallTime.ifPresent(wall -> round(now, wall));
    }
    List<Order> orders = fleet.respond(machine.get(), now);
    return Optional.of(new Response.Orders(fleet.tokenOf(report.machine()), orders));
  }

  /** Halts tasks that will not finish before the cloud reclaims the machine, to place them anew. */
  private void preemptBeforeReclaim(Machine machine, MonotonicTime now) {
    if (machine.reclaimedAt() == null) {
      return;
    }
    double secondsLeft = machine.reclaimedAt().since(now).asSeconds();
    for (Placement placement : machine.placements()) {
      TimeSpan expected = runTimes.expected(placement.job().spec());
      double runSeconds =
          placement.runningSince() == null ? 0 : now.since(placement.runningSince()).asSeconds();
      boolean endsInTime =
          !placement.job().spec().service() && expected.asSeconds() - runSeconds < secondsLeft;
      if (!placement.halting() && !endsInTime) {
        fleet.halt(
            placement, placement.job().spec().checkpointDuration(), Fleet.StopReason.RECLAIMED);
      }
    }
  }

  /** Whether machines exist but almost none of them reaches this node. */
  boolean isCutOffFromWorkers(boolean followersForward, MonotonicTime now) {
    return recovery.complete() && autoscaler.failureDetector().isCutOff(followersForward, now);
  }

  /** Records a stall of this process, so that machines silent until now do not count as lost. */
  void processStalled(MonotonicTime now) {
    autoscaler.failureDetector().processStalled(now);
  }

  /** Records that a peer no longer acts under any older token. */
  void peerRelinquished(NodeId peer, MonotonicTime now) {
    recovery.peerRelinquished(peer, now);
  }

  /**
   * Runs the periodic work of a leader.
   *
   * @param leaseCertain whether this node may still act under its token; if not, it places, rents
   *     and returns nothing and stores no results
   */
  void tick(
      Map<String, MachineType> currentMachineTypes,
      boolean leaseCertain,
      MonotonicTime now,
      WallTime wall) {
    currentTime = now;
    placementWallTime = Optional.empty();
    logRecovery(now);
    machineTypes = currentMachineTypes;
    fleet.setMachineTypes(machineTypes);
    boolean wasRecovering = !recovery.complete();
    recovery.tick(machineTypes, now);
    if (wasRecovering && recovery.complete()) {
      // Tasks of earlier leaders wait for the end of recovery, not for the next regular round.
      nextRegularRound = now;
      recoveryCompletedAt = Optional.of(now);
    }
    if (!recovery.acceptsReports()) {
      return;
    }
    fleet.expireLeases(now, recovery.lastUnseenRenewal());
    dispatcher.pushTokens(now);
    dispatcher.probeSilentMachines(now);
    if (leaseCertain) {
      relayExpiry.tick(now);
      machineRegistry.tick(now);
      resultWriter.tick(now);
      machineTypeWriter.tick(machineTypes, now);
      autoscaler.tick(machineTypes, recovery.complete(), now, wall);
      drainController.tick(recovery.complete(), now, wall);
      products.tick(machineTypes, recovery.complete(), now, wall);
      if (products.allowsPlacement()) {
        placementWallTime = Optional.of(wall);
        round(now, wall);
      }
    }
    dispatcher.flush(now);
    jobs.removeEnded().forEach(job -> runTimes.forget(job.id()));
  }

  /**
   * Logs once how long recovery took until tasks of earlier leaders were placed again. A round
   * can't read a clock, so the duration of the first one is measured by the time of the next tick.
   */
  private void logRecovery(MonotonicTime now) {
    if (recoveryCompletedAt.isPresent() && !recoveryLogged) {
      recoveryLogged = true;
      LOG.info("{}; first round {}", recovery.summary(), now.since(recoveryCompletedAt.get()));
    }
  }

  private void round(MonotonicTime now, WallTime wall) {
    boolean regular = !nextRegularRound.isAfter(now);
    if (!regular && !(roundDue && now.isPast(lastRound, MIN_EVENT_ROUND_INTERVAL))) {
      return;
    }
    if (regular) {
      nextRegularRound = now.plus(policy.roundInterval());
      slowMachineDetector.checkRunning(fleet.machines(), now);
    }
    roundDue = false;
    lastRound = now;
    int placed = placer.runRound(recovery.complete(), regular, now, wall);
    roundDue |= placer.roundCutShort();
    if (placed > 0) {
      LOG.debug("{} tasks placed, store copy at revision {}", placed, view.position());
    }
    if (placed > 0 && !hasPlaced) {
      hasPlaced = true;
      outbox.recordDuration(Effect.DurationMetric.FAILOVER, now.since(termStart));
      LOG.info(
          "first placement {} after gaining leadership, token {}", now.since(termStart), token);
    }
  }

  /** Task counts of the jobs in progress. */
  Map<JobId, PeerMessage.TaskCounts> counts() {
    Map<JobId, PeerMessage.TaskCounts> counts = new HashMap<>();
    for (Job job : jobs.inProgress()) {
      counts.put(job.id(), new PeerMessage.TaskCounts(job.doneCount(), job.runningCount()));
    }
    return counts;
  }

  /** Marks jobs that an earlier leader found to fail on every machine. */
  void markSuspects(Set<JobId> ids) {
    ids.forEach(id -> jobs.find(id).ifPresent(Job::markSuspect));
  }

  /** Open jobs that fail on every machine. */
  Set<JobId> suspects() {
    return jobs.all().stream()
        .filter(job -> job.isOpen() && job.isSuspect())
        .map(Job::id)
        .collect(Collectors.toSet());
  }

  /** A one-line summary of jobs and machines for the log. */
  String summary() {
    int pending = 0;
    int active = 0;
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        pending += job.pendingCount();
        active += job.assignedCount();
      }
    }
    Map<Machine.State, Integer> states = new EnumMap<>(Machine.State.class);
    int spot = 0;
    for (Machine machine : fleet.machines()) {
      states.merge(machine.state(), 1, Integer::sum);
      spot += machine.spot() ? 1 : 0;
    }
    return "token "
        + token
        + " jobs "
        + jobs.all().size()
        + " pending "
        + pending
        + " active "
        + active
        + " machines "
        + states
        + " spot "
        + spot
        + "; "
        + autoscaler.summary()
        + products.summary();
  }

  @Override
  public void completed(Placement placement, TimeSpan runTime) {
    if (runTime != null) {
      slowMachineDetector.completed(placement, runTime);
      runTimes.record(placement.job(), runTime);
      if (placement.attempt().token().equals(token)) {
        // A task started by an earlier leader has run for longer than this leader has observed.
        planner.taskCompleted(placement.job(), runTime);
      }
    }
  }

  @Override
  public void placed(Job job, MonotonicTime now) {
    outbox.recordDuration(Effect.DurationMetric.QUEUE_WAIT, now.since(job.waitingSince()));
  }

  @Override
  public void stopRequested(Placement placement, Fleet.StopReason reason) {
    disruptionLimiter.recordStop(placement, reason);
  }

  @Override
  public void placementEnded(Placement placement, MonotonicTime now) {
    replicaMover.placementEnded(placement, now);
  }

  @Override
  public void capacityChanged() {
    roundDue = true;
  }
}
