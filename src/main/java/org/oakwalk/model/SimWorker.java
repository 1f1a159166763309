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
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;

/** Simulated worker that follows the published worker protocol. */
final class SimWorker {
  /** A task on this machine. */
  static final class Task {
    Attempt attempt;
    JobSpec spec;
    Report.TaskState state;
    Report.Cause cause;
    private long startedAt = Long.MAX_VALUE;

    boolean ended() {
      return state == Report.TaskState.ENDED;
    }
  }

  /** True if the machine existed at the start of the scenario. */
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

  SimWorker(World world, MachineId id, MachineType type, SimCloud.CapacityPool pool) {
    this.world = world;
    this.id = id;
    this.type = type;
    this.pool = pool;
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

  /** Returns true if this worker is alive and currently reports to the given node. */
  boolean reportsTo(SimNode to) {
    return isAlive() && reportSender.target() == to;
  }

  /** Returns true if the machine is alive and not hung. */
  boolean isResponsive() {
    return isAlive() && !isHung();
  }

  /** Returns true if the cloud charges for the machine. */
  boolean isBilled() {
    return goneAt > world.time.now() && diedAt > world.time.now();
  }

  void boot() {
    if (goneAt == Long.MAX_VALUE) {
      bootedAt = world.time.now();
      renewedAt = bootedAt;
      world.invariants.resourcesFreed(this);
      tick();
    }
  }

  void markGone() {
    goneAt = world.time.now();
    endAllTasks(ScenarioMetrics.StopCause.GONE);
  }

  void die() {
    diedAt = world.time.now();
    endAllTasks(ScenarioMetrics.StopCause.DIED);
  }

  void hang(double seconds) {
    hungUntil = Math.max(hungUntil, world.time.now() + Math.round(seconds * 1000));
    world.time.after(
        Math.round(seconds * 1000),
        () -> {
          expireLease();
          List<Runnable> resumed = List.copyOf(deferred);
          deferred.clear();
          resumed.forEach(Runnable::run);
        });
  }

  void giveReclaimNotice(double seconds) {
    reclaimAt = world.time.now() + Math.round(seconds * 1000);
    reportSender.markChanged();
    world.time.after(Math.round(seconds * 1000), () -> world.cloud.remove(id));
  }

  /** Fails every task that begins within this time. */
  void makeFaulty(double seconds) {
    faulty = true;
    world.time.after(Math.round(seconds * 1000), () -> faulty = false);
  }

  /** Slows down the tasks that begin within this time. */
  void slowDown(double factor, double seconds) {
    slowdown = factor;
    world.time.after(Math.round(seconds * 1000), () -> slowdown = 1);
  }

  /** Returns true if the machine neither fails its tasks nor slows them down. */
  boolean isHealthy() {
    return !faulty && slowdown <= 1;
  }

  /** Returns the time at which the machine was rented, in seconds of simulated time. */
  double rentedAtSeconds() {
    return world.time.seconds() - (world.time.now() - rentedAt) / 1000.0;
  }

  /** Returns true if the cloud has announced that it reclaims the machine. */
  boolean hasReclaimNotice() {
    return reclaimAt != Long.MAX_VALUE;
  }

  boolean isHung() {
    return world.time.now() < hungUntil;
  }

  private void endAllTasks(ScenarioMetrics.StopCause cause) {
    for (Map.Entry<TaskId, Task> entry : new LinkedHashMap<>(tasks).entrySet()) {
      if (isExecuting(entry.getValue())) {
        world.metrics.taskStopped(entry.getKey(), entry.getValue().spec, cause);
      }
      releaseTask(entry.getKey(), entry.getValue(), false);
    }
    tasks.clear();
  }

  private static boolean isExecuting(Task task) {
    return task.state == Report.TaskState.GATHERING
        || task.state == Report.TaskState.RUNNING
        || task.state == Report.TaskState.FLUSHING;
  }

  /** Releases the image of a task that leaves this machine, and records its progress. */
  private void releaseTask(TaskId id, Task task, boolean done) {
    if (task.spec == null || task.ended()) {
      return;
    }
    imageCache.release(id, task.spec);
    recordProgress(id, task, false);
    if (isExecuting(task)) {
      world.invariants.taskLeft(this, id);
      if (task.spec.gang()) {
        world.gangBarrier.memberLeft(id, task.attempt, done);
      }
    }
  }

  /**
   * Adds the work that the task did on this machine to its checkpointed work.
   *
   * @param all counts all work, not just up to the last full checkpoint interval
   */
  private void recordProgress(TaskId id, Task task, boolean all) {
    double every = task.spec.checkpointInterval().asSeconds();
    if (every > 0 && task.startedAt <= world.time.now()) {
      double ran = (world.time.now() - task.startedAt) / 1000.0 / slowdown;
      world.checkpointedSeconds.merge(id, all ? ran : Math.floor(ran / every) * every, Double::sum);
    }
    task.startedAt = Long.MAX_VALUE;
  }

  private void expireLease() {
    long lease = world.settings.workers().leaseDuration().millis();
    if (isAlive() && world.time.now() - renewedAt > lease) {
      endAllTasks(ScenarioMetrics.StopCause.LEASE);
      session++;
      renewedAt = world.time.now();
      reportSender.markChanged();
    }
  }

  private void tick() {
    if (goneAt <= world.time.now() || diedAt <= world.time.now()) {
      return;
    }
    // The tasks of a hung machine do not count as running either once its lease has expired.
    expireLease();
    if (!isHung()) {
      reportSender.sendIfDue(this::handleOrders);
    }
    world.time.after(50, this::tick);
  }

  Report snapshot() {
    List<Report.ReportedTask> pieces = new ArrayList<>();
    tasks.forEach(
        (id, task) ->
            pieces.add(new Report.ReportedTask(id, task.attempt, task.state, task.cause)));
    Optional<TimeSpan> left =
        reclaimAt == Long.MAX_VALUE
            ? Optional.empty()
            : Optional.of(TimeSpan.millis(Math.max(0, reclaimAt - world.time.now())));
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
      world.invariants.ordersReceived(this, orders.orders());
      orders.orders().forEach(this::execute);
    }
  }

