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
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.BatchDeadlineTerms;

/** Puts together what is to be done by dawn and what room there is, and has a plan made of it. */
final class NightWork {
  /** Groups that a plan may have; those with the least work are planned as one. */
  static final int MOST_GROUPS = 64;

  private final Settings settings;
  private final Supplier<List<JobSpec>> kept;
  private final RunSpread runs;
  private final RoomForecast room;

  NightWork(Settings settings, Learned learned, Supplier<List<JobSpec>> kept) {
    this.kept = kept;
    this.settings = settings;
    this.runs = learned.runs;
    this.room = learned.room;
  }

  /** What a plan is made from, beside what was learned. */
  record Night(
      Groups groups,
      List<BatchDeadlineTerms> dawns,
      Map<String, Window> open,
      Learned learned,
      PlanInForce inForce,
      Map<GroupKey, Integer> earlier) {

    /** The dawn by which a job is to be done: of the open ones that cover it, the next one. */
    Optional<BatchDeadlineTerms> dawnOf(JobSpec spec) {
      return dawns.stream()
          .filter(dawn -> open.containsKey(dawn.name()) && dawn.covers(spec))
          .min(Comparator.comparing(dawn -> open.get(dawn.name()).ends().millis()));
    }
  }

  /** One group of the plan, with the dawn that counts for it. */
  private record Part(
      GroupKey key, BatchDeadlineTerms dawn, Groups.Group group, int seen, int promised) {
    double seconds() {
      return group.waiting * group.guess();
    }
  }

