package org.oakwalk.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;

/** Stand-in for a worker, after its published protocol. */
final class SimWorker {
  /** A task on this machine. */
  static final class Task {
    Attempt attempt;
    JobSpec spec;
    Report.TaskState state;
    Report.Cause cause;
    private long began = Long.MAX_VALUE;

    boolean ended() {
      return state == Report.TaskState.ENDED;
    }
  }

  /** Whether it was there from the beginning. */
  boolean first;

  private final World world;
  final MachineId id;
  final MachineType type;
  final SimCloud.Market market;
  final long rentedAt;
  long bootedAt = Long.MAX_VALUE;
  long goneAt = Long.MAX_VALUE;
  long diedAt = Long.MAX_VALUE / 2;
  final Map<TaskId, Task> tasks = new LinkedHashMap<>();
  private final Images images;
  private final Reporting reporting;
  private long session = 1;
  private long sequence;
  private long token;
  private long renewedAt;
  private long lastTokenChange = Long.MIN_VALUE / 2;
  private long hangsUntil;
  private long noticeAt = Long.MAX_VALUE;
  private boolean faulty;
  private double slowness = 1;
  private final List<Runnable> held = new ArrayList<>();

  SimWorker(World world, MachineId id, MachineType type, SimCloud.Market market) {
    this.world = world;
    this.id = id;
    this.type = type;
    this.market = market;
    this.rentedAt = world.time.now();
    this.images = new Images(world.time, type);
    this.reporting = new Reporting(world, this);
  }

  String address() {
    return id.value();
  }

  long token() {
    return token;
  }

  long session() {
    return session;
  }

  boolean alive() {
    return bootedAt <= world.time.now() && goneAt > world.time.now() && diedAt > world.time.now();
  }

  /** Whether this node is the one that it reports to. */
  boolean reportsTo(SimNode to) {
    return alive() && reporting.to() == to;
  }

  /** Whether it does anything at present. */
  boolean awake() {
    return alive() && !hangs();
  }

  /** Whether the cloud charges for it. */
  boolean charged() {
    return goneAt > world.time.now() && diedAt > world.time.now();
  }

  void boot() {
    if (goneAt == Long.MAX_VALUE) {
      bootedAt = world.time.now();
      renewedAt = bootedAt;
      world.rules.resourcesFreed(this);
      step();
    }
  }

  void vanish() {
    goneAt = world.time.now();
    endAll(ScenarioMetrics.StopCause.GONE);
  }

  void die() {
    diedAt = world.time.now();
    endAll(ScenarioMetrics.StopCause.DIED);
  }

  void hang(double seconds) {
    hangsUntil = Math.max(hangsUntil, world.time.now() + Math.round(seconds * 1000));
    world.time.after(
        Math.round(seconds * 1000),
        () -> {
          expire();
          List<Runnable> late = List.copyOf(held);
          held.clear();
          late.forEach(Runnable::run);
        });
  }

  void notice(double seconds) {
    noticeAt = world.time.now() + Math.round(seconds * 1000);
    reporting.changed();
    world.time.after(Math.round(seconds * 1000), () -> world.cloud.remove(id));
  }

  void faulty() {
    faulty = true;
  }

  void slow(double factor) {
    slowness = factor;
  }

  /** Whether its tasks neither fail nor run more slowly than elsewhere. */
  boolean sound() {
    return !faulty && slowness <= 1;
  }

  /** When it was rented, in seconds. */
  double rentedSeconds() {
    return world.time.seconds() - (world.time.now() - rentedAt) / 1000.0;
  }

  /** Whether the cloud has given notice that it takes the machine. */
  boolean noticed() {
    return noticeAt != Long.MAX_VALUE;
  }

  boolean hangs() {
    return world.time.now() < hangsUntil;
  }

  private void endAll(ScenarioMetrics.StopCause why) {
    for (Map.Entry<TaskId, Task> entry : new LinkedHashMap<>(tasks).entrySet()) {
      if (occupies(entry.getValue())) {
        world.figures.taskStopped(entry.getKey(), entry.getValue().spec, why);
      }
      leaves(entry.getKey(), entry.getValue(), false);
    }
    tasks.clear();
  }

  private static boolean occupies(Task task) {
    return task.state == Report.TaskState.GATHERING
        || task.state == Report.TaskState.RUNNING
        || task.state == Report.TaskState.FLUSHING;
  }

  /** The task neither runs here nor waits here any more. */
  private void leaves(TaskId id, Task task, boolean done) {
    if (task.spec == null || task.ended()) {
      return;
    }
    images.drop(id, task.spec);
    save(id, task, false);
    if (occupies(task)) {
      world.rules.taskLeft(this, id);
      if (task.spec.gang()) {
        world.gangs.memberLeft(id, task.attempt, done);
      }
    }
  }

