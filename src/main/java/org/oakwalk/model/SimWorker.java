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
    Report.PieceState state;
    Report.Cause cause;
    private long startedAt = Long.MAX_VALUE;

    boolean ended() {
      return state == Report.PieceState.ENDED;
    }
  }

  /** Whether it was there from the beginning. */
  boolean initial;

  private final World world;
  final MachineId id;
  final MachineType type;
  final SimCloud.CapacityPool pool;
  final long rentedAt;
  long bootedAt = Long.MAX_VALUE;
  long goneAt = Long.MAX_VALUE;
  long diedAt = Long.MAX_VALUE / 2;
  final Map<TaskId, Task> tasks = new LinkedHashMap<>();
  private final SimImageCache imageCache;
  private final ReportSender reportSender;
  private long session = 1;
  private long sequence;
  private long token;
  private long renewedAt;
  private long lastTokenChange = Long.MIN_VALUE / 2;
  private long hungUntil;
  private long reclaimAt = Long.MAX_VALUE;
  private boolean faulty;
  private double slowdown = 1;
  private final List<Runnable> deferred = new ArrayList<>();

  SimWorker(World world, MachineId id, MachineType type, SimCloud.CapacityPool market) {
    this.world = world;
    this.id = id;
    this.type = type;
    this.pool = market;
    this.rentedAt = world.time.now();
    this.imageCache = new SimImageCache(world.time, type);
    this.reportSender = new ReportSender(world, this);
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

  boolean isAlive() {
    return bootedAt <= world.time.now() && goneAt > world.time.now() && diedAt > world.time.now();
  }

  /** Whether this node is the one that it reports to. */
  boolean reportsTo(SimNode to) {
    return isAlive() && reportSender.target() == to;
  }

  /** Whether it does anything at present. */
  boolean isResponsive() {
    return isAlive() && !isHung();
  }

  /** Whether the cloud charges for it. */
  boolean isBilled() {
    return goneAt > world.time.now() && diedAt > world.time.now();
  }

  void boot() {
    if (goneAt == Long.MAX_VALUE) {
      bootedAt = world.time.now();
      renewedAt = bootedAt;
      world.rules.freesRoom(this);
      tick();
    }
  }

  void markGone() {
    goneAt = world.time.now();
    endAllTasks(Figures.Stop.GONE);
  }

  void die() {
    diedAt = world.time.now();
    endAllTasks(Figures.Stop.DIED);
  }

  void hang(double seconds) {
    hungUntil = Math.max(hungUntil, world.time.now() + Math.round(seconds * 1000));
    world.time.after(
        Math.round(seconds * 1000),
        () -> {
          expireLease();
          List<Runnable> late = List.copyOf(deferred);
          deferred.clear();
          late.forEach(Runnable::run);
        });
  }

  void giveReclaimNotice(double seconds) {
    reclaimAt = world.time.now() + Math.round(seconds * 1000);
    reportSender.markChanged();
    world.time.after(Math.round(seconds * 1000), () -> world.cloud.remove(id));
  }

  void makeFaulty() {
    faulty = true;
  }

  void slowDown(double factor) {
    slowdown = factor;
  }

  /** Whether its tasks neither fail nor run more slowly than elsewhere. */
  boolean isHealthy() {
    return !faulty && slowdown <= 1;
  }

  /** When it was rented, in seconds. */
  double rentedAtSeconds() {
    return world.time.seconds() - (world.time.now() - rentedAt) / 1000.0;
  }

  /** Whether the cloud has given notice that it takes the machine. */
  boolean hasReclaimNotice() {
    return reclaimAt != Long.MAX_VALUE;
  }

  boolean isHung() {
    return world.time.now() < hungUntil;
  }

  private void endAllTasks(Figures.Stop why) {
    for (Map.Entry<TaskId, Task> entry : new LinkedHashMap<>(tasks).entrySet()) {
      if (isExecuting(entry.getValue())) {
        world.figures.stopped(entry.getKey(), entry.getValue().spec, why);
      }
      releaseTask(entry.getKey(), entry.getValue(), false);
    }
    tasks.clear();
  }

  private static boolean isExecuting(Task task) {
    return task.state == Report.PieceState.GATHERING
        || task.state == Report.PieceState.RUNNING
        || task.state == Report.PieceState.FLUSHING;
  }

  /** The task neither runs here nor waits here any more. */
  private void releaseTask(TaskId id, Task task, boolean done) {
    if (task.spec == null || task.ended()) {
      return;
    }
    imageCache.release(id, task.spec);
    recordProgress(id, task, false);
    if (isExecuting(task)) {
      world.rules.left(this, id);
      if (task.spec.gang()) {
        world.gangs.left(id, task.attempt, done);
      }
    }
  }

  /** What the task has done here counts when it starts again, as far as it was saved. */
  private void recordProgress(TaskId id, Task task, boolean all) {
    double every = task.spec.checkpointInterval().asSeconds();
    if (every > 0 && task.startedAt <= world.time.now()) {
      double ran = (world.time.now() - task.startedAt) / 1000.0 / slowdown;
      world.checkpointedSeconds.merge(id, all ? ran : Math.floor(ran / every) * every, Double::sum);
    }
    task.startedAt = Long.MAX_VALUE;
  }

  private void expireLease() {
    long lease = world.settings.workers().lease().millis();
    if (isAlive() && world.time.now() - renewedAt > lease) {
      endAllTasks(Figures.Stop.LEASE);
      session++;
      renewedAt = world.time.now();
      reportSender.markChanged();
    }
  }

  private void tick() {
    if (goneAt <= world.time.now() || diedAt <= world.time.now()) {
      return;
    }
    // Also of a machine that hangs nothing counts as running once its lease is over.
    expireLease();
    if (!isHung()) {
      reportSender.sendIfDue(this::handleOrders);
    }
    world.time.after(50, this::tick);
  }

  Report snapshot() {
    List<Report.Piece> pieces = new ArrayList<>();
    tasks.forEach(
        (task, held) -> pieces.add(new Report.Piece(task, held.attempt, held.state, held.cause)));
    Optional<Span> left =
        reclaimAt == Long.MAX_VALUE
            ? Optional.empty()
            : Optional.of(Span.millis(Math.max(0, reclaimAt - world.time.now())));
    return new Report(
        id,
        address(),
        type.name(),
        pool.zone(),
        pool.spot(),
        new SessionId(session),
        ++sequence,
        new Token(token),
        left,
        pieces);
  }

  private void handleOrders(Response.Orders orders, ReportSender.SentReport sent) {
    if (orders.token().value() >= token && sent.session() == session) {
      observeToken(orders.token());
      renewedAt = Math.max(renewedAt, sent.at());
      expireLease();
      orders.orders().forEach(this::execute);
    }
  }

  private void observeToken(Token seen) {
    if (seen.value() > token) {
      token = seen.value();
      if (world.time.now() - lastTokenChange > world.settings.workers().lease().millis() / 2) {
        lastTokenChange = world.time.now();
        reportSender.markChanged();
      }
    }
  }

  /** A command comes in; a hanging machine takes it up when it goes on. */
  void receiveCommand(Request.Command command, java.util.function.Consumer<Answer> then) {
    if (!isAlive()) {
      return;
    }
    if (isHung()) {
      deferred.add(() -> receiveCommand(command, then));
      return;
    }
    expireLease();
    if (command.token().value() < token || command.session().value() != session) {
      world.workerTraffic.commandReceived(command, false);
      then.accept(new Answer.Commanded(false, snapshot()));
      return;
    }
    world.workerTraffic.commandReceived(command, true);
    observeToken(command.token());
    command.orders().forEach(this::execute);
    then.accept(new Answer.Commanded(true, snapshot()));
  }

  /**
   * A late copy of a command. In the session that the command was meant for, its runs are left out,
   * unless the scenario wants them: a connection delivers once, so what comes twice comes to a new
   * life of its receiver.
   */
  void receiveDuplicateCommand(Request.Command command, boolean runsToo) {
    List<Order> orders =
        command.orders().stream().filter(o -> runsToo || !(o instanceof Order.Run)).toList();
    receiveCommand(
        new Request.Command(command.address(), command.token(), command.session(), orders),
        answer -> {});
  }

  /** Whether a task of this job is here, in whatever state but ended. */
  boolean holdsTaskOf(JobId job) {
    return tasks.entrySet().stream()
        .anyMatch(entry -> entry.getKey().job().equals(job) && !entry.getValue().ended());
  }

  /** For how many seconds a task has worked here; 0 if it does not. */
  double workedSeconds(TaskId id) {
    Task task = tasks.get(id);
    return task == null || task.ended() || task.startedAt > world.time.now()
        ? 0
        : (world.time.now() - task.startedAt) / 1000.0 / slowdown;
  }

  Resources usedResources() {
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
        world.reportReplay.startExecuted(order.attempt());
        start(order.task(), order.attempt(), known);
      }
    } else if (order instanceof Order.Halt halt) {
      if (same && !known.ended()) {
        halt(order.task(), known, halt.grace());
      }
    } else if (same && known.ended()) {
      tasks.remove(order.task());
      if (known.cause == Report.Cause.DONE) {
        world.clearedTasks.add(order.task());
      }
    }
  }

  /** A running task that can saves its progress first, if it is given the time. */
  private void halt(TaskId id, Task task, Span grace) {
    if (isExecuting(task) && task.state == Report.PieceState.RUNNING) {
      world.rules.halted(this, id, task.spec);
      world.figures.stopped(id, task.spec, Figures.Stop.COMMAND);
      if (!hasReclaimNotice()) {
        world.largest.stoppedByCommand(id);
      }
    }
    boolean saves =
        task.spec != null
            && task.spec.checkpointInterval().millis() > 0
            && task.spec.checkpointDuration().millis() > 0
            && grace.compareTo(task.spec.checkpointDuration()) >= 0;
    if (task.state == Report.PieceState.RUNNING && saves) {
      recordProgress(id, task, true);
      task.state = Report.PieceState.FLUSHING;
      reportSender.markChanged();
      world.time.after(
          task.spec.checkpointDuration().millis(),
          () -> {
            if (tasks.get(id) == task && !task.ended() && isAlive()) {
              end(id, task, Report.Cause.HALTED);
            }
          });
    } else if (task.state != Report.PieceState.FLUSHING || grace.millis() == 0) {
      end(id, task, Report.Cause.HALTED);
    }
  }

  private void start(TaskId id, Attempt attempt, Task known) {
    Task task = new Task();
    task.attempt = attempt;
    task.spec = world.specs.get(id.job());
    if (known != null) {
      // Refused while another attempt is here; the refusal itself has no place in the reports.
      world.refusedStarts++;
      return;
    }
    tasks.put(id, task);
    reportSender.markChanged();
    if (task.spec == null || id.index() >= task.spec.tasks()) {
      refuseStart(task, Report.Cause.UNKNOWN);
    } else if (!task.spec.resources().fitsInto(type.room().minus(usedResourcesWithout(task)))) {
      refuseStart(task, Report.Cause.NO_ROOM);
    } else {
      world.rules.takesRoom(this, id, task.spec);
      task.state = Report.PieceState.FETCHING;
      imageCache.request(id, task.spec, () -> imageReady(id, task));
    }
  }

  private Resources usedResourcesWithout(Task task) {
    task.state = Report.PieceState.ENDED;
    return usedResources();
  }

  private void refuseStart(Task task, Report.Cause cause) {
    world.refusedStarts++;
    task.state = Report.PieceState.ENDED;
    task.cause = cause;
  }

  private void imageReady(TaskId id, Task task) {
    if (tasks.get(id) != task || task.ended() || !isAlive()) {
      return;
    }
    if (isHung()) {
      deferred.add(() -> imageReady(id, task));
      return;
    }
    task.state = task.spec.gang() ? Report.PieceState.GATHERING : Report.PieceState.RUNNING;
    reportSender.markChanged();
    world.rules.started(this, id, task.spec);
    world.clearedTaskRestarts += world.clearedTasks.contains(id) ? 1 : 0;
    if (world.rules.completed(id)) {
      // Its result is kept, wherever that came about.
      finish(id, task, Report.Cause.DONE);
    } else if (task.spec.gang()) {
      world.gangs.arrived(this, id, task.attempt, task.spec);
    } else {
      beginWork(id);
    }
  }

  /** The task does its work from now on. */
  void beginWork(TaskId id) {
    Task task = tasks.get(id);
    task.state = Report.PieceState.RUNNING;
    task.startedAt = world.time.now();
    reportSender.markChanged();
    if (faulty || world.failingJobs.contains(id.job())) {
      world.time.after(200, () -> finish(id, task, Report.Cause.ERROR));
    } else if (!task.spec.service()) {
      double left = world.runSeconds(id) - world.checkpointedSeconds.getOrDefault(id, 0.0);
      long millis = Math.round(Math.max(0, left) * 1000 * slowdown);
      world.time.after(millis, () -> finish(id, task, Report.Cause.DONE));
    }
  }

  private void finish(TaskId id, Task task, Report.Cause cause) {
    if (tasks.get(id) != task || task.ended() || !isAlive()) {
      return;
    }
    if (isHung()) {
      deferred.add(() -> finish(id, task, cause));
      return;
    }
    if (cause == Report.Cause.DONE) {
      world.rules.completes(id);
    }
    end(id, task, cause);
  }

  /** A gang's task gives up since the others are not there. */
  void leaveGang(TaskId id) {
    Task task = tasks.get(id);
    if (task != null && !task.ended() && isAlive() && !isHung()) {
      end(id, task, Report.Cause.OTHER);
    }
  }

  private void end(TaskId id, Task task, Report.Cause cause) {
    releaseTask(id, task, cause == Report.Cause.DONE);
    task.state = Report.PieceState.ENDED;
    task.cause = cause;
    reportSender.markChanged();
    world.rules.freesRoom(this);
  }
}
