package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Order;
import org.oakwalk.core.Report;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobRegistry;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.leadership.RelayExpiry;
import org.oakwalk.core.store.StoreView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines known in one term, and their placements. A placement is removed only when it is
 * certain that the attempt is not on the machine and cannot start there any more.
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final TimeSpan LEASE_EXPIRY_MARGIN = TimeSpan.millis(500);

  /**
   * Orders in one response to a report. An order takes up to 121 bytes, and the protocol limits
   * responses to 64 KiB.
   */
  public static final int MAX_ORDERS_PER_RESPONSE = 540;

  /** Reasons for stopping a task. */
  public enum StopReason {
    /** Its user has withdrawn the job. */
    WITHDRAWN(false),
    /** The task runs or is done elsewhere. */
    NEEDLESS(false),
    /** The cloud reclaims the machine. */
    RECLAIMED(false),
    /** Other members of its gang are lost. */
    GANG(false),
    /** A task of higher priority needs its room. */
    PREEMPTED(true),
    /** Its room is taken for a time for a service of another job, and has to be given back. */
    TAKEN(true),
    /** It restarts on another machine at once. */
    MOVED(true),
    /** Its machine is being drained. */
    DRAINED(true);

    private final boolean voluntary;

    StopReason(boolean voluntary) {
      this.voluntary = voluntary;
    }

    /** Whether the stop is optional, so that disruption budgets apply to it. */
    public boolean voluntary() {
      return voluntary;
    }
  }

  /** Receives events of tasks and machines. */
  public interface Listener {
    /**
     * A task has completed.
     *
     * @param runTime how long it ran, or null if that is unknown
     */
    void completed(Placement placement, TimeSpan runTime);

    /** A task was placed on a machine. */
    void placed(Job job, MonotonicTime now);

    /** A stop of a task was requested. */
    default void stopRequested(Placement placement, StopReason reason) {}

    /** An attempt is certain not to be on its machine any more. */
    default void placementEnded(Placement placement, MonotonicTime now) {}

    /** A machine now accepts tasks, or has more free room. */
    void capacityChanged();
  }

  private final Token token;
  private final JobRegistry jobs;
  private final StoreView view;
  private final RelayExpiry relays;
  private final Settings.WorkerTiming timing;
  private final Listener listener;
  private final Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private final Map<TaskId, Placement> byTask = new HashMap<>();
  private final Map<String, Resources> teamUsage = new HashMap<>();
  private Map<String, MachineType> types = Map.of();
  private final GoneMachines gone = new GoneMachines();
  private final Set<Machine> commandable = new LinkedHashSet<>();
  private final PreemptionIndex preemptionIndex = new PreemptionIndex();
  private final Reconciler reconciler;
  private final ResponseComposer responses;
  private long attempts;

  /**
   * The last moment at which a lease may have been renewed unknown to this fleet, mostly by an
   * older leader; null if not determined yet.
   */
  private MonotonicTime lastUnseenRenewal;

  /** Cached, since it is read for each task that is placed; null if it has to be computed. */
  private Resources unaccountedResources;

  public Fleet(
      Token token,
      JobRegistry jobs,
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
    this.responses = new ResponseComposer(token, jobs, view, timing);
  }

  /** Sets the machine types that the cloud offers, by name. */
  public void setMachineTypes(Map<String, MachineType> current) {
    types = current;
  }

  public Collection<Machine> machines() {
    return machines.values();
  }

  public Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /** Room of a team's placements, including those that may yet start. */
  public Resources teamUsage(String team) {
    return teamUsage.getOrDefault(team, Resources.NONE);
  }

  /** Index of the placements that could be preempted. */
  public PreemptionIndex preemptionIndex() {
    return preemptionIndex;
  }

  /**
   * Room that may be used by tasks of an unknown team: that of machines which have not reported
   * their tasks in this term, and that of orphans, such as tasks of a job whose record can't be
   * read.
   */
  public Resources unaccountedResources() {
    if (unaccountedResources == null) {
      unaccountedResources = Resources.NONE;
      for (Machine machine : machines.values()) {
        unaccountedResources =
            unaccountedResources.plus(
                machine.unverified()
                    ? machine.type().resources()
                    : machine.unmatched().orphanResources());
      }
    }
    return unaccountedResources;
  }

  /** Invalidates the unaccounted room after a change of a machine's orphans. */
  void unaccountedResourcesChanged() {
    unaccountedResources = null;
  }

  /** Whether attempts that earlier leaders ordered may be on some machine without being known. */
  public boolean anyUnverified() {
    return machines.values().stream().anyMatch(Machine::unverified);
  }

  void markVerified(Machine machine) {
    machine.markVerified();
    unaccountedResources = null;
  }

  /**
   * Adds a machine. One of unknown type is added only if older leaders may have placed tasks on it.
   *
   * @param known when it became known, or was rented
   * @return the machine, or empty if it was not added
   */
  public Optional<Machine> add(
      MachineId id,
      String address,
      String type,
      String zone,
      boolean spot,
      Machine.State state,
      MonotonicTime known) {
    MachineType kind = types.get(type);
    if (kind == null && state != Machine.State.UNCONFIRMED) {
      return Optional.empty();
    }
    boolean typeKnown = kind != null;
    Machine machine =
        new Machine(
            id, address, typeKnown ? kind : unboundedType(type), zone, spot, state, token, known);
    if (!typeKnown) {
      machine.markTypeUnknown();
    }
    machines.put(id, machine);
    unaccountedResources = null;
    return Optional.of(machine);
  }

  /** A new attempt number. Tasks of a gang share one, by which they find each other. */
  public Attempt nextAttempt() {
    return Attempt.of(token, ++attempts);
  }

  /**
   * A substitute for the type of a registered machine that the cloud no longer offers. Any task
   * fits it, so that quotas err on the safe side; new tasks are not placed on the machine.
   */
  private static MachineType unboundedType(String name) {
    Resources all = Resources.ofMachine(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE);
    return new MachineType(name, all, 0, 0, 0, 0, TimeSpan.seconds(0), List.of());
  }

  /**
   * Places a task on a machine. The start is sent by command or with the next response.
   *
   * @param expected expected time until the task ends
   */
  public Placement place(
      Job job, int index, Attempt attempt, Machine machine, TimeSpan expected, MonotonicTime now) {
    Placement placement =
        addPlacement(job, new TaskId(job.id(), index), attempt, machine, expected, now);
    commandable.add(machine);
    listener.placed(job, now);
    LOG.debug(
        "task {} attempt {} placed on {}", placement.task(), placement.attempt(), machine.id());
    return placement;
  }

  Placement addPlacement(
      Job job,
      TaskId task,
      Attempt attempt,
      Machine machine,
      TimeSpan expected,
      MonotonicTime now) {
    job.assign(task.index());
    Placement placement = new Placement(job, task, attempt, machine, now, expected);
    machine.add(placement);
    byTask.put(task, placement);
    preemptionIndex.added(placement);
    teamUsage.merge(job.spec().team(), job.spec().resources(), Resources::plus);
    return placement;
  }

  /** Requests that a placement be stopped. */
  public void halt(Placement placement, TimeSpan grace, StopReason reason) {
    if (!placement.halting()) {
      listener.stopRequested(placement, reason);
    }
    preemptionIndex.haltRequested(placement);
    placement.halt(grace);
    commandable.add(placement.machine());
  }

  /** Removes and returns machines that have unsent orders and no command in flight. */
  List<Machine> takeCommandable() {
    List<Machine> taken = new ArrayList<>();
    for (Machine machine : commandable) {
      if (!machine.commandInFlight()) {
        taken.add(machine);
      }
    }
    taken.forEach(commandable::remove);
    return taken;
  }

  public Token token() {
    return token;
  }

  /**
   * Whether a worker reports a higher token than this leader can have issued to it. A late report
   * of a machine that is gone may contain any token issued by this leader.
   */
  public boolean showsUnissuedToken(Report report) {
    Machine machine = machines.get(report.machine());
    Token issued = machine == null ? view.latestTokenOf(token) : machine.fence().current();
    return report.token().compareTo(issued) > 0;
  }

  /** The token that a machine is addressed with; for an unknown machine, the leader's own token. */
  public Token tokenOf(MachineId id) {
    Machine machine = machines.get(id);
    return machine == null ? token : machine.fence().current();
  }

  /**
   * Processes a report.
   *
   * @param unsolicited whether the worker sent it on its own, rather than in reply to a command
   * @return the machine, or empty if the report can't be used
   */
  public Optional<Machine> handleReport(Report report, boolean unsolicited, MonotonicTime now) {
    return reconciler.handleReport(report, unsolicited, now);
  }

  /** Whether the cloud has confirmed that a machine no longer exists. */
  public boolean isGone(MachineId id) {
    return gone.contains(id);
  }

  /** Number of attempts that are, or may be, on machines. */
  public int placementCount() {
    return byTask.size();
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

  /** The placement of a task, as far as it is known to this leader. */
  public Optional<Placement> placementOf(TaskId task) {
    return Optional.ofNullable(byTask.get(task));
  }

  /** Marks a machine as up, so that it may get tasks. */
  public void markUp(Machine machine) {
    boolean fromRegistry = machine.state() == Machine.State.UNCONFIRMED;
    machine.enter(Machine.State.UP);
    if (fromRegistry) {
      // Not at level info: after a change of leader the whole fleet confirms within a second or
      // two,
      // while placement waits for the last machine.
      LOG.debug("machine {} confirmed the token", machine.id());
    } else {
      LOG.info("machine {} is up: zone {}, spot {}", machine.id(), machine.zone(), machine.spot());
    }
    listener.capacityChanged();
  }

  /** Removes a placement whose attempt is certain not to be on its machine any more. */
  void removePlacement(Placement placement, MonotonicTime now) {
    preemptionIndex.removed(placement);
    placement.enter(Placement.State.ENDED, now);
    placement.machine().remove(placement, now);
    byTask.remove(placement.task(), placement);
    placement.job().unassign(placement.task().index(), now);
    Resources resources = placement.job().spec().resources();
    teamUsage.computeIfPresent(placement.job().spec().team(), (team, use) -> use.minus(resources));
    listener.placementEnded(placement, now);
    listener.capacityChanged();
  }

  void removeAllPlacements(Machine machine, MonotonicTime now) {
    for (Placement placement : machine.placementsCopy()) {
      LOG.debug("task {} lost on machine {}", placement.task(), machine.id());
      removePlacement(placement, now);
    }
    machine.unmatched().clear();
    unaccountedResources = null;
  }

  /**
   * Whether a machine's lease must not be renewed, so that a delayed start of a withdrawn job can't
   * be executed on it.
   */
  public boolean mustNotRenewLease(Machine machine, MonotonicTime now) {
    return machine.mustNotRenewLease(now, timing.graceLimit().minusClockDrift());
  }

  /** The orders to send in response to an unsolicited report, which renews the machine's lease. */
  public List<Order> respond(Machine machine, MonotonicTime now) {
    machine.leaseRenewedAt(now);
    return responses.compose(machine, now);
  }

  /**
   * Whether no attempt that older leaders ordered can be on, or start on, a machine that reports an
   * older token. The machine has received no response of this leader, or it would report the
   * leader's token; and no response to an earlier report is in flight while it sends the next one.
   * So sessions that existed when an older leader may last have renewed leases ended a lease later,
   * and orders sent to them are void in later sessions.
   */
  boolean olderAttemptsOver(Machine machine, Token reported) {
    if (reported.compareTo(token) >= 0 || lastUnseenRenewal == null) {
      return false;
    }
    MonotonicTime renewed =
        lastUnseenRenewal.isAfter(machine.knownSince()) ? lastUnseenRenewal : machine.knownSince();
    return view.lastConfirmed()
        .isPast(renewed, timing.leaseDuration().plusClockDrift().plus(LEASE_EXPIRY_MARGIN));
  }

  /**
   * Marks machines whose leases have certainly expired, and removes their placements.
   *
   * @param lastUnseenRenewal the last moment at which a lease may have been renewed unknown to this
   *     fleet
   */
  public void expireLeases(MonotonicTime now, MonotonicTime lastUnseenRenewal) {
    this.lastUnseenRenewal = lastUnseenRenewal;
    TimeSpan lease = timing.leaseDuration().plusClockDrift().plus(LEASE_EXPIRY_MARGIN);
    for (Machine machine : machines.values()) {
      MonotonicTime renewed = machine.leaseRenewedAt();
      if (machine.unverified() && lastUnseenRenewal.isAfter(renewed)) {
        renewed = lastUnseenRenewal;
      }
      // A follower may have renewed leases in the leader's place, as announced in the store.
      renewed = relays.lastRenewal(machine.zone(), renewed, now);
      // A later leader may renew leases as well. Only a read of the store that began after the
      // expiry and still showed this leader proves that none did.
      if (canExpire(machine) && view.lastConfirmed().isPast(renewed, lease)) {
        LOG.info(
            "lease of machine {} expired with {} tasks", machine.id(), machine.placements().size());
        if (machine.state() != Machine.State.RETURNING) {
          machine.enter(Machine.State.LEASE_EXPIRED);
        }
        machine.endSession();
        // It may report again although responses do not reach it; a command shows at once whether
        // it is reached.
        machine.delivery().markFailing(ResponseDelivery.State.RESPONSES_NOT_RECEIVED, now);
        markVerified(machine);
        removeAllPlacements(machine, now);
      }
    }
  }

  private static boolean canExpire(Machine machine) {
    return switch (machine.state()) {
      case UNCONFIRMED, UP -> true;
      case RETURNING ->
          machine.unverified() || !machine.idle() || !machine.unmatched().orphans().isEmpty();
      case LEASE_EXPIRED -> !machine.idle();
      case BOOTING, REGISTERING, GONE -> false;
    };
  }

  /** Marks a machine as being returned; its placements remain until the cloud has confirmed. */
  public void startReturn(Machine machine) {
    machine.enter(Machine.State.RETURNING);
  }

  /** Removes a machine that the cloud has confirmed as gone. */
  public void confirmGone(Machine machine, MonotonicTime now) {
    machine.enter(Machine.State.GONE);
    removeAllPlacements(machine, now);
    machines.remove(machine.id());
    unaccountedResources = null;
    gone.add(machine.id());
    LOG.info("machine {} was returned", machine.id());
  }
}
