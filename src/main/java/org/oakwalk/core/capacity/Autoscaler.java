package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineRegistry;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Rental;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.placement.PlannedDeadlines;
import org.oakwalk.core.placement.RunTimeEstimates;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents and releases machines according to demand, and reads the cloud's list of rentals. */
public final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final TimeSpan PLAN_INTERVAL = TimeSpan.seconds(1);
  private static final TimeSpan RELEASE_RETRY_INTERVAL = TimeSpan.seconds(1);
  private static final int MAX_RELEASE_BATCH = 100;

  /** Half-life of past peaks of the demand that can't wait for machines to boot. */
  private static final double URGENT_HALF_LIFE_SECONDS = 150;

  /** Half-life of past peaks of the demand that can wait for machines to boot. */
  private static final double DEFERRABLE_HALF_LIFE_SECONDS = 45;

  /** Half-life of past peaks of the total demand. */
  private static final double TOTAL_HALF_LIFE_SECONDS = 40;

  /** Share of the headroom that is kept for demand that can wait for machines to boot. */
  private static final double DEFERRABLE_HEADROOM_SHARE = 0.3;

  /** How long a silent machine counts as capacity while silence is not evidence of a failure. */
  private static final TimeSpan UNREACHABLE_COUNTED_FOR = TimeSpan.seconds(10);

  private final Outbox outbox;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final MachineRegistry registry;
  private final Policy.CapacityPolicy policy;
  private final Settings.CloudLimits limits;
  private final TimeSpan suspectAfter;
  private final Demand demand;
  private final BootTracker bootTracker;
  private final MachineFailureDetector failureDetector;
  private final RentalRequester rentalRequester;
  private final ScaleDown scaleDown;
  private final ZoneBoundDemand zoneBoundDemand;
  private Supplier<List<JobSpec>> reservedSpecs = List::of;
  private final Set<Machine> releasing = new LinkedHashSet<>();
  private Map<String, MachineType> types = Map.of();
  private MonotonicTime nextPlan = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextList = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime nextRelease = new MonotonicTime(Long.MIN_VALUE / 2);
  private final Map<String, Integer> sufficientByType = new HashMap<>();
  private boolean cloudUnavailable;
  private MonotonicTime firstListRequest;
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
   * Creates the autoscaler of a fleet.
   *
   * @param isForbidden returns whether a pool must not be rented from at present
   * @param quotaRemaining returns how many more tasks of a job its team's quota allows
   */
  public Autoscaler(
      Outbox outbox,
      Fleet fleet,
      JobRegistry jobs,
      MachineRegistry registry,
      Policy.CapacityPolicy policy,
      Settings settings,
      RunTimeEstimates runTimes,
      PlannedDeadlines plannedDeadlines,
      TimeSpan suspectAfter,
      Predicate<BootTracker.RentalPool> isForbidden,
      ToIntFunction<JobSpec> quotaRemaining) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.jobs = jobs;
    this.registry = registry;
    this.policy = policy;
    this.limits = settings.cloud();
    this.suspectAfter = suspectAfter;
    this.bootTracker = new BootTracker(policy.bootTimeout());
    this.failureDetector = new MachineFailureDetector(fleet, bootTracker, policy, suspectAfter);
    this.scaleDown = new ScaleDown(fleet, policy, suspectAfter);
    this.rentalRequester = new RentalRequester(outbox, fleet, bootTracker, isForbidden);
    this.demand = new Demand(settings.objectives(), runTimes, plannedDeadlines);
    this.zoneBoundDemand = new ZoneBoundDemand(fleet, jobs, demand, quotaRemaining);
  }

  /** Detector that tells failed machines from unreachable ones. */
  public MachineFailureDetector failureDetector() {
    return failureDetector;
  }

  /** Sets a supplier of specs for which capacity is kept as if they were submitted jobs. */
  public void setReservedSpecs(Supplier<List<JobSpec>> specs) {
    reservedSpecs = specs;
  }

  /**
   * Runs the steps that are due.
   *
   * @param recovered whether the fleet is completely known; machines are rented only then
   */
  public void tick(
      Map<String, MachineType> machineTypes, boolean recovered, MonotonicTime now, WallTime wall) {
    types = machineTypes;
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

  private void requestList(Optional<MachineId> after, MonotonicTime now) {
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
            if (page.hasMore() && !page.rentals().isEmpty()) {
              requestList(Optional.of(page.rentals().get(page.rentals().size() - 1).id()), now);
            } else {
              // A list can be outdated by up to twice its lag.
              listComplete |= now.isPast(firstListRequest, limits.listLag().times(2));
            }
          }
        });
  }

  /**
   * Applies one entry of the list. Since the list may be outdated, only unknown machines and
   * failures are taken from it.
   */
  private void applyListEntry(Rental rental, MonotonicTime now) {
    Optional<Machine> machine = fleet.find(rental.id());
    if (machine.isPresent()) {
      if (rental.status() == Rental.Status.FAILED
          && machine.get().state() != Machine.State.RETURNING) {
        LOG.info("machine {} is listed as failed; releasing it", rental.id());
        returnMachine(machine.get());
      }
      return;
    }
    if (fleet.isGone(rental.id())) {
      // The list may be outdated, and a machine whose release the cloud has confirmed never
      // returns. Added as booting, it would be given up later and count as a failed boot.
      return;
    }
    MonotonicTime rented = new MonotonicTime(now.millis() - rental.rentedFor().millis());
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
              LOG.info("machine {} added from the cloud's list", added.id());
              added.cloudStatus(rental.status());
              if (rental.status() == Rental.Status.FAILED) {
                returnMachine(added);
              }
            });
  }

  private void returnMachine(Machine machine) {
    fleet.startReturn(machine);
    releasing.add(machine);
  }

  private void releaseBatch(MonotonicTime now) {
    List<Machine> batch = new ArrayList<>();
    for (Machine machine : releasing) {
      if (batch.size() < MAX_RELEASE_BATCH) {
        batch.add(machine);
      }
    }
    if (batch.isEmpty()) {
      return;
    }
    nextRelease = now.plus(TimeSpan.seconds(10));
    outbox.call(
        new Request.ReleaseMachines(batch.stream().map(Machine::id).toList()),
        answer -> {
          nextRelease =
              now.plus(answer instanceof Answer.Ok ? TimeSpan.millis(0) : RELEASE_RETRY_INTERVAL);
          if (answer instanceof Answer.Ok) {
            for (Machine machine : batch) {
              releasing.remove(machine);
              fleet.confirmGone(machine, now);
              registry.machineGone(machine.id());
            }
          }
        });
  }

  /**
   * Demand of open jobs and reserved specs, as a number of machines of one type.
   *
   * @param ordinary the part that must not run on spot machines
   * @param urgent the part that can't wait for machines to boot
   */
  private record MachineDemand(double total, double ordinary, double urgent) {
    static final MachineDemand NONE = new MachineDemand(0, 0, 0);

    MachineDemand plus(MachineDemand other) {
      return new MachineDemand(
          total + other.total, ordinary + other.ordinary, urgent + other.urgent);
    }
  }

  private void plan(MonotonicTime now, WallTime wall) {
    Map<String, MachineDemand> demandByType = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        MachineType type = Demand.cheapestType(job.spec(), types.values());
        if (type != null) {
          double machines =
              Demand.machineCount(
                  job.spec().resources(), demand.concurrentTasks(job, type, wall), type);
          boolean spot = job.spec().spotAllowed();
          demandByType.merge(
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
        double machines = Demand.machineCount(spec.resources(), spec.tasks(), type);
        demandByType.merge(
            type.name(),
            new MachineDemand(machines, spec.spotAllowed() ? 0 : machines, machines),
            MachineDemand::plus);
      }
    }
    for (MachineType type : types.values()) {
      MachineDemand typeDemand = demandByType.getOrDefault(type.name(), MachineDemand.NONE);
      // Past demand that could not be met with machines does not justify keeping more machines.
      int held = activeCount(type);
      double urgent = urgentPeaks.update(type.name(), typeDemand.urgent(), held);
      double deferrable =
          deferrablePeaks.update(type.name(), typeDemand.total() - typeDemand.urgent(), held);
      // The urgent and deferrable peaks occur at different times, so their sum exceeds the demand
      // at any one time; in a large fleet that excess is most of the cost.
      double total = totalPeaks.update(type.name(), typeDemand.total(), held);
      double target =
          Math.min(
              total * (1 + policy.headroom()),
              urgent * (1 + policy.headroom())
                  + deferrable * (1 + policy.headroom() * DEFERRABLE_HEADROOM_SHARE));
      // Without any demand, the spare machines are returned as well.
      int wanted = typeDemand.total() <= 0 ? 0 : (int) Math.ceil(target) + policy.spareMachines();
      scale(type, typeDemand, wanted, now);
    }
    zoneBoundDemand
        .missingMachines(spec -> Demand.cheapestType(spec, types.values()), suspectAfter, now, wall)
        .forEach((pool, count) -> provideMachines(pool, count, now));
  }

  /**
   * Provides machines in one pool regardless of those in other pools, which become surplus later.
   */
  private void provideMachines(BootTracker.RentalPool pool, int count, MonotonicTime now) {
    int left = count - scaleDown.reactivate(pool, count, now);
    if (left > 0 && pool.spot()) {
      left -= rentalRequester.rent(pool, left, now);
    }
    if (left > 0) {
      rentalRequester.rent(new BootTracker.RentalPool(pool.type(), pool.zone(), false), left, now);
    }
  }

  private int activeCount(MachineType type) {
    int held = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name())
          && machine.schedulingMode() == SchedulingMode.ACTIVE) {
        held++;
      }
    }
    return held;
  }

  private void scale(MachineType type, MachineDemand typeDemand, int wanted, MonotonicTime now) {
    int ordinary = 0;
    int spot = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name()) && countsAsCapacity(machine, now)) {
        ordinary += machine.spot() ? 0 : 1;
        spot += machine.spot() ? 1 : 0;
      }
    }
    int wantedOrdinary =
        wanted == 0 ? 0 : (int) Math.ceil(typeDemand.ordinary() * (1 + policy.headroom())) + 1;
    // Spot machines cannot cover the demand of jobs that must not run on them.
    int missingOrdinary = Math.max(0, (int) Math.ceil(typeDemand.ordinary()) - ordinary);
    int missing = wanted - ordinary - spot;
    if (missingOrdinary > 0) {
      // Only if ordinary machines are lacking: otherwise a surplus would never be returned.
      missing = Math.max(missing, missingOrdinary);
    }
    sufficientByType.put(
        type.name(), wanted - (int) Math.max(0, (wanted - typeDemand.total()) / 2));
    summary =
        String.format(
            Locale.ROOT,
            "demand %.1f (ordinary %.1f, urgent %.1f) wanted %d held %d",
            typeDemand.total(),
            typeDemand.ordinary(),
            typeDemand.urgent(),
            wanted,
            ordinary + spot);
    if (missing > 0) {
      int reactivated = scaleDown.reactivateOrdinary(type, missingOrdinary, now);
      missingOrdinary -= reactivated;
      missing -= reactivated;
      missing -= scaleDown.reactivate(type, missing - missingOrdinary, now);
    }
    if (missing > 0) {
      int flexible = Math.max(0, wanted - wantedOrdinary);
      int wantedSpot = (int) Math.floor(flexible * policy.spotShare());
      int requestedSpot = Math.min(missing - missingOrdinary, Math.max(0, wantedSpot - spot));
      int left =
          requestedSpot > 0
              ? missing - rentalRequester.rent(type, true, requestedSpot, now)
              : missing;
      if (left > 0) {
        left -= rentalRequester.rent(type, false, left, now);
      }
      if (left > 0 && flexible > spot) {
        rentalRequester.rent(type, true, left, now);
      }
    } else if (missing < 0) {
      scaleDown.retire(type, -missing, ordinary - wantedOrdinary, now);
    }
  }

  /** Returns whether the cloud's list has covered all rentals from before this leader's term. */
  public boolean isListComplete() {
    return listComplete;
  }

  /** Returns whether the last request for the cloud's list failed. */
  public boolean isCloudUnavailable() {
    return cloudUnavailable;
  }

  /** Time within which a replacement for a machine comes up or is given up. */
  public TimeSpan bootTimeout(Machine machine) {
    return bootTracker.bootTimeout(BootTracker.RentalPool.of(machine), machine.type());
  }

  /** Returns whether consecutive boots have failed recently in any pool. */
  public boolean anyPoolFailing(MonotonicTime now) {
    return bootTracker.anyFailing(now);
  }

  /**
   * Number of machines of a type that are up and can be drained now, including those that a drain
   * plan has already selected. Half of the capacity beyond the demand may be missing temporarily.
   */
  public int spareCount(MachineType type) {
    Integer sufficient = sufficientByType.get(type.name());
    if (sufficient == null) {
      return 0;
    }
    int up = 0;
    for (Machine machine : fleet.machines()) {
      boolean inUse =
          machine.state() == Machine.State.UP
              && (machine.schedulingMode() == SchedulingMode.ACTIVE
                  || machine.schedulingMode() == SchedulingMode.DRAIN_PENDING);
      up += inUse && machine.type().name().equals(type.name()) ? 1 : 0;
    }
    return up - sufficient;
  }

  /** One-line summary of the last scaling decision, for the log. */
  public String summary() {
    return summary;
  }

  private boolean countsAsCapacity(Machine machine, MonotonicTime now) {
    return switch (machine.state()) {
      case BOOTING ->
          !now.isPast(
              machine.knownSince(),
              bootTracker.replacementDelay(BootTracker.RentalPool.of(machine), machine.type()));
      case REGISTERING, UNCONFIRMED -> true;
      // Many machines that fall silent at once are unreachable for a while; replacing them all
      // would be waste.
      case UP ->
          machine.schedulingMode() == SchedulingMode.ACTIVE
              && !now.isPast(
                  machine.lastReportAt(),
                  failureDetector.isSilenceReliable(now) ? suspectAfter : UNREACHABLE_COUNTED_FOR);
      case LEASE_EXPIRED, RETURNING, GONE -> false;
    };
  }
}