  /** What the task has done here counts when it starts again, as far as it was saved. */
  private void save(TaskId id, Task task, boolean all) {
    double every = task.spec.checkpointInterval().asSeconds();
    if (every > 0 && task.began <= world.time.now()) {
      double ran = (world.time.now() - task.began) / 1000.0 / slowness;
      world.saved.merge(id, all ? ran : Math.floor(ran / every) * every, Double::sum);
    }
    task.began = Long.MAX_VALUE;
  }

  private void expire() {
    long lease = world.settings.workers().leaseDuration().millis();
    if (alive() && world.time.now() - renewedAt > lease) {
      endAll(ScenarioMetrics.StopCause.LEASE);
      session++;
      renewedAt = world.time.now();
      reporting.changed();
    }
  }

  private void step() {
    if (goneAt <= world.time.now() || diedAt <= world.time.now()) {
      return;
    }
    // Also of a machine that hangs nothing counts as running once its lease is over.
    expire();
    if (!hangs()) {
      reporting.step(this::answered);
    }
    world.time.after(50, this::step);
  }

  Report snapshot() {
    List<Report.ReportedTask> pieces = new ArrayList<>();
    tasks.forEach(
        (task, held) ->
            pieces.add(new Report.ReportedTask(task, held.attempt, held.state, held.cause)));
    Optional<Span> left =
        noticeAt == Long.MAX_VALUE
            ? Optional.empty()
            : Optional.of(Span.millis(Math.max(0, noticeAt - world.time.now())));
    return new Report(
        id,
        address(),
        type.name(),
        market.zone(),
        market.spot(),
        new SessionId(session),
        ++sequence,
        new Token(token),
        left,
        pieces);
  }

  private void answered(Response.Orders orders, Reporting.Sent sent) {
    if (orders.token().value() >= token && sent.session() == session) {
      sawToken(orders.token());
      renewedAt = Math.max(renewedAt, sent.at());
      expire();
      orders.orders().forEach(this::execute);
    }
  }

  private void sawToken(Token seen) {
    if (seen.value() > token) {
      token = seen.value();
      if (world.time.now() - lastTokenChange
          > world.settings.workers().leaseDuration().millis() / 2) {
        lastTokenChange = world.time.now();
        reporting.changed();
      }
    }
  }

  /** A command comes in; a hanging machine takes it up when it goes on. */
  void command(Request.Command command, java.util.function.Consumer<Answer> then) {
    if (!alive()) {
      return;
    }
    if (hangs()) {
      held.add(() -> command(command, then));
      return;
    }
    expire();
    if (command.token().value() < token || command.session().value() != session) {
      world.reportLoad.commanded(command, false);
      then.accept(new Answer.CommandResult(false, snapshot()));
      return;
    }
    world.reportLoad.commanded(command, true);
    sawToken(command.token());
    command.orders().forEach(this::execute);
    then.accept(new Answer.CommandResult(true, snapshot()));
  }

  /**
   * A late copy of a command. In the session that the command was meant for, its runs are left out,
   * unless the scenario wants them: a connection delivers once, so what comes twice comes to a new
   * life of its receiver.
   */
  void commandAgain(Request.Command command, boolean runsToo) {
    List<Order> orders =
        command.orders().stream().filter(o -> runsToo || !(o instanceof Order.Run)).toList();
    command(
        new Request.Command(command.address(), command.token(), command.session(), orders),
        answer -> {});
  }

  /** Whether a task of this job is here, in whatever state but ended. */
  boolean holds(JobId job) {
    return tasks.entrySet().stream()
        .anyMatch(entry -> entry.getKey().job().equals(job) && !entry.getValue().ended());
  }

  /** For how many seconds a task has worked here; 0 if it does not. */
  double secondsRun(TaskId id) {
    Task task = tasks.get(id);
    return task == null || task.ended() || task.began > world.time.now()
        ? 0
        : (world.time.now() - task.began) / 1000.0 / slowness;
  }

  Resources used() {
    Resources sum = Resources.NONE;
    for (Task task : tasks.values()) {
      if (!task.ended()) {
        sum = sum.plus(task.spec.resources());
      }
    }
    return sum;
  }

  private void execute(Order order) {
    Task known = tasks.get(order.task());
    boolean same = known != null && known.attempt.equals(order.attempt());
    if (order instanceof Order.Run) {
      if (!same) {
        world.keptReports.starts(order.attempt());
        start(order.task(), order.attempt(), known);
      }
    } else if (order instanceof Order.Halt halt) {
      if (same && !known.ended()) {
        halt(order.task(), known, halt.grace());
      }
    } else if (same && known.ended()) {
      tasks.remove(order.task());
      if (known.cause == Report.Cause.DONE) {
        world.forgotten.add(order.task());
      }
    }
  }

