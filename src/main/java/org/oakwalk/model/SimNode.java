package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.CallId;
import org.oakwalk.core.Controller;
import org.oakwalk.core.InboundRequestId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Event;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.port.Response;
import org.oakwalk.core.port.UserRequest;
import org.oakwalk.core.store.RequestQueue;
import org.slf4j.MDC;

/** Simulated controller node: runs the real {@link Controller} in virtual time. */
final class SimNode {
  /** MDC key through which the log pattern shows the simulated time and the controller. */
  private static final String LOG_CONTEXT = "simulated";

  private static final long TICK_MILLIS = 50;
  private static final long QUEUE_POLL_MILLIS = 10;
  private static final long STATE_TIMEOUT_MILLIS = 1200;
  private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 1500;
  private static final long REQUEST_TIMEOUT_MILLIS = 3000;
  private static final long SENDS_HELD_MILLIS = 110;
  private static final long UNHEALTHY_AFTER_MILLIS = 2000;

  private final World world;
  final NodeId id;
  final String zone;
  private Controller controller;
  private StartAfterEndDetector startAfterEndDetector = new StartAfterEndDetector();

  /** Queue for requests to the state service, if the service limits request rates. */
  private RequestQueue line;

  private int incarnation;
  private int stopCount;
  private boolean up;
  private long lastRequestId;
  private final Map<InboundRequestId, Consumer<Response>> pendingResponses = new HashMap<>();
  private long refusedByStateUntil;
  private long socketsExhaustedUntil;
  private long workerLimitUntil;
  private int maxWorkers;
  private final Set<MachineId> redirectedWorkers = new HashSet<>();
  private FreezeState freezeState = FreezeState.RUNNING;
  private long frozenSince;
  private final List<Runnable> deferredInput = new ArrayList<>();
  private final List<Runnable> deferredOutput = new ArrayList<>();

  /** State of a simulated process pause during which the clocks keep running. */
  private enum FreezeState {
    RUNNING,
    /**
     * About to freeze: events are handled, but outgoing messages wait until the process resumes.
     */
    SENDS_HELD,
    FROZEN
  }

  SimNode(World world, NodeId id, String zone) {
    this.world = world;
    this.id = id;
    this.zone = zone;
  }

  boolean isUp() {
    return up;
  }

  boolean isLeader() {
    return controller.leads();
  }

  void start() {
    incarnation++;
    up = true;
    pendingResponses.clear();
    clearFreeze();
    startAfterEndDetector = new StartAfterEndDetector();
    controller =
        new Controller(
            world.settingsOf(this),
            world.scenarioPolicy.policyFor(id, world.time.seconds()),
            id + "-life-" + incarnation);
    if (world.rateLimited) {
      line = new RequestQueue(world.settingsOf(this), world.time.now(), this::sendState);
      pumpQueue(incarnation);
    }
    tick(incarnation);
  }

  /**
   * Stops the node and starts it again after a delay, unless it has been stopped or started again
   * by then.
   */
  void restart(double after) {
    crash();
    int stop = ++stopCount;
    if (after <= 0) {
      start();
      return;
    }
    world.time.after(
        Math.round(after * 1000),
        () -> {
          if (stop == stopCount && !up) {
            start();
          }
        });
  }

  void crash() {
    stopCount++;
    up = false;
    pendingResponses.clear();
    clearFreeze();
  }

  private void clearFreeze() {
    freezeState = FreezeState.RUNNING;
    deferredInput.clear();
    deferredOutput.clear();
  }

  /**
   * Pauses the process while its clocks keep running. The messages decided on in the last moments
   * before the pause have been checked but not sent; they are sent first on resuming. Only then
   * does the process handle the timers that are due, followed by the input received meanwhile.
   */
  void freeze(double seconds) {
    int thisIncarnation = incarnation;
    freezeState = FreezeState.SENDS_HELD;
    world.time.after(
        SENDS_HELD_MILLIS,
        () -> {
          if (thisIncarnation == incarnation && up) {
            freezeState = FreezeState.FROZEN;
            frozenSince = world.time.now();
            world.time.after(Math.round(seconds * 1000), () -> resume(thisIncarnation));
          }
        });
  }

  private void resume(int thisIncarnation) {
    if (thisIncarnation == incarnation && up) {
      List<Runnable> deferred = new ArrayList<>(deferredOutput);
      deferred.add(() -> handle(new Event.Tick()));
      deferred.addAll(deferredInput);
      clearFreeze();
      deferred.forEach(Runnable::run);
    }
  }

  /**
   * Returns true if the load balancer considers this node healthy. It notices a frozen node only
   * after {@link #UNHEALTHY_AFTER_MILLIS}.
   */
  boolean isHealthy() {
    return up
        && (freezeState != FreezeState.FROZEN
            || world.time.now() - frozenSince < UNHEALTHY_AFTER_MILLIS);
  }

  /** Returns true if the process is up and not frozen. */
  boolean isResponsive() {
    return up && freezeState != FreezeState.FROZEN;
  }

