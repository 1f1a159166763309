package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * Drafts a plan: collects the work to complete by the deadline and the capacity available until
 * then, and passes both to the solver.
 */
final class DraftBuilder {
  /** Maximum number of groups in a plan; the ones with the least work are combined. */
  static final int MAX_GROUPS = 64;

  private final Settings settings;
  private final Supplier<List<JobSpec>> reservedFor;
  private final RunTimeDistribution runTimes;
  private final CapacityForecast capacity;

  DraftBuilder(
      Settings settings, PlanningStatistics statistics, Supplier<List<JobSpec>> reservedFor) {
    this.reservedFor = reservedFor;
    this.settings = settings;
    this.runTimes = statistics.runTimes;
    this.capacity = statistics.capacity;
  }

  /**
   * The planner's state that a draft is based on.
   *
   * @param acceptedEarlier by group, tasks accepted for the window that this leader can't count
   *     itself, because their jobs ended before its term
   */
  record PlanInputs(
      JobGroups groups,
      List<BatchDeadlineTerms> dawns,
      Map<String, PlanningWindow> openWindows,
      PlanningStatistics statistics,
      ActivePlan activePlan,
      Map<GroupKey, Integer> acceptedEarlier) {

    /** Returns the dawn with the earliest deadline among those that are open and cover a job. */
    Optional<BatchDeadlineTerms> dawnOf(JobSpec spec) {
      return dawns.stream()
          .filter(dawn -> openWindows.containsKey(dawn.name()) && dawn.covers(spec))
          .min(Comparator.comparing(dawn -> openWindows.get(dawn.name()).finishBy().millis()));
    }
  }

  /** A group of the plan and the dawn that covers it. */
  private record PlannedGroup(
      GroupKey key,
      BatchDeadlineTerms dawn,
      JobGroups.JobGroup jobGroup,
      int acceptedTasks,
      int promisedTasks) {
    double waitingSeconds() {
      return jobGroup.waitingTasks * jobGroup.meanEstimate();
    }
  }

  /** Drafts a plan for the open windows; empty if no window has time left. */
  Optional<PlanDraft> draft(
      PlanInputs inputs,
      Fleet fleet,
      Map<String, MachineType> types,
      MonotonicTime now,
      WallTime wallTime) {
    double seconds =
        inputs.openWindows().values().stream()
            .mapToDouble(window -> window.timeLeft(wallTime).asSeconds())
            .max()
            .orElse(0);
    if (seconds < 1) {
      return Optional.empty();
    }
    List<CapacityForecast.PoolForecast> pools =
        capacity.forecast(
            fleet.machines(), types, demandOfOthers(inputs, fleet), TimeSpan.seconds(seconds), now);
    List<PlannedGroup> planned = plannedGroups(inputs);
    List<PlanSolver.GroupLoad> loads = new ArrayList<>();
    double longest =
        planned.stream()
            .mapToDouble(group -> group.jobGroup().waitingTasks > 0 ? longestRun(group) : 0)
            .max()
            .orElse(0);
    for (PlannedGroup group : planned) {
      double gangWait = gangWaitSeconds(group, longest, fleet);
      loads.add(load(group, inputs, pools, gangWait, wallTime));
    }
    for (BatchDeadlineTerms dawn : inputs.dawns()) {
      if (inputs.openWindows().containsKey(dawn.name())) {
        loads.addAll(expected(dawn, inputs, pools, seconds, wallTime));
      }
    }
    Schedule schedule =
        new Schedule(
            pools.stream().map(CapacityForecast.PoolForecast::pool).toList(),
            limitFractionsLeft(fleet),
            seconds);
    boolean wasInfeasible =
        inputs.dawns().stream()
            .anyMatch(
                dawn ->
                    inputs
                        .activePlan()
                        .window(dawn.name())
                        .filter(row -> row.share() < 1)
                        .isPresent());
    PlanSolver.Solution solution = new PlanSolver(schedule, seconds).solve(loads, wasInfeasible);
    List<PlanDraft.DraftGroup> draftGroups = new ArrayList<>();
    for (int i = 0; i < planned.size(); i++) {
      PlannedGroup group = planned.get(i);
      draftGroups.add(
          new PlanDraft.DraftGroup(
              group.key(),
              group.dawn().name(),
              group.acceptedTasks(),
              group.promisedTasks(),
              group.jobGroup().waitingTasks,
              loads.get(i).work().runSeconds(),
              loads.get(i).work().tailSeconds(),
              solution.times().get(group.key().toString()),
              solution.missingMachineHours().getOrDefault(group.key().toString(), 0.0)));
    }
    double bootSeconds =
        types.values().stream().mapToDouble(type -> type.bootTime().asSeconds()).max().orElse(0);
    double averageFree = pools.stream().mapToDouble(pool -> average(pool.pool().freeHeld())).sum();
    double averageObtainable =
        pools.stream().mapToDouble(pool -> average(pool.pool().obtainable())).sum();
    return Optional.of(
        new PlanDraft(
            solution,
            draftGroups,
            Math.max(1, seconds - bootSeconds),
            averageFree,
            averageObtainable));
  }

