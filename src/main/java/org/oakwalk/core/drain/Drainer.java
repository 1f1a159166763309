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
import org.oakwalk.core.capacity.Capacity;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the plans in force, a few machines at a time: each is chosen, replaced ahead, emptied
 * and returned. What a plan has done is not written down: it shows in which machines are left.
 */
public final class Drainer {
  private static final Logger LOG = LoggerFactory.getLogger(Drainer.class);
  private static final Span EVERY = Span.millis(400);
  private static final Span SAY_EVERY = Span.seconds(10);
  private static final String DONE = "all machines have gone";

  /** Of the machines on their way out, one in so many may hold replicas as long as others don't. */
  private static final int HOLDERS = 2;

  private static final Span FRUITLESS = Span.seconds(60);

  /** What this leader has seen of a plan. */
  private static final class Progress {
    Moment begun;
    int leftAtFirst;
    Moment nextChoice = new Moment(Long.MIN_VALUE / 2);
    String said = "";
    String waits = "";
  }

  /** A plan in force and what it is about at this moment. */
  private static final class Followed {
    final StoredValue.DrainRecord record;
    final Progress mine;
    final List<Machine> members = new ArrayList<>();

    /** Machines that are held, but not wanted any more; quarantined ones use up no step. */
    int onTheirWay;

    Followed(StoredValue.DrainRecord record, Progress mine) {
      this.record = record;
      this.mine = mine;
    }

    boolean runs() {
      return record.plan().status() == DrainPlan.Status.RUNNING;
    }

    int most() {
      return record.plan().most(record.selectedMachines());
    }

    boolean full() {
      return onTheirWay >= most();
    }
  }

  private final Fleet fleet;
  private final Capacity capacity;
  private final PlanKeeper keeper;
  private final Gate gate;
  private final Mover mover;
  private final Evictor evictor;
  private final Caution caution;
  private final Map<String, Progress> progress = new HashMap<>();
  private final Map<Machine, Moment> since = new HashMap<>();
  private Moment nextTick = new Moment(Long.MIN_VALUE / 2);
  private Moment nextSaying = new Moment(Long.MIN_VALUE / 2);

  public Drainer(
      Fleet fleet,
      JobRegistry jobs,
      StoreView view,
      Capacity capacity,
      PlanKeeper keeper,
      Gate gate,
      Mover mover) {
    this.fleet = fleet;
    this.capacity = capacity;
    this.keeper = keeper;
    this.gate = gate;
    this.mover = mover;
    this.evictor = new Evictor(fleet, gate, mover);
    this.caution = new Caution(fleet, view, capacity, jobs, mover);
  }

  /** Takes the next steps; does nothing as long as no plan and no budget was ever declared. */
  public void tick(boolean fleetKnown, Moment now, WallTime wall) {
    if (nextTick.isAfter(now) || keeper.idle() && !gate.guards()) {
      return;
    }
    nextTick = now.plus(EVERY);
    gate.survey(fleetKnown, now, wall);
    mover.tick(now);
    if (!fleetKnown) {
      return;
    }
    if (capacity.listKnown()) {
      keeper.tick(now);
    }
    since.keySet().removeIf(machine -> machine.state() != Machine.State.UP);
    Collection<StoredValue.DrainRecord> plans = keeper.plans();
    List<Followed> followed = new ArrayList<>();
    for (StoredValue.DrainRecord record : plans) {
      Progress mine = progress.computeIfAbsent(record.plan().name(), name -> new Progress());
      followed.add(new Followed(record, mine));
    }
    Map<Machine, List<Followed>> claims = claims(followed);
    Optional<String> waits =
        caution.reason(
            followed.stream().filter(Followed::runs).map(plan -> plan.record.plan()).toList(), now);
    for (Machine machine : fleet.machines()) {
      if (machine.state() == Machine.State.RETURNING) {
        continue;
      }
      boolean claimed = claims.containsKey(machine);
      machine.removalPlanned(claimed);
      boolean chosen = onItsWay(machine);
      if (chosen
          && (!claimed || waits.isPresent())
          && machine.schedulingMode(SchedulingMode.ACTIVE)) {
        // Nobody empties it any more, so it serves again.
        LOG.info("machine {} takes tasks again", machine.id());
        since.remove(machine);
      }
    }
    for (Followed plan : followed) {
      if (plan.runs()) {
        follow(plan, claims, waits, now);
      }
    }
    if (!nextSaying.isAfter(now)) {
      nextSaying = now.plus(SAY_EVERY);
      followed.forEach(plan -> say(plan, now));
    }
  }

