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
import org.oakwalk.core.ExchangeId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
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

/** A controller node in virtual time: the real core between stand-ins. */
final class SimNode {
  /** Where the log's pattern finds the simulated time and the controller. */
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
  private KnownEnds knownEnds = new KnownEnds();

  /** Where requests to the state service wait for its rates, if it keeps to any. */
  private RequestQueue line;

  private int incarnation;
  private int stopCount;
  private boolean up;
  private long lastRequestId;
  private final Map<ExchangeId, Consumer<Response>> pendingResponses = new HashMap<>();
  private long refusedByStateUntil;
  private long socketsExhaustedUntil;
  private long workerLimitUntil;
  private int maxWorkers;
  private final Set<MachineId> redirectedWorkers = new HashSet<>();
  private FreezeState freezeState = FreezeState.RUNNING;
  private long frozenSince;
  private final List<Runnable> deferredInput = new ArrayList<>();
  private final List<Runnable> deferredOutput = new ArrayList<>();

  /** Whether the process runs, or stands still while its clocks go on. */
  private enum FreezeState {
    RUNNING,
    /** About to stop: what it decides from here on leaves it only when it goes on. */
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
    knownEnds = new KnownEnds();
    controller =
        new Controller(
            world.settingsOf(this),
            world.plans.policy(id, world.time.seconds()),
            id + "-life-" + incarnation);
    if (world.rateLimited) {
      line = new RequestQueue(world.settingsOf(this), world.time.now(), this::sendState);
      pumpQueue(incarnation);
    }
    tick(incarnation);
  }

