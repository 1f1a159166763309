package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.SessionId;
import org.oakwalk.core.Span;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Room;

/** A machine as one leader knows it. */
public final class Machine {
  /** Life of a machine under one leader. */
  public enum State {
    /** Rented; its worker has not reported. */
    BOOTING,
    /** It reports, and is being written to the registry. */
    REGISTERING,
    /** From the registry of earlier leaders; it has not yet confirmed this leader's token. */
    UNCONFIRMED,
    /** Takes tasks. */
    UP,
    /** Its lease has surely run out: nothing that was ordered before is on it. */
    LEASE_EXPIRED,
    /** It is being returned. */
    RETURNING,
    /** It is gone. */
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

  /** One attempt at one task, as orders name it. */
  public record TaskAttempt(TaskId task, Attempt attempt) {}

  private final MachineId id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Moment knownSince;
  private String address;
  private State state;
  private final SessionTracker sessions = new SessionTracker();
  private Moment leaseRenewedAt;
  private Moment lastReportAt;
  private Moment reclaimedAt;
  private Moment idleSince;
  private Moment blockedUntil;
  private Rental.Status cloudStatus;
  private Optional<Span> bootTime = Optional.empty();
  private boolean unverified;
  private boolean representsUnreadableList;
  private boolean reportForwarded;
  private SchedulingMode schedulingMode = SchedulingMode.ACTIVE;
  private boolean removalPlanned;
  private final MachineHealth health = new MachineHealth();
  private Room reserved = Room.NONE;
  private Room used = Room.NONE;
  private Room cachedFree;
  private Room cachedUsed;
  private Room cachedOrphanRoom;
  private Room cachedReserved;
  private int replicas;
  private Moment expectedEmptyAt = new Moment(Long.MIN_VALUE / 2);
  private final Map<TaskId, Placement> placements = new LinkedHashMap<>();
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
      Moment known) {
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
    this.idleSince = known;
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
   * Whether tasks that older leaders ordered may be here unseen. Being returned does not settle
   * that, only the cloud's confirmation does.
   */
  public boolean unverified() {
    return unverified;
  }

  void markVerified() {
    unverified = false;
  }

  /**
   * This stands for machines whose list can't be read. The cloud would confirm at once that there
   * is none of this name, which tells nothing of them: only time does, until their leases are over.
   */
  public void markUnreadableList() {
    representsUnreadableList = true;
  }

  /** Whether the cloud's answer to a return would settle what may be here. */
  public boolean returnable() {
    return !representsUnreadableList || !unverified;
  }

  /** Since when this leader has known the machine; for a booting one, when it was rented. */
  public Moment knownSince() {
    return knownSince;
  }

  public Optional<SessionId> session() {
    return sessions.current();
  }

  /** When it last reported by itself, directly or by way of another controller. */
  public Moment lastReportAt() {
    return lastReportAt;
  }

  /** When it last answered a command. */
  public Moment lastCommandReplyAt() {
    return delivery.lastCommandReplyAt();
  }

  public Moment leaseRenewedAt() {
    return leaseRenewedAt;
  }

  public Moment idleSince() {
    return idleSince;
  }

  /** Errors of this job's tasks here since one last succeeded. */
  public int errorsOf(Job job) {
    return health.errorsOf(job);
  }

  /**
   * Whether the machine rather than a job is to blame for the errors here: tasks of several jobs
   * failed one after the other, or tasks of a job that completes elsewhere. Jobs that fail
   * everywhere don't count.
   */
  public boolean faulty() {
    return health.faulty();
  }

  /** What it is there for while it is up. */
  public SchedulingMode schedulingMode() {
    return schedulingMode;
  }

  /**
   * The one place where the duty changes.
   *
   * @return whether it has changed; a weightier reason against the machine stays
   */
  public boolean schedulingMode(SchedulingMode next) {
    if (next == schedulingMode || !schedulingMode.canTransitionTo(next)) {
      return false;
    }
    schedulingMode = next;
    return true;
  }

  /** Whether it is kept in use only for a while, so that what has no end should go elsewhere. */
  public boolean removalPlanned() {
    return removalPlanned;
  }

  public void removalPlanned(boolean on) {
    removalPlanned = on;
  }

  /** When the cloud takes it away, if it gave notice; else null. */
  public Moment reclaimedAt() {
    return reclaimedAt;
  }

  public Room used() {
    return used;
  }

  /** What is free; asked for by every search of a round, so it is kept until something changes. */
  public Room free() {
    Room stray = unmatched.orphanRoom();
    if (cachedUsed != used || cachedOrphanRoom != stray || cachedReserved != reserved) {
      cachedUsed = used;
      cachedOrphanRoom = stray;
      cachedReserved = reserved;
      cachedFree = type.room().minus(used).minus(stray).minus(reserved);
    }
    return cachedFree;
  }

  /** Keeps room for a task that is on its way here from another machine. */
  public void reserve(Room room) {
    reserved = reserved.plus(room);
  }

  /** The task has come, or will not come. */
  public void releaseReservation(Room room) {
    reserved = reserved.minus(room);
  }

  public Collection<Placement> placements() {
    return placements.values();
  }

  public Placement placement(TaskId task) {
    return placements.get(task);
  }

  private static Moment later(Moment one, Moment other) {
    return other == null || one.isAfter(other) ? one : other;
  }

  /** When the last of its tasks that have an end should be over. */
  public Moment expectedEmptyAt() {
    return expectedEmptyAt;
  }

  /** Tasks of this job that are on it. */
  public long taskCountOf(JobId job) {
    return placements.keySet().stream().filter(task -> task.job().equals(job)).count();
  }

  /** Whether a task without an end is on it. */
  public boolean holdsReplica() {
    return replicas > 0;
  }

  public boolean idle() {
    return placements.isEmpty();
  }

  /** Whether tasks may be put on it now; if it fills up, only those that don't hold it up. */
  public boolean acceptsTasks(Moment now, Span suspectAfter) {
    return state == State.UP
        && (schedulingMode == SchedulingMode.ACTIVE || schedulingMode.backfillOnly())
        && session().isPresent()
        && delivery.working()
        && !now.past(lastReportAt, suspectAfter)
        && !blockedUntil.isAfter(now);
  }

  /** Whether, as far as is known, it has the image. */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /** Whether getting an image of this size would push another one out that it has. */
  public boolean wouldEvictImage(String other, double gb) {
    return images.wouldEvict(other, gb);
  }

  /** How the cloud's list showed it when it became known from there. */
  public void cloudStatus(Rental.Status status) {
    cloudStatus = status;
  }

  /** Whether the cloud said that it is up already, so that its time to come up tells nothing. */
  public boolean listedAsRunning() {
    return cloudStatus == Rental.Status.RUNNING;
  }

  /** It reports for the first time since it was rented. */
  void booted(Moment now) {
    bootTime = Optional.of(now.since(knownSince));
  }

  /** How long it took to come up; told once. */
  public Optional<Span> takeBootTime() {
    Optional<Span> took = bootTime;
    bootTime = Optional.empty();
    return took;
  }

  /** Whether its last report came by way of another controller. */
  public boolean reportForwarded() {
    return reportForwarded;
  }

  public void reportForwarded(boolean on) {
    reportForwarded = on;
  }

  void address(String current) {
    address = current;
  }

  void lastReportAt(Moment now) {
    lastReportAt = now;
  }

  void leaseRenewedAt(Moment now) {
    leaseRenewedAt = now;
  }

  void reclaimedAt(Moment at) {
    reclaimedAt = at;
    schedulingMode(SchedulingMode.RECLAIMED);
  }

  void blockedUntil(Moment until) {
    blockedUntil = until;
  }

  void recordFailure(Job job) {
    health.recordFailure(job);
  }

  /** A task here runs far longer than others of its job. */
  public void recordLateTask(Placement placement) {
    if (placement.markLate()) {
      health.recordLateTask();
    }
  }

  /** A task ran no longer than others of its job. */
  public void recordTimelyTask() {
    health.recordTimelyTask();
  }

  /** Whether tasks take far longer here than elsewhere. */
  public boolean slow() {
    return health.slow();
  }

  void recordSuccess() {
    health.recordSuccess();
  }

  /** Which of its sessions is the present one, and what has been heard of it. */
  SessionTracker sessions() {
    return sessions;
  }

  /** Takes over a report's session and number; true if a new session has begun. */
  boolean advance(SessionId reported, long number, boolean own) {
    boolean first = session().isEmpty();
    boolean fresh = sessions.advance(reported, number, own);
    if (first || fresh) {
      pendingStarts.clear();
    }
    return fresh;
  }

  /** The present session is over: reports that still come from it count for nothing. */
  void endSession() {
    sessions.end();
    pendingStarts.clear();
  }

  void add(Placement placement) {
    placements.put(placement.task(), placement);
    replicas += placement.job().spec().service() ? 1 : 0;
    expectedEmptyAt = later(expectedEmptyAt, placement.expectedEnd());
    used = used.plus(placement.job().spec().room());
    images.use(placement.job().spec().image(), placement.job().spec().imageGb());
  }

  void remove(Placement placement, Moment now) {
    if (placements.remove(placement.task(), placement)) {
      replicas -= placement.job().spec().service() ? 1 : 0;
      expectedEmptyAt = new Moment(Long.MIN_VALUE / 2);
      for (Placement left : placements.values()) {
        expectedEmptyAt = later(expectedEmptyAt, left.expectedEnd());
      }
      used = placements.isEmpty() ? Room.NONE : used.minus(placement.job().spec().room());
      if (placements.isEmpty()) {
        idleSince = now;
      }
    }
  }

  List<Placement> placementsCopy() {
    return new ArrayList<>(placements.values());
  }

  /** What its last report showed that no placement stands for. */
  UnmatchedAttempts unmatched() {
    return unmatched;
  }

  /**
   * Whether an ended attempt at this task is still on the machine, so that a run is refused. One
   * that is kept only since its start may come once more gives way to the next attempt.
   */
  public boolean refusesNewAttempt(TaskId task) {
    return unmatched.hasEnded(task)
        && !(pendingStarts.mayRepeat(task) && !pendingStarts.containsAny(task));
  }

  /** Whether as many starts as may be have come by command under its present token. */
  public boolean commandStartLimitReached() {
    return pendingStarts.full();
  }

  /** Whether a command is out and unanswered. */
  boolean commandInFlight() {
    return commandInFlight;
  }

  void commandInFlight(boolean on) {
    commandInFlight = on;
  }

  /** Whether it takes what it is told; one that reports need not. */
  public boolean receivesResponses() {
    return delivery.working();
  }

  ResponseDelivery delivery() {
    return delivery;
  }

  /** The token under which it is spoken to. */
  Fence fence() {
    return fence;
  }

  /** Ended attempts that it has to list, since commands that start their tasks may come again. */
  long repeatableEndedCount() {
    return unmatched.uncleared().keySet().stream()
        .filter(ended -> pendingStarts.mayRepeat(ended.task()))
        .count();
  }

  /** Runs that may still be executed later. */
  PendingStarts pendingStarts() {
    return pendingStarts;
  }

  /**
   * Whether its session has to end: a start was sent by command, may still be held up on the way,
   * and its job has been withdrawn for so long. A session that others' reports keep alive would let
   * it in whenever it arrives.
   */
  boolean mustNotRenewLease(Moment now, Span limit) {
    for (Placement placement : placements.values()) {
      Moment withdrawn = placement.job().withdrawnAfter();
      if (withdrawn != null
          && now.past(withdrawn, limit)
          && pendingStarts.commandUnanswered(
              new TaskAttempt(placement.task(), placement.attempt()))) {
        return true;
      }
    }
    return false;
  }

  /** Whether a run of this attempt may still be executed later. */
  boolean mayStillStart(TaskAttempt attempt) {
    return pendingStarts.contains(attempt);
  }

  /** The one place where the state changes. */
  void enter(State next) {
    if (next == state) {
      return;
    }
    if (!LEGAL.get(state).contains(next)) {
      throw new IllegalStateException("machine " + id + " from " + state + " to " + next);
    }
    state = next;
  }
}
