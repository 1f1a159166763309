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

/** Decides what to rent and what to return, and talks to the cloud about it. */
public final class Capacity {
  private static final Logger LOG = LoggerFactory.getLogger(Capacity.class);
  private static final Span PLAN_EVERY = Span.seconds(1);
  private static final Span RETRY = Span.seconds(1);
  private static final int MOST_RELEASED = 100;
  private static final double TIGHT_HALVES_IN_SECONDS = 150;
  private static final double LOOSE_HALVES_IN_SECONDS = 45;
  private static final double TOTAL_HALVES_IN_SECONDS = 40;
  private static final double LOOSE_HEADROOM = 0.3;
  private static final Span OUT_OF_REACH = Span.seconds(10);

  private final Outbox outbox;
  private final Fleet fleet;
  private final JobRegistry jobs;
  private final MachineRegistry registry;
  private final Policy.CapacityPolicy policy;
  private final Settings.CloudLimits limits;
  private final Span suspectAfter;
  private final Demand demand;
  private final Boots boots;
  private final Health health;
  private final Renter renter;
  private final Surplus surplus;
  private final BoundWork bound;
  private Supplier<List<JobSpec>> kept = List::of;
  private final Set<MachineId> returned = new HashSet<>();
  private final Set<Machine> releasing = new HashSet<>();
  private Map<String, MachineType> types = Map.of();
  private Moment nextPlan = new Moment(Long.MIN_VALUE / 2);
  private Moment nextList = new Moment(Long.MIN_VALUE / 2);
  private Moment nextRelease = new Moment(Long.MIN_VALUE / 2);
  private final Map<String, Integer> enoughByType = new HashMap<>();
  private boolean cloudFails;
  private Moment firstAsked;
  private boolean listKnown;
  private String summary = "";
  private boolean listing;
  private final Peaks tightPeaks = new Peaks(PLAN_EVERY, TIGHT_HALVES_IN_SECONDS);
  private final Peaks loosePeaks = new Peaks(PLAN_EVERY, LOOSE_HALVES_IN_SECONDS);
  private final Peaks totalPeaks = new Peaks(PLAN_EVERY, TOTAL_HALVES_IN_SECONDS);

  /**
   * Decides for a fleet.
   *
   * @param bars sorts of machines that must not be rented at present
   * @param placesLeft for how many tasks more of a job its team's limit leaves room
   */
  public Capacity(
      Outbox outbox,
      Fleet fleet,
      JobRegistry jobs,
      MachineRegistry registry,
      Policy.CapacityPolicy policy,
      Settings settings,
      RunTimeEstimates runTimes,
      PlannedDeadlines planned,
      Span suspectAfter,
      Predicate<Boots.Sort> bars,
      ToIntFunction<JobSpec> placesLeft) {
    this.outbox = outbox;
    this.fleet = fleet;
    this.jobs = jobs;
    this.registry = registry;
    this.policy = policy;
    this.limits = settings.cloud();
    this.suspectAfter = suspectAfter;
    this.boots = new Boots(policy.bootTimeout());
    this.health = new Health(fleet, boots, policy, suspectAfter);
    this.surplus = new Surplus(fleet, policy, suspectAfter);
    this.renter = new Renter(outbox, fleet, boots, bars);
    this.demand = new Demand(settings.objectives(), runTimes, planned);
    this.bound = new BoundWork(fleet, jobs, demand, placesLeft);
  }

  /** What tells broken machines from those that are merely out of reach. */
  public Health health() {
    return health;
  }

  /** Machines are held for these as well, as if they were jobs. */
  public void keeps(Supplier<List<JobSpec>> specs) {
    kept = specs;
  }

  /** Follows the fleet; rents only once it is known what there is. */
  public void tick(Map<String, MachineType> known, boolean recovered, Moment now, WallTime wall) {
    types = known;
    if (types.isEmpty()) {
      return;
    }
    if (!listing && !nextList.isAfter(now)) {
      list(Optional.empty(), now);
    }
    if (!nextPlan.isAfter(now)) {
      nextPlan = now.plus(PLAN_EVERY);
      health.survey(now, this::returnMachine);
      if (recovered) {
        plan(now, wall);
      }
    }
    if (!nextRelease.isAfter(now)) {
      release(now);
    }
  }