  /** Makes a plan for the open windows; empty if there is no time left in any. */
  Optional<Draft> draft(
      Night night, Fleet fleet, Map<String, MachineType> types, Moment now, WallTime wall) {
    double seconds =
        night.open().values().stream()
            .mapToDouble(window -> window.left(wall).asSeconds())
            .max()
            .orElse(0);
    if (seconds < 1) {
      return Optional.empty();
    }
    List<RoomForecast.Outlook> sorts =
        room.outlook(fleet.machines(), types, taken(night, fleet), Span.seconds(seconds), now);
    List<Part> parts = parts(night);
    List<PlanMaker.Load> loads = new ArrayList<>();
    double longest =
        parts.stream()
            .mapToDouble(part -> part.group().waiting > 0 ? longest(part) : 0)
            .max()
            .orElse(0);
    for (Part part : parts) {
      double gathers = gathers(part, longest, fleet);
      loads.add(load(part, night, sorts, gathers, wall));
    }
    for (BatchDeadlineTerms dawn : night.dawns()) {
      if (night.open().containsKey(dawn.name())) {
        loads.addAll(expected(dawn, night, sorts, seconds, wall));
      }
    }
    Schedule schedule =
        new Schedule(
            sorts.stream().map(RoomForecast.Outlook::pool).toList(), limits(fleet), seconds);
    boolean doubtful =
        night.dawns().stream()
            .anyMatch(
                dawn -> night.inForce().night(dawn.name()).filter(n -> n.share() < 1).isPresent());
    PlanMaker.Plan plan = new PlanMaker(schedule, seconds).make(loads, doubtful);
    List<Draft.Line> lines = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      Part part = parts.get(i);
      lines.add(
          new Draft.Line(
              part.key(),
              part.dawn().name(),
              part.seen(),
              part.promised(),
              part.group().waiting,
              loads.get(i).work().run(),
              loads.get(i).work().tail(),
              plan.times().get(part.key().toString()),
              plan.missing().getOrDefault(part.key().toString(), 0.0)));
    }
    double boot =
        types.values().stream().mapToDouble(type -> type.bootTime().asSeconds()).max().orElse(0);
    double free = sorts.stream().mapToDouble(sort -> average(sort.pool().held())).sum();
    double more = sorts.stream().mapToDouble(sort -> average(sort.pool().more())).sum();
    return Optional.of(new Draft(plan, lines, Math.max(1, seconds - boot), free, more));
  }

  private static double average(double[] values) {
    return java.util.Arrays.stream(values).average().orElse(0);
  }

  /**
   * Services that wait, headroom, and what teams without a part in the night are guaranteed and ask
   * for.
   */
  private Resources taken(Night night, Fleet fleet) {
    Resources waiting = night.groups().servicesWaiting();
    for (JobSpec spec : kept.get()) {
      waiting = waiting.plus(spec.resources().times(spec.tasks()));
    }
    for (Settings.Team team : settings.teams().values()) {
      Resources asked = night.groups().others(team.name());
      Resources use = fleet.teamUsage(team.name());
      double cpus = Math.min(team.cpus(), asked.cpus()) - use.cpus();
      double gpus = Math.min(team.gpus(), asked.gpus()) - use.gpus();
      waiting = waiting.plus(new Resources(Math.max(0, cpus), Math.max(0, gpus), 0));
    }
    return waiting;
  }

  /** Parts of teams' limits that are left beside what runs of them and has no end. */
  private Map<String, Double> limits(Fleet fleet) {
    Map<String, Double> left = new HashMap<>();
    settings.teams().keySet().forEach(team -> left.put(team, 1.0));
    for (Machine machine : fleet.machines()) {
      for (Placement placement : machine.placements()) {
        if (placement.expectedEnd() == null) {
          JobSpec spec = placement.job().spec();
          left.merge(spec.team(), -ofLimit(spec.team(), spec.resources()), Double::sum);
        }
      }
    }
    return left;
  }

  /** What part of its team's limit a task takes; zero if there is none. */
  private double ofLimit(String name, Resources room) {
    Settings.Team team = settings.teams().get(name);
    if (team == null) {
      return 0;
    }
    double cpus = team.cpusMax() > 0 ? room.cpus() / team.cpusMax() : 0;
    double gpus = team.gpusMax() > 0 ? room.gpus() / team.gpusMax() : 0;
    return Math.max(cpus, gpus);
  }

  private List<Part> parts(Night night) {
    List<Part> parts = new ArrayList<>();
    for (Groups.Group group : night.groups().all()) {
      Optional<BatchDeadlineTerms> dawn = night.dawnOf(group.sample);
      if (dawn.isPresent()) {
        int seen = night.earlier().getOrDefault(group.key, 0) + group.came;
        Window window = night.open().get(dawn.get().name());
        int promised =
            night
                .inForce()
                .find(group.key)
                .filter(entry -> entry.night().dawnAt().equals(window.dawn()))
                .map(entry -> Math.min(seen, entry.group().promised()))
                .orElse(0);
        if (seen > 0) {
          parts.add(new Part(group.key, dawn.get(), group, seen, promised));
        }
      }
    }
    parts.sort(
        Comparator.comparingDouble(Part::seconds)
            .reversed()
            .thenComparing(part -> part.key().toString()));
    return parts.size() <= MOST_GROUPS ? parts : merged(parts);
  }

  /** Those with the least work become one: as long as its longest, and as early as its first. */
  private static List<Part> merged(List<Part> parts) {
    List<Part> kept = new ArrayList<>(parts.subList(0, MOST_GROUPS - 1));
    List<Part> small = parts.subList(MOST_GROUPS - 1, parts.size());
    Groups.Group sum = new Groups.Group(GroupKey.OTHERS, small.get(0).group().sample);
    int seen = 0;
    int promised = 0;
    for (Part part : small) {
      sum.open += part.group().open;
      sum.waiting += part.group().waiting;
      sum.seconds += part.group().seconds;
      sum.longest = Math.max(sum.longest, part.group().longest);
      sum.jobs.addAll(part.group().jobs);
      seen += part.seen();
      promised += part.promised();
    }
    kept.add(new Part(GroupKey.OTHERS, small.get(0).dawn(), sum, seen, promised));
    return kept;
  }

  private double longest(Part part) {
    return part.group().longest
        * runs.quantile(part.group().sample.jobClass(), part.dawn().runTimeQuantile());
  }

  /**
   * How long a gang waits for its places: they come free one after the other, as what runs there
   * ends, and the more of all it needs, the longer the last of them takes.
   */
  private static double gathers(Part part, double longest, Fleet fleet) {
    int width = part.group().widest;
    double places = 0;
    for (Machine machine : fleet.machines()) {
      places +=
          machine.state() == Machine.State.UP
              ? machine.type().room().capacityFor(part.group().sample.resources())
              : 0;
    }
    return width <= 1 || places <= 0 ? 0 : longest * Math.min(1, 4 * width / places);
  }

  private PlanMaker.Load load(
      Part part, Night night, List<RoomForecast.Outlook> sorts, double gathers, WallTime wall) {
    JobSpec sample = part.group().sample;
    double mean = runs.mean(sample.jobClass());
    double most = runs.quantile(sample.jobClass(), part.dawn().runTimeQuantile());
    // The more jobs there are, the less their sum strays; the last of them may still take long.
    double strays = (most - mean) / Math.sqrt(Math.max(1, part.group().jobs.size()));
    double run = Math.max(0.1, part.group().guess() * (mean + strays));
    double fetch =
        sorts.stream()
            .mapToDouble(sort -> sort.type().fetchTime(sample.imageGb()).asSeconds())
            .max()
            .orElse(0);
    double tail = Math.max(run, longest(part)) + fetch + gathers;
    double[] released = new double[Schedule.SLOTS];
    java.util.Arrays.fill(released, part.group().waiting);
    double due = night.open().get(part.dawn().name()).left(wall).asSeconds();
    Schedule.Work work =
        new Schedule.Work(
            part.key().toString(),
            released,
            run,
            tail,
            due,
            use(sample, sorts),
            part.group().widest,
            sample.team(),
            ofLimit(sample.team(), sample.resources()));
    return new PlanMaker.Load(
        work, part.seen(), part.seen() - part.group().waiting, part.promised());
  }

  /** Parts of machines that a task takes, by sort; zero where the job may not run. */
  private static double[] use(JobSpec spec, List<RoomForecast.Outlook> sorts) {
    double[] use = new double[sorts.size()];
    for (int i = 0; i < use.length; i++) {
      RoomForecast.Sort sort = sorts.get(i).sort();
      use[i] =
          spec.allows(sort.type(), sort.zone(), sort.spot())
              ? part(spec.resources(), sorts.get(i).type())
              : 0;
    }
    return use;
  }

  private static double part(Resources room, MachineType type) {
    int each = type.room().capacityFor(room);
    return each <= 0 ? 0 : 1.0 / each;
  }

  /** What usually comes until dawn, as far as it can be done then. */
  private List<PlanMaker.Load> expected(
      BatchDeadlineTerms dawn,
      Night night,
      List<RoomForecast.Outlook> sorts,
      double seconds,
      WallTime wall) {
    Window window = night.open().get(dawn.name());
    double due = window.left(wall).asSeconds();
    double slice = Window.sliceLength(dawn).asSeconds();
    List<PlanMaker.Load> loads = new ArrayList<>();
    for (Coming.Expected expected :
        night.learned().coming(dawn.name()).expected(dawn, wall, window.ends())) {
      String jobClass = expected.source().jobClass();
      double run = Math.max(0.1, expected.run() * runs.mean(jobClass));
      double tail = Math.max(run, expected.run() * runs.quantile(jobClass, dawn.runTimeQuantile()));
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
        use[i] = part(expected.room(), sorts.get(i).type());
      }
      loads.add(
          new PlanMaker.Load(
              new Schedule.Work(
                  "coming " + dawn.name() + " " + expected.source(),
                  released,
                  run,
                  tail,
                  due,
                  use,
                  1,
                  expected.source().team(),
                  ofLimit(expected.source().team(), expected.room())),
              0,
              0,
              0));
    }
    return loads;
  }
}