  private void observeToken(Token seen) {
    if (seen.value() > token) {
      token = seen.value();
      if (world.time.now() - lastTokenChange
          > world.settings.workers().leaseDuration().millis() / 2) {
        lastTokenChange = world.time.now();
        reportSender.markChanged();
      }
    }
  }

  /** Receives a command. A hung machine handles it on resuming. */
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
      then.accept(new Answer.CommandResult(false, snapshot()));
      return;
    }
    world.workerTraffic.commandReceived(command, true);
    observeToken(command.token());
    world.invariants.ordersReceived(this, command.orders());
    command.orders().forEach(this::execute);
    then.accept(new Answer.CommandResult(true, snapshot()));
  }

  /**
   * Receives a late copy of a command. Its start orders are left out unless the scenario includes
   * them: a connection delivers a message only once, so a real duplicate reaches a later session of
   * the worker.
   */
  void receiveDuplicateCommand(Request.Command command, boolean includeStarts) {
    List<Order> orders =
        command.orders().stream().filter(o -> includeStarts || !(o instanceof Order.Run)).toList();
    receiveCommand(
        new Request.Command(command.address(), command.token(), command.session(), orders),
        answer -> {});
  }

  /** Returns true if this machine has a task of this job that has not ended. */
  boolean holdsTaskOf(JobId job) {
    return tasks.entrySet().stream()
        .anyMatch(entry -> entry.getKey().job().equals(job) && !entry.getValue().ended());
  }

  /** Returns the seconds of work that a task has done on this machine; 0 if it is not working. */
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

  /**
   * Halts a task. A running task with checkpoints writes one first if the grace period is long
   * enough.
   */
  private void halt(TaskId id, Task task, TimeSpan grace) {
    if (isExecuting(task) && task.state == Report.TaskState.RUNNING) {
      world.invariants.taskHalted(this, id, task.spec);
      world.metrics.taskStopped(id, task.spec, ScenarioMetrics.StopCause.COMMAND);
      if (!hasReclaimNotice()) {
        world.largeJobStarts.taskStoppedByCommand(id);
      }
    }
    boolean saves =
        task.spec != null
            && task.spec.checkpointInterval().millis() > 0
            && task.spec.checkpointDuration().millis() > 0
            && grace.compareTo(task.spec.checkpointDuration()) >= 0;
    if (task.state == Report.TaskState.RUNNING && saves) {
      recordProgress(id, task, true);
      task.state = Report.TaskState.FLUSHING;
      reportSender.markChanged();
      world.time.after(
          task.spec.checkpointDuration().millis(),
          () -> {
            if (tasks.get(id) == task && !task.ended() && isAlive()) {
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
      // Refused because another attempt is on this machine; reports cannot show this refusal.
      world.refusedStarts++;
      return;
    }
    tasks.put(id, task);
    reportSender.markChanged();
    if (task.spec == null || id.index() >= task.spec.tasks()) {
      refuseStart(task, Report.Cause.UNKNOWN);
    } else if (!task.spec
        .resources()
        .withoutTaskSlots()
        .fitsInto(type.resources().minus(usedResourcesWithout(task)))) {
      refuseStart(task, Report.Cause.NO_ROOM);
    } else {
      world.invariants.beforeAllocation(this, id, task.spec);
      task.state = Report.TaskState.FETCHING;
      imageCache.request(id, task.spec, () -> imageReady(id, task));
    }
  }

  private Resources usedResourcesWithout(Task task) {
    task.state = Report.TaskState.ENDED;
    return usedResources();
  }

  private void refuseStart(Task task, Report.Cause cause) {
    world.refusedStarts++;
    task.state = Report.TaskState.ENDED;
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
    task.state = task.spec.gang() ? Report.TaskState.GATHERING : Report.TaskState.RUNNING;
    reportSender.markChanged();
    world.invariants.taskStarted(this, id, task.spec);
    world.clearedTaskRestarts += world.clearedTasks.contains(id) ? 1 : 0;
    if (world.invariants.isCompleted(id)) {
      // The result of an earlier attempt is stored, on whichever machine it ran.
      finish(id, task, Report.Cause.DONE);
    } else if (task.spec.gang()) {
      world.gangBarrier.memberReady(this, id, task.attempt, task.spec);
    } else {
      beginWork(id);
    }
  }

  /** Starts the work of a task whose image is present and, for a gang, whose peers have arrived. */
  void beginWork(TaskId id) {
    Task task = tasks.get(id);
    task.state = Report.TaskState.RUNNING;
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
      world.invariants.taskCompleted(id);
    }
    end(id, task, cause);
  }

  /** Ends a gang task that has waited too long for its peers. */
  void leaveGang(TaskId id) {
    Task task = tasks.get(id);
    if (task != null && !task.ended() && isAlive() && !isHung()) {
      end(id, task, Report.Cause.OTHER);
    }
  }

  private void end(TaskId id, Task task, Report.Cause cause) {
    releaseTask(id, task, cause == Report.Cause.DONE);
    task.state = Report.TaskState.ENDED;
    task.cause = cause;
    reportSender.markChanged();
    world.invariants.resourcesFreed(this);
  }
}
