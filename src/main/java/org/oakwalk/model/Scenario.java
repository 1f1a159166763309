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
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
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
 * Parses a scenario file and runs it as a simulation in virtual time: real controllers with
 * simulated workers, users, cloud and state service. The line formats are described in
 * src/test/resources/scenarios/README.
 */
public final class Scenario {
  private final List<ScenarioLine> lines = new ArrayList<>();

  /** Duration of a fault without an end, in seconds. */
  private static final double FOR_GOOD = 1e9;

  private final QueueOrder queueOrder;
  private World world;
  private HostSelector hostSelector;
  private Expectations expectations;
  private final Set<String> expectedViolations = new TreeSet<>();

  /**
   * Parses a scenario, with jobs queued as the scenario declares.
   *
   * @param text contents of the scenario file
   */
  public Scenario(String text) {
    this(text, QueueOrder.PLANNED);
  }

  /** Parses a scenario that runs with the given queue order. */
  public Scenario(String text, QueueOrder order) {
    this.queueOrder = order;
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      String plain = line.contains("#") ? line.substring(0, line.indexOf('#')) : line;
      if (!plain.isBlank()) {
        lines.add(new ScenarioLine(plain, number));
      }
    }
  }

  /**
   * Runs the scenario. May be called only once.
   *
   * @throws IllegalArgumentException if a line has an unknown keyword or lacks a word
   */
  public ScenarioResult run() {
    ScenarioLine base =
        lines.stream()
            .filter(l -> l.word(0).equals("settings"))
            .findFirst()
            .orElse(new ScenarioLine("settings", 0));
    ScenarioPolicy scenarioPolicy = new ScenarioPolicy(base, lines, queueOrder);
    world = new World(settings(base), scenarioPolicy, base);
    hostSelector = new HostSelector(world);
    expectations = new Expectations(world);
    double end = 60;
    for (ScenarioLine line : lines) {
      switch (line.word(0)) {
        case "settings", "team", "wait", "finished", "drain", "budget", "unserved", "late" -> {}
        case "product", "dawn", "headroom", "exchange" -> {}
        case "type" -> defineType(line);
        case "capacity" -> defineCapacity(line);
        case "machine" -> createMachines(line);
        case "at" -> world.time.at(line.number(1), () -> runAction(line));
        case "every" -> scheduleRepeated(line);
        case "end" -> end = line.number(1);
        case "broken" -> {
          for (int i = 1; i < line.size(); i++) {
            expectedViolations.add(line.word(i));
          }
        }
        default -> throw new IllegalArgumentException("unknown line: " + line);
      }
    }
    world.invariants.setFaultsEnd(FaultSchedule.lastFaultEnd(lines));
    world.planningWindows.scheduleChecks(end);
    world.start();
    world.time.runUntil(end);
    List<String> missed = new ArrayList<>(expectations.failures());
    missed.addAll(undeclaredFailures("unserved", world.metrics.underserved()));
    missed.addAll(
        undeclaredFailures("late", world.largeJobStarts.lateByClass(world.metrics.jobsToServe())));
    Map<String, Double> figures = new LinkedHashMap<>(world.metrics.values());
    figures.putAll(world.planningWindows.metrics());
    return new ScenarioResult(
        world.invariants.violations(),
        expectedViolations,
        missed,
        figures,
        world.planningWindows.report());
  }

  /**
   * Returns the messages of those failures that the scenario does not declare as expected, and a
   * message for each declaration that matches no failure.
   *
   * @param keyword first word of the declaring lines; a declaration without a name covers every
   *     failure
   * @param failures failure messages by name
   */
  private List<String> undeclaredFailures(String keyword, Map<String, String> failures) {
    Map<String, String> left = new LinkedHashMap<>(failures);
    List<String> missed = new ArrayList<>();
    for (ScenarioLine line : lines) {
      if (line.word(0).equals(keyword)) {
        String name = line.wordsFrom(1);
        if (name.isEmpty() ? failures.isEmpty() : !failures.containsKey(name)) {
          missed.add(
              String.format("line %d: declared %s, but no such failure", line.number(), keyword));
        }
        left.keySet().removeIf(each -> name.isEmpty() || each.equals(name));
      }
    }
    missed.addAll(left.values());
    return missed;
  }

  /**
   * Schedules a series of similar jobs ({@code every GAP FROM UNTIL FIRST SHAPE ...}) or a repeated
   * action ({@code every GAP FROM UNTIL ACTION ...}).
   */
  private void scheduleRepeated(ScenarioLine line) {
    if (line.repeatsAction()) {
      for (double at = line.number(2); at < line.number(3); at += line.number(1)) {
        ScenarioLine action = line.actionAt(at);
        world.time.at(at, () -> runAction(action));
      }
      return;
    }
    int number = (int) line.number(4);
    for (double at = line.number(2); at < line.number(3); at += line.number(1)) {
      JobId job = new JobId("j-" + number++);
      world.time.at(at, () -> submit(line, job, line.word(5)));
      scheduleCancellation(line, job, number - 1, at);
    }
  }

  /**
   * Schedules the cancellation of every Nth job of a series ({@code cancels=N}). The delays in
   * seconds after the submission ({@code by=}) are used in turn.
   */
  private void scheduleCancellation(ScenarioLine line, JobId job, int number, double at) {
    int nth = (int) line.number("cancels", 0);
    if (nth > 0 && number % nth == 0) {
      String[] times = line.text("by", "3").split(",");
      double by = Double.parseDouble(times[number / nth % times.length]);
      world.time.at(at + by, () -> world.users.get(job).cancel());
    }
  }

  private Settings settings(ScenarioLine base) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (ScenarioLine line : lines) {
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
            TimeSpan.seconds(base.number("report", 2)),
            TimeSpan.seconds(base.number("lease", 10)),
            TimeSpan.seconds(base.number("cancel", 40))),
        new Settings.StateLimits(
            base.number("rps", 200), base.number("write_rps", 100), 4, (int) base.number("txn", 8)),
        new Settings.CloudLimits(5, TimeSpan.seconds(base.number("lag", 5))),
        TimeSpan.seconds(base.number("clockoff", 0)));
  }

  private List<Settings.Objective> objectives() {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (ScenarioLine line : lines) {
      if (line.word(0).equals("wait") || line.word(0).equals("finished")) {
        objectives.add(
            new Settings.Objective(line.word(0), line.word(1), line.number("within", 5), 0.9, 1));
      }
    }
    return objectives;
  }

  private void defineType(ScenarioLine line) {
    world.cloud.types.put(
        line.word(1),
        new MachineType(
            line.word(1),
            Resources.ofMachine(
                line.number("cpus", 4), line.number("gpus", 0), line.number("mem", 16)),
            line.number("cache", 50),
            line.number("fetch", 1),
            line.number("price", 1),
            line.number("spot", 0.3),
            TimeSpan.seconds(line.number("boot", 20)),
            List.copyOf(world.settings.zones())));
  }

  private void defineCapacity(ScenarioLine line) {
    world.cloud.capacity.put(capacityPool(line, false), (int) line.number(3));
    world.cloud.capacity.put(capacityPool(line, true), (int) line.number("spot", 0));
  }

  private static SimCloud.CapacityPool capacityPool(ScenarioLine line, boolean spot) {
    return new SimCloud.CapacityPool(line.word(1), line.word(2), spot);
  }

  private void createMachines(ScenarioLine line) {
    for (int i = 0; i < line.number(3); i++) {
      world.cloud.createMachine(capacityPool(line, line.hasWord("spot")), 0).initial = true;
    }
  }

  /** Carries out a line that begins with {@code at SECONDS}. */
  private void runAction(ScenarioLine line) {
    switch (line.word(2)) {
      case "submit" -> submit(line, new JobId(line.word(3)), line.word(4));
      case "cancel" -> cancel(line);
      case "crash" -> hostSelector.nodes(line.word(3)).forEach(SimNode::crash);
      case "restart" -> restart(line);
      case "refuse" ->
          hostSelector
              .nodes(line.word(3))
              .forEach(node -> node.refuseStateRequests(line.number("for", 10)));
      case "freeze" ->
          hostSelector.nodes(line.word(3)).forEach(node -> node.freeze(line.number("for", 10)));
      case "full" ->
          hostSelector
              .nodes(line.word(3))
              .forEach(node -> node.exhaustSockets(line.number("for", 10)));
      case "crowd" ->
          hostSelector
              .nodes(line.word(3))
              .forEach(
                  node ->
                      node.limitWorkers((int) line.number("workers", 0), line.number("for", 10)));
      case "outage" -> {
        if (line.word(3).equals("state")) {
          world.state.outage(line.number("for", 10));
        } else {
          world.cloud.outage(line.number("for", 10));
        }
      }
      case "die" -> hostSelector.worker(line.word(3)).die();
      case "take" -> world.cloud.remove(new MachineId(line.word(3)));
      case "hang" -> hostSelector.worker(line.word(3)).hang(line.number("for", 10));
      case "notice" -> hostSelector.worker(line.word(3)).giveReclaimNotice(line.number("in", 10));
      case "faulty" -> hostSelector.worker(line.word(3)).makeFaulty(line.number("for", FOR_GOOD));
      case "slow" ->
          hostSelector
              .worker(line.word(3))
              .slowDown(line.number("factor", 3), line.number("for", FOR_GOOD));
      case "failboots" -> world.cloud.failBoots((int) line.number(3), line.text("zone", ""));
      case "slowboots" -> world.cloud.slowDownBoots(line.number(3));
      case "misled" ->
          ForgedMessages.sendForgedToken(
              hostSelector.worker(line.word(3)), Long.parseLong(line.text("baton", "0")));
      case "forged" ->
          ForgedMessages.sendForgedReport(
              hostSelector.worker(line.word(3)), line, hostSelector.nodes(line.text("to", "all")));
      case "forgeddigest" ->
          ForgedMessages.sendForgedDigest(
              hostSelector.nodes(line.word(3)).get(0),
              Long.parseLong(line.text("token", "0")),
              hostSelector.nodes(line.text("to", "all")));
      case "forget" -> world.state.loseKey(line.word(3));
      case "damage" -> world.state.corruptValues(line.word(3));
      case "limit" ->
          world.cloud.capacity.put(
              new SimCloud.CapacityPool(line.word(3), line.word(4), line.hasWord("spot")),
              (int) line.number(5));
      case "mute" -> world.users.get(new JobId(line.word(3))).dropRequests();
      case "rogue" -> sendUnauthorizedStart(line);
      case "roguehalt" -> sendUnauthorizedHalt(TaskId.parse(line.word(3)).orElseThrow());
      case "roguetake" -> storeUnauthorizedTransfer(line);
      case "lie" -> deliverFalseResponse(line);
      case "expect" -> expectations.check(line);
      default -> {
        if (!new MessageFaultActions(world, hostSelector).run(line)) {
          throw new IllegalArgumentException("unknown action: " + line);
        }
      }
    }
  }

  private void cancel(ScenarioLine line) {
    SimUser user = world.users.get(new JobId(line.word(3)));
    String first = line.text("on", "");
    List<SimNode> firstNodes = first.isEmpty() ? List.of() : hostSelector.nodes(first);
    if (firstNodes.isEmpty()) {
      user.cancel();
    } else {
      user.cancelVia(firstNodes.get(0));
    }
  }

  /**
   * Restarts controllers once or repeatedly. The affected controllers are selected once, so that
   * each repetition restarts the same ones.
   */
  private void restart(ScenarioLine line) {
    List<SimNode> restarted = List.copyOf(hostSelector.nodes(line.word(3)));
    for (int i = 0; i < line.number("times", 1); i++) {
      world.time.after(
          Math.round(i * line.number("every", 1) * 1000),
          () -> restarted.forEach(node -> node.restart(line.number("after", 0))));
    }
  }

  private void submit(ScenarioLine line, JobId id, String shape) {
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
            Resources.ofTask(line.number("cpus", 1), line.number("gpus", 0), line.number("mem", 1)),
            types.isEmpty() ? Set.of() : Set.of(types.split(",")),
            Optional.ofNullable(line.text("zone", null)),
            line.hasWord("onezone"),
            line.hasWord("spread"),
            line.hasWord("spot"),
            line.text("image", "img"),
            line.number("gb", 0),
            TimeSpan.seconds(guess),
            TimeSpan.seconds(line.number("saves", 0)),
            TimeSpan.seconds(line.number("save", 0)),
            due.isEmpty()
                ? Optional.empty()
                : Optional.of(TimeSpan.seconds(Double.parseDouble(due))));
    spec = queueOrder == QueueOrder.EARLIEST_DEADLINE ? withWindowDeadline(spec) : spec;
    if (world.users.containsKey(id)) {
      world.users.get(id).submit();
      return;
    }
    world.specs.put(id, spec);
    if (line.hasWord("fails")) {
      world.failingJobs.add(id);
    }
    world.setRunTimes(id, runs);
    SimUser user = new SimUser(world, spec);
    world.users.put(id, user);
    user.submit();
  }

  /**
   * Returns the job with the deadline of its planning window, or unchanged if its own deadline is
   * earlier.
   */
  private JobSpec withWindowDeadline(JobSpec spec) {
    Optional<TimeSpan> deadline =
        world
            .planningWindows
            .timeToDeadline(spec)
            .filter(d -> spec.deadline().filter(o -> o.compareTo(d) < 0).isEmpty());
    return deadline.isEmpty()
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
            deadline);
  }

  /**
   * Starts a task without a decision of the leader, to test that {@link InvariantChecker} detects
   * it.
   */
  private void sendUnauthorizedStart(ScenarioLine line) {
    TaskId task = TaskId.parse(line.word(3)).orElseThrow();
    SimWorker worker = hostSelector.worker(line.word(4));
    if (!line.text("by", "").isEmpty()) {
      hostSelector
          .nodes(line.text("by", ""))
          .forEach(node -> node.sendUndecidedStart(task, worker));
      return;
    }
    Token token = new Token(Long.MAX_VALUE >> 30);
    worker.receiveCommand(
        new Request.Command(
            worker.address(), token, SessionId.FIRST, List.of(new Order.Run(task, new Attempt(1)))),
        answer -> {});
  }

  /** Halts a task with a valid token, but without a decision of the leader. */
  private void sendUnauthorizedHalt(TaskId task) {
    SimWorker worker = hostSelector.worker("of:" + task);
    worker.receiveCommand(
        new Request.Command(
            worker.address(),
            new Token(worker.token()),
            new SessionId(worker.session()),
            List.of(new Order.Halt(task, worker.tasks.get(task).attempt, TimeSpan.millis(0)))),
        answer -> {});
  }

  /** Stores a capacity transfer between two jobs that no leader decided. */
  private void storeUnauthorizedTransfer(ScenarioLine line) {
    JobSpec giver = world.specs.get(new JobId(line.word(3)));
    JobSpec taker = world.specs.get(new JobId(line.word(4)));
    world.state.appendRow(
        "exchange",
        new CapacityTransfer(
            new TransferId(new Token(Long.MAX_VALUE >> 30), world.state.rows("exchange").size()),
            CapacityTransfer.State.TAKEN,
            world.scenarioPolicy.exchanges().get(0).name(),
            giver.id(),
            giver.team(),
            1,
            taker.id(),
            taker.resources(),
            new MachineId("none"),
            1,
            new WallTime(0)));
  }

  /**
   * Records a false response to the user of a job, to test that {@link InvariantChecker} detects
   * it.
   */
  private void deliverFalseResponse(ScenarioLine line) {
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
    world.invariants.reported(job, false, world.invariants.answerCount(), answer, Optional.empty());
  }
}