  /** The running plans that each machine is up to be emptied by. */
  private Map<Machine, List<Followed>> claims(List<Followed> plans) {
    Map<Machine, List<Followed>> claims = new LinkedHashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.state() != Machine.State.UP && machine.state() != Machine.State.LEASE_EXPIRED) {
        continue;
      }
      for (Followed plan : plans) {
        if (plan.runs() && plan.record.plan().selects(machine, plan.record.newestMachine())) {
          claims.computeIfAbsent(machine, m -> new ArrayList<>(1)).add(plan);
          plan.members.add(machine);
          plan.onTheirWay += onItsWay(machine) ? 1 : 0;
        }
      }
    }
    return claims;
  }

  private void follow(
      Followed followed, Map<Machine, List<Followed>> claims, Optional<String> waits, Moment now) {
    DrainPlan plan = followed.record.plan();
    Progress mine = followed.mine;
    if (mine.begun == null) {
      mine.begun = now;
      mine.leftAtFirst = followed.members.size();
    }
    mine.waits = waits.orElse("");
    if (waits.isPresent()) {
      return;
    }
    choose(followed, claims, now);
    cordon(followed, now);
    for (Machine machine : followed.members) {
      if (machine.schedulingMode() == SchedulingMode.CORDONED) {
        // Of several plans the most patient one counts.
        Span patience =
            claims.get(machine).stream()
                .map(claim -> claim.record.plan().patience())
                .max(Span::compareTo)
                .orElse(plan.patience());
        boolean impatient = now.isPast(since.computeIfAbsent(machine, m -> now), patience);
        evictor.empty(machine, impatient, now).ifPresent(why -> mine.waits = why);
      }
    }
  }

  /** Chooses the machines that go next: as many as are allowed to be on their way out at once. */
  private void choose(Followed plan, Map<Machine, List<Followed>> claims, Moment now) {
    if (plan.mine.nextChoice.isAfter(now) || plan.full()) {
      return;
    }
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : plan.members) {
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
    // Replicas move one after the other, so some of their machines are always among those that go:
    // left to the end, they would make it late.
    int holders = 0;
    for (Machine machine : plan.members) {
      holders += onItsWay(machine) && machine.holdsReplica() ? 1 : 0;
    }
    int more = Math.max(2, plan.most() / HOLDERS) - holders;
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
      if (plan.full()) {
        break;
      }
      // Whoever else wants it as well must have a step left for it too.
      List<Followed> all = claims.get(machine);
      if (all.stream().noneMatch(Followed::full)
          && machine.schedulingMode(SchedulingMode.DRAIN_PENDING)) {
        since.put(machine, now);
        all.forEach(claim -> claim.onTheirWay++);
        chosen++;
      }
    }
    if (chosen > 0) {
      plan.mine.nextChoice = now.plus(plan.record.plan().pause());
      LOG.info("drain {}: {} machines go next", plan.record.plan().name(), chosen);
    }
  }

  private static boolean onItsWay(Machine machine) {
    return machine.schedulingMode() == SchedulingMode.DRAIN_PENDING
        || machine.schedulingMode() == SchedulingMode.CORDONED;
  }

  /**
   * Lets chosen machines go as far as the others are enough without them. One that waits for long
   * is let off again, since its replacement does not come.
   */
  private void cordon(Followed followed, Moment now) {
    DrainPlan plan = followed.record.plan();
    Progress mine = followed.mine;
    Map<String, Integer> spare = new HashMap<>();
    for (Machine machine : followed.members) {
      if (machine.schedulingMode() != SchedulingMode.DRAIN_PENDING) {
        continue;
      }
      String type = machine.type().name();
      if (spare.computeIfAbsent(type, name -> capacity.spare(machine.type())) > 0) {
        spare.merge(type, -1, Integer::sum);
        machine.schedulingMode(SchedulingMode.CORDONED);
        since.put(machine, now);
        LOG.info("drain {}: machine {} is emptied", plan.name(), machine.id());
      } else if (now.isPast(
          since.computeIfAbsent(machine, m -> now), capacity.bootsWithin(machine))) {
        machine.schedulingMode(SchedulingMode.ACTIVE);
        since.remove(machine);
        mine.nextChoice = now.plus(FRUITLESS);
        mine.waits = "replacements don't come";
        LOG.info("drain {}: no replacement for machine {}", plan.name(), machine.id());
      } else {
        mine.waits = "replacements are on their way";
      }
    }
  }

  private void say(Followed followed, Moment now) {
    StoredValue.DrainRecord record = followed.record;
    DrainPlan plan = record.plan();
    Progress mine = followed.mine;
    if (!followed.runs() || mine.begun == null) {
      String line = plan.status().name();
      if (!followed.runs() && !line.equals(mine.said)) {
        mine.said = line;
        LOG.info("drain {} version {} is {}", plan.name(), plan.version(), line);
      }
      return;
    }
    int left = followed.members.size();
    int underWay = followed.onTheirWay;
    if (left == 0 && mine.waits.isEmpty()) {
      if (!mine.said.equals(DONE)) {
        mine.said = DONE;
        LOG.info("drain {} version {}: {}", plan.name(), plan.version(), DONE);
      }
      return;
    }
    mine.said = "";
    int gone = mine.leftAtFirst - left;
    String end =
        gone <= 0
            ? "end not known yet"
            : "ends in about "
                + Span.millis(now.since(mine.begun).millis() * left / gone).asSeconds()
                + " s";
    LOG.info(
        "drain {} version {}: {} of {} done, {} under way, {} left, {} moving; down {}; {}{}",
        plan.name(),
        plan.version(),
        Math.max(0, record.selectedMachines() - left),
        record.selectedMachines(),
        underWay,
        left,
        mover.underWay(),
        gate.summary(),
        mine.waits.isEmpty() ? "" : "waits: " + mine.waits + "; ",
        end);
  }
}
