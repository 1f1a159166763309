package org.oakwalk.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.exchange.CapacityTransfer;
import org.oakwalk.core.exchange.TransferId;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;

/**
 * Reads a scenario and plays it on the model: the real core between stand-ins, in virtual time. The
 * lines are described in src/test/resources/scenarios/README.
 */
public final class Scenario {
  private final List<Words> lines = new ArrayList<>();
  private final Queueing order;
  private World world;
  private Hosts hosts;
  private Expectations expectations;
  private final Set<String> expectedBroken = new TreeSet<>();

  /**
   * A scenario that has not been played.
   *
   * @param text the lines of its file
   */
  public Scenario(String text) {
    this(text, Queueing.PLANNED);
  }

  /** A scenario that is played by another order. */
  public Scenario(String text, Queueing order) {
    this.order = order;
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      String plain = line.contains("#") ? line.substring(0, line.indexOf('#')) : line;
      if (!plain.isBlank()) {
        lines.add(new Words(plain, number));
      }
    }
  }

  /**
   * Plays it; to be called once.
   *
   * @throws IllegalArgumentException if a line can't be understood
   */
  public ScenarioResult play() {
    Words base =
        lines.stream()
            .filter(l -> l.word(0).equals("settings"))
            .findFirst()
            .orElse(new Words("settings", 0));
    ScenarioPolicy plans = new ScenarioPolicy(base, lines, order);
    world = new World(settings(base), plans, base);
    hosts = new Hosts(world);
    expectations = new Expectations(world);
    double end = 60;
    for (Words line : lines) {
      switch (line.word(0)) {
        case "settings", "team", "wait", "finished", "drain", "budget", "unserved", "late" -> {}
        case "product", "dawn", "headroom", "exchange" -> {}
        case "type" -> type(line);
        case "capacity" -> capacity(line);
        case "machine" -> machines(line);
        case "at" -> world.time.at(line.number(1), () -> act(line));
        case "every" -> every(line);
        case "end" -> end = line.number(1);
        case "broken" -> {
          for (int i = 1; i < line.size(); i++) {
            expectedBroken.add(line.word(i));
          }
        }
        default -> throw new IllegalArgumentException("unknown line: " + line);
      }
    }
    world.rules.setFaultsEnd(FaultSchedule.lastFaultEnd(lines));
    world.nights.scheduleChecks(end);
    world.begin();
    world.time.runUntil(end);
    List<String> missed = new ArrayList<>(expectations.failures());
    missed.addAll(unlessNamed("unserved", world.figures.underserved()));
    missed.addAll(unlessNamed("late", world.largest.lateByClass(world.figures.jobsToServe())));
    Map<String, Double> figures = new LinkedHashMap<>(world.figures.values());
    figures.putAll(world.nights.metrics());
    return new ScenarioResult(
        world.rules.violations(), expectedBroken, missed, figures, world.nights.report());
  }

  /**
   * What went wrong by name, each with how, but for the names that stand in lines of the scenario
   * that begin with this word; a line that names none stands for all. It is wrong as well when such
   * a line stands there without need.
   */
  private List<String> unlessNamed(String word, Map<String, String> wrong) {
    Map<String, String> left = new LinkedHashMap<>(wrong);
    List<String> missed = new ArrayList<>();
    for (Words line : lines) {
      if (line.word(0).equals(word)) {
        String name = line.rest(1);
        if (name.isEmpty() ? wrong.isEmpty() : !wrong.containsKey(name)) {
          missed.add(String.format("line %d: nothing is %s as it says", line.number(), word));
        }
        left.keySet().removeIf(each -> name.isEmpty() || each.equals(name));
      }
    }
    missed.addAll(left.values());
    return missed;
  }

  /**
   * Submits like jobs one after the other: every GAP FROM UNTIL FIRST SHAPE ...; or does something
   * again and again: every GAP FROM UNTIL ACTION ...
   */
  private void every(Words line) {
    if (line.repeats()) {
      for (double at = line.number(2); at < line.number(3); at += line.number(1)) {
        Words action = line.at(at);
        world.time.at(at, () -> act(action));
      }
      return;
    }
    int number = (int) line.number(4);
    for (double at = line.number(2); at < line.number(3); at += line.number(1)) {
      JobId job = new JobId("j-" + number++);
      world.time.at(at, () -> submit(line, job, line.word(5)));
      cancelledOfMany(line, job, number - 1, at);
    }
  }

  /** Each Nth of a row of jobs is cancelled, so many seconds after it was submitted, in turn. */
  private void cancelledOfMany(Words line, JobId job, int number, double at) {
    int nth = (int) line.number("cancels", 0);
    if (nth > 0 && number % nth == 0) {
      String[] times = line.text("by", "3").split(",");
      double by = Double.parseDouble(times[number / nth % times.length]);
      world.time.at(at + by, () -> world.users.get(job).cancel());
    }
  }

  private Settings settings(Words base) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (Words line : lines) {
      if (line.word(0).equals("team")) {
        teams.put(
            line.word(1),
            new Settings.Team(
                line.word(1),
                line.number("cpus", 0),
                line.number("max", 0),
                line.number("gpus", 0),
                line.number("gpumax", 0)));
      }
    }
    if (teams.isEmpty()) {
      teams.put("crew", new Settings.Team("crew", 0, 0, 0, 0));
    }
    return new Settings(
        new NodeId("none"),
        "none",
        List.of(),
        List.of(base.text("zones", "a").split(",")),
        teams,
        objectives(),
        new Settings.WorkerTiming(
            Span.seconds(base.number("report", 2)),
            Span.seconds(base.number("lease", 10)),
            Span.seconds(base.number("cancel", 40))),
        new Settings.StateLimits(
            base.number("rps", 200), base.number("write_rps", 100), 4, (int) base.number("txn", 8)),
        new Settings.CloudLimits(5, Span.seconds(base.number("lag", 5))),
        Span.seconds(base.number("clockoff", 0)));
  }

  private List<Settings.Objective> objectives() {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Words line : lines) {
      if (line.word(0).equals("wait") || line.word(0).equals("finished")) {
        objectives.add(
            new Settings.Objective(line.word(0), line.word(1), line.number("within", 5), 0.9, 1));
      }
    }
    return objectives;
  }

  private void type(Words line) {
    world.cloud.types.put(
        line.word(1),
        new MachineType(
            line.word(1),
            new Resources(line.number("cpus", 4), line.number("gpus", 0), line.number("mem", 16)),
            line.number("cache", 50),
            line.number("fetch", 1),
            line.number("price", 1),
            line.number("spot", 0.3),
            Span.seconds(line.number("boot", 20)),
            List.copyOf(world.settings.zones())));
  }

  private void capacity(Words line) {
    world.cloud.capacity.put(market(line, false), (int) line.number(3));
    world.cloud.capacity.put(market(line, true), (int) line.number("spot", 0));
  }

  private static SimCloud.Market market(Words line, boolean spot) {
    return new SimCloud.Market(line.word(1), line.word(2), spot);
  }

  private void machines(Words line) {
    for (int i = 0; i < line.number(3); i++) {
      world.cloud.create(market(line, line.has("spot")), 0).first = true;
    }
  }

  /** Plays one line that begins with {@code at SECONDS}. */
  private void act(Words line) {
    switch (line.word(2)) {
      case "submit" -> submit(line, new JobId(line.word(3)), line.word(4));
      case "cancel" -> cancel(line);
      case "crash" -> hosts.nodes(line.word(3)).forEach(SimNode::crash);
      case "restart" -> restart(line);
      case "refuse" ->
          hosts.nodes(line.word(3)).forEach(node -> node.refuse(line.number("for", 10)));
      case "freeze" ->
          hosts.nodes(line.word(3)).forEach(node -> node.freeze(line.number("for", 10)));
      case "full" -> hosts.nodes(line.word(3)).forEach(node -> node.full(line.number("for", 10)));
      case "crowd" ->
          hosts
              .nodes(line.word(3))
              .forEach(node -> node.crowd((int) line.number("workers", 0), line.number("for", 10)));
      case "outage" -> {
        if (line.word(3).equals("state")) {
          world.state.outage(line.number("for", 10));
        } else {
          world.cloud.outage(line.number("for", 10));
        }
      }
      case "die" -> hosts.worker(line.word(3)).die();
      case "take" -> world.cloud.remove(new MachineId(line.word(3)));
      case "hang" -> hosts.worker(line.word(3)).hang(line.number("for", 10));
      case "notice" -> hosts.worker(line.word(3)).notice(line.number("in", 10));
      case "faulty" -> hosts.worker(line.word(3)).faulty();
      case "slow" -> hosts.worker(line.word(3)).slow(line.number("factor", 3));
      case "failboots" -> world.cloud.failBoots((int) line.number(3), line.text("zone", ""));
      case "slowboots" -> world.cloud.slowBoots(line.number(3));
      case "misled" ->
          Forgery.mislead(hosts.worker(line.word(3)), Long.parseLong(line.text("baton", "0")));
      case "forged" ->
          Forgery.report(hosts.worker(line.word(3)), line, hosts.nodes(line.text("to", "all")));
      case "forgeddigest" ->
          Forgery.digest(
              hosts.nodes(line.word(3)).get(0),
              Long.parseLong(line.text("token", "0")),
              hosts.nodes(line.text("to", "all")));
      case "forget" -> world.state.forget(line.word(3));
      case "damage" -> world.state.damage(line.word(3));
      case "limit" ->
          world.cloud.capacity.put(
              new SimCloud.Market(line.word(3), line.word(4), line.has("spot")),
              (int) line.number(5));
      case "mute" -> world.users.get(new JobId(line.word(3))).mute();
      case "rogue" -> rogue(line);
      case "roguehalt" -> rogueHalt(TaskId.parse(line.word(3)).orElseThrow());
      case "roguetake" -> rogueTake(line);
      case "lie" -> lie(line);
      case "expect" -> expectations.check(line);
      default -> {
        if (!new Disturbances(world, hosts).play(line)) {
          throw new IllegalArgumentException("unknown action: " + line);
        }
      }
    }
  }

  private void cancel(Words line) {
    SimUser user = world.users.get(new JobId(line.word(3)));
    String first = line.text("on", "");
    List<SimNode> asked = first.isEmpty() ? List.of() : hosts.nodes(first);
    if (asked.isEmpty()) {
      user.cancel();
    } else {
      user.cancelAt(asked.get(0));
    }
  }

  /** They end and are back some time later, perhaps again and again; the same each time. */
  private void restart(Words line) {
    List<SimNode> who = List.copyOf(hosts.nodes(line.word(3)));
    for (int i = 0; i < line.number("times", 1); i++) {
      world.time.after(
          Math.round(i * line.number("every", 1) * 1000),
          () -> who.forEach(node -> node.restart(line.number("after", 0))));
    }
  }

  private void submit(Words line, JobId id, String shape) {
    String due = line.text("due", "");
    double[] runs =
        Stream.of(line.text("run", "5").split(",")).mapToDouble(Double::parseDouble).toArray();
    double guess =
        line.number(
            "guess",
            line.text("run", "").isEmpty() ? 0 : DoubleStream.of(runs).max().orElseThrow());
    String types = line.text("types", "");
    JobSpec spec =
        new JobSpec(
            id,
            line.text("class", shape),
            line.text("team", world.settings.teams().keySet().iterator().next()),
            JobSpec.Shape.valueOf(shape.toUpperCase(java.util.Locale.ROOT)),
            Priority.valueOf(line.text("priority", "normal").toUpperCase(java.util.Locale.ROOT)),
            (int) line.number("tasks", 1),
            new Resources(line.number("cpus", 1), line.number("gpus", 0), line.number("mem", 1)),
            types.isEmpty() ? Set.of() : Set.of(types.split(",")),
            Optional.ofNullable(line.text("zone", null)),
            line.has("onezone"),
            line.has("spread"),
            line.has("spot"),
            line.text("image", "img"),
            line.number("gb", 0),
            Span.seconds(guess),
            Span.seconds(line.number("saves", 0)),
            Span.seconds(line.number("save", 0)),
            due.isEmpty() ? Optional.empty() : Optional.of(Span.seconds(Double.parseDouble(due))));
    spec = order == Queueing.EARLIEST_DUE ? dueAtDawn(spec) : spec;
    if (world.users.containsKey(id)) {
      world.users.get(id).submit();
      return;
    }
    world.specs.put(id, spec);
    if (line.has("fails")) {
      world.failing.add(id);
    }
    world.run(id, runs);
    SimUser user = new SimUser(world, spec);
    world.users.put(id, user);
    user.submit();
  }

  /** The same job, due at its dawn if that is earlier than its own deadline. */
  private JobSpec dueAtDawn(JobSpec spec) {
    Optional<Span> dawn =
        world
            .nights
            .timeToDeadline(spec)
            .filter(d -> spec.deadline().filter(o -> o.compareTo(d) < 0).isEmpty());
    return dawn.isEmpty()
        ? spec
        : new JobSpec(
            spec.id(),
            spec.jobClass(),
            spec.team(),
            spec.shape(),
            spec.priority(),
            spec.tasks(),
            spec.resources(),
            spec.machineTypes(),
            spec.zone(),
            spec.oneZone(),
            spec.spread(),
            spec.spotAllowed(),
            spec.image(),
            spec.imageGb(),
            spec.estimatedRunTime(),
            spec.checkpointInterval(),
            spec.checkpointDuration(),
            dawn);
  }

  /** Somebody who holds the token but keeps no rule; shows that the checker sees it. */
  private void rogue(Words line) {
    TaskId task = TaskId.parse(line.word(3)).orElseThrow();
    SimWorker worker = hosts.worker(line.word(4));
    if (!line.text("by", "").isEmpty()) {
      hosts.nodes(line.text("by", "")).forEach(node -> node.orderStart(task, worker));
      return;
    }
    Token token = new Token(Long.MAX_VALUE >> 30);
    worker.command(
        new Request.Command(
            worker.address(), token, SessionId.FIRST, List.of(new Order.Run(task, new Attempt(1)))),
        answer -> {});
  }

  /** Somebody who may stops a task without being asked to. */
  private void rogueHalt(TaskId task) {
    SimWorker worker = hosts.worker("of:" + task);
    worker.command(
        new Request.Command(
            worker.address(),
            new Token(worker.token()),
            new SessionId(worker.session()),
            List.of(new Order.Halt(task, worker.tasks.get(task).attempt, Span.millis(0)))),
        answer -> {});
  }

  /** Somebody writes down a take that no leader made, from one job for another. */
  private void rogueTake(Words line) {
    JobSpec giver = world.specs.get(new JobId(line.word(3)));
    JobSpec taker = world.specs.get(new JobId(line.word(4)));
    world.state.add(
        "exchange",
        new CapacityTransfer(
            new TransferId(new Token(Long.MAX_VALUE >> 30), world.state.rows("exchange").size()),
            CapacityTransfer.State.TAKEN,
            world.plans.exchanges().get(0).name(),
            giver.id(),
            giver.team(),
            1,
            taker.id(),
            taker.resources(),
            new MachineId("none"),
            1,
            new WallTime(0)));
  }

  private void lie(Words line) {
    JobId job = new JobId(line.word(3));
    Response answer =
        line.word(4).equals("404")
            ? Response.refusal(404, "lie")
            : new Response.JobStatus(
                false,
                job,
                Response.JobState.valueOf(line.word(4).toUpperCase(java.util.Locale.ROOT)),
                0,
                0);
    world.rules.reported(job, false, world.rules.answerCount(), answer, Optional.empty());
  }
}
