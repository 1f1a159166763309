package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.product.DawnTerms;

/** Puts together what is to be done by dawn and what room there is, and has a plan made of it. */
final class DraftBuilder {
  /** Groups that a plan may have; those with the least work are planned as one. */
  static final int MAX_GROUPS = 64;

  private final Settings settings;
  private final Supplier<List<JobSpec>> reservedFor;
  private final RunTimeDistribution runTimes;
  private final CapacityForecast capacity;

  DraftBuilder(Settings settings, PlanningStatistics learned, Supplier<List<JobSpec>> kept) {
    this.reservedFor = kept;
    this.settings = settings;
    this.runTimes = learned.runTimes;
    this.capacity = learned.capacity;
  }

  /** What a plan is made from, beside what was learned. */
  record PlanInputs(
      JobGroups groups,
      List<DawnTerms> dawns,
      Map<String, PlanningWindow> openWindows,
      PlanningStatistics statistics,
      ActivePlan activePlan,
      Map<GroupKey, Integer> acceptedEarlier) {

    /** The dawn by which a job is to be done: of the open ones that cover it, the next one. */
    Optional<DawnTerms> dawnOf(JobSpec spec) {
      return dawns.stream()
          .filter(dawn -> openWindows.containsKey(dawn.name()) && dawn.covers(spec))
          .min(Comparator.comparing(dawn -> openWindows.get(dawn.name()).finishBy().millis()));
    }
  }

  /** One group of the plan, with the dawn that counts for it. */
  private record PlannedGroup(
      GroupKey key,
      DawnTerms dawn,
      JobGroups.JobGroup group,
      int acceptedTasks,
      int promisedTasks) {
    double waitingSeconds() {
      return group.waitingTasks * group.meanEstimate();
    }
  }

