package org.oakwalk.core.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.capacity.Autoscaler;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the plans in force, a few machines at a time: each is chosen, replaced ahead, emptied
 * and returned. What a plan has done is not written down: it shows in which machines are left.
 */
public final class DrainController {
  private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);
  private static final Span TICK_INTERVAL = Span.millis(400);
  private static final Span PROGRESS_LOG_INTERVAL = Span.seconds(10);
  private static final String DRAINED_MESSAGE = "all machines have gone";

  /** Of the machines on their way out, one in so many may hold replicas as long as others don't. */
  private static final int REPLICA_HOLDER_DIVISOR = 2;

  private static final Span NO_REPLACEMENT_BACKOFF = Span.seconds(60);

  /** What this leader has seen of a plan. */
  private static final class DrainProgress {
    Moment startedAt;
    int initialRemaining;
    Moment nextSelection = new Moment(Long.MIN_VALUE / 2);
    String lastLogged = "";
    String waitReason = "";
  }

  /** A plan in force and what it is about at this moment. */
  private static final class TrackedDrain {
    final StoredValue.DrainRecord record;
    final DrainProgress progress;
    final List<Machine> machines = new ArrayList<>();

    /** Machines that are held, but not wanted any more; quarantined ones use up no step. */
    int inProgress;

    TrackedDrain(StoredValue.DrainRecord record, DrainProgress mine) {
      this.record = record;
      this.progress = mine;
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
  private final Map<String, DrainProgress> progress = new HashMap<>();
  private final Map<Machine, Moment> waitingSince = new HashMap<>();
  private Moment nextTick = new Moment(Long.MIN_VALUE / 2);
  private Moment nextProgressLog = new Moment(Long.MIN_VALUE / 2);

  public DrainController(
      Fleet fleet,
      JobBook jobs,
      StoreView view,
      Autoscaler capacity,
      DrainPlanRegistry keeper,
      DisruptionLimiter gate,
      ReplicaMover mover) {
    this.fleet = fleet;
    this.autoscaler = capacity;
    this.planRegistry = keeper;
    this.disruptionLimiter = gate;
    this.replicaMover = mover;
    this.evictor = new Evictor(fleet, gate, mover);
    this.safetyCheck = new DrainSafetyCheck(fleet, view, capacity, jobs, mover);
  }

  /** Takes the next steps; does nothing as long as no plan and no budget was ever declared. */
  public void tick(boolean fleetKnown, Moment now, WallTime wall) {
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
    List<TrackedDrain> followed = new ArrayList<>();
    for (StoredValue.DrainRecord record : plans) {
      DrainProgress mine =
          progress.computeIfAbsent(record.plan().name(), name -> new DrainProgress());
      followed.add(new TrackedDrain(record, mine));
    }
    Map<Machine, List<TrackedDrain>> claims = assignMachines(followed);
    Optional<String> waits =
        safetyCheck.pauseReason(
            followed.stream()
                .filter(TrackedDrain::isRunning)
                .map(plan -> plan.record.plan())
                .toList(),
            now);
    for (Machine machine : fleet.machines()) {
      if (machine.state() == Machine.State.RETURNING) {
        continue;
      }
      boolean claimed = claims.containsKey(machine);
      machine.leavesSoon(claimed);
      boolean chosen = isDraining(machine);
      if (chosen && (!claimed || waits.isPresent()) && machine.duty(Duty.IN_USE)) {
        // Nobody empties it any more, so it serves again.
        LOG.info("machine {} takes tasks again", machine.id());
        waitingSince.remove(machine);
      }
    }
    for (TrackedDrain plan : followed) {
      if (plan.isRunning()) {
        advance(plan, claims, waits, now);
      }
    }
    if (!nextProgressLog.isAfter(now)) {
      nextProgressLog = now.plus(PROGRESS_LOG_INTERVAL);
      followed.forEach(plan -> logProgress(plan, now));
    }
  }

  /** The running plans that each machine is up to be emptied by. */
  private Map<Machine, List<TrackedDrain>> assignMachines(List<TrackedDrain> plans) {
    Map<Machine, List<TrackedDrain>> claims = new LinkedHashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.state() != Machine.State.UP && machine.state() != Machine.State.LAPSED) {
        continue;
      }
      for (TrackedDrain plan : plans) {
        if (plan.isRunning() && plan.record.plan().selects(machine, plan.record.newestMachine())) {
          claims.computeIfAbsent(machine, m -> new ArrayList<>(1)).add(plan);
          plan.machines.add(machine);
          plan.inProgress += isDraining(machine) ? 1 : 0;
        }
      }
    }
    return claims;
  }

  private void advance(
      TrackedDrain followed,
      Map<Machine, List<TrackedDrain>> claims,
      Optional<String> waits,
      Moment now) {
    DrainPlan plan = followed.record.plan();
    DrainProgress mine = followed.progress;
    if (mine.startedAt == null) {
      mine.startedAt = now;
      mine.initialRemaining = followed.machines.size();
    }
    mine.waitReason = waits.orElse("");
    if (waits.isPresent()) {
      return;
    }
    selectMachines(followed, claims, now);
    cordonSelected(followed, now);
    for (Machine machine : followed.machines) {
      if (machine.duty() == Duty.CORDONED) {
        // Of several plans the most patient one counts.
        Span patience =
            claims.get(machine).stream()
                .map(claim -> claim.record.plan().drainTimeout())
                .max(Span::compareTo)
                .orElse(plan.drainTimeout());
        boolean impatient = now.past(waitingSince.computeIfAbsent(machine, m -> now), patience);
        evictor.evictTasks(machine, impatient, now).ifPresent(why -> mine.waitReason = why);
      }
    }
  }

  /** Chooses the machines that go next: as many as are allowed to be on their way out at once. */
  private void selectMachines(
      TrackedDrain plan, Map<Machine, List<TrackedDrain>> claims, Moment now) {
    if (plan.progress.nextSelection.isAfter(now) || plan.isAtLimit()) {
      return;
    }
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : plan.machines) {
      if (machine.state() == Machine.State.UP
          && (machine.duty() == Duty.IN_USE || machine.duty() == Duty.RETIRING)) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparing((Machine machine) -> machine.duty() == Duty.RETIRING ? 0 : 1)
            .thenComparingInt(machine -> machine.placements().size())
            .thenComparing(Machine::id));
    // Replicas move one after the other, so some of their machines are always among those that go:
    // left to the end, they would make it late.
    int holders = 0;
    for (Machine machine : plan.machines) {
      holders += isDraining(machine) && machine.holdsReplica() ? 1 : 0;
    }
    int more = Math.max(2, plan.maxInProgress() / REPLICA_HOLDER_DIVISOR) - holders;
    List<Machine> first = new ArrayList<>();
    for (Machine machine : candidates) {
      if (machine.holdsReplica() && first.size() < more) {
        first.add(machine);
      }
    }
    candidates.removeAll(first);
    candidates.addAll(0, first);
    int chosen = 0;
    for (Machine machine : candidates) {
      if (plan.isAtLimit()) {
        break;
      }
      // Whoever else wants it as well must have a step left for it too.
      List<TrackedDrain> all = claims.get(machine);
      if (all.stream().noneMatch(TrackedDrain::isAtLimit) && machine.duty(Duty.NEXT)) {
        waitingSince.put(machine, now);
        all.forEach(claim -> claim.inProgress++);
        chosen++;
      }
    }
    if (chosen > 0) {
      plan.progress.nextSelection = now.plus(plan.record.plan().selectionInterval());
      LOG.info("drain {}: {} machines go next", plan.record.plan().name(), chosen);
    }
  }

  private static boolean isDraining(Machine machine) {
    return machine.duty() == Duty.NEXT || machine.duty() == Duty.CORDONED;
  }

  /**
   * Lets chosen machines go as far as the others are enough without them. One that waits for long
   * is let off again, since its replacement does not come.
   */
  private void cordonSelected(TrackedDrain followed, Moment now) {
    DrainPlan plan = followed.record.plan();
    DrainProgress mine = followed.progress;
    Map<String, Integer> spare = new HashMap<>();
    for (Machine machine : followed.machines) {
      if (machine.duty() != Duty.NEXT) {
        continue;
      }
      String type = machine.type().name();
      if (spare.computeIfAbsent(type, name -> autoscaler.spareCount(machine.type())) > 0) {
        spare.merge(type, -1, Integer::sum);
        machine.duty(Duty.CORDONED);
        waitingSince.put(machine, now);
        LOG.info("drain {}: machine {} is emptied", plan.name(), machine.id());
      } else if (now.past(
          waitingSince.computeIfAbsent(machine, m -> now), autoscaler.bootTimeout(machine))) {
        machine.duty(Duty.IN_USE);
        waitingSince.remove(machine);
        mine.nextSelection = now.plus(NO_REPLACEMENT_BACKOFF);
        mine.waitReason = "replacements don't come";
        LOG.info("drain {}: no replacement for machine {}", plan.name(), machine.id());
      } else {
        mine.waitReason = "replacements are on their way";
      }
    }
  }

  private void logProgress(TrackedDrain followed, Moment now) {
    StoredValue.DrainRecord record = followed.record;
    DrainPlan plan = record.plan();
    DrainProgress mine = followed.progress;
    if (!followed.isRunning() || mine.startedAt == null) {
      String line = plan.status().name();
      if (!followed.isRunning() && !line.equals(mine.lastLogged)) {
        mine.lastLogged = line;
        LOG.info("drain {} version {} is {}", plan.name(), plan.version(), line);
      }
      return;
    }
    int left = followed.machines.size();
    int underWay = followed.inProgress;
    if (left == 0 && mine.waitReason.isEmpty()) {
      if (!mine.lastLogged.equals(DRAINED_MESSAGE)) {
        mine.lastLogged = DRAINED_MESSAGE;
        LOG.info("drain {} version {}: {}", plan.name(), plan.version(), DRAINED_MESSAGE);
      }
      return;
    }
    mine.lastLogged = "";
    int gone = mine.initialRemaining - left;
    String end =
        gone <= 0
            ? "end not known yet"
            : "ends in about "
                + Span.millis(now.since(mine.startedAt).millis() * left / gone).asSeconds()
                + " s";
    LOG.info(
        "drain {} version {}: {} of {} done, {} under way, {} left, {} moving; down {}; {}{}",
        plan.name(),
        plan.version(),
        Math.max(0, record.selectedMachines() - left),
        record.selectedMachines(),
        underWay,
        left,
        replicaMover.moveCount(),
        disruptionLimiter.summary(),
        mine.waitReason.isEmpty() ? "" : "waits: " + mine.waitReason + "; ",
        end);
  }
}
