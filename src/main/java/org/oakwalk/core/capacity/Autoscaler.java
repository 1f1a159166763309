package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Registry;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.placement.Deadlines;
import org.oakwalk.core.placement.RunTimes;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides what to rent and what to return, and talks to the cloud about it. */
public final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final Span PLAN_INTERVAL = Span.seconds(1);
  private static final Span RELEASE_RETRY_INTERVAL = Span.seconds(1);
  private static final int MAX_RELEASE_BATCH = 100;
  private static final double URGENT_HALF_LIFE_SECONDS = 150;
  private static final double DEFERRABLE_HALF_LIFE_SECONDS = 45;
  private static final double TOTAL_HALF_LIFE_SECONDS = 40;
  private static final double DEFERRABLE_HEADROOM_SHARE = 0.3;
  private static final Span UNREACHABLE_COUNTED_FOR = Span.seconds(10);

  private final Outbox outbox;
  private final Fleet fleet;
  private final JobBook jobs;
  private final Registry registry;
  private final Policy.Capacity policy;
  private final Settings.CloudLimits limits;
  private final Span suspectAfter;
  private final Demand demand;
  private final BootTracker bootTracker;
  private final MachineFailureDetector failureDetector;
  private final RentalRequester renter;
  private final ScaleDown scaleDown;
  private final ZoneBoundDemand zoneBoundDemand;
  private Supplier<List<JobSpec>> reservedSpecs = List::of;
  private final Set<MachineId> releasedIds = new HashSet<>();
  private final Set<Machine> releasing = new HashSet<>();
  private Map<String, MachineType> types = Map.of();
  private Moment nextPlan = new Moment(Long.MIN_VALUE / 2);
  private Moment nextList = new Moment(Long.MIN_VALUE / 2);
  private Moment nextRelease = new Moment(Long.MIN_VALUE / 2);
  private final Map<String, Integer> sufficientByType = new HashMap<>();
  private boolean cloudUnavailable;
  private Moment firstListRequest;
  private boolean listComplete;
  private String summary = "";
  private boolean listInFlight;
  private final DecayingPeaks urgentPeaks =
      new DecayingPeaks(PLAN_INTERVAL, URGENT_HALF_LIFE_SECONDS);
  private final DecayingPeaks deferrablePeaks =
      new DecayingPeaks(PLAN_INTERVAL, DEFERRABLE_HALF_LIFE_SECONDS);
  private final DecayingPeaks totalPeaks =
      new DecayingPeaks(PLAN_INTERVAL, TOTAL_HALF_LIFE_SECONDS);

  /**
   * Decides for a fleet.
   *
   * @param bars sorts of machines that must not be rented at present
   * @param placesLeft for how many tasks more of a job its team's limit leaves room
   */
  public Autoscaler(
      Outbox outbox,
      Fleet fleet,
      JobBook jobs,
      Registry registry,
      Policy.Capacity policy,
      Settings settings,
      RunTimes runTimes,
      Deadlines planned,
      Span suspectAfter,
      Predicate<BootTracker.MachinePool> bars,
      ToIntFunction<JobSpec> placesLeft) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.jobs = jobs;
    this.registry = registry;
    this.policy = policy;
    this.limits = settings.cloud();
    this.suspectAfter = suspectAfter;
    this.bootTracker = new BootTracker(policy.bootPatience());
    this.failureDetector = new MachineFailureDetector(fleet, bootTracker, policy, suspectAfter);
    this.scaleDown = new ScaleDown(fleet, policy, suspectAfter);
    this.renter = new RentalRequester(outbox, fleet, bootTracker, bars);
    this.demand = new Demand(settings.objectives(), runTimes, planned);
    this.zoneBoundDemand = new ZoneBoundDemand(fleet, jobs, demand, placesLeft);
  }

  /** What tells broken machines from those that are merely out of reach. */
  public MachineFailureDetector failureDetector() {
    return failureDetector;
  }

  /** Machines are held for these as well, as if they were jobs. */
  public void setReservedSpecs(Supplier<List<JobSpec>> specs) {
    reservedSpecs = specs;
  }

  /** Follows the fleet; rents only once it is known what there is. */
  public void tick(Map<String, MachineType> known, boolean recovered, Moment now, WallTime wall) {
    types = known;
    if (types.isEmpty()) {
      return;
    }
    if (!listInFlight && !nextList.isAfter(now)) {
      requestList(Optional.empty(), now);
    }
    if (!nextPlan.isAfter(now)) {
      nextPlan = now.plus(PLAN_INTERVAL);
      failureDetector.checkMachines(now, this::returnMachine);
      if (recovered) {
        plan(now, wall);
      }
    }
    if (!nextRelease.isAfter(now)) {
      releaseBatch(now);
    }
  }

  private void requestList(Optional<MachineId> after, Moment now) {
    listInFlight = true;
    firstListRequest = firstListRequest == null ? now : firstListRequest;
    outbox.call(
        new Request.ListRentals(after),
        answer -> {
          listInFlight = false;
          cloudUnavailable = !(answer instanceof Answer.Rentals);
          nextList = now.plus(limits.listLag().times(0.7));
          if (answer instanceof Answer.Rentals page) {
            for (Rental rental : page.rentals()) {
              applyListEntry(rental, now);
            }
            if (page.more() && !page.rentals().isEmpty()) {
              requestList(Optional.of(page.rentals().get(page.rentals().size() - 1).id()), now);
            } else {
              // A list shows the past, by up to twice its lag.
              listComplete |= now.past(firstListRequest, limits.listLag().times(2));
            }
          }
        });
  }

  /** Takes over a line of the list, which shows the past: only new machines and ends count. */
  private void applyListEntry(Rental rental, Moment now) {
    Optional<Machine> machine = fleet.find(rental.id());
    if (machine.isPresent()) {
      if (rental.status() == Rental.Status.FAILED
          && machine.get().state() != Machine.State.RETURNING) {
        LOG.info("machine {} has failed", rental.id());
        returnMachine(machine.get());
      }
      return;
    }
    if (releasedIds.contains(rental.id())) {
      // The list shows the past, and what the cloud has confirmed as gone never comes back. Taken
      // for
      // one that boots, it would be given up later, as if boots had failed.
      return;
    }
    Moment rented = new Moment(now.millis() - rental.held().millis());
    fleet
        .add(
            rental.id(),
            rental.address(),
            rental.type(),
            rental.zone(),
            rental.spot(),
            Machine.State.BOOTING,
            rented)
        .ifPresent(
            added -> {
              LOG.info("machine {} found in the list", added.id());
              added.listed(rental.status());
              if (rental.status() == Rental.Status.FAILED) {
                returnMachine(added);
              }
            });
  }

  private void returnMachine(Machine machine) {
    fleet.returning(machine);
    releasing.add(machine);
  }

  private void releaseBatch(Moment now) {
    List<Machine> batch = new ArrayList<>();
    for (Machine machine : releasing) {
      if (batch.size() < MAX_RELEASE_BATCH) {
        batch.add(machine);
      }
    }
    if (batch.isEmpty()) {
      return;
    }
    nextRelease = now.plus(Span.seconds(10));
    outbox.call(
        new Request.Release(batch.stream().map(Machine::id).toList()),
        answer -> {
          nextRelease =
              now.plus(answer instanceof Answer.Ok ? Span.millis(0) : RELEASE_RETRY_INTERVAL);
          if (answer instanceof Answer.Ok) {
            for (Machine machine : batch) {
              releasing.remove(machine);
              releasedIds.add(machine.id());
              fleet.gone(machine, now);
              registry.gone(machine.id());
            }
          }
        });
  }

  /** Machines that the open jobs ask for; tight is the part that can't wait for a boot. */
  private record MachineDemand(double total, double ordinary, double urgent) {
    static final MachineDemand NONE = new MachineDemand(0, 0, 0);

    MachineDemand plus(MachineDemand other) {
      return new MachineDemand(
          total + other.total, ordinary + other.ordinary, urgent + other.urgent);
    }
  }

  private void plan(Moment now, WallTime wall) {
    Map<String, MachineDemand> needs = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.open()) {
        MachineType type = Demand.cheapestType(job.spec(), types.values());
        if (type != null) {
          double machines =
              Demand.machineCount(job.spec().room(), demand.concurrentTasks(job, type, wall), type);
          boolean spot = job.spec().spotAllowed();
          needs.merge(
              type.name(),
              new MachineDemand(
                  machines,
                  spot ? 0 : machines,
                  demand.needsStandbyCapacity(job, type, wall) ? machines : 0),
              MachineDemand::plus);
        }
      }
    }
    for (JobSpec spec : reservedSpecs.get()) {
      MachineType type = Demand.cheapestType(spec, types.values());
      if (type != null) {
        double machines = Demand.machineCount(spec.room(), spec.tasks(), type);
        needs.merge(
            type.name(),
            new MachineDemand(machines, spec.spotAllowed() ? 0 : machines, machines),
            MachineDemand::plus);
      }
    }
    for (MachineType type : types.values()) {
      MachineDemand need = needs.getOrDefault(type.name(), MachineDemand.NONE);
      // What could not be rented was not used either, so it is no measure for what is kept.
      int held = activeCount(type);
      double tight = urgentPeaks.update(type.name(), need.urgent(), held);
      double loose = deferrablePeaks.update(type.name(), need.total() - need.urgent(), held);
      // The two peaks belong to different moments, so together they ask for more than was ever
      // asked for at once; over a large fleet that is most of the money.
      double total = totalPeaks.update(type.name(), need.total(), held);
      double ready =
          Math.min(
              total * (1 + policy.headroom()),
              tight * (1 + policy.headroom())
                  + loose * (1 + policy.headroom() * DEFERRABLE_HEADROOM_SHARE));
      // With nothing to do at all, the spare machines go as well.
      int wanted = need.total() <= 0 ? 0 : (int) Math.ceil(ready) + policy.spareMachines();
      scale(type, need, wanted, now);
    }
    zoneBoundDemand
        .missingMachines(spec -> Demand.cheapestType(spec, types.values()), suspectAfter, now, wall)
        .forEach((sort, count) -> provideMachines(sort, count, now));
  }

  /** Gets machines in one zone, whatever is held elsewhere; that becomes surplus later. */
  private void provideMachines(BootTracker.MachinePool sort, int count, Moment now) {
    int left = count - scaleDown.reactivate(sort, count, now);
    if (left > 0 && sort.spot()) {
      left -= renter.rent(sort, left, now);
    }
    if (left > 0) {
      renter.rent(new BootTracker.MachinePool(sort.type(), sort.zone(), false), left, now);
    }
  }

  private int activeCount(MachineType type) {
    int held = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name()) && machine.duty() == Duty.IN_USE) {
        held++;
      }
    }
    return held;
  }

  private void scale(MachineType type, MachineDemand need, int wanted, Moment now) {
    int ordinary = 0;
    int spot = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name()) && countsAsCapacity(machine, now)) {
        ordinary += machine.spot() ? 0 : 1;
        spot += machine.spot() ? 1 : 0;
      }
    }
    int wantedOrdinary =
        wanted == 0 ? 0 : (int) Math.ceil(need.ordinary() * (1 + policy.headroom())) + 1;
    // Spot machines, however many there are, are of no use to work that must not run on them.
    int lacking = Math.max(0, (int) Math.ceil(need.ordinary()) - ordinary);
    int missing = wanted - ordinary - spot;
    if (lacking > 0) {
      // Only then: where none lacks, a surplus has to stay one, or nothing is ever returned.
      missing = Math.max(missing, lacking);
    }
    sufficientByType.put(type.name(), wanted - (int) Math.max(0, (wanted - need.total()) / 2));
    summary =
        String.format(
            Locale.ROOT,
            "need %.1f (ordinary %.1f, tight %.1f) wanted %d held %d",
            need.total(),
            need.ordinary(),
            need.urgent(),
            wanted,
            ordinary + spot);
    if (missing > 0) {
      int kept = scaleDown.reactivateOrdinary(type, lacking, now);
      lacking -= kept;
      missing -= kept;
      missing -= scaleDown.reactivate(type, missing - lacking, now);
    }
    if (missing > 0) {
      int flexible = Math.max(0, wanted - wantedOrdinary);
      int wantedSpot = (int) Math.floor(flexible * policy.spotShare());
      int askSpot = Math.min(missing - lacking, Math.max(0, wantedSpot - spot));
      int left = askSpot > 0 ? missing - renter.rent(type, true, askSpot, now) : missing;
      if (left > 0) {
        left -= renter.rent(type, false, left, now);
      }
      if (left > 0 && flexible > spot) {
        renter.rent(type, true, left, now);
      }
    } else if (missing < 0) {
      scaleDown.retire(type, -missing, ordinary - wantedOrdinary, now);
    }
  }

  /** Whether the cloud's list has shown all that was rented before this leader rose. */
  public boolean isListComplete() {
    return listComplete;
  }

  /** Whether the cloud did not answer when its list was last asked for. */
  public boolean isCloudUnavailable() {
    return cloudUnavailable;
  }

  /** By when a machine rented in this one's place is up, or is given up. */
  public Span bootTimeout(Machine machine) {
    return bootTracker.bootTimeout(BootTracker.MachinePool.of(machine), machine.type());
  }

  /** Whether machines of some sort failed to come up one after the other a short time ago. */
  public boolean anyPoolFailing(Moment now) {
    return bootTracker.anyFailing(now);
  }

  /**
   * How many machines of a type are up and could be done without, those that a plan has chosen too:
   * half of what is held beyond the need may be missing for a while.
   */
  public int spareCount(MachineType type) {
    Integer enough = sufficientByType.get(type.name());
    if (enough == null) {
      return 0;
    }
    int up = 0;
    for (Machine machine : fleet.machines()) {
      boolean serves =
          machine.state() == Machine.State.UP
              && (machine.duty() == Duty.IN_USE || machine.duty() == Duty.NEXT);
      up += serves && machine.type().name().equals(type.name()) ? 1 : 0;
    }
    return up - enough;
  }

  /** One line on the last plan, for the log. */
  public String summary() {
    return summary;
  }

  private boolean countsAsCapacity(Machine machine, Moment now) {
    return switch (machine.state()) {
      case BOOTING ->
          !now.past(
              machine.known(),
              bootTracker.replacementDelay(BootTracker.MachinePool.of(machine), machine.type()));
      case ENROLLING, UNCONFIRMED -> true;
      // Many silent at once are out of reach for a while; to rent as many again would be waste.
      case UP ->
          machine.duty() == Duty.IN_USE
              && !now.past(
                  machine.heard(),
                  failureDetector.isSilenceReliable(now) ? suspectAfter : UNREACHABLE_COUNTED_FOR);
      case LAPSED, RETURNING, GONE -> false;
    };
  }
}
