package org.oakwalk.core.fleet;

import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A machine and its placements as known to one leader. */
public final class Machine {
  private static final Logger LOG = LoggerFactory.getLogger(Machine.class);

  /** Lifecycle state of a machine under one leader. */
  public enum State {
    /** Rented; its worker has not reported yet. */
    BOOTING,
    /** Its worker reports, and the machine is being written to the registry. */
    REGISTERING,
    /** Read from the registry of earlier leaders; has not confirmed this leader's token yet. */
    UNCONFIRMED,
    /** Registered and confirmed: may get tasks. */
    UP,
    /** Its lease has certainly expired: no attempt that was ordered before is on it. */
    LEASE_EXPIRED,
    /** Being returned to the cloud. */
    RETURNING,
    /** The cloud has confirmed that the machine no longer exists. */
    GONE
  }

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(State.BOOTING, EnumSet.of(State.REGISTERING, State.RETURNING));
    LEGAL.put(State.REGISTERING, EnumSet.of(State.UP, State.RETURNING));
    LEGAL.put(State.UNCONFIRMED, EnumSet.of(State.UP, State.LEASE_EXPIRED, State.RETURNING));
    LEGAL.put(State.UP, EnumSet.of(State.LEASE_EXPIRED, State.RETURNING));
    LEGAL.put(State.LEASE_EXPIRED, EnumSet.of(State.UP, State.RETURNING));
    LEGAL.put(State.RETURNING, EnumSet.of(State.GONE));
    LEGAL.put(State.GONE, EnumSet.noneOf(State.class));
  }

  /** Identifies an attempt at a task in orders and reports. */
  public record TaskAttempt(TaskId task, Attempt attempt) {}

  private final MachineId id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final MonotonicTime knownSince;
  private String address;
  private State state;
  private final SessionTracker sessions = new SessionTracker();
  private MonotonicTime leaseRenewedAt;
  private MonotonicTime lastReportAt;
  private MonotonicTime reclaimedAt;
  private MonotonicTime blockedUntil;
  private Rental.Status cloudStatus;
  private Optional<TimeSpan> bootTime = Optional.empty();
  private boolean unverified;
  private boolean typeKnown = true;
  private boolean representsUnreadableList;
  private boolean reportForwarded;
  private SchedulingMode schedulingMode = SchedulingMode.ACTIVE;
  private boolean removalPlanned;
  private final MachineHealth health = new MachineHealth();
  private Resources reserved = Resources.NONE;
  private Resources cachedFree;
  private Resources cachedUsed;
  private Resources cachedUnmatchedResources;
  private Resources cachedReserved;
  private final MachinePlacements placements;
  private final ImageCache images;
  private final UnmatchedAttempts unmatched = new UnmatchedAttempts();
  private boolean commandInFlight;
  private final PendingStarts pendingStarts = new PendingStarts();
  private final ResponseDelivery delivery = new ResponseDelivery();
  private final Fence fence;

  Machine(
      MachineId id,
      String address,
      MachineType type,
      String zone,
      boolean spot,
      State state,
      Token granted,
      MonotonicTime known) {
    this.id = id;
    this.fence = new Fence(granted);
    this.address = address;
    this.type = type;
    this.images = new ImageCache(type.cacheGb());
    this.zone = zone;
    this.spot = spot;
    this.state = state;
    this.unverified = state == State.UNCONFIRMED;
    this.knownSince = known;
    this.lastReportAt = known;
    this.leaseRenewedAt = known;
    this.placements = new MachinePlacements(known);
    this.blockedUntil = known;
  }

  public MachineId id() {
    return id;
  }

  public String address() {
    return address;
  }

  public MachineType type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public State state() {
    return state;
  }

  /**
   * Whether attempts that older leaders ordered may be on the machine without being known here. A
   * return to the cloud changes this only once the cloud has confirmed it.
   */
  public boolean unverified() {
    return unverified;
  }

  void markVerified() {
    unverified = false;
  }

  /**
   * Marks this entry as a stand-in for the machines of a registry list that can't be read. The
   * cloud would confirm at once that there is no machine of this name, which proves nothing about
   * the actual ones: only the expiry of their leases does.
   */
  public void markUnreadableList() {
    representsUnreadableList = true;
  }

  /** Whether the cloud's confirmation of a return would prove that no attempts are left on it. */
  public boolean returnable() {
    return !representsUnreadableList || !unverified;
  }

  /** When the machine became known to this leader; for a booting one, when it was rented. */
  public MonotonicTime knownSince() {
    return knownSince;
  }

  public Optional<SessionId> session() {
    return sessions.current();
  }

  /** When its last unsolicited report arrived, directly or forwarded by another controller. */
  public MonotonicTime lastReportAt() {
    return lastReportAt;
  }

  /** When it last replied to a command. */
  public MonotonicTime lastCommandReplyAt() {
    return delivery.lastCommandReplyAt();
  }

  /** Moment from which its lease is counted: the last at which it may have been renewed here. */
  public MonotonicTime leaseRenewedAt() {
    return leaseRenewedAt;
  }

  /** When its last placement was removed; if it never had any, when it became known. */
  public MonotonicTime idleSince() {
    return placements.idleSince();
  }

  /** Errors of this job's tasks on this machine since a task last succeeded on it. */
  public int errorsOf(Job job) {
    return health.errorsOf(job);
  }

  /**
   * Which tasks the machine accepts while it is up. A judgement against the machine overrides all
   * reasons but a reclaim notice, and leaves them as they are for when it is withdrawn.
   */
  public SchedulingMode schedulingMode() {
    if (!health.excluded() || schedulingMode == SchedulingMode.RECLAIMED) {
      return schedulingMode;
    }
    return health.state() == MachineHealth.State.ON_PROBATION
        ? SchedulingMode.PROBATION
        : SchedulingMode.UNFIT;
  }

  /**
   * Changes the scheduling mode if the transition is legal; all changes go through this method.
   *
   * @return whether it has changed; a reason of higher precedence remains in force
   */
  public boolean schedulingMode(SchedulingMode next) {
    if (next == schedulingMode() || !schedulingMode().canTransitionTo(next)) {
      return false;
    }
    schedulingMode = next;
    return true;
  }

  /** Whether there is evidence to judge the machine by. */
  public boolean hasHealthEvidence() {
    return typeKnown && health.hasEvidence();
  }

  /** Whether the machine runs its tasks far slower than others. */
  public boolean slow() {
    return health.slow();
  }

  /**
   * Judges anew whether the machine is at fault. One that is and keeps tasks for long is probed.
   *
   * @param mayExclude whether it may be excluded from placement
   * @return whether the judgement has changed
   */
  public boolean judgeHealth(boolean mayExclude, MonotonicTime now) {
    boolean keepsTasks =
        holdsReplica()
            || expectedEmptyAt().isAfter(now.plus(MachineHealth.MIN_PROBE_INTERVAL.times(3)));
    return health.judge(mayExclude, keepsTasks, now);
  }

  /** Whether the machine is on probation and may get a task of this job as its probe. */
  public boolean admitsProbe(Job job) {
    return schedulingMode() == SchedulingMode.PROBATION
        && job.spec().shape() == JobSpec.Shape.ARRAY
        && health.admitsProbe(job);
  }

  /** Marks that the cloud does not offer its type any more, so that it never accepts tasks. */
  void markTypeUnknown() {
    typeKnown = false;
    schedulingMode(SchedulingMode.UNFIT);
  }

  /** Whether a drain plan will remove the machine, so that services should run elsewhere. */
  public boolean removalPlanned() {
    return removalPlanned;
  }

  public void removalPlanned(boolean planned) {
    removalPlanned = planned;
  }

  /** When the cloud reclaims the machine, or null if it has given no notice. */
  public MonotonicTime reclaimedAt() {
    return reclaimedAt;
  }

  /** Room of its placements. */
  public Resources used() {
    return placements.used();
  }

  /**
   * Room that is neither used nor reserved nor taken by attempts without a placement. Ended
   * attempts that the worker still lists take task slots. The result is cached until one of these
   * changes, since every search of a placement round reads it.
   */
  public Resources free() {
    Resources used = placements.used();
    Resources unmatchedResources = unmatched.resources();
    if (cachedUsed != used
        || cachedUnmatchedResources != unmatchedResources
        || cachedReserved != reserved) {
      cachedUsed = used;
      cachedUnmatchedResources = unmatchedResources;
      cachedReserved = reserved;
      cachedFree = type.resources().minus(used).minus(unmatchedResources).minus(reserved);
    }
    return cachedFree;
  }

  /**
   * Task slots that are free for tasks of a job. Those that are limited by slots leave some to
   * larger ones, unless they are urgent.
   */
  public int freeTaskSlots(JobSpec spec) {
    int free = (int) free().taskSlots();
    return free > 0 && !spec.urgent() && spec.resources().limitedByTaskSlots(type.resources())
        ? free - Resources.TASK_SLOTS_FOR_LARGER_TASKS
        : free;
  }

  /** Reserves room for a task that is to be placed here, such as one moved from another machine. */
  public void reserve(Resources resources) {
    reserved = reserved.plus(resources);
  }

  /** Releases reserved room once the task is placed here, or will not be. */
  public void releaseReservation(Resources resources) {
    reserved = reserved.minus(resources);
  }

  public Collection<Placement> placements() {
    return placements.all();
  }

  /** The placement of a task on this machine, or null. */
  public Placement placement(TaskId task) {
    return placements.of(task);
  }

  /** When the last of its tasks, services apart, is expected to end. */
  public MonotonicTime expectedEmptyAt() {
    return placements.expectedEmptyAt();
  }

  /** Number of placements of this job's tasks. */
  public long taskCountOf(JobId job) {
    return placements.countOf(job);
  }

  /** Whether it holds a replica of a service, which has no expected end. */
  public boolean holdsReplica() {
    return placements.anyReplica();
  }

  public boolean idle() {
    return placements.isEmpty();
  }

  /**
   * Whether tasks may be placed on it now; in a backfill-only mode, only those that do not extend
   * its use.
   */
  public boolean acceptsTasks(MonotonicTime now, TimeSpan suspectAfter) {
    SchedulingMode mode = schedulingMode();
    return (mode == SchedulingMode.ACTIVE || mode.backfillOnly()) && isReachable(now, suspectAfter);
  }

  /** Whether it is on probation and a probe task may be placed on it now. */
  public boolean acceptsProbe(MonotonicTime now, TimeSpan suspectAfter) {
    return schedulingMode() == SchedulingMode.PROBATION
        && health.probeDue()
        && isReachable(now, suspectAfter);
  }

  /** Whether it is up and orders reach it, as far as is known. */
  private boolean isReachable(MonotonicTime now, TimeSpan suspectAfter) {
    return state == State.UP
        && session().isPresent()
        && delivery.working()
        && !now.isPast(lastReportAt, suspectAfter)
        && !blockedUntil.isAfter(now);
  }

  /** Whether the image is expected in its cache. */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /** Whether fetching an image of this size would evict {@code other} from its cache. */
  public boolean wouldEvictImage(String other, double gb) {
    return images.wouldEvict(other, gb);
  }

  /** Sets its status in the cloud's list from which it became known. */
  public void cloudStatus(Rental.Status status) {
    cloudStatus = status;
  }

  /**
   * Whether the cloud listed it as running when it became known, so that the time to its first
   * report is no measure of a boot.
   */
  public boolean listedAsRunning() {
    return cloudStatus == Rental.Status.RUNNING;
  }

  /** Records the boot time at the first report since the machine was rented. */
  void booted(MonotonicTime now) {
    bootTime = Optional.of(now.since(knownSince));
  }

  /** The measured boot time; empty if there is none or it was taken before. */
  public Optional<TimeSpan> takeBootTime() {
    Optional<TimeSpan> took = bootTime;
    bootTime = Optional.empty();
    return took;
  }

  /** Whether its last report was forwarded by another controller. */
  public boolean reportForwarded() {
    return reportForwarded;
  }

  public void reportForwarded(boolean forwarded) {
    reportForwarded = forwarded;
  }

  void address(String current) {
    address = current;
  }

  void lastReportAt(MonotonicTime now) {
    lastReportAt = now;
  }

  void leaseRenewedAt(MonotonicTime now) {
    leaseRenewedAt = now;
  }

  void reclaimedAt(MonotonicTime at) {
    reclaimedAt = at;
    schedulingMode(SchedulingMode.RECLAIMED);
  }

  void blockedUntil(MonotonicTime until) {
    blockedUntil = until;
  }

  void recordFailure(Placement placement, MonotonicTime now) {
    health.recordFailure(placement.job(), placement, now);
  }

  /** Records that a task runs far longer on it than others of its job; counted once a placement. */
  public void recordLateTask(Placement placement) {
    if (placement.markLate()) {
      health.recordLateTask(placement, lastReportAt);
    }
  }

  /**
   * Records that a task took no longer than others of its job.
   *
   * @param comparable whether its usual run time is known
   */
  public void recordTimelyTask(Placement placement, boolean comparable) {
    boolean excluded = health.excluded();
    health.recordTimelyTask(placement, comparable);
    logIfReadmitted(excluded);
  }

  void recordSuccess(Placement placement, MonotonicTime now) {
    boolean excluded = health.excluded();
    health.recordSuccess(placement, now);
    logIfReadmitted(excluded);
  }

  private void logIfReadmitted(boolean excludedBefore) {
    if (excludedBefore && !health.excluded()) {
      LOG.info("machine {} passed its probe and accepts tasks again", id);
    }
  }

  /** The worker's current session and the progress of its reports. */
  SessionTracker sessions() {
    return sessions;
  }

  /**
   * Records the session and sequence number of a report.
   *
   * @return whether a new session has begun
   */
  boolean advance(SessionId reported, long number, boolean unsolicited) {
    boolean first = session().isEmpty();
    boolean newSession = sessions.advance(reported, number, unsolicited);
    if (first || newSession) {
      pendingStarts.clear();
    }
    return newSession;
  }

  /** Ends the current session; reports of it that still arrive are ignored. */
  void endSession() {
    sessions.end();
    pendingStarts.clear();
  }

  void add(Placement placement) {
    placements.add(placement);
    if (admitsProbe(placement.job())) {
      health.probeStarted(placement);
    }
    images.use(placement.job().spec().image(), placement.job().spec().imageGb());
  }

  void remove(Placement placement, MonotonicTime now) {
    if (placements.remove(placement, now)) {
      health.placementEnded(placement);
    }
  }

  List<Placement> placementsCopy() {
    return placements.copy();
  }

  /** Attempts in its last report that have no placement. */
  UnmatchedAttempts unmatched() {
    return unmatched;
  }

  /**
   * Whether the worker would reject a new attempt at this task because it still lists an ended one.
   * An ended attempt that is kept only because a duplicate of its start command may still arrive is
   * replaced by the next attempt.
   */
  public boolean refusesNewAttempt(TaskId task) {
    return unmatched.hasEnded(task)
        && !(pendingStarts.mayRepeat(task) && !pendingStarts.containsAny(task));
  }

  /** What is known of earlier attempts at this task here; for the log. */
  public String startStatus(TaskId task) {
    return "ended attempt listed "
        + unmatched.hasEnded(task)
        + ", start in a response pending "
        + pendingStarts.responsePending(task)
        + ", start by command unanswered "
        + pendingStarts.commandUnanswered(task)
        + ", duplicate possible "
        + pendingStarts.mayRepeat(task);
  }

  /** Whether the limit on starts by command under its current token is reached. */
  public boolean commandStartLimitReached() {
    return pendingStarts.full();
  }

  /** Whether a command was sent and has neither been answered nor failed. */
  boolean commandInFlight() {
    return commandInFlight;
  }

  void commandInFlight(boolean inFlight) {
    commandInFlight = inFlight;
  }

  /** Whether responses and commands reach it, as far as is known; its reports do not prove that. */
  public boolean receivesResponses() {
    return delivery.working();
  }

  ResponseDelivery delivery() {
    return delivery;
  }

  /** The fencing token that it is addressed with. */
  Fence fence() {
    return fence;
  }

  /**
   * Number of ended attempts that it has to keep listing because duplicates of the commands that
   * start their tasks may still arrive.
   */
  long repeatableEndedCount() {
    return unmatched.uncleared().keySet().stream()
        .filter(ended -> pendingStarts.mayRepeat(ended.task()))
        .count();
  }

  /** Starts that may still be executed. */
  PendingStarts pendingStarts() {
    return pendingStarts;
  }

  /**
   * Whether its session has to end, because a start was sent by command, may still be delayed in
   * the network, and its job was withdrawn more than {@code limit} ago. Renewing the lease would
   * keep the session alive, and the start would be executed whenever it arrives.
   */
  boolean mustNotRenewLease(MonotonicTime now, TimeSpan limit) {
    for (Placement placement : placements.all()) {
      MonotonicTime withdrawn = placement.job().earliestWithdrawalNotice();
      if (withdrawn != null
          && now.isPast(withdrawn, limit)
          && pendingStarts.commandUnanswered(
              new TaskAttempt(placement.task(), placement.attempt()))) {
        return true;
      }
    }
    return false;
  }

  /** Whether a start of this attempt may still be executed. */
  boolean mayStillStart(TaskAttempt attempt) {
    return pendingStarts.contains(attempt);
  }

  /** Changes the state; all changes go through this method. */
  void enter(State next) {
    if (next == state) {
      return;
    }
    if (!LEGAL.get(state).contains(next)) {
      throw new IllegalStateException(
          "illegal transition of machine " + id + " from " + state + " to " + next);
    }
    state = next;
  }
}