  private static double average(double[] values) {
    return java.util.Arrays.stream(values).average().orElse(0);
  }

  /**
   * Returns the resources that other work will take: waiting services, headroom, and the guaranteed
   * part of what teams request for jobs that no dawn covers.
   */
  private Resources demandOfOthers(PlanInputs inputs, Fleet fleet) {
    Resources waiting = inputs.groups().serviceDemand();
    for (JobSpec spec : reservedFor.get()) {
      waiting = waiting.plus(spec.resources().times(spec.tasks()));
    }
    for (Settings.Team team : settings.teams().values()) {
      Resources demand = inputs.groups().otherDemand(team.name());
      Resources usage = fleet.teamUsage(team.name());
      double cpus = Math.min(team.cpus(), demand.cpus()) - usage.cpus();
      double gpus = Math.min(team.gpus(), demand.gpus()) - usage.gpus();
      waiting = waiting.plus(new Resources(Math.max(0, cpus), Math.max(0, gpus), 0));
    }
    return waiting;
  }

  /** Returns the fraction of each team's limit that its running tasks without an end leave free. */
  private Map<String, Double> limitFractionsLeft(Fleet fleet) {
    Map<String, Double> left = new HashMap<>();
    settings.teams().keySet().forEach(team -> left.put(team, 1.0));
    for (Machine machine : fleet.machines()) {
      for (Placement placement : machine.placements()) {
        if (placement.expectedEnd() == null) {
          JobSpec spec = placement.job().spec();
          left.merge(spec.team(), -limitFraction(spec.team(), spec.resources()), Double::sum);
        }
      }
    }
    return left;
  }

  /** Returns the fraction of its team's limit that a task takes; zero if there is no limit. */
  private double limitFraction(String team, Resources resources) {
    Settings.Team limits = settings.teams().get(team);
    if (limits == null) {
      return 0;
    }
    double cpus = limits.cpusMax() > 0 ? resources.cpus() / limits.cpusMax() : 0;
    double gpus = limits.gpusMax() > 0 ? resources.gpus() / limits.gpusMax() : 0;
    return Math.max(cpus, gpus);
  }

  private List<PlannedGroup> plannedGroups(PlanInputs inputs) {
    List<PlannedGroup> planned = new ArrayList<>();
    for (JobGroups.JobGroup group : inputs.groups().all()) {
      Optional<BatchDeadlineTerms> dawn = inputs.dawnOf(group.representative);
      if (dawn.isPresent()) {
        int accepted = inputs.acceptedEarlier().getOrDefault(group.key, 0) + group.acceptedTasks;
        PlanningWindow window = inputs.openWindows().get(dawn.get().name());
        int promised =
            inputs
                .activePlan()
                .find(group.key)
                .filter(active -> active.window().deadline().equals(window.deadline()))
                .map(active -> Math.min(accepted, active.group().promisedTasks()))
                .orElse(0);
        if (accepted > 0) {
          planned.add(new PlannedGroup(group.key, dawn.get(), group, accepted, promised));
        }
      }
    }
    planned.sort(
        Comparator.comparingDouble(PlannedGroup::waitingSeconds)
            .reversed()
            .thenComparing(group -> group.key().toString()));
    return planned.size() <= MAX_GROUPS ? planned : merged(planned);
  }

  /**
   * Combines the groups with the least work into one, which is planned with the longest of their
   * run times and with the dawn of the first of them.
   */
  private static List<PlannedGroup> merged(List<PlannedGroup> planned) {
    List<PlannedGroup> largest = new ArrayList<>(planned.subList(0, MAX_GROUPS - 1));
    List<PlannedGroup> smallest = planned.subList(MAX_GROUPS - 1, planned.size());
    JobGroups.JobGroup combined =
        new JobGroups.JobGroup(GroupKey.OTHERS, smallest.get(0).jobGroup().representative);
    int accepted = 0;
    int promised = 0;
    for (PlannedGroup group : smallest) {
      combined.openTasks += group.jobGroup().openTasks;
      combined.waitingTasks += group.jobGroup().waitingTasks;
      combined.openSeconds += group.jobGroup().openSeconds;
      combined.longestEstimate =
          Math.max(combined.longestEstimate, group.jobGroup().longestEstimate);
      combined.jobs.addAll(group.jobGroup().jobs);
      accepted += group.acceptedTasks();
      promised += group.promisedTasks();
    }
    largest.add(
        new PlannedGroup(GroupKey.OTHERS, smallest.get(0).dawn(), combined, accepted, promised));
    return largest;
  }

  private double longestRun(PlannedGroup group) {
    return group.jobGroup().longestEstimate
        * runTimes.quantileRatio(
            group.jobGroup().representative.jobClass(), group.dawn().runTimeQuantile());
  }