  /** It ends, and is back some time later unless something else has happened to it by then. */
  void restart(double after) {
    crash();
    int of = ++stopCount;
    if (after <= 0) {
      start();
      return;
    }
    world.time.after(
        Math.round(after * 1000),
        () -> {
          if (of == stopCount && !up) {
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
   * The process stands still while its clocks run on. What it decides in the last moment before
   * that, it has checked but not sent: that leaves first when it goes on, and only then does it
   * take what came in meanwhile, in an order of its own: timers that are due before the rest.
   */
  void freeze(double seconds) {
    int of = incarnation;
    freezeState = FreezeState.SENDS_HELD;
    world.time.after(
        SENDS_HELD_MILLIS,
        () -> {
          if (of == incarnation && up) {
            freezeState = FreezeState.FROZEN;
            frozenSince = world.time.now();
            world.time.after(Math.round(seconds * 1000), () -> resume(of));
          }
        });
  }

  private void resume(int of) {
    if (of == incarnation && up) {
      List<Runnable> late = new ArrayList<>(deferredOutput);
      late.add(() -> handle(new Event.Tick()));
      late.addAll(deferredInput);
      clearFreeze();
      late.forEach(Runnable::run);
    }
  }

  /** Whether the load balancer would still take it for healthy. */
  boolean isHealthy() {
    return up
        && (freezeState != FreezeState.FROZEN
            || world.time.now() - frozenSince < UNHEALTHY_AFTER_MILLIS);
  }

  /** Whether it does anything at present. */
  boolean isResponsive() {
    return up && freezeState != FreezeState.FROZEN;
  }

  /** Runs something in the process, now or when it goes on. */
  private void runOrDefer(Runnable action) {
    if (freezeState == FreezeState.FROZEN) {
      deferredInput.add(action);
    } else {
      action.run();
    }
  }

  /** Something leaves the process, now or when it goes on. */
  private void sendOrDefer(Runnable action) {
    if (freezeState == FreezeState.SENDS_HELD) {
      deferredOutput.add(action);
    } else {
      action.run();
    }
  }

  /** The state service answers 503 to this node alone, and its open watches wait meanwhile. */
  void refuseStateRequests(double seconds) {
    refusedByStateUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** It has no free sockets: nobody new gets through to it, while it reaches everybody. */
  void exhaustSockets(double seconds) {
    socketsExhaustedUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** It has sockets for so many workers and no more. */
  void limitWorkers(int workers, double seconds) {
    maxWorkers = workers;
    workerLimitUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** Whether this worker has to go; those that were told so count no more. */
  private boolean shouldRedirect(MachineId worker) {
    redirectedWorkers.removeIf(told -> !world.workers.get(told).reportsTo(this));
    boolean crowded =
        world.time.now() < workerLimitUntil
            && world.workers.values().stream()
                    .filter(w -> w.reportsTo(this) && !redirectedWorkers.contains(w.id))
                    .count()
                > maxWorkers;
    if (crowded) {
      redirectedWorkers.add(worker);
    }
    return crowded;
  }

  private void tick(int of) {
    if (up && of == incarnation) {
      if (freezeState != FreezeState.FROZEN) {
        handle(new Event.Tick());
      }
      world.time.after(TICK_MILLIS, () -> tick(of));
    }
  }

  private void handle(Event event) {
    boolean led = controller.leads();
    List<Effect> effects = decide(event);
    if (!led && controller.leads()) {
      world.reportReplay.leadershipGained();
    }
    effects.forEach(this::execute);
  }

  /** What the core makes of an event; its log lines name the controller and the simulated time. */
  private List<Effect> decide(Event event) {
    MDC.put(LOG_CONTEXT, " [" + world.time.seconds() + " s " + id + "]");
    try {
      return controller.handle(event, new Moment(world.time.now()), world.wallClock());
    } finally {
      MDC.remove(LOG_CONTEXT);
    }
  }

  private void execute(Effect effect) {
    knownEnds.decides(effect).ifPresent(start -> world.rules.startsEnded(this, start));
    if (effect instanceof Effect.Respond respond) {
      Consumer<Response> then = pendingResponses.remove(respond.exchange());
      if (then != null) {
        sendOrDefer(() -> then.accept(respond.response()));
      }
    } else if (effect instanceof Effect.Call call) {
      int of = incarnation;
      sendOrDefer(() -> call(call, of));
    }
  }

  private void call(Effect.Call call, int of) {
    boolean[] answered = new boolean[1];
    Consumer<Answer> then =
        answer -> {
          if (!answered[0] && up && of == incarnation) {
            answered[0] = true;
            world.givenUp.answered(call.request(), answer);
            runOrDefer(
                () -> {
                  knownEnds.answered(call.request(), answer);
                  handle(new Event.Answered(call.call(), answer));
                });
          }
        };
    Request request = call.request();
    if (request instanceof Request.State state) {
      if (world.rateLimited) {
        line.enqueue(state, world.time.now(), then);
      } else {
        sendState(state, then);
      }
    } else if (request instanceof Request.Cloud cloud) {
      world.time.after(REQUEST_TIMEOUT_MILLIS, () -> then.accept(new Answer.Nothing("timeout")));
      sendRequest("cloud", replyVia("cloud", then), reply -> world.cloud.serve(cloud, reply));
    } else if (request instanceof Request.Command command) {
      world.time.after(REQUEST_TIMEOUT_MILLIS, () -> then.accept(new Answer.Nothing("timeout")));
      Consumer<Answer> reply = replyVia(command.address(), then);
      world.network.send(
          id.value(),
          command.address(),
          () -> world.workerAt(command.address()).ifPresent(w -> w.receiveCommand(command, reply)),
          runsToo ->
              world
                  .workerAt(command.address())
                  .ifPresent(w -> w.receiveDuplicateCommand(command, runsToo)));
    } else if (request instanceof Request.Tell tell) {
      world.time.after(STATE_TIMEOUT_MILLIS, () -> then.accept(new Answer.Nothing("timeout")));
      sendRequest(
          tell.node().value(),
          replyVia(tell.node().value(), then),
          reply -> {
            SimNode peer = world.node(tell.node());
            peer.receive(
                exchange -> new Event.PeerSays(exchange, tell.message()),
                response -> {
                  if (response instanceof Response.ToPeer toPeer) {
                    reply.accept(new Answer.Told(toPeer.message()));
                  }
                });
          });
    }
  }

  /** A start leaves it that its core did not decide. */
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

  private void sendState(Request.State request, Consumer<Answer> then) {
    boolean[] over = new boolean[1];
    Consumer<Answer> once =
        answer -> {
          if (!over[0]) {
            over[0] = true;
            then.accept(answer);
          }
        };
    long hold = request instanceof Request.Watch watch ? watch.hold().millis() : 0;
    world.time.after(
        hold > 0 ? hold + WATCH_TIMEOUT_MARGIN_MILLIS : STATE_TIMEOUT_MILLIS,
        () -> once.accept(new Answer.Nothing("timeout")));
    sendRequest(
        "state",
        replyVia("state", once),
        reply -> {
          if (isRefusedByState()) {
            reply.accept(new Answer.Refused(503, "refused"));
          } else {
            serveState(request, reply);
          }
        });
  }

  /** Sends what the rates allow by now, as the event loop does whenever something has happened. */
  private void pumpQueue(int of) {
    if (up && of == incarnation) {
      if (freezeState == FreezeState.RUNNING) {
        line.setTime(world.time.now());
        line.sendDue(world.time.now());
      }
      world.time.after(QUEUE_POLL_MILLIS, () -> pumpQueue(of));
    }
  }

  private boolean isRefusedByState() {
    return world.time.now() < refusedByStateUntil;
  }

  /** Nobody is told what becomes of a transaction that is carried out late. */
  private void serveState(Request.State request, Consumer<Answer> reply) {
    OptionalLong late =
        world.state.isDown() ? OptionalLong.empty() : world.lateness.ofWrite(id.value(), request);
    if (late.isPresent()) {
      world.time.after(late.getAsLong(), () -> world.state.commitLate((Request.Commit) request));
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
      java.util.function.Function<ExchangeId, Event> event, Consumer<Response> then) {
    if (up) {
      ExchangeId exchange = new ExchangeId(++lastRequestId);
      pendingResponses.put(exchange, then);
      runOrDefer(() -> handle(event.apply(exchange)));
    }
  }

  void receiveReport(Report report, Consumer<Response> then) {
    if (world.time.now() < socketsExhaustedUntil) {
      return;
    }
    boolean crowded = shouldRedirect(report.machine());
    receive(
        exchange -> new Event.WorkerReports(exchange, report, crowded),
        response -> {
          if (response instanceof Response.Orders) {
            redirectedWorkers.remove(report.machine());
          }
          then.accept(response);
        });
  }

  /** An old report comes once more; its answer goes to nobody. */
  void receiveDuplicateReport(Report report) {
    if (world.time.now() >= socketsExhaustedUntil) {
      receive(exchange -> new Event.WorkerReports(exchange, report, false), response -> {});
    }
  }

  void receiveUserRequest(UserRequest request, Consumer<Response> then) {
    receive(exchange -> new Event.UserAsks(exchange, request), then);
  }

  /** Another controller says something, or somebody in its name. */
  void receivePeerMessage(PeerMessage message) {
    receive(exchange -> new Event.PeerSays(exchange, message), response -> {});
  }

  void checkHealth(Consumer<Response> then) {
    receive(Event.HealthAsked::new, then);
  }
}
