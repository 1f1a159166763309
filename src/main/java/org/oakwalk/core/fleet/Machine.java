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
    ENROLLING,
    /** From the registry of earlier leaders; it has not yet confirmed this leader's token. */
    UNCONFIRMED,
    /** Takes tasks. */
    UP,
    /** Its lease has surely run out: nothing that was ordered before is on it. */
    LAPSED,
    /** It is being returned. */
    RETURNING,
    /** It is gone. */
    GONE
  }

  private static final Map<State, Set<State>> LEGAL = new EnumMap<>(State.class);

  static {
    LEGAL.put(State.BOOTING, EnumSet.of(State.ENROLLING, State.RETURNING));
    LEGAL.put(State.ENROLLING, EnumSet.of(State.UP, State.RETURNING));
    LEGAL.put(State.UNCONFIRMED, EnumSet.of(State.UP, State.LAPSED, State.RETURNING));
    LEGAL.put(State.UP, EnumSet.of(State.LAPSED, State.RETURNING));
    LEGAL.put(State.LAPSED, EnumSet.of(State.UP, State.RETURNING));
    LEGAL.put(State.RETURNING, EnumSet.of(State.GONE));
    LEGAL.put(State.GONE, EnumSet.noneOf(State.class));
  }

  /** One attempt at one task, as orders name it. */
  public record Try(TaskId task, Attempt attempt) {}

  private final MachineId id;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final Moment known;
  private String address;
  private State state;
  private final Sessions sessions = new Sessions();
  private Moment renewed;
  private Moment heard;
  private Moment reclaimedAt;
  private Moment idleSince;
  private Moment blockedUntil;
  private Rental.Status listed;
  private Optional<Span> boot = Optional.empty();
  private boolean inDoubt;
  private boolean manyInOne;
  private boolean carried;
  private Duty duty = Duty.IN_USE;
  private boolean leavesSoon;
  private final Conduct conduct = new Conduct();
  private Room promised = Room.NONE;
  private Room used = Room.NONE;
  private Room free;
  private Room freeOfUsed;
  private Room freeOfStray;
  private Room freeOfPromised;
  private int replicas;
  private Moment emptyBy = new Moment(Long.MIN_VALUE / 2);
  private final Map<TaskId, Placement> placements = new LinkedHashMap<>();
  private final Images images;
  private final Leftovers leftovers = new Leftovers();
  private boolean commanding;
  private final OpenRuns openRuns = new OpenRuns();
  private final Hearing hearing = new Hearing();
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
    this.images = new Images(type.cacheGb());
    this.zone = zone;
    this.spot = spot;
    this.state = state;
    this.inDoubt = state == State.UNCONFIRMED;
    this.known = known;
    this.heard = known;
    this.renewed = known;
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
  public boolean inDoubt() {
    return inDoubt;
  }

  void settled() {
    inDoubt = false;
  }

  /**
   * This stands for machines whose list can't be read. The cloud would confirm at once that there
   * is none of this name, which tells nothing of them: only time does, until their leases are over.
   */
  public void standsForMany() {
    manyInOne = true;
  }

  /** Whether the cloud's answer to a return would settle what may be here. */
  public boolean returnable() {
    return !manyInOne || !inDoubt;
  }

  /** Since when this leader has known the machine; for a booting one, when it was rented. */
  public Moment known() {
    return known;
  }

  public Optional<SessionId> session() {
    return sessions.present();
  }

  /** When it last reported by itself, directly or by way of another controller. */
  public Moment heard() {
    return heard;
  }

  /** When it last answered a command. */
  public Moment commanded() {
    return hearing.commanded();
  }

  public Moment renewed() {
    return renewed;
  }

  public Moment idleSince() {
    return idleSince;
  }

  /** Errors of this job's tasks here since one last succeeded. */
  public int errorsOf(Job job) {
    return conduct.errorsOf(job);
  }

  /**
   * Whether the machine rather than a job is to blame for the errors here: tasks of several jobs
   * failed one after the other, or tasks of a job that completes elsewhere. Jobs that fail
   * everywhere don't count.
   */
  public boolean faulty() {
    return conduct.faulty();
  }

  /** What it is there for while it is up. */
  public Duty duty() {
    return duty;
  }

  /**
   * The one place where the duty changes.
   *
   * @return whether it has changed; a weightier reason against the machine stays
   */
  public boolean duty(Duty next) {
    if (next == duty || !duty.mayBecome(next)) {
      return false;
    }
    duty = next;
    return true;
  }

  /** Whether it is kept in use only for a while, so that what has no end should go elsewhere. */
  public boolean leavesSoon() {
    return leavesSoon;
  }

  public void leavesSoon(boolean on) {
    leavesSoon = on;
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
    Room stray = leftovers.strayRoom();
    if (freeOfUsed != used || freeOfStray != stray || freeOfPromised != promised) {
      freeOfUsed = used;
      freeOfStray = stray;
      freeOfPromised = promised;
      free = type.room().minus(used).minus(stray).minus(promised);
    }
    return free;
  }

  /** Keeps room for a task that is on its way here from another machine. */
  public void promise(Room room) {
    promised = promised.plus(room);
  }

  /** The task has come, or will not come. */
  public void promiseEnds(Room room) {
    promised = promised.minus(room);
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
  public Moment emptyBy() {
    return emptyBy;
  }

  /** Tasks of this job that are on it. */
  public long countOf(JobId job) {
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
  public boolean takesTasks(Moment now, Span suspectAfter) {
    return state == State.UP
        && (duty == Duty.IN_USE || duty.fillsUp())
        && session().isPresent()
        && hearing.hears()
        && !now.isPast(heard, suspectAfter)
        && !blockedUntil.isAfter(now);
  }

  /** Whether, as far as is known, it has the image. */
  public boolean hasImage(String image) {
    return images.has(image);
  }

  /** Whether getting an image of this size would push another one out that it has. */
  public boolean pushesOut(String other, double gb) {
    return images.pushesOut(other, gb);
  }

  /** How the cloud's list showed it when it became known from there. */
  public void listed(Rental.Status status) {
    listed = status;
  }

  /** Whether the cloud said that it is up already, so that its time to come up tells nothing. */
  public boolean listedAsUp() {
    return listed == Rental.Status.RUNNING;
  }

  /** It reports for the first time since it was rented. */
  void booted(Moment now) {
    boot = Optional.of(now.since(known));
  }

  /** How long it took to come up; told once. */
  public Optional<Span> takeBoot() {
    Optional<Span> took = boot;
    boot = Optional.empty();
    return took;
  }

  /** Whether its last report came by way of another controller. */
  public boolean carried() {
    return carried;
  }

  public void carried(boolean on) {
    carried = on;
  }

  void address(String current) {
    address = current;
  }

  void heard(Moment now) {
    heard = now;
  }

  void renewed(Moment now) {
    renewed = now;
  }

  void reclaimedAt(Moment at) {
    reclaimedAt = at;
    duty(Duty.RECLAIMED);
  }

  void blockedUntil(Moment until) {
    blockedUntil = until;
  }

  void failed(Job job) {
    conduct.failed(job);
  }

  /** A task here runs far longer than others of its job. */
  public void late(Placement placement) {
    if (placement.turnsLate()) {
      conduct.late();
    }
  }

  /** A task ran no longer than others of its job. */
  public void inTime() {
    conduct.inTime();
  }

  /** Whether tasks take far longer here than elsewhere. */
  public boolean slow() {
    return conduct.slow();
  }

  void succeeded() {
    conduct.succeeded();
  }

  /** Which of its sessions is the present one, and what has been heard of it. */
  Sessions sessions() {
    return sessions;
  }

  /** Takes over a report's session and number; true if a new session has begun. */
  boolean advance(SessionId reported, long number, boolean own) {
    boolean first = session().isEmpty();
    boolean fresh = sessions.advance(reported, number, own);
    if (first || fresh) {
      openRuns.clear();
    }
    return fresh;
  }

  /** The present session is over: reports that still come from it count for nothing. */
  void endSession() {
    sessions.end();
    openRuns.clear();
  }

  void add(Placement placement) {
    placements.put(placement.task(), placement);
    replicas += placement.job().spec().service() ? 1 : 0;
    emptyBy = later(emptyBy, placement.endsBy());
    used = used.plus(placement.job().spec().room());
    images.use(placement.job().spec().image(), placement.job().spec().imageGb());
  }

  void remove(Placement placement, Moment now) {
    if (placements.remove(placement.task(), placement)) {
      replicas -= placement.job().spec().service() ? 1 : 0;
      emptyBy = new Moment(Long.MIN_VALUE / 2);
      for (Placement left : placements.values()) {
        emptyBy = later(emptyBy, left.endsBy());
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
  Leftovers leftovers() {
    return leftovers;
  }

  /**
   * Whether an ended attempt at this task is still on the machine, so that a run is refused. One
   * that is kept only since its start may come once more gives way to the next attempt.
   */
  public boolean remembers(TaskId task) {
    return leftovers.remembers(task) && !(openRuns.mayRepeat(task) && !openRuns.containsAny(task));
  }

  /** Whether as many starts as may be have come by command under its present token. */
  public boolean startsByAnswersOnly() {
    return openRuns.full();
  }

  /** Whether a command is out and unanswered. */
  boolean commanding() {
    return commanding;
  }

  void commanding(boolean on) {
    commanding = on;
  }

  /** Whether it takes what it is told; one that reports need not. */
  public boolean hears() {
    return hearing.hears();
  }

  Hearing hearing() {
    return hearing;
  }

  /** The token under which it is spoken to. */
  Fence fence() {
    return fence;
  }

  /** Ended attempts that it has to list, since commands that start their tasks may come again. */
  long keptEnded() {
    return leftovers.uncleared().keySet().stream()
        .filter(ended -> openRuns.mayRepeat(ended.task()))
        .count();
  }

  /** Runs that may still be executed later. */
  OpenRuns openRuns() {
    return openRuns;
  }

  /**
   * Whether its session has to end: a start was sent by command, may still be held up on the way,
   * and its job has been withdrawn for so long. A session that others' reports keep alive would let
   * it in whenever it arrives.
   */
  boolean mustLapse(Moment now, Span limit) {
    for (Placement placement : placements.values()) {
      Moment withdrawn = placement.job().withdrawnAfter();
      if (withdrawn != null
          && now.isPast(withdrawn, limit)
          && openRuns.inCommand(new Try(placement.task(), placement.attempt()))) {
        return true;
      }
    }
    return false;
  }

  /** Whether a run of this attempt may still be executed later. */
  boolean runOpen(Try attempt) {
    return openRuns.contains(attempt);
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