  /** Makes a plan for the open windows; empty if there is no time left in any. */
  Optional<PlanDraft> draft(
      PlanInputs night, Fleet fleet, Map<String, MachineType> types, Moment now, WallTime wall) {
    double seconds =
        night.openWindows().values().stream()
            .mapToDouble(window -> window.timeLeft(wall).asSeconds())
            .max()
            .orElse(0);
    if (seconds < 1) {
      return Optional.empty();
    }
    List<CapacityForecast.PoolForecast> sorts =
        capacity.forecast(
            fleet.machines(), types, demandOfOthers(night, fleet), Span.seconds(seconds), now);
    List<PlannedGroup> parts = plannedGroups(night);
    List<PlanSolver.GroupLoad> loads = new ArrayList<>();
    double longest =
        parts.stream()
            .mapToDouble(part -> part.group().waitingTasks > 0 ? longestRun(part) : 0)
            .max()
            .orElse(0);
    for (PlannedGroup part : parts) {
      double gathers = gangWaitSeconds(part, longest, fleet);
      loads.add(load(part, night, sorts, gathers, wall));
    }
    for (DawnTerms dawn : night.dawns()) {
      if (night.openWindows().containsKey(dawn.name())) {
        loads.addAll(expected(dawn, night, sorts, seconds, wall));
      }
    }
    Schedule schedule =
        new Schedule(
            sorts.stream().map(CapacityForecast.PoolForecast::pool).toList(),
            limitFractionsLeft(fleet),
            seconds);
    boolean doubtful =
        night.dawns().stream()
            .anyMatch(
                dawn ->
                    night.activePlan().window(dawn.name()).filter(n -> n.share() < 1).isPresent());
    PlanSolver.Solution plan = new PlanSolver(schedule, seconds).solve(loads, doubtful);
    List<PlanDraft.DraftGroup> lines = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      PlannedGroup part = parts.get(i);
      lines.add(
          new PlanDraft.DraftGroup(
              part.key(),
              part.dawn().name(),
              part.acceptedTasks(),
              part.promisedTasks(),
              part.group().waitingTasks,
              loads.get(i).work().runSeconds(),
              loads.get(i).work().tailSeconds(),
              plan.times().get(part.key().toString()),
              plan.missingMachineHours().getOrDefault(part.key().toString(), 0.0)));
    }
    double boot =
        types.values().stream().mapToDouble(type -> type.boot().asSeconds()).max().orElse(0);
    double free = sorts.stream().mapToDouble(sort -> average(sort.pool().freeHeld())).sum();
    double more = sorts.stream().mapToDouble(sort -> average(sort.pool().obtainable())).sum();
    return Optional.of(new PlanDraft(plan, lines, Math.max(1, seconds - boot), free, more));
  }

  private static double average(double[] values) {
    return java.util.Arrays.stream(values).average().orElse(0);
  }

  /**
   * Services that wait, headroom, and what teams without a part in the night are guaranteed and ask
   * for.
   */
  private Room demandOfOthers(PlanInputs night, Fleet fleet) {
    Room waiting = night.groups().serviceDemand();
    for (JobSpec spec : reservedFor.get()) {
      waiting = waiting.plus(spec.room().times(spec.tasks()));
    }
    for (Settings.Team team : settings.teams().values()) {
      Room asked = night.groups().otherDemand(team.name());
      Room use = fleet.use(team.name());
      double cpus = Math.min(team.cpus(), asked.cpus()) - use.cpus();
      double gpus = Math.min(team.gpus(), asked.gpus()) - use.gpus();
      waiting = waiting.plus(new Room(Math.max(0, cpus), Math.max(0, gpus), 0));
    }
    return waiting;
  }

  /** Parts of teams' limits that are left beside what runs of them and has no end. */
  private Map<String, Double> limitFractionsLeft(Fleet fleet) {
    Map<String, Double> left = new HashMap<>();
    settings.teams().keySet().forEach(team -> left.put(team, 1.0));
    for (Machine machine : fleet.machines()) {
      for (Placement placement : machine.placements()) {
        if (placement.endsBy() == null) {
          JobSpec spec = placement.job().spec();
          left.merge(spec.team(), -limitFraction(spec.team(), spec.room()), Double::sum);
        }
      }
    }
    return left;
  }

  /** What part of its team's limit a task takes; zero if there is none. */
  private double limitFraction(String name, Room room) {
    Settings.Team team = settings.teams().get(name);
    if (team == null) {
      return 0;
    }
    double cpus = team.cpusMax() > 0 ? room.cpus() / team.cpusMax() : 0;
    double gpus = team.gpusMax() > 0 ? room.gpus() / team.gpusMax() : 0;
    return Math.max(cpus, gpus);
  }

  private List<PlannedGroup> plannedGroups(PlanInputs night) {
    List<PlannedGroup> parts = new ArrayList<>();
    for (JobGroups.JobGroup group : night.groups().all()) {
      Optional<DawnTerms> dawn = night.dawnOf(group.representative);
      if (dawn.isPresent()) {
        int seen = night.acceptedEarlier().getOrDefault(group.key, 0) + group.acceptedTasks;
        PlanningWindow window = night.openWindows().get(dawn.get().name());
        int promised =
            night
                .activePlan()
                .find(group.key)
                .filter(entry -> entry.window().deadline().equals(window.deadline()))
                .map(entry -> Math.min(seen, entry.group().promisedTasks()))
                .orElse(0);
        if (seen > 0) {
          parts.add(new PlannedGroup(group.key, dawn.get(), group, seen, promised));
        }
      }
    }
    parts.sort(
        Comparator.comparingDouble(PlannedGroup::waitingSeconds)
            .reversed()
            .thenComparing(part -> part.key().toString()));
    return parts.size() <= MAX_GROUPS ? parts : merged(parts);
  }

  /** Those with the least work become one: as long as its longest, and as early as its first. */
  private static List<PlannedGroup> merged(List<PlannedGroup> parts) {
    List<PlannedGroup> kept = new ArrayList<>(parts.subList(0, MAX_GROUPS - 1));
    List<PlannedGroup> small = parts.subList(MAX_GROUPS - 1, parts.size());
    JobGroups.JobGroup sum =
        new JobGroups.JobGroup(GroupKey.OTHERS, small.get(0).group().representative);
    int seen = 0;
    int promised = 0;
    for (PlannedGroup part : small) {
      sum.openTasks += part.group().openTasks;
      sum.waitingTasks += part.group().waitingTasks;
      sum.openSeconds += part.group().openSeconds;
      sum.longestEstimate = Math.max(sum.longestEstimate, part.group().longestEstimate);
      sum.jobs.addAll(part.group().jobs);
      seen += part.acceptedTasks();
      promised += part.promisedTasks();
    }
    kept.add(new PlannedGroup(GroupKey.OTHERS, small.get(0).dawn(), sum, seen, promised));
    return kept;
  }

  private double longestRun(PlannedGroup part) {
    return part.group().longestEstimate
        * runTimes.quantileRatio(part.group().representative.jobClass(), part.dawn().quantile());
  }

  /**
   * How long a gang waits for its places: they come free one after the other, as what runs there
   * ends, and the more of all it needs, the longer the last of them takes.
   */
  private static double gangWaitSeconds(PlannedGroup part, double longest, Fleet fleet) {
    int width = part.group().maxGangWidth;
    double places = 0;
    for (Machine machine : fleet.machines()) {
      places +=
          machine.state() == Machine.State.UP
              ? machine.type().room().count(part.group().representative.room())
              : 0;
    }
    return width <= 1 || places <= 0 ? 0 : longest * Math.min(1, 4 * width / places);
  }

  private PlanSolver.GroupLoad load(
      PlannedGroup part,
      PlanInputs night,
      List<CapacityForecast.PoolForecast> sorts,
      double gathers,
      WallTime wall) {
    JobSpec sample = part.group().representative;
    double mean = runTimes.meanRatio(sample.jobClass());
    double most = runTimes.quantileRatio(sample.jobClass(), part.dawn().quantile());
    // The more jobs there are, the less their sum strays; the last of them may still take long.
    double strays = (most - mean) / Math.sqrt(Math.max(1, part.group().jobs.size()));
    double run = Math.max(0.1, part.group().meanEstimate() * (mean + strays));
    double fetch =
        sorts.stream()
            .mapToDouble(sort -> sort.type().fetch(sample.imageGb()).asSeconds())
            .max()
            .orElse(0);
    double tail = Math.max(run, longestRun(part)) + fetch + gathers;
    double[] released = new double[Schedule.SLOTS];
    java.util.Arrays.fill(released, part.group().waitingTasks);
    double due = night.openWindows().get(part.dawn().name()).timeLeft(wall).asSeconds();
    Schedule.GroupWork work =
        new Schedule.GroupWork(
            part.key().toString(),
            released,
            run,
            tail,
            due,
            machineFractions(sample, sorts),
            part.group().maxGangWidth,
            sample.team(),
            limitFraction(sample.team(), sample.room()));
    return new PlanSolver.GroupLoad(
        work,
        part.acceptedTasks(),
        part.acceptedTasks() - part.group().waitingTasks,
        part.promisedTasks());
  }

  /** Parts of machines that a task takes, by sort; zero where the job may not run. */
  private static double[] machineFractions(
      JobSpec spec, List<CapacityForecast.PoolForecast> sorts) {
    double[] use = new double[sorts.size()];
    for (int i = 0; i < use.length; i++) {
      CapacityForecast.MachinePoolKey sort = sorts.get(i).key();
      use[i] =
          spec.allows(sort.type(), sort.zone(), sort.spot())
              ? machineFraction(spec.room(), sorts.get(i).type())
              : 0;
    }
    return use;
  }

  private static double machineFraction(Room room, MachineType type) {
    int each = type.room().count(room);
    return each <= 0 ? 0 : 1.0 / each;
  }

  /** What usually comes until dawn, as far as it can be done then. */
  private List<PlanSolver.GroupLoad> expected(
      DawnTerms dawn,
      PlanInputs night,
      List<CapacityForecast.PoolForecast> sorts,
      double seconds,
      WallTime wall) {
    PlanningWindow window = night.openWindows().get(dawn.name());
    double due = window.timeLeft(wall).asSeconds();
    double slice = PlanningWindow.sliceLength(dawn).asSeconds();
    List<PlanSolver.GroupLoad> loads = new ArrayList<>();
    for (ArrivalForecast.ExpectedArrivals expected :
        night.statistics().arrivals(dawn.name()).expected(dawn, wall, window.finishBy())) {
      String jobClass = expected.source().jobClass();
      double run = Math.max(0.1, expected.runSeconds() * runTimes.meanRatio(jobClass));
      double tail =
          Math.max(run, expected.runSeconds() * runTimes.quantileRatio(jobClass, dawn.quantile()));
      double[] released = new double[Schedule.SLOTS];
      expected
          .tasksBySlice()
          .forEach(
              (ahead, tasks) -> {
                double at = ahead * slice;
                if (at + tail < due) {
                  int from = (int) Math.min(Schedule.SLOTS - 1, at * Schedule.SLOTS / seconds);
                  for (int k = from; k < released.length; k++) {
                    released[k] += tasks;
                  }
                }
              });
      double[] use = new double[sorts.size()];
      for (int i = 0; i < use.length; i++) {
        use[i] = machineFraction(expected.resources(), sorts.get(i).type());
      }
      loads.add(
          new PlanSolver.GroupLoad(
              new Schedule.GroupWork(
                  "coming " + dawn.name() + " " + expected.source(),
                  released,
                  run,
                  tail,
                  due,
                  use,
                  1,
                  expected.source().team(),
                  limitFraction(expected.source().team(), expected.resources())),
              0,
              0,
              0));
    }
    return loads;
  }
}
