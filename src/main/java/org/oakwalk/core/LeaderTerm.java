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
import org.oakwalk.core.capacity.Boots;
import org.oakwalk.core.capacity.Capacity;
import org.oakwalk.core.capacity.CatalogueKeeper;
import org.oakwalk.core.drain.Drainer;
import org.oakwalk.core.drain.Gate;
import org.oakwalk.core.drain.Mover;
import org.oakwalk.core.drain.PlanKeeper;
import org.oakwalk.core.drain.StopLedger;
import org.oakwalk.core.fleet.CommandDispatcher;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.Registry;
import org.oakwalk.core.headroom.Headroom;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.ResultWriter;
import org.oakwalk.core.leadership.RelayEnds;
import org.oakwalk.core.placement.Pace;
import org.oakwalk.core.placement.Placer;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.RunTimes;
import org.oakwalk.core.placement.Targets;
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

/** All that a leader knows and does under one token; it ends with the token. */
final class LeaderTerm implements Fleet.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
  private static final Span EVENT_ROUND_SPACING = Span.millis(100);

  private final Token token;
  private final Outbox outbox;
  private final StoreView view;
  private final Policy policy;
  private final JobBook jobs;
  private final RelayEnds relays;
  private final Fleet fleet;
  private final CommandDispatcher dispatcher;
  private final Registry registry;
  private final ResultWriter results;
  private final Recovery recovery;
  private final RunTimes runTimes = new RunTimes();
  private final Pace pace = new Pace(runTimes);
  private final Placer placer;
  private final Capacity capacity;
  private final Gate gate;
  private final Mover mover;
  private final Drainer drainer;
  private final CatalogueKeeper keeper;
  private final Products products;
  private final DeadlinePlanner planner;
  private boolean roundDue = true;
  private Moment nextRegular;
  private Moment lastRound = new Moment(Long.MIN_VALUE / 2);
  private Map<String, MachineType> types = Map.of();
  private boolean placedOnce;
  private Optional<Moment> completed = Optional.empty();
  private boolean recoveryTold;
  private final Moment rose;
  private Moment clock;

  /** When starts may be ordered, the time of day of the last tick; else nothing. */
  private Optional<WallTime> placing = Optional.empty();

  LeaderTerm(
      Token token,
      Settings settings,
      Policy policy,
      Outbox outbox,
      StoreView view,
      Span graceLimit,
      Consumer<Token> higherToken,
      Moment now) {
    this.token = token;
    this.outbox = outbox;
    this.view = view;
    this.policy = policy;
    this.rose = now;
    this.clock = now;
    this.nextRegular = now;
    Guard guard = new Guard(StoreKeys.LEADER, new Revision(token.value()));
    Span suspectAfter = settings.workers().suspectAfter();
    this.jobs = new JobBook(view, token, now);
    this.relays = new RelayEnds(outbox, view, guard, token, settings.workers());
    this.fleet = new Fleet(token, jobs, view, relays, settings.workers(), this);
    this.dispatcher =
        new CommandDispatcher(
            outbox,
            fleet,
            suspectAfter,
            report -> {
              if (above(report)) {
                higherToken.accept(report.token());
              } else {
                fleet.report(report, false, clock);
              }
            });
    this.registry = new Registry(outbox, fleet, guard, settings.state());
    this.results = new ResultWriter(outbox, jobs, view, guard, settings.state());
    this.recovery =
        new Recovery(
            outbox,
            fleet,
            jobs,
            results,
            registry,
            mayHoldGrace(settings, view, graceLimit, now),
            graceLimit,
            now);
    this.gate =
        new Gate(
            policy.drains().budgetsOf(settings.teams().keySet()),
            new StopLedger(outbox, guard, view.recentStops(), view::recentStopsRevision),
            fleet,
            jobs,
            suspectAfter);
    Quota quota = new Quota(settings.teams(), fleet);
    Headroom headroom = new Headroom(fleet, jobs, quota, settings, gate::allows);
    this.planner =
        new DeadlinePlanner(fleet, jobs, settings, policy.scoring().floor(), headroom::kept);
    this.mover = new Mover(fleet, quota, gate, outbox, suspectAfter, headroom);
    this.products =
        new Products(
            policy.product(),
            view,
            outbox,
            guard,
            settings,
            headroom,
            planner,
            new Products.Ground(
                fleet, jobs, quota, gate, runTimes, suspectAfter, headroom, this::keepForGang));
    this.placer =
        new Placer(
            fleet,
            jobs,
            policy,
            new Targets(settings.objectives(), planner),
            quota,
            runTimes,
            suspectAfter,
            gate::allows,
            headroom,
            products);
    this.keeper = new CatalogueKeeper(outbox, view, guard, settings.state());
    this.capacity =
        new Capacity(
            outbox,
            fleet,
            jobs,
            registry,
            policy.capacity(),
            settings,
            runTimes,
            planner,
            suspectAfter,
            sort -> bars(view, sort),
            spec -> quota.placesLeft(spec.team(), spec.room()));
    capacity.keeps(headroom::kept);
    this.drainer =
        new Drainer(
            fleet,
            jobs,
            view,
            capacity,
            new PlanKeeper(outbox, view, guard, fleet, policy.drains().plans()),
            gate,
            mover);
  }

  private static boolean bars(StoreView view, Boots.Sort sort) {
    return view.drainPlans().all().stream()
        .anyMatch(drain -> drain.plan().bars(sort.zone(), sort.type(), sort.spot()));
  }

  /**
   * Peers that may still answer workers under an older token: those whose key was seen to end
   * within the time for which a leader may be in its lease grace, or all if this node has not
   * watched for so long.
   */
  private static Set<NodeId> mayHoldGrace(
      Settings settings, StoreView view, Span graceLimit, Moment now) {
    Set<NodeId> peers = new HashSet<>(settings.peers());
    view.recentLeaders(graceLimit.surelyPassed(), now).ifPresent(peers::retainAll);
    return peers;
  }

  private void keepForGang(Machine machine, Job job) {
    placer.keep(machine, job);
  }

  Token token() {
    return token;
  }

  /** Whether a worker shows a higher token than this leader has told it. */
  boolean above(Report report) {
    return fleet.above(report);
  }

  /** A job was stored, finished or withdrawn. */
  void jobChanged(KnownJob known, Moment now) {
    Optional<Job> withdrawn = jobs.changed(known, now);
    withdrawn.ifPresent(this::haltAll);
    if (known.phase().isFinal()) {
      jobs.find(known.id()).ifPresent(results::ended);
    }
    roundDue = true;
  }

  private void haltAll(Job job) {
    List<Placement> placements = fleet.placementsOf(job);
    placements.forEach(placement -> fleet.halt(placement, Span.millis(0), Fleet.Why.WITHDRAWN));
    dispatcher.recall(placements);
  }

  /** Whether what older leaders left has been read, so that reports can be made use of. */
  boolean readsReports() {
    return recovery.readsReports();
  }

  /** A worker was answered before its report could be made use of. */
  void answered(MachineId machine, Moment now) {
    recovery.renewedUnread(now);
    if (!recovery.complete()) {
      dispatcher.answered(machine, now);
    }
  }

  /** Orders for a worker that reports, or nothing if the report can't be used yet. */
  Optional<Response.Orders> report(Report report, boolean carried, Moment now) {
    clock = now;
    Optional<Machine> machine = fleet.report(report, true, now);
    if (machine.isEmpty() || fleet.mustLapse(machine.get(), now)) {
      return Optional.empty();
    }
    machine.get().carried(carried);
    answered(report.machine(), now);
    evacuate(machine.get(), now);
    if (machine.get().startsByAnswersOnly()) {
      // What is placed after this answer would wait for the next one.
      placing.ifPresent(wall -> round(now, wall));
    }
    List<Order> orders = fleet.respond(machine.get(), now);
    return Optional.of(new Response.Orders(fleet.tokenOf(report.machine()), orders));
  }

  /** Stops what will not end before the cloud takes the machine, so that it can go elsewhere. */
  private void evacuate(Machine machine, Moment now) {
    if (machine.reclaimedAt() == null) {
      return;
    }
    double left = machine.reclaimedAt().since(now).asSeconds();
    for (Placement placement : machine.placements()) {
      Span expected = runTimes.expected(placement.job().spec());
      double ran =
          placement.runningSince() == null ? 0 : now.since(placement.runningSince()).asSeconds();
      boolean endsInTime = !placement.job().spec().service() && expected.asSeconds() - ran < left;
      if (!placement.halting() && !endsInTime) {
        fleet.halt(placement, placement.job().spec().saveTime(), Fleet.Why.RECLAIMED);
      }
    }
  }

  /** Whether hardly any machine reaches this node, though there are some. */
  boolean blind(boolean othersCarry, Moment now) {
    return recovery.complete() && capacity.health().blind(othersCarry, now);
  }

  /** This process stood still until now, so that nobody's silence tells anything. */
  void stoodStill(Moment now) {
    capacity.health().stoodStill(now);
  }

  void peerSettled(NodeId peer, Moment now) {
    recovery.settled(peer, now);
  }

  /** Whether starts may be ordered: not while the token is in doubt for long. */
  void tick(Map<String, MachineType> known, boolean active, Moment now, WallTime wall) {
    clock = now;
    placing = Optional.empty();
    tellRecovery(now);
    types = known;
    fleet.types(types);
    boolean waited = !recovery.complete();
    recovery.tick(types, now);
    if (waited && recovery.complete()) {
      // Work of older leaders has waited for this moment, not for the next regular round.
      nextRegular = now;
      completed = Optional.of(now);
    }
    if (!recovery.readsReports()) {
      return;
    }
    fleet.lapse(now, recovery.lastForeignRenewal());
    dispatcher.push(now);
    dispatcher.ask(now);
    if (active) {
      relays.tick(now);
      registry.tick(now);
      results.tick(now);
      keeper.tick(types, now);
      capacity.tick(types, recovery.complete(), now, wall);
      drainer.tick(recovery.complete(), now, wall);
      products.tick(types, recovery.complete(), now, wall);
      if (products.known()) {
        placing = Optional.of(wall);
        round(now, wall);
      }
    }
    dispatcher.flush(now);
    jobs.sweep().forEach(job -> runTimes.forget(job.id()));
  }

  /**
   * Tells once how long it took until work of older leaders was placed again. A round has no clock;
   * how long the first one took shows by the time of the next tick.
   */
  private void tellRecovery(Moment now) {
    if (completed.isPresent() && !recoveryTold) {
      recoveryTold = true;
      LOG.info("{}; first round {}", recovery.took(), now.since(completed.get()));
    }
  }

  private void round(Moment now, WallTime wall) {
    boolean regular = !nextRegular.isAfter(now);
    if (!regular && !(roundDue && now.past(lastRound, EVENT_ROUND_SPACING))) {
      return;
    }
    if (regular) {
      nextRegular = now.plus(policy.round());
      pace.survey(fleet.machines(), now);
    }
    roundDue = false;
    lastRound = now;
    int placed = placer.round(recovery.complete(), regular, now, wall);
    if (placed > 0) {
      LOG.debug("{} tasks placed, copy of the store at revision {}", placed, view.position());
    }
    if (placed > 0 && !placedOnce) {
      placedOnce = true;
      outbox.measured(Effect.Measure.FAILOVER, now.since(rose));
      LOG.info("first placement {} after the rise, token {}", now.since(rose), token);
    }
  }

  /** How far the open jobs are. */
  Map<JobId, PeerMessage.Counts> counts() {
    Map<JobId, PeerMessage.Counts> counts = new HashMap<>();
    for (Job job : jobs.begun()) {
      counts.put(job.id(), new PeerMessage.Counts(job.doneCount(), job.runningCount()));
    }
    return counts;
  }

  /** Jobs that an earlier leader found to fail everywhere. */
  void suspected(Set<JobId> ids) {
    ids.forEach(id -> jobs.find(id).ifPresent(Job::suspected));
  }

  /** Open jobs that fail everywhere. */
  Set<JobId> suspects() {
    return jobs.all().stream()
        .filter(job -> job.open() && job.suspect())
        .map(Job::id)
        .collect(Collectors.toSet());
  }

  /** One line on the state of things, for the log. */
  String summary() {
    int pending = 0;
    int active = 0;
    for (Job job : jobs.all()) {
      if (job.open()) {
        pending += job.pendingCount();
        active += job.activeCount();
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
        + capacity.summary()
        + products.summary();
  }

  @Override
  public void completed(Placement placement, Span ran) {
    if (ran != null) {
      pace.completed(placement, ran);
      runTimes.learn(placement.job(), ran);
      if (placement.attempt().token().equals(token)) {
        // What an older leader started has run for longer than this one has seen.
        planner.taskCompleted(placement.job(), ran);
      }
    }
  }

  @Override
  public void placed(Job job, Moment now) {
    outbox.measured(Effect.Measure.QUEUE_WAIT, now.since(job.waitingSince()));
  }

  @Override
  public void stopping(Placement placement, Fleet.Why why) {
    gate.stopped(placement, why);
  }

  @Override
  public void left(Placement placement, Moment now) {
    mover.left(placement, now);
  }

  @Override
  public void roomChanged() {
    roundDue = true;
  }
}