  /** A running task that can saves its progress first, if it is given the time. */
  private void halt(TaskId id, Task task, Span grace) {
    if (occupies(task) && task.state == Report.TaskState.RUNNING) {
      world.rules.taskHalted(this, id, task.spec);
      world.figures.taskStopped(id, task.spec, ScenarioMetrics.StopCause.COMMAND);
      if (!noticed()) {
        world.largest.taskStoppedByCommand(id);
      }
    }
    boolean saves =
        task.spec != null
            && task.spec.checkpointInterval().millis() > 0
            && task.spec.checkpointDuration().millis() > 0
            && grace.compareTo(task.spec.checkpointDuration()) >= 0;
    if (task.state == Report.TaskState.RUNNING && saves) {
      save(id, task, true);
      task.state = Report.TaskState.FLUSHING;
      reporting.changed();
      world.time.after(
          task.spec.checkpointDuration().millis(),
          () -> {
            if (tasks.get(id) == task && !task.ended() && alive()) {
              end(id, task, Report.Cause.HALTED);
            }
          });
    } else if (task.state != Report.TaskState.FLUSHING || grace.millis() == 0) {
      end(id, task, Report.Cause.HALTED);
    }
  }

  private void start(TaskId id, Attempt attempt, Task known) {
    Task task = new Task();
    task.attempt = attempt;
    task.spec = world.specs.get(id.job());
    if (known != null) {
      // Refused while another attempt is here; the refusal itself has no place in the reports.
      world.refusals++;
      return;
    }
    tasks.put(id, task);
    reporting.changed();
    if (task.spec == null || id.index() >= task.spec.tasks()) {
      refuse(task, Report.Cause.UNKNOWN);
    } else if (!task.spec.resources().fitsInto(type.room().minus(usedWithout(task)))) {
      refuse(task, Report.Cause.NO_ROOM);
    } else {
      world.rules.beforeAllocation(this, id, task.spec);
      task.state = Report.TaskState.FETCHING;
      images.want(id, task.spec, () -> run(id, task));
    }
  }

  private Resources usedWithout(Task task) {
    task.state = Report.TaskState.ENDED;
    return used();
  }

  private void refuse(Task task, Report.Cause cause) {
    world.refusals++;
    task.state = Report.TaskState.ENDED;
    task.cause = cause;
  }

  private void run(TaskId id, Task task) {
    if (tasks.get(id) != task || task.ended() || !alive()) {
      return;
    }
    if (hangs()) {
      held.add(() -> run(id, task));
      return;
    }
    task.state = task.spec.gang() ? Report.TaskState.GATHERING : Report.TaskState.RUNNING;
    reporting.changed();
    world.rules.taskStarted(this, id, task.spec);
    world.reruns += world.forgotten.contains(id) ? 1 : 0;
    if (world.rules.isCompleted(id)) {
      // Its result is kept, wherever that came about.
      finish(id, task, Report.Cause.DONE);
    } else if (task.spec.gang()) {
      world.gangs.memberReady(this, id, task.attempt, task.spec);
    } else {
      begin(id);
    }
  }

  /** The task does its work from now on. */
  void begin(TaskId id) {
    Task task = tasks.get(id);
    task.state = Report.TaskState.RUNNING;
    task.began = world.time.now();
    reporting.changed();
    if (faulty || world.failing.contains(id.job())) {
      world.time.after(200, () -> finish(id, task, Report.Cause.ERROR));
    } else if (!task.spec.service()) {
      double left = world.runSeconds(id) - world.saved.getOrDefault(id, 0.0);
      long millis = Math.round(Math.max(0, left) * 1000 * slowness);
      world.time.after(millis, () -> finish(id, task, Report.Cause.DONE));
    }
  }

  private void finish(TaskId id, Task task, Report.Cause cause) {
    if (tasks.get(id) != task || task.ended() || !alive()) {
      return;
    }
    if (hangs()) {
      held.add(() -> finish(id, task, cause));
      return;
    }
    if (cause == Report.Cause.DONE) {
      world.rules.taskCompleted(id);
    }
    end(id, task, cause);
  }

  /** A gang's task gives up since the others are not there. */
  void leaveGang(TaskId id) {
    Task task = tasks.get(id);
    if (task != null && !task.ended() && alive() && !hangs()) {
      end(id, task, Report.Cause.OTHER);
    }
  }

  private void end(TaskId id, Task task, Report.Cause cause) {
    leaves(id, task, cause == Report.Cause.DONE);
    task.state = Report.TaskState.ENDED;
    task.cause = cause;
    reporting.changed();
    world.rules.resourcesFreed(this);
  }
}
