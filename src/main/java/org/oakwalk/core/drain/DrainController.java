package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.capacity.Autoscaler;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the drain plans in force, a few machines at a time: each machine is selected, replaced
 * in advance, emptied and returned. The progress of a plan is not stored; it follows from the
 * machines that remain.
 */
public final class DrainController {
  private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);
  private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(400);
  private static final TimeSpan PROGRESS_LOG_INTERVAL = TimeSpan.seconds(10);
  private static final String DRAINED_MESSAGE = "all selected machines are drained";

  /**
   * Of the machines being drained, at most one in this many is selected for its replicas while
   * others without replicas remain.
   */
  private static final int REPLICA_HOLDER_DIVISOR = 2;

  /** Pause in selecting machines after a replacement did not come up. */
  private static final TimeSpan NO_REPLACEMENT_BACKOFF = TimeSpan.seconds(60);

  /** Progress of a plan since the start of this leader's term. */
  private static final class DrainProgress {
    MonotonicTime startedAt;
    int initialRemaining;
    MonotonicTime nextSelection = new MonotonicTime(Long.MIN_VALUE / 2);
    String lastLogged = "";
    String waitReason = "";
  }

  /** A plan in force and the machines that it selects at present. */
  private static final class TrackedDrain {
    final StoredValue.DrainRecord record;
    final DrainProgress progress;
    final List<Machine> machines = new ArrayList<>();

    /** Selected machines that are being drained; unfit machines do not count. */
    int inProgress;

    TrackedDrain(StoredValue.DrainRecord record, DrainProgress progress) {
      this.record = record;
      this.progress = progress;
    }

    boolean isRunning() {
      return record.plan().status() == DrainPlan.Status.RUNNING;
    }

    int maxInProgress() {
      return record.plan().maxInProgress(record.selectedMachines());
    }

    boolean isAtLimit() {
      return inProgress >= maxInProgress();
    }
  }

  private final Fleet fleet;
  private final Autoscaler autoscaler;
  private final DrainPlanRegistry planRegistry;
  private final DisruptionLimiter disruptionLimiter;
  private final ReplicaMover replicaMover;
  private final Evictor evictor;
  private final DrainSafetyCheck safetyCheck;
  private final Map<String, DrainProgress> progressByPlan = new HashMap<>();
  private final Map<Machine, MonotonicTime> waitingSince = new HashMap<>();
  private MonotonicTime nextTick = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextProgressLog = new MonotonicTime(Long.MIN_VALUE / 2);

  public DrainController(
      Fleet fleet,
      JobRegistry jobs,
      StoreView view,
      Autoscaler autoscaler,
      DrainPlanRegistry planRegistry,
      DisruptionLimiter disruptionLimiter,
      ReplicaMover replicaMover) {
    this.fleet = fleet;
    this.autoscaler = autoscaler;
    this.planRegistry = planRegistry;
    this.disruptionLimiter = disruptionLimiter;
    this.replicaMover = replicaMover;
    this.evictor = new Evictor(fleet, disruptionLimiter, replicaMover);
    this.safetyCheck = new DrainSafetyCheck(fleet, view, autoscaler, jobs, replicaMover);
  }

  /** Runs the steps that are due; does nothing if neither a plan nor a budget is declared. */
  public void tick(boolean fleetKnown, MonotonicTime now, WallTime wall) {
    if (nextTick.isAfter(now) || planRegistry.isEmpty() && !disruptionLimiter.hasBudgets()) {
      return;
    }
    nextTick = now.plus(TICK_INTERVAL);
    disruptionLimiter.updateTallies(fleetKnown, now, wall);
    replicaMover.tick(now);
    if (!fleetKnown) {
      return;
    }
    if (autoscaler.isListComplete()) {
      planRegistry.tick(now);
    }
    waitingSince.keySet().removeIf(machine -> machine.state() != Machine.State.UP);
    Collection<StoredValue.DrainRecord> plans = planRegistry.plans();
    List<TrackedDrain> drains = new ArrayList<>();
    for (StoredValue.DrainRecord record : plans) {
      DrainProgress progress =
          progressByPlan.computeIfAbsent(record.plan().name(), name -> new DrainProgress());
      drains.add(new TrackedDrain(record, progress));
    }
    Map<Machine, List<TrackedDrain>> plansByMachine = assignMachines(drains);
    Optional<String> pauseReason =
        safetyCheck.pauseReason(
            drains.stream()
                .filter(TrackedDrain::isRunning)
                .map(drain -> drain.record.plan())
                .toList(),
            now);
    for (Machine machine : fleet.machines()) {
      if (machine.state() == Machine.State.RETURNING) {
        continue;
      }
      boolean selected = plansByMachine.containsKey(machine);
      machine.removalPlanned(selected);
      boolean draining = isDraining(machine);
      if (draining
          && (!selected || pauseReason.isPresent())
          && machine.schedulingMode(SchedulingMode.ACTIVE)) {
        // The machine is no longer drained, so it returns to normal use.
        LOG.info("machine {} is no longer drained and accepts tasks again", machine.id());
        waitingSince.remove(machine);
      }
    }
    for (TrackedDrain drain : drains) {
      if (drain.isRunning()) {
        advance(drain, plansByMachine, pauseReason, now);
      }
    }
    if (!nextProgressLog.isAfter(now)) {
      nextProgressLog = now.plus(PROGRESS_LOG_INTERVAL);
      drains.forEach(drain -> logProgress(drain, now));
    }
  }

  /** Returns the running plans that select each machine. */
  private Map<Machine, List<TrackedDrain>> assignMachines(List<TrackedDrain> drains) {
    Map<Machine, List<TrackedDrain>> plansByMachine = new LinkedHashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.state() != Machine.State.UP && machine.state() != Machine.State.LEASE_EXPIRED) {
        continue;
      }
      for (TrackedDrain drain : drains) {
        if (drain.isRunning()
            && drain.record.plan().selects(machine, drain.record.newestMachine())) {
          plansByMachine.computeIfAbsent(machine, m -> new ArrayList<>(1)).add(drain);
          drain.machines.add(machine);
          drain.inProgress += isDraining(machine) ? 1 : 0;
        }
      }
    }
    return plansByMachine;
  }

  /** Advances one running plan. */
  private void advance(
      TrackedDrain drain,
      Map<Machine, List<TrackedDrain>> plansByMachine,
      Optional<String> pauseReason,
      MonotonicTime now) {
    DrainPlan plan = drain.record.plan();
    DrainProgress progress = drain.progress;
    if (progress.startedAt == null) {
      progress.startedAt = now;
      progress.initialRemaining = drain.machines.size();
    }
    progress.waitReason = pauseReason.orElse("");
    if (pauseReason.isPresent()) {
      return;
    }
    selectMachines(drain, plansByMachine, now);
    cordonSelected(drain, now);
    for (Machine machine : drain.machines) {
      if (machine.schedulingMode() == SchedulingMode.CORDONED) {
        // Of several plans the longest timeout applies.
        TimeSpan timeout =
            plansByMachine.get(machine).stream()
                .map(other -> other.record.plan().drainTimeout())
                .max(TimeSpan::compareTo)
                .orElse(plan.drainTimeout());
        boolean timedOut = now.isPast(waitingSince.computeIfAbsent(machine, m -> now), timeout);
        evictor
            .evictTasks(machine, timedOut, now)
            .ifPresent(reason -> progress.waitReason = reason);
      }
    }
  }

  /** Selects the next machines to drain, up to the plan's limit. */
  private void selectMachines(
      TrackedDrain drain, Map<Machine, List<TrackedDrain>> plansByMachine, MonotonicTime now) {
    if (drain.progress.nextSelection.isAfter(now) || drain.isAtLimit()) {
      return;
    }
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : drain.machines) {
      if (machine.state() == Machine.State.UP
          && (machine.schedulingMode() == SchedulingMode.ACTIVE
              || machine.schedulingMode() == SchedulingMode.RETIRING)) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparing(
                (Machine machine) -> machine.schedulingMode() == SchedulingMode.RETIRING ? 0 : 1)
            .thenComparingInt(machine -> machine.placements().size())
            .thenComparing(Machine::id));
    // Replicas are moved one after another, so some of the machines that hold them are always
    // included: left to the end, they would delay the drain.
    int drainingHolders = 0;
    for (Machine machine : drain.machines) {
      drainingHolders += isDraining(machine) && machine.holdsReplica() ? 1 : 0;
    }
    int holdersToAdd =
        Math.max(2, drain.maxInProgress() / REPLICA_HOLDER_DIVISOR) - drainingHolders;
    List<Machine> first = new ArrayList<>();
    for (Machine machine : candidates) {
      if (machine.holdsReplica() && first.size() < holdersToAdd) {
        first.add(machine);
      }
    }
    candidates.removeAll(first);
    candidates.addAll(0, first);
    int selectedCount = 0;
    for (Machine machine : candidates) {
      if (drain.isAtLimit()) {
        break;
      }
      // Every other plan that selects the machine must be below its limit as well.
      List<TrackedDrain> all = plansByMachine.get(machine);
      if (all.stream().noneMatch(TrackedDrain::isAtLimit)
          && machine.schedulingMode(SchedulingMode.DRAIN_PENDING)) {
        waitingSince.put(machine, now);
        all.forEach(other -> other.inProgress++);
        selectedCount++;
      }
    }
    if (selectedCount > 0) {
      drain.progress.nextSelection = now.plus(drain.record.plan().selectionInterval());
      LOG.info("drain {}: selected {} machines", drain.record.plan().name(), selectedCount);
    }
  }

  private static boolean isDraining(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.DRAIN_PENDING
        || machine.schedulingMode() == SchedulingMode.CORDONED;
  }

  /**
   * Cordons selected machines as far as the remaining capacity suffices without them. A machine
   * whose replacement does not come up in time is deselected.
   */
  private void cordonSelected(TrackedDrain drain, MonotonicTime now) {
    DrainPlan plan = drain.record.plan();
    DrainProgress progress = drain.progress;
    Map<String, Integer> spare = new HashMap<>();
    for (Machine machine : drain.machines) {
      if (machine.schedulingMode() != SchedulingMode.DRAIN_PENDING) {
        continue;
      }
      String type = machine.type().name();
      if (spare.computeIfAbsent(type, name -> autoscaler.spareCount(machine.type())) > 0) {
        spare.merge(type, -1, Integer::sum);
        machine.schedulingMode(SchedulingMode.CORDONED);
        waitingSince.put(machine, now);
        LOG.info("drain {}: cordoned machine {}", plan.name(), machine.id());
      } else if (now.isPast(
          waitingSince.computeIfAbsent(machine, m -> now), autoscaler.bootTimeout(machine))) {
        machine.schedulingMode(SchedulingMode.ACTIVE);
        waitingSince.remove(machine);
        progress.nextSelection = now.plus(NO_REPLACEMENT_BACKOFF);
        progress.waitReason = "replacements do not come up";
        LOG.info(
            "drain {}: no replacement came up for machine {}; deselecting it",
            plan.name(),
            machine.id());
      } else {
        progress.waitReason = "replacements are not up yet";
      }
    }
  }

  /** Logs changes of a plan's state, and the progress of a running plan. */
  private void logProgress(TrackedDrain drain, MonotonicTime now) {
    StoredValue.DrainRecord record = drain.record;
    DrainPlan plan = record.plan();
    DrainProgress progress = drain.progress;
    if (!drain.isRunning() || progress.startedAt == null) {
      String line = plan.status().name();
      if (!drain.isRunning() && !line.equals(progress.lastLogged)) {
        progress.lastLogged = line;
        LOG.info("drain {} version {} is {}", plan.name(), plan.version(), line);
      }
      return;
    }
    int left = drain.machines.size();
    int inProgress = drain.inProgress;
    if (left == 0 && progress.waitReason.isEmpty()) {
      if (!progress.lastLogged.equals(DRAINED_MESSAGE)) {
        progress.lastLogged = DRAINED_MESSAGE;
        LOG.info("drain {} version {}: {}", plan.name(), plan.version(), DRAINED_MESSAGE);
      }
      return;
    }
    progress.lastLogged = "";
    int drained = progress.initialRemaining - left;
    String end =
        drained <= 0
            ? "remaining time unknown"
            : "about "
                + TimeSpan.millis(now.since(progress.startedAt).millis() * left / drained)
                    .asSeconds()
                + " s remaining";
    LOG.info(
        "drain {} version {}: {} of {} machines done, {} in progress, {} left, {} replicas moving;"
            + " tasks down: {}; {}{}",
        plan.name(),
        plan.version(),
        Math.max(0, record.selectedMachines() - left),
        record.selectedMachines(),
        inProgress,
        left,
        replicaMover.moveCount(),
        disruptionLimiter.summary(),
        progress.waitReason.isEmpty() ? "" : "delayed: " + progress.waitReason + "; ",
        end);
  }
}
