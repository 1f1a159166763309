package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Settings;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.leadership.RelayExpiry;
import org.oakwalk.core.store.JobRecord;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of one term and what is on them. A placement leaves its machine only when it is
 * certain that the attempt is not there and cannot start there any more.
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final Span LAPSE_MARGIN = Span.millis(500);

  /**
   * How long before a task was placed its user may have been told of the withdrawal, by another
   * controller, and how long an answer to a report may take; with some time to spare.
   */
  private static final Span START_MARGIN = Span.seconds(10);

  /**
   * How many ended attempts a machine lists, only since their starts may come once more, before its
   * token is raised. Each raise costs one more report.
   */
  private static final int MOST_KEPT = 16;

  /** Why a task is stopped. */
  public enum Why {
    /** Its user has withdrawn the job. */
    WITHDRAWN(false),
    /** It runs or is done elsewhere. */
    NEEDLESS(false),
    /** The cloud takes the machine. */
    RECLAIMED(false),
    /** Others of its gang are lost. */
    GANG(false),
    /** For a more urgent one. */
    PREEMPTED(true),
    /** Its room is taken for a while, and owed. */
    TAKEN(true),
    /** It starts again on another machine at once. */
    MOVED(true),
    /** Its machine is emptied. */
    DRAINED(true);

    private final boolean voluntary;

    Why(boolean voluntary) {
      this.voluntary = voluntary;
    }

    /** Whether it could as well be left, so that budgets have a say. */
    public boolean voluntary() {
      return voluntary;
    }
  }

  /** Told what becomes of tasks. */
  public interface Listener {
    /** A task completed after running this long; the span is null if unknown. */
    void completed(Placement placement, Span ran);

    /** A task was put on a machine. */
    void placed(Job job, Moment now);

    /** A task is to be stopped. */
    default void stopping(Placement placement, Why why) {}

    /** A task is surely on its machine no more. */
    default void left(Placement placement, Moment now) {}

    /** A machine takes tasks from now on, or has room again. */
    void roomChanged();
  }

  private final Token token;
  private final JobBook jobs;
  private final StoreView view;
  private final RelayExpiry relays;
  private final Settings.WorkerTiming timing;
  private final Listener listener;
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Map<TaskId, Placement> byTask = new HashMap<>();
  private final Map<String, Room> teamUse = new HashMap<>();
  private Map<String, MachineType> types = Map.of();
  private final Set<MachineId> gone = new HashSet<>();
  private final Set<Machine> toCommand = new LinkedHashSet<>();
  private final Stoppable stoppable = new Stoppable();
  private final Reconciler reconciler;
  private long attempts;

  /** The last moment at which an older leader may have renewed a lease; null if not known yet. */
  private Moment foreignRenewal;

  /** Asked for with every task that is placed, so it is kept until a machine's doubt changes. */
  private Room inDoubt;

  public Fleet(
      Token token,
      JobBook jobs,
      StoreView view,
      RelayExpiry relays,
      Settings.WorkerTiming timing,
      Listener listener) {
    this.relays = relays;
    this.token = token;
    this.jobs = jobs;
    this.view = view;
    this.timing = timing;
    this.listener = listener;
    this.reconciler = new Reconciler(this, jobs, timing, listener);
  }

  public void types(Map<String, MachineType> current) {
    types = current;
  }

  public Collection<Machine> machines() {
    return machines.values();
  }

  public Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /** What a team's tasks take, placements that may yet start included. */
  public Room use(String team) {
    return teamUse.getOrDefault(team, Room.NONE);
  }

  /** What there is that could be stopped for others. */
  public Stoppable stoppable() {
    return stoppable;
  }

  /**
   * Room of which it is not known whose tasks take it: machines that have not told what runs there,
   * and tasks that no placement stands for, such as those of a job whose record can't be read.
   */
  public Room roomInDoubt() {
    if (inDoubt == null) {
      inDoubt = Room.NONE;
      for (Machine machine : machines.values()) {
        inDoubt =
            inDoubt.plus(
                machine.inDoubt() ? machine.type().room() : machine.leftovers().strayRoom());
      }
    }
    return inDoubt;
  }

  /** A machine's doubt has changed. */
  void doubtChanged() {
    inDoubt = null;
  }

  /** Whether an attempt that an earlier leader ordered may be on a machine unseen. */
  public boolean anyUnconfirmed() {
    return machines.values().stream().anyMatch(Machine::inDoubt);
  }

  void settled(Machine machine) {
    machine.settled();
    inDoubt = null;
  }

  /** Adds a machine; without its type it is left out, unless older leaders may have used it. */
  public Optional<Machine> add(
      MachineId id,
      String address,
      String type,
      String zone,
      boolean spot,
      Machine.State state,
      Moment known) {
    MachineType kind = types.get(type);
    if (kind == null && state != Machine.State.UNCONFIRMED) {
      return Optional.empty();
    }
    boolean typeKnown = kind != null;
    Machine machine =
        new Machine(
            id, address, typeKnown ? kind : withoutBounds(type), zone, spot, state, token, known);
    if (!typeKnown) {
      machine.duty(Duty.UNFIT);
    }
    machines.put(id, machine);
    inDoubt = null;
    return Optional.of(machine);
  }

  /** The next attempt number; all tasks of a gang share one, by which they find each other. */
  public Attempt nextAttempt() {
    return Attempt.of(token, ++attempts);
  }

  /**
   * Stands in for the type of a registered machine that the cloud no longer offers. Whatever runs
   * there fits, which makes quotas err on the safe side; new tasks it gets none.
   */
  private static MachineType withoutBounds(String name) {
    Room all = new Room(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE);
    return new MachineType(name, all, 0, 0, 0, 0, Span.seconds(0), List.of());
  }

  /** Puts a task on a machine. The order goes out by command or with the next response. */
  public Placement place(
      Job job, int index, Attempt attempt, Machine machine, Span expected, Moment now) {
    Placement placement = hold(job, new TaskId(job.id(), index), attempt, machine, expected, now);
    toCommand.add(machine);
    listener.placed(job, now);
    LOG.debug("task {} try {} placed on {}", placement.task(), placement.attempt(), machine.id());
    return placement;
  }

  Placement hold(
      Job job, TaskId task, Attempt attempt, Machine machine, Span expected, Moment now) {
    job.take(task.index());
    Placement placement = new Placement(job, task, attempt, machine, now, expected);
    machine.add(placement);
    byTask.put(task, placement);
    stoppable.held(placement);
    teamUse.merge(job.spec().team(), job.spec().room(), Room::plus);
    return placement;
  }

  /** Wants a placement stopped. */
  public void halt(Placement placement, Span grace, Why why) {
    if (!placement.halting()) {
      listener.stopping(placement, why);
    }
    stoppable.halts(placement);
    placement.halt(grace);
    toCommand.add(placement.machine());
  }

  /** Machines with orders that have not been sent yet; the caller takes them over. */
  List<Machine> takeCommandable() {
    List<Machine> taken = new ArrayList<>();
    for (Machine machine : toCommand) {
      if (!machine.commanding()) {
        taken.add(machine);
      }
    }
    taken.forEach(toCommand::remove);
    return taken;
  }

  public Token token() {
    return token;
  }

  /**
   * Whether a worker shows a higher token than it can have from this leader. A late report of a
   * machine that is gone may show any that the leader has told.
   */
  public boolean above(Report report) {
    Machine machine = machines.get(report.machine());
    Token told = machine == null ? view.standsUntil(token) : machine.fence().current();
    return report.token().compareTo(told) > 0;
  }

  /**
   * The token under which a machine is spoken to; one that is not known yet by the leader's own.
   */
  public Token tokenOf(MachineId id) {
    Machine machine = machines.get(id);
    return machine == null ? token : machine.fence().current();
  }

  /**
   * Takes over a report.
   *
   * @param own whether the worker sent it by itself, rather than as the answer to a command
   * @return the machine, unless the report could not be used
   */
  public Optional<Machine> report(Report report, boolean own, Moment now) {
    return reconciler.report(report, own, now);
  }

  /** Whether the cloud has confirmed that a machine is no more. */
  boolean isGone(MachineId id) {
    return gone.contains(id);
  }

  /** All placements of a job's tasks. */
  public List<Placement> placementsOf(Job job) {
    List<Placement> found = new ArrayList<>();
    for (Machine machine : machines.values()) {
      for (Placement placement : machine.placements()) {
        if (placement.job() == job) {
          found.add(placement);
        }
      }
    }
    return found;
  }

  /** Where a task is, as far as this leader knows. */
  public Optional<Placement> placementOf(TaskId task) {
    return Optional.ofNullable(byTask.get(task));
  }

  /** The machine may take tasks from now on. */
  public void up(Machine machine) {
    boolean found = machine.state() == Machine.State.UNCONFIRMED;
    machine.enter(Machine.State.UP);
    if (found) {
      // A whole fleet of them within a second or two, while work waits for the last.
      LOG.debug("machine {} has confirmed", machine.id());
    } else {
      LOG.info("machine {} is up, zone {} spot {}", machine.id(), machine.zone(), machine.spot());
    }
    listener.roomChanged();
  }

  /** The attempt is surely not on its machine any more. */
  void lose(Placement placement, Moment now) {
    stoppable.lost(placement);
    placement.enter(Placement.State.OVER, now);
    placement.machine().remove(placement, now);
    byTask.remove(placement.task(), placement);
    placement.job().release(placement.task().index(), now);
    Room room = placement.job().spec().room();
    teamUse.computeIfPresent(placement.job().spec().team(), (team, use) -> use.minus(room));
    listener.left(placement, now);
    listener.roomChanged();
  }

  void loseAll(Machine machine, Moment now) {
    for (Placement placement : machine.placementsCopy()) {
      LOG.debug("task {} lost with {}", placement.task(), machine.id());
      lose(placement, now);
    }
    machine.leftovers().clear();
    inDoubt = null;
  }

  /**
   * Whether this machine's lease must not be renewed, so that what is held up can't start there.
   */
  public boolean mustLapse(Machine machine, Moment now) {
    return machine.mustLapse(now, timing.graceLimit().minusClockDrift());
  }

  /** Orders for a machine that has just reported by itself. */
  public List<Order> respond(Machine machine, Moment now) {
    machine.renewed(now);
    List<Order> orders = new ArrayList<>(clears(machine));
    raise(machine);
    for (Placement placement : machine.placements()) {
      if (placement.halting()) {
        if (runLost(placement, now)) {
          orders.add(new Order.Run(placement.task(), placement.attempt()));
          machine.openRuns().sentInResponse(new Machine.Try(placement.task(), placement.attempt()));
          orders.add(new Order.Halt(placement.task(), placement.attempt(), Span.millis(0)));
        } else {
          orders.add(haltOrder(placement));
        }
      } else if (placement.state() == Placement.State.ORDERED
          && machine.state() == Machine.State.UP) {
        orders.add(new Order.Run(placement.task(), placement.attempt()));
        machine.openRuns().sentInResponse(new Machine.Try(placement.task(), placement.attempt()));
      }
    }
    for (Machine.Try stray : machine.leftovers().strays()) {
      orders.add(new Order.Halt(stray.task(), stray.attempt(), Span.millis(0)));
    }
    return orders;
  }

  /**
   * Whether a start by command had no answer, and its task is to be stopped. It may be executed any
   * time in the session, which may last for days. So the worker is told to start it and, in the
   * same answer, to stop it: then it knows the attempt, and the command has no effect when it
   * comes. The task is held here until then, so it is nowhere else. Of a withdrawn job nothing may
   * start so late that its user was told {@code cancel} ago.
   */
  private boolean runLost(Placement placement, Moment now) {
    Machine machine = placement.machine();
    boolean inTime =
        placement.job().state() != Job.State.WITHDRAWN
            || !now.isPast(placement.ordered(), timing.cancelDeadline().minus(START_MARGIN));
    return placement.state() == Placement.State.ORDERED
        && (machine.state() == Machine.State.UP || machine.state() == Machine.State.RETURNING)
        && !machine.commanding()
        && machine.runOpen(new Machine.Try(placement.task(), placement.attempt()))
        && inTime;
  }

  static Order haltOrder(Placement placement) {
    return new Order.Halt(placement.task(), placement.attempt(), placement.haltGrace());
  }

  /**
   * Ended attempts that the worker may forget: their result is stored or needless, and no run of
   * them can arrive any more, be it for the second time, which would start them again. If one can,
   * the worker forgets the attempt only as it gets the task's next one, on account of which it
   * refuses older ones.
   */
  private List<Order> clears(Machine machine) {
    List<Order> orders = new ArrayList<>();
    machine
        .leftovers()
        .uncleared()
        .forEach(
            (attempt, done) -> {
              boolean repeats = machine.openRuns().mayRepeat(attempt.task());
              if ((!repeats || startsAnew(machine, attempt))
                  && (!done || settled(attempt.task()))
                  && !machine.runOpen(attempt)) {
                orders.add(new Order.Clear(attempt.task(), attempt.attempt()));
              }
            });
    return orders;
  }

  /** Whether the answer that is being written starts another attempt at the task. */
  private static boolean startsAnew(Machine machine, Machine.Try ended) {
    Placement next = machine.placement(ended.task());
    return next != null
        && !next.attempt().equals(ended.attempt())
        && next.state() == Placement.State.ORDERED
        && !next.halting()
        && machine.state() == Machine.State.UP;
  }

  /**
   * Raises the token under which this machine is spoken to, once it has to list many ended attempts
   * or takes hardly any more starts by command. When it shows the new token it refuses all starts
   * that were sent by command before, so what has ended may be cleared. Not while a command is
   * under way, which the answer may overtake.
   */
  private void raise(Machine machine) {
    boolean due =
        machine.openRuns().repeatable() >= OpenRuns.MOST_BY_COMMAND / 2
            || machine.keptEnded() >= MOST_KEPT;
    Token highest = view.standsUntil(token);
    if (due && !machine.commanding() && machine.fence().raisable(highest)) {
      machine.fence().raise(highest);
      LOG.debug("machine {} gets token {}", machine.id(), highest);
    }
  }

  private boolean settled(TaskId task) {
    Optional<Job> job = jobs.find(task.job());
    if (job.isPresent() && job.get().open()) {
      return job.get().isStoredDone(task.index());
    }
    // Of a job whose record can't be read nobody knows whether it still asks for the result.
    return view.job(task.job())
        .map(known -> known.phase() != JobRecord.Phase.OPEN)
        .orElse(!view.unreadable(task.job()));
  }

  /**
   * Whether nothing that older leaders ordered can be on a machine that reports under an older
   * token, or start there. It has taken no answer of this leader, or it would show the token: while
   * it sends a report, none to an earlier one is under way. So the sessions that lived when an
   * older leader may last have renewed leases are over a lease later, and what was ordered is void
   * in later ones.
   */
  boolean nothingOlderLeft(Machine machine, Token reported) {
    if (reported.compareTo(token) >= 0 || foreignRenewal == null) {
      return false;
    }
    Moment renewed = foreignRenewal.isAfter(machine.known()) ? foreignRenewal : machine.known();
    return view.contact()
        .isPast(renewed, timing.leaseDuration().plusClockDrift().plus(LAPSE_MARGIN));
  }

  /** Declares lapsed what has surely lost its lease. */
  public void lapse(Moment now, Moment lastForeignRenewal) {
    foreignRenewal = lastForeignRenewal;
    Span lease = timing.leaseDuration().plusClockDrift().plus(LAPSE_MARGIN);
    for (Machine machine : machines.values()) {
      Moment renewed = machine.renewed();
      if (machine.inDoubt() && lastForeignRenewal.isAfter(renewed)) {
        renewed = lastForeignRenewal;
      }
      // A follower may have done so in the leader's place, which the store's copy tells.
      renewed = relays.lastRenewal(machine.zone(), renewed, now);
      // A later leader may renew leases as well. Only a read of the store that began after the
      // lease
      // had run out, and still showed this leader, tells that nobody did.
      if (mayLapse(machine) && view.contact().isPast(renewed, lease)) {
        LOG.info("machine {} has lapsed with {} tasks", machine.id(), machine.placements().size());
        if (machine.state() != Machine.State.RETURNING) {
          machine.enter(Machine.State.LAPSED);
        }
        machine.endSession();
        // It may report again without hearing; asking it by command tells at once.
        machine.hearing().deaf(Hearing.State.NOT_THE_ANSWERS, now);
        settled(machine);
        loseAll(machine, now);
      }
    }
  }

  private static boolean mayLapse(Machine machine) {
    return switch (machine.state()) {
      case UNCONFIRMED, UP -> true;
      case RETURNING ->
          machine.inDoubt() || !machine.idle() || !machine.leftovers().strays().isEmpty();
      case LAPSED -> !machine.idle();
      case BOOTING, ENROLLING, GONE -> false;
    };
  }

  /** The machine is to be returned; what is on it counts until the cloud has confirmed. */
  public void returning(Machine machine) {
    machine.enter(Machine.State.RETURNING);
  }

  /** The cloud has confirmed that the machine is gone. */
  public void gone(Machine machine, Moment now) {
    machine.enter(Machine.State.GONE);
    loseAll(machine, now);
    machines.remove(machine.id());
    inDoubt = null;
    gone.add(machine.id());
    LOG.info("machine {} returned", machine.id());
  }
}
