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

  private static final long TICK = 50;
  private static final long PUMP = 10;
  private static final long STATE_WAIT = 1200;
  private static final long WATCH_GRACE = 1500;
  private static final long OTHER_WAIT = 3000;
  private static final long BETWEEN_MILLIS = 110;
  private static final long UNHEALTHY_AFTER_MILLIS = 2000;

  private final World world;
  final NodeId id;
  final String zone;
  private Controller controller;
  private StartAfterEndDetector knownEnds = new StartAfterEndDetector();

  /** Where requests to the state service wait for its rates, if it keeps to any. */
  private RequestQueue line;

  private int life;
  private int ends;
  private boolean up;
  private long exchanges;
  private final Map<InboundRequestId, Consumer<Response>> open = new HashMap<>();
  private long refusedByStateUntil;
  private long fullUntil;
  private long crowdedUntil;
  private int mostWorkers;
  private final Set<MachineId> leaving = new HashSet<>();
  private Stillness stillness = Stillness.NONE;
  private long stoodSince;
  private final List<Runnable> waiting = new ArrayList<>();
  private final List<Runnable> unsent = new ArrayList<>();

  /** Whether the process runs, or stands still while its clocks go on. */
  private enum Stillness {
    NONE,
    /** About to stop: what it decides from here on leaves it only when it goes on. */
    BETWEEN,
    STILL
  }

  SimNode(World world, NodeId id, String zone) {
    this.world = world;
    this.id = id;
    this.zone = zone;
  }

  boolean up() {
    return up;
  }

  boolean leads() {
    return controller.leads();
  }

  void start() {
    life++;
    up = true;
    open.clear();
    forgetStillness();
    knownEnds = new StartAfterEndDetector();
    controller =
        new Controller(
            world.settingsOf(this),
            world.plans.policyFor(id, world.time.seconds()),
            id + "-life-" + life);
    if (world.limited) {
      line = new RequestQueue(world.settingsOf(this), world.time.now(), this::sendState);
      pump(life);
    }
    tick(life);
  }

  /** It ends, and is back some time later unless something else has happened to it by then. */
  void restart(double after) {
    crash();
    int of = ++ends;
    if (after <= 0) {
      start();
      return;
    }
    world.time.after(
        Math.round(after * 1000),
        () -> {
          if (of == ends && !up) {
            start();
          }
        });
  }

  void crash() {
    ends++;
    up = false;
    open.clear();
    forgetStillness();
  }

  private void forgetStillness() {
    stillness = Stillness.NONE;
    waiting.clear();
    unsent.clear();
  }

  /**
   * The process stands still while its clocks run on. What it decides in the last moment before
   * that, it has checked but not sent: that leaves first when it goes on, and only then does it
   * take what came in meanwhile, in an order of its own: timers that are due before the rest.
   */
  void freeze(double seconds) {
    int of = life;
    stillness = Stillness.BETWEEN;
    world.time.after(
        BETWEEN_MILLIS,
        () -> {
          if (of == life && up) {
            stillness = Stillness.STILL;
            stoodSince = world.time.now();
            world.time.after(Math.round(seconds * 1000), () -> goOn(of));
          }
        });
  }

  private void goOn(int of) {
    if (of == life && up) {
      List<Runnable> late = new ArrayList<>(unsent);
      late.add(() -> handle(new Event.Tick()));
      late.addAll(waiting);
      forgetStillness();
      late.forEach(Runnable::run);
    }
  }

  /** Whether the load balancer would still take it for healthy. */
  boolean healthy() {
    return up
        && (stillness != Stillness.STILL || world.time.now() - stoodSince < UNHEALTHY_AFTER_MILLIS);
  }

  /** Whether it does anything at present. */
  boolean active() {
    return up && stillness != Stillness.STILL;
  }

  /** Runs something in the process, now or when it goes on. */
  private void inside(Runnable action) {
    if (stillness == Stillness.STILL) {
      waiting.add(action);
    } else {
      action.run();
    }
  }

  /** Something leaves the process, now or when it goes on. */
  private void outside(Runnable action) {
    if (stillness == Stillness.BETWEEN) {
      unsent.add(action);
    } else {
      action.run();
    }
  }

  /** The state service answers 503 to this node alone, and its open watches wait meanwhile. */
  void refuse(double seconds) {
    refusedByStateUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** It has no free sockets: nobody new gets through to it, while it reaches everybody. */
  void full(double seconds) {
    fullUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** It has sockets for so many workers and no more. */
  void crowd(int workers, double seconds) {
    mostWorkers = workers;
    crowdedUntil = world.time.now() + Math.round(seconds * 1000);
  }

  /** Whether this worker has to go; those that were told so count no more. */
  private boolean crowded(MachineId worker) {
    leaving.removeIf(told -> !world.workers.get(told).reportsTo(this));
    boolean crowded =
        world.time.now() < crowdedUntil
            && world.workers.values().stream()
                    .filter(w -> w.reportsTo(this) && !leaving.contains(w.id))
                    .count()
                > mostWorkers;
    if (crowded) {
      leaving.add(worker);
    }
    return crowded;
  }

  private void tick(int of) {
    if (up && of == life) {
      if (stillness != Stillness.STILL) {
        handle(new Event.Tick());
      }
      world.time.after(TICK, () -> tick(of));
    }
  }

  private void handle(Event event) {
    boolean led = controller.leads();
    List<Effect> effects = decide(event);
    if (!led && controller.leads()) {
      world.keptReports.rises();
    }
    effects.forEach(this::carryOut);
  }

  /** What the core makes of an event; its log lines name the controller and the simulated time. */
  private List<Effect> decide(Event event) {
    MDC.put(LOG_CONTEXT, " [" + world.time.seconds() + " s " + id + "]");
    try {
      return controller.handle(event, new Moment(world.time.now()), world.wall());
    } finally {
      MDC.remove(LOG_CONTEXT);
    }
  }

  private void carryOut(Effect effect) {
    knownEnds.checkEffect(effect).ifPresent(start -> world.rules.endedJobStarted(this, start));
    if (effect instanceof Effect.Respond respond) {
      Consumer<Response> then = open.remove(respond.requestId());
      if (then != null) {
        outside(() -> then.accept(respond.response()));
      }
    } else if (effect instanceof Effect.Call call) {
      int of = life;
      outside(() -> call(call, of));
    }
  }

  private void call(Effect.Call call, int of) {
    boolean[] answered = new boolean[1];
    Consumer<Answer> then =
        answer -> {
          if (!answered[0] && up && of == life) {
            answered[0] = true;
            world.givenUp.answerReceived(call.request(), answer);
            inside(
                () -> {
                  knownEnds.answerReceived(call.request(), answer);
                  handle(new Event.CallAnswered(call.call(), answer));
                });
          }
        };
    Request request = call.request();
    if (request instanceof Request.StateServiceRequest state) {
      if (world.limited) {
        line.enqueue(state, world.time.now(), then);
      } else {
        sendState(state, then);
      }
    } else if (request instanceof Request.CloudRequest cloud) {
      world.time.after(OTHER_WAIT, () -> then.accept(new Answer.OutcomeUnknown("timeout")));
      there("cloud", back("cloud", then), reply -> world.cloud.serve(cloud, reply));
    } else if (request instanceof Request.Command command) {
      world.time.after(OTHER_WAIT, () -> then.accept(new Answer.OutcomeUnknown("timeout")));
      Consumer<Answer> reply = back(command.address(), then);
      world.network.send(
          id.value(),
          command.address(),
          () -> world.workerAt(command.address()).ifPresent(w -> w.command(command, reply)),
          runsToo ->
              world.workerAt(command.address()).ifPresent(w -> w.commandAgain(command, runsToo)));
    } else if (request instanceof Request.SendToPeer tell) {
      world.time.after(STATE_WAIT, () -> then.accept(new Answer.OutcomeUnknown("timeout")));
      there(
          tell.node().value(),
          back(tell.node().value(), then),
          reply -> {
            SimNode peer = world.node(tell.node());
            peer.take(
                exchange -> new Event.PeerMessageReceived(exchange, tell.message()),
                response -> {
                  if (response instanceof Response.PeerResponse toPeer) {
                    reply.accept(new Answer.PeerReply(toPeer.message()));
                  }
                });
          });
    }
  }

  /** A start leaves it that its core did not decide. */
  void orderStart(TaskId task, SimWorker worker) {
    List<Order> orders = List.of(new Order.Run(task, new Attempt(Long.MAX_VALUE >> 1)));
    carryOut(
        new Effect.Call(
            new CallId(Long.MAX_VALUE),
            new Request.Command(
                worker.address(),
                new Token(worker.token()),
                new SessionId(worker.session()),
                orders)));
  }

  private void sendState(Request.StateServiceRequest request, Consumer<Answer> then) {
    boolean[] over = new boolean[1];
    Consumer<Answer> once =
        answer -> {
          if (!over[0]) {
            over[0] = true;
            then.accept(answer);
          }
        };
    long hold = request instanceof Request.Watch watch ? watch.maxWait().millis() : 0;
    world.time.after(
        hold > 0 ? hold + WATCH_GRACE : STATE_WAIT,
        () -> once.accept(new Answer.OutcomeUnknown("timeout")));
    there(
        "state",
        back("state", once),
        reply -> {
          if (refusedByState()) {
            reply.accept(new Answer.Refused(503, "refused"));
          } else {
            serveState(request, reply);
          }
        });
  }

  /** Sends what the rates allow by now, as the event loop does whenever something has happened. */
  private void pump(int of) {
    if (up && of == life) {
      if (stillness == Stillness.NONE) {
        line.setTime(world.time.now());
        line.sendDue(world.time.now());
      }
      world.time.after(PUMP, () -> pump(of));
    }
  }

  private boolean refusedByState() {
    return world.time.now() < refusedByStateUntil;
  }

  /** Nobody is told what becomes of a transaction that is carried out late. */
  private void serveState(Request.StateServiceRequest request, Consumer<Answer> reply) {
    OptionalLong late =
        world.state.down() ? OptionalLong.empty() : world.lateness.writeDelay(id.value(), request);
    if (late.isPresent()) {
      world.time.after(late.getAsLong(), () -> world.state.serveLate((Request.Commit) request));
    } else {
      world.state.serve(request, reply, this::refusedByState);
    }
  }

  private Consumer<Answer> back(String from, Consumer<Answer> then) {
    return answer -> world.network.send(from, id.value(), () -> then.accept(answer));
  }

  private void there(String to, Consumer<Answer> reply, Consumer<Consumer<Answer>> serve) {
    world.network.send(id.value(), to, () -> serve.accept(reply));
  }

  private void take(
      java.util.function.Function<InboundRequestId, Event> event, Consumer<Response> then) {
    if (up) {
      InboundRequestId exchange = new InboundRequestId(++exchanges);
      open.put(exchange, then);
      inside(() -> handle(event.apply(exchange)));
    }
  }

  void report(Report report, Consumer<Response> then) {
    if (world.time.now() < fullUntil) {
      return;
    }
    boolean crowded = crowded(report.machine());
    take(
        exchange -> new Event.WorkerReportReceived(exchange, report, crowded),
        response -> {
          if (response instanceof Response.Orders) {
            leaving.remove(report.machine());
          }
          then.accept(response);
        });
  }

  /** An old report comes once more; its answer goes to nobody. */
  void reportAgain(Report report) {
    if (world.time.now() >= fullUntil) {
      take(exchange -> new Event.WorkerReportReceived(exchange, report, false), response -> {});
    }
  }

  void ask(UserRequest request, Consumer<Response> then) {
    take(exchange -> new Event.UserRequestReceived(exchange, request), then);
  }

  /** Another controller says something, or somebody in its name. */
  void told(PeerMessage message) {
    take(exchange -> new Event.PeerMessageReceived(exchange, message), response -> {});
  }

  void health(Consumer<Response> then) {
    take(Event.HealthCheckReceived::new, then);
  }
}