  private void list(Optional<MachineId> after, Moment now) {
    listing = true;
    firstAsked = firstAsked == null ? now : firstAsked;
    outbox.call(
        new Request.ListRentals(after),
        answer -> {
          listing = false;
          cloudFails = !(answer instanceof Answer.Rentals);
          nextList = now.plus(limits.listLag().times(0.7));
          if (answer instanceof Answer.Rentals page) {
            for (Rental rental : page.rentals()) {
              listed(rental, now);
            }
            if (page.hasMore() && !page.rentals().isEmpty()) {
              list(Optional.of(page.rentals().get(page.rentals().size() - 1).id()), now);
            } else {
              // A list shows the past, by up to twice its lag.
              listKnown |= now.isPast(firstAsked, limits.listLag().times(2));
            }
          }
        });
  }

  /** Takes over a line of the list, which shows the past: only new machines and ends count. */
  private void listed(Rental rental, Moment now) {
    Optional<Machine> machine = fleet.find(rental.id());
    if (machine.isPresent()) {
      if (rental.status() == Rental.Status.FAILED
          && machine.get().state() != Machine.State.RETURNING) {
        LOG.info("machine {} has failed", rental.id());
        returnMachine(machine.get());
      }
      return;
    }
    if (returned.contains(rental.id())) {
      // The list shows the past, and what the cloud has confirmed as gone never comes back. Taken
      // for
      // one that boots, it would be given up later, as if boots had failed.
      return;
    }
    Moment rented = new Moment(now.millis() - rental.rentedFor().millis());
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

  private void release(Moment now) {
    List<Machine> batch = new ArrayList<>();
    for (Machine machine : releasing) {
      if (batch.size() < MOST_RELEASED) {
        batch.add(machine);
      }
    }
    if (batch.isEmpty()) {
      return;
    }
    nextRelease = now.plus(Span.seconds(10));
    outbox.call(
        new Request.ReleaseMachines(batch.stream().map(Machine::id).toList()),
        answer -> {
          nextRelease = now.plus(answer instanceof Answer.Ok ? Span.millis(0) : RETRY);
          if (answer instanceof Answer.Ok) {
            for (Machine machine : batch) {
              releasing.remove(machine);
              returned.add(machine.id());
              fleet.confirmGone(machine, now);
              registry.machineGone(machine.id());
            }
          }
        });
  }

  /** Machines that the open jobs ask for; tight is the part that can't wait for a boot. */
  private record Need(double total, double ordinary, double tight) {
    static final Need NONE = new Need(0, 0, 0);

    Need plus(Need other) {
      return new Need(total + other.total, ordinary + other.ordinary, tight + other.tight);
    }
  }

  private void plan(Moment now, WallTime wall) {
    Map<String, Need> needs = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        MachineType type = Demand.cheapest(job.spec(), types.values());
        if (type != null) {
          double machines =
              Demand.machines(job.spec().resources(), demand.slots(job, type, wall), type);
          boolean spot = job.spec().spotAllowed();
          needs.merge(
              type.name(),
              new Need(machines, spot ? 0 : machines, demand.tight(job, type, wall) ? machines : 0),
              Need::plus);
        }
      }
    }
    for (JobSpec spec : kept.get()) {
      MachineType type = Demand.cheapest(spec, types.values());
      if (type != null) {
        double machines = Demand.machines(spec.resources(), spec.tasks(), type);
        needs.merge(
            type.name(),
            new Need(machines, spec.spotAllowed() ? 0 : machines, machines),
            Need::plus);
      }
    }
    for (MachineType type : types.values()) {
      Need need = needs.getOrDefault(type.name(), Need.NONE);
      // What could not be rented was not used either, so it is no measure for what is kept.
      int held = held(type);
      double tight = tightPeaks.raise(type.name(), need.tight(), held);
      double loose = loosePeaks.raise(type.name(), need.total() - need.tight(), held);
      // The two peaks belong to different moments, so together they ask for more than was ever
      // asked for at once; over a large fleet that is most of the money.
      double total = totalPeaks.raise(type.name(), need.total(), held);
      double ready =
          Math.min(
              total * (1 + policy.headroom()),
              tight * (1 + policy.headroom()) + loose * (1 + policy.headroom() * LOOSE_HEADROOM));
      // With nothing to do at all, the spare machines go as well.
      int wanted = need.total() <= 0 ? 0 : (int) Math.ceil(ready) + policy.spareMachines();
      adjust(type, need, wanted, now);
    }
    bound
        .missing(spec -> Demand.cheapest(spec, types.values()), suspectAfter, now, wall)
        .forEach((sort, count) -> supply(sort, count, now));
  }

  /** Gets machines in one zone, whatever is held elsewhere; that becomes surplus later. */
  private void supply(Boots.Sort sort, int count, Moment now) {
    int left = count - surplus.keep(sort, count, now);
    if (left > 0 && sort.spot()) {
      left -= renter.rent(sort, left, now);
    }
    if (left > 0) {
      renter.rent(new Boots.Sort(sort.type(), sort.zone(), false), left, now);
    }
  }

  private int held(MachineType type) {
    int held = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name())
          && machine.schedulingMode() == SchedulingMode.ACTIVE) {
        held++;
      }
    }
    return held;
  }

  private void adjust(MachineType type, Need need, int wanted, Moment now) {
    int ordinary = 0;
    int spot = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name()) && counts(machine, now)) {
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
    enoughByType.put(type.name(), wanted - (int) Math.max(0, (wanted - need.total()) / 2));
    summary =
        String.format(
            Locale.ROOT,
            "need %.1f (ordinary %.1f, tight %.1f) wanted %d held %d",
            need.total(),
            need.ordinary(),
            need.tight(),
            wanted,
            ordinary + spot);
    if (missing > 0) {
      int kept = surplus.keepOrdinary(type, lacking, now);
      lacking -= kept;
      missing -= kept;
      missing -= surplus.keep(type, missing - lacking, now);
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
      surplus.retire(type, -missing, ordinary - wantedOrdinary, now);
    }
  }

  /** Whether the cloud's list has shown all that was rented before this leader rose. */
  public boolean listKnown() {
    return listKnown;
  }

  /** Whether the cloud did not answer when its list was last asked for. */
  public boolean cloudFails() {
    return cloudFails;
  }

  /** By when a machine rented in this one's place is up, or is given up. */
  public Span bootsWithin(Machine machine) {
    return boots.givenUpAfter(Boots.Sort.of(machine), machine.type());
  }

  /** Whether machines of some sort failed to come up one after the other a short time ago. */
  public boolean bootsFail(Moment now) {
    return boots.anyBlamed(now);
  }

  /**
   * How many machines of a type are up and could be done without, those that a plan has chosen too:
   * half of what is held beyond the need may be missing for a while.
   */
  public int spare(MachineType type) {
    Integer enough = enoughByType.get(type.name());
    if (enough == null) {
      return 0;
    }
    int up = 0;
    for (Machine machine : fleet.machines()) {
      boolean serves =
          machine.state() == Machine.State.UP
              && (machine.schedulingMode() == SchedulingMode.ACTIVE
                  || machine.schedulingMode() == SchedulingMode.DRAIN_PENDING);
      up += serves && machine.type().name().equals(type.name()) ? 1 : 0;
    }
    return up - enough;
  }

  /** One line on the last plan, for the log. */
  public String summary() {
    return summary;
  }

  private boolean counts(Machine machine, Moment now) {
    return switch (machine.state()) {
      case BOOTING ->
          !now.isPast(
              machine.knownSince(), boots.replacedAfter(Boots.Sort.of(machine), machine.type()));
      case REGISTERING, UNCONFIRMED -> true;
      // Many silent at once are out of reach for a while; to rent as many again would be waste.
      case UP ->
          machine.schedulingMode() == SchedulingMode.ACTIVE
              && !now.isPast(
                  machine.lastReportAt(), health.listens(now) ? suspectAfter : OUT_OF_REACH);
      case LEASE_EXPIRED, RETURNING, GONE -> false;
    };
  }
}