  /** Runs an input handler now, or on resuming if the process is frozen. */
  private void runOrDefer(Runnable action) {
    if (freezeState == FreezeState.FROZEN) {
      deferredInput.add(action);
    } else {
      action.run();
    }
  }

  /** Sends a message now, or on resuming if the process is about to freeze. */
  private void sendOrDefer(Runnable action) {
    if (freezeState == FreezeState.SENDS_HELD) {
      deferredOutput.add(action);
    } else {
      action.run();
    }
  }

  /**
   * Makes the state service answer 503 to this node alone. The open watches of the node are not
   * answered meanwhile.
   */
  void refuseStateRequests(double seconds) {
    refusedByStateUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** Simulates a node without free sockets: new worker reports are lost, outgoing calls succeed. */
  void exhaustSockets(double seconds) {
    socketsExhaustedUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** Limits the number of workers that this node has sockets for. */
  void limitWorkers(int workers, double seconds) {
    maxWorkers = workers;
    workerLimitUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /**
   * Returns true if this worker is to be redirected because the node has more workers than its
   * limit. Workers that have already been redirected do not count.
   */
  private boolean shouldRedirect(MachineId worker) {
    redirectedWorkers.removeIf(redirected -> !world.workers.get(redirected).reportsTo(this));
    boolean overLimit =
        world.time.now() < workerLimitUntil
            && world.workers.values().stream()
                    .filter(w -> w.reportsTo(this) && !redirectedWorkers.contains(w.id))
                    .count()
                > maxWorkers;
    if (overLimit) {
      redirectedWorkers.add(worker);
    }
    return overLimit;
  }

  private void tick(int thisIncarnation) {
    if (up && thisIncarnation == incarnation) {
      if (freezeState != FreezeState.FROZEN) {
        handle(new Event.Tick());
      }
      world.time.after(TICK_MILLIS, () -> tick(thisIncarnation));
    }
  }

  private void handle(Event event) {
    boolean wasLeader = controller.leads();
    List<Effect> effects = decide(event);
    if (!wasLeader && controller.leads()) {
      world.reportReplay.leadershipGained();
    }
    effects.forEach(this::execute);
  }

  /** Passes an event to the controller, with the node id and simulated time in the log context. */
  private List<Effect> decide(Event event) {
    MDC.put(LOG_CONTEXT, " [" + world.time.seconds() + " s " + id + "]");
    try {
      return controller.handle(event, new MonotonicTime(world.time.now()), world.wallClock());
    } finally {
      MDC.remove(LOG_CONTEXT);
    }
  }

  private void execute(Effect effect) {
    startAfterEndDetector
        .checkEffect(effect)
        .ifPresent(start -> world.invariants.endedJobStarted(this, start));
    if (effect instanceof Effect.Respond respond) {
      Consumer<Response> then = pendingResponses.remove(respond.requestId());
      if (then != null) {
        sendOrDefer(() -> then.accept(respond.response()));
      }
    } else if (effect instanceof Effect.Call call) {
      int thisIncarnation = incarnation;
      sendOrDefer(() -> call(call, thisIncarnation));
    }
  }

  private void call(Effect.Call call, int thisIncarnation) {
    boolean[] answered = new boolean[1];
    Consumer<Answer> then =
        answer -> {
          if (!answered[0] && up && thisIncarnation == incarnation) {
            answered[0] = true;
            world.commitAvailability.answerReceived(call.request(), answer);
            runOrDefer(
                () -> {
                  startAfterEndDetector.answerReceived(call.request(), answer);
                  handle(new Event.CallAnswered(call.call(), answer));
                });
          }
        };
    Request request = call.request();
    if (request instanceof Request.StateServiceRequest state) {
      if (world.rateLimited) {
        line.enqueue(state, world.time.now(), then);
      } else {
        sendState(state, then);
      }
    } else if (request instanceof Request.CloudRequest cloud) {
      world.time.after(
          REQUEST_TIMEOUT_MILLIS, () -> then.accept(new Answer.OutcomeUnknown("timeout")));
      sendRequest("cloud", replyVia("cloud", then), reply -> world.cloud.serve(cloud, reply));
    } else if (request instanceof Request.Command command) {
      world.time.after(
          REQUEST_TIMEOUT_MILLIS, () -> then.accept(new Answer.OutcomeUnknown("timeout")));
      sendCommand(command, then);
    } else if (request instanceof Request.SendToPeer tell) {
      world.time.after(
          STATE_TIMEOUT_MILLIS, () -> then.accept(new Answer.OutcomeUnknown("timeout")));
      sendRequest(
          tell.node().value(),
          replyVia(tell.node().value(), then),
          reply -> {
            SimNode peer = world.node(tell.node());
            peer.receive(
                requestId -> new Event.PeerMessageReceived(requestId, tell.message()),
                response -> {
                  if (response instanceof Response.PeerResponse toPeer) {
                    reply.accept(new Answer.PeerReply(toPeer.message()));
                  }
                });
          });
    }
  }

  /** Sends a command to its worker; one that is delayed is carried out late and not answered. */
  private void sendCommand(Request.Command command, Consumer<Answer> then) {
    OptionalLong delay = world.delayInjector.commandDelay(command.address());
    if (delay.isPresent()) {
      world.time.after(
          delay.getAsLong(),
          () ->
              world
                  .workerAt(command.address())
                  .ifPresent(worker -> worker.receiveCommand(command, answer -> {})));
      return;
    }
    Consumer<Answer> reply = replyVia(command.address(), then);
    world.network.send(
        id.value(),
        command.address(),
        () -> world.workerAt(command.address()).ifPresent(w -> w.receiveCommand(command, reply)),
        includeStarts ->
            world
                .workerAt(command.address())
                .ifPresent(w -> w.receiveDuplicateCommand(command, includeStarts)));
  }

  /** Sends a start command that the controller did not decide on, to test the rule checks. */
  void sendUndecidedStart(TaskId task, SimWorker worker) {
    List<Order> orders = List.of(new Order.Run(task, new Attempt(Long.MAX_VALUE >> 1)));
    execute(
        new Effect.Call(
            new CallId(Long.MAX_VALUE),
            new Request.Command(
                worker.address(),
                new Token(worker.token()),
                new SessionId(worker.session()),
                orders)));
  }

  private void sendState(Request.StateServiceRequest request, Consumer<Answer> then) {
    boolean[] completed = new boolean[1];
    Consumer<Answer> once =
        answer -> {
          if (!completed[0]) {
            completed[0] = true;
            then.accept(answer);
          }
        };
    long hold = request instanceof Request.Watch watch ? watch.maxWait().millis() : 0;
    world.time.after(
        hold > 0 ? hold + WATCH_TIMEOUT_MARGIN_MILLIS : STATE_TIMEOUT_MILLIS,
        () -> once.accept(new Answer.OutcomeUnknown("timeout")));
    sendRequest(
        "state",
        replyVia("state", once),
        reply -> {
          if (isRefusedByState()) {
            reply.accept(new Answer.Refused(503, "state service refuses this node"));
          } else {
            serveState(request, reply);
          }
        });
  }

  /**
   * Sends the queued requests that the rate limits allow, as the event loop does after each event.
   */
  private void pumpQueue(int thisIncarnation) {
    if (up && thisIncarnation == incarnation) {
      if (freezeState == FreezeState.RUNNING) {
        line.setTime(world.time.now());
        line.sendDue(world.time.now());
      }
      world.time.after(QUEUE_POLL_MILLIS, () -> pumpQueue(thisIncarnation));
    }
  }

  private boolean isRefusedByState() {
    return world.time.now() < refusedByStateUntil;
  }

  /** Serves a request. A transaction that is committed late gets no answer. */
  private void serveState(Request.StateServiceRequest request, Consumer<Answer> reply) {
    OptionalLong delay =
        world.state.isDown()
            ? OptionalLong.empty()
            : world.delayInjector.writeDelay(id.value(), request);
    if (delay.isPresent()) {
      world.time.after(delay.getAsLong(), () -> world.state.commitLate((Request.Commit) request));
    } else {
      world.state.serve(request, reply, this::isRefusedByState);
    }
  }

  private Consumer<Answer> replyVia(String from, Consumer<Answer> then) {
    return answer -> world.network.send(from, id.value(), () -> then.accept(answer));
  }

  private void sendRequest(String to, Consumer<Answer> reply, Consumer<Consumer<Answer>> serve) {
    world.network.send(id.value(), to, () -> serve.accept(reply));
  }

  private void receive(
      java.util.function.Function<InboundRequestId, Event> event, Consumer<Response> then) {
    if (up) {
      InboundRequestId requestId = new InboundRequestId(++lastRequestId);
      pendingResponses.put(requestId, then);
      runOrDefer(() -> handle(event.apply(requestId)));
    }
  }

  void receiveReport(Report report, Consumer<Response> then) {
    if (world.time.now() < socketsExhaustedUntil) {
      return;
    }
    boolean redirect = shouldRedirect(report.machine());
    receive(
        requestId -> new Event.WorkerReportReceived(requestId, report, redirect),
        response -> {
          if (response instanceof Response.Orders) {
            redirectedWorkers.remove(report.machine());
          }
          then.accept(response);
        });
  }

  /** Receives a late copy of a report. The response is discarded. */
  void receiveDuplicateReport(Report report) {
    if (world.time.now() >= socketsExhaustedUntil) {
      receive(
          requestId -> new Event.WorkerReportReceived(requestId, report, false), response -> {});
    }
  }

  void receiveUserRequest(UserRequest request, Consumer<Response> then) {
    receive(requestId -> new Event.UserRequestReceived(requestId, request), then);
  }

  /** Receives a message from another controller, or one forged in its name. */
  void receivePeerMessage(PeerMessage message) {
    receive(requestId -> new Event.PeerMessageReceived(requestId, message), response -> {});
  }

  void checkHealth(Consumer<Response> then) {
    receive(Event.HealthCheckReceived::new, then);
  }
}