  /**
   * Returns how long a gang waits until enough room is free for all its tasks. Room is released one
   * task at a time as running tasks end, so a gang that needs a larger part of all room waits
   * longer.
   */
  private static double gangWaitSeconds(PlannedGroup group, double longest, Fleet fleet) {
    int width = group.jobGroup().maxGangWidth;
    double places = 0;
    for (Machine machine : fleet.machines()) {
      places +=
          machine.state() == Machine.State.UP
              ? machine.type().resources().capacityFor(group.jobGroup().representative.resources())
              : 0;
    }
    return width <= 1 || places <= 0 ? 0 : longest * Math.min(1, 4 * width / places);
  }

  private PlanSolver.GroupLoad load(
      PlannedGroup group,
      PlanInputs inputs,
      List<CapacityForecast.PoolForecast> pools,
      double gangWait,
      WallTime wallTime) {
    JobSpec spec = group.jobGroup().representative;
    double mean = runTimes.meanRatio(spec.jobClass());
    double atQuantile = runTimes.quantileRatio(spec.jobClass(), group.dawn().runTimeQuantile());
    // The total run time of many jobs varies less than that of one, but the last of them may still
    // take long.
    double spread = (atQuantile - mean) / Math.sqrt(Math.max(1, group.jobGroup().jobs.size()));
    double run = Math.max(0.1, group.jobGroup().meanEstimate() * (mean + spread));
    double fetchSeconds =
        pools.stream()
            .mapToDouble(pool -> pool.type().fetchTime(spec.imageGb()).asSeconds())
            .max()
            .orElse(0);
    double tail = Math.max(run, longestRun(group)) + fetchSeconds + gangWait;
    double[] releasedBySlot = new double[Schedule.SLOTS];
    java.util.Arrays.fill(releasedBySlot, group.jobGroup().waitingTasks);
    double dueSeconds =
        inputs.openWindows().get(group.dawn().name()).timeLeft(wallTime).asSeconds();
    Schedule.GroupWork work =
        new Schedule.GroupWork(
            group.key().toString(),
            releasedBySlot,
            run,
            tail,
            dueSeconds,
            machineFractions(spec, pools),
            group.jobGroup().maxGangWidth,
            spec.team(),
            limitFraction(spec.team(), spec.resources()));
    return new PlanSolver.GroupLoad(
        work,
        group.acceptedTasks(),
        group.acceptedTasks() - group.jobGroup().waitingTasks,
        group.promisedTasks());
  }

  /** Returns the fraction of a machine that a task takes, by pool; zero where it may not run. */
  private static double[] machineFractions(
      JobSpec spec, List<CapacityForecast.PoolForecast> pools) {
    double[] fractions = new double[pools.size()];
    for (int i = 0; i < fractions.length; i++) {
      CapacityForecast.MachinePoolKey key = pools.get(i).key();
      fractions[i] =
          spec.allows(key.type(), key.zone(), key.spot())
              ? machineFraction(spec.resources(), pools.get(i).type())
              : 0;
    }
    return fractions;
  }

  private static double machineFraction(Resources resources, MachineType type) {
    int perMachine = type.resources().capacityFor(resources);
    return perMachine <= 0 ? 0 : 1.0 / perMachine;
  }

  /** Returns the work expected to arrive before the deadline that can still be completed by it. */
  private List<PlanSolver.GroupLoad> expected(
      BatchDeadlineTerms dawn,
      PlanInputs inputs,
      List<CapacityForecast.PoolForecast> pools,
      double seconds,
      WallTime wallTime) {
    PlanningWindow window = inputs.openWindows().get(dawn.name());
    double dueSeconds = window.timeLeft(wallTime).asSeconds();
    double sliceSeconds = PlanningWindow.sliceLength(dawn).asSeconds();
    List<PlanSolver.GroupLoad> loads = new ArrayList<>();
    for (ArrivalForecast.ExpectedArrivals expected :
        inputs.statistics().arrivals(dawn.name()).expected(dawn, wallTime, window.finishBy())) {
      String jobClass = expected.source().jobClass();
      double run = Math.max(0.1, expected.runSeconds() * runTimes.meanRatio(jobClass));
      double tail =
          Math.max(
              run,
              expected.runSeconds() * runTimes.quantileRatio(jobClass, dawn.runTimeQuantile()));
      double[] releasedBySlot = new double[Schedule.SLOTS];
      expected
          .tasksBySlice()
          .forEach(
              (slice, tasks) -> {
                double arrival = slice * sliceSeconds;
                if (arrival + tail < dueSeconds) {
                  int firstSlot =
                      (int) Math.min(Schedule.SLOTS - 1, arrival * Schedule.SLOTS / seconds);
                  for (int k = firstSlot; k < releasedBySlot.length; k++) {
                    releasedBySlot[k] += tasks;
                  }
                }
              });
      double[] fractions = new double[pools.size()];
      for (int i = 0; i < fractions.length; i++) {
        fractions[i] = machineFraction(expected.resources(), pools.get(i).type());
      }
      loads.add(
          new PlanSolver.GroupLoad(
              new Schedule.GroupWork(
                  "coming " + dawn.name() + " " + expected.source(),
                  releasedBySlot,
                  run,
                  tail,
                  dueSeconds,
                  fractions,
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
