package org.oakwalk.core.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.drain.DisruptionLimiter;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobBook;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.placement.Reserve;
import org.oakwalk.core.placement.RunTimes;
import org.oakwalk.core.placement.Takes;
import org.oakwalk.core.product.ExchangeTerms;
import org.oakwalk.core.shared.SharedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes room from batch work for serving and gives it back. Each take is stored as an intent before
 * its first stop, its room is kept for the taker alone until that starts or the intent ends, and it
 * is owed until the giver runs again, its job is over, or the room is no more.
 *
 * <p>A new leader goes on from the record alone: what it finds under way it goes on with, on the
 * same machine and for the same need, so that no need is met twice.
 */
public final class Exchange implements Takes {
  private static final Logger LOG = LoggerFactory.getLogger(Exchange.class);
  private static final int MOST_A_CALL = 16;

  private final List<ExchangeTerms> terms;
  private final Fleet fleet;
  private final JobBook jobs;
  private final Quota quota;
  private final DisruptionLimiter gate;
  private final Token token;
  private final Span suspectAfter;
  private final Starts starts;
  private final Toll toll;
  private final BiConsumer<Machine, Job> keepForGang;
  private final OpenTakes open;
  private final Needs needs;
  private long names;

  /**
   * Exchanges under one token.
   *
   * @param keepForGang keeps a machine for a gang that has to start whole
   */
  public Exchange(
      List<ExchangeTerms> terms,
      SharedRecord<Take> record,
      Fleet fleet,
      JobBook jobs,
      Quota quota,
      DisruptionLimiter gate,
      RunTimes runTimes,
      Span suspectAfter,
      Reserve reserve,
      BiConsumer<Machine, Job> keepForGang) {
    this.terms = terms;
    this.open = new OpenTakes(record, fleet);
    this.fleet = fleet;
    this.jobs = jobs;
    this.quota = quota;
    this.gate = gate;
    this.token = fleet.token();
    this.suspectAfter = suspectAfter;
    this.starts = new Starts(fleet, quota, reserve, runTimes, suspectAfter);
    this.toll = new Toll(fleet, quota, reserve, open::owed);
    this.keepForGang = keepForGang;
    this.needs = new Needs(terms, jobs);
  }

  private Optional<ExchangeTerms> termsFor(Job taker) {
    return terms.stream().filter(each -> each.takes(taker.spec())).findFirst();
  }

  private Optional<ExchangeTerms> termsOf(Take take) {
    return terms.stream().filter(each -> each.name().equals(take.exchange())).findFirst();
  }

  @Override
  public boolean spares(Job asking, Placement placement) {
    return open.usable()
        && termsFor(asking).filter(each -> each.gives(placement.job().spec())).isPresent();
  }

  @Override
  public boolean ask(Job job, List<Machine> machines, Moment now, WallTime wall) {
    Optional<ExchangeTerms> found = open.usable() ? termsFor(job) : Optional.empty();
    if (found.isEmpty()) {
      return false;
    }
    ExchangeTerms each = found.get();
    int underWay = open.underWayFor(job);
    for (int i = 0; i < MOST_A_CALL && underWay < job.pendingCount(); i++) {
      long held = open.held(each);
      Optional<Toll.Plan> plan =
          held < each.most() && quota.allows(job, underWay + 1)
              ? toll.best(job, each, machines, now)
              : Optional.empty();
      if (plan.isEmpty() || !gate.allows(plan.get().victims())) {
        break;
      }
      Optional<Take> instead = makeWay(job, now, wall);
      intend(each, job, plan.get(), instead.map(Take::level).orElse(level(each)), now, wall);
      underWay++;
    }
    return underWay > 0;
  }

  /**
   * Before a job takes once more: it never holds more takes than it has replicas. One that it holds
   * and makes no use of, since the replica there was lost with its machine's lease, say, goes back
   * in the same revision of the record. There is one: of its replicas some wait for which nothing
   * is under way, so fewer are placed than it holds takes.
   *
   * @return what goes back; the other stands for the same replica, so need is at the same level
   */
  private Optional<Take> makeWay(Job job, Moment now, WallTime wall) {
    List<Live> held = open.heldBy(job);
    if (held.size() < job.spec().tasks()) {
      return Optional.empty();
    }
    Optional<Live> given =
        held.stream()
            .filter(live -> live.take.state() == Take.State.TAKEN && open.unused(live))
            .min(Comparator.comparing(live -> mayServe(live, now)));
    given.ifPresent(live -> end(live, job.id() + " has room elsewhere instead", now, wall));
    return given.map(live -> live.take);
  }

  /** Whether room that was taken may have a replica at once, rather than be out of reach. */
  private boolean mayServe(Live live, Moment now) {
    return fleet
        .find(live.take.machine())
        .filter(machine -> machine.takesTasks(now, suspectAfter))
        .isPresent();
  }

  /** How many replicas of the takers there are, with one more. */
  private int level(ExchangeTerms each) {
    int level = 1;
    for (Job other : jobs.all()) {
      level += other.open() && each.takes(other.spec()) ? other.activeCount() : 0;
    }
    for (Live live : open.all()) {
      level += live.take.underWay() && live.take.exchange().equals(each.name()) ? 1 : 0;
    }
    return level;
  }

  private void intend(
      ExchangeTerms each, Job job, Toll.Plan plan, int level, Moment now, WallTime wall) {
    Take take =
        new Take(
            new TakeId(token, ++names),
            Take.State.INTENDED,
            each.name(),
            plan.giver().id(),
            plan.giver().spec().team(),
            plan.victims().size(),
            job.id(),
            job.spec().room(),
            plan.machine().id(),
            level,
            wall);
    Live live = new Live(take, now);
    live.victims = plan.victims();
    live.keep(plan.machine());
    open.add(live);
    LOG.info(
        "take {}: {} takes {} tasks of {} on {}, at a cost of {} s",
        take.id(),
        job.id(),
        take.tasks(),
        take.giver(),
        take.machine(),
        Math.round(plan.cost()));
  }

  /** Goes on with what is open; orders nothing before it is known what runs. */
  public void tick(boolean recovered, Moment now, WallTime wall) {
    if (!open.restored(now)) {
      return;
    }
    if (recovered) {
      needs.count(now);
      for (Live live : open.all()) {
        step(live, now, wall);
      }
      giveBack(now, wall);
    }
    open.store();
  }

  private void step(Live live, Moment now, WallTime wall) {
    switch (live.take.state()) {
      case INTENDED, SAVING -> goOn(live, now, wall);
      case TAKEN -> watch(live, now, wall);
      case RETURNING -> repay(live, now);
      case SETTLED -> {}
    }
  }

  private boolean patient(Live live, Moment now) {
    Span patience = termsOf(live.take).map(ExchangeTerms::patience).orElse(Span.seconds(0));
    return !now.past(live.since, patience);
  }

  /** Stops the giver's tasks once that is stored, and starts the taker when they are gone. */
  private void goOn(Live live, Moment now, WallTime wall) {
    Machine machine = live.keeps;
    Optional<Job> taker = taker(live);
    if (machine == null || !machine.takesTasks(now, suspectAfter) && !patient(live, now)) {
      end(live, "its machine is gone", now, wall);
    } else if (taker.isEmpty()) {
      withoutTaker(live, now, wall);
    } else if (!patient(live, now)) {
      end(live, "it took too long", now, wall);
    } else if (live.roomIsFree()) {
      start(live, taker.get(), now, wall);
    } else if (live.take.state() == Take.State.INTENDED && open.isStored(live)) {
      order(live, taker.get(), now);
    }
  }

  /**
   * Nobody needs it any more. If the giver was told to stop, its room is kept as if it had been
   * used, so that need which swings does not stop the giver each time it comes back.
   */
  private void withoutTaker(Live live, Moment now, WallTime wall) {
    if (live.take.state() == Take.State.INTENDED) {
      end(live, "nobody needs it any more", now, wall);
    } else if (live.roomIsFree()) {
      open.change(live, live.take.taken(live.take.taker()), now);
    } else if (!patient(live, now)) {
      end(live, "it took too long", now, wall);
    }
  }

  /** The job that the room is for: the one that asked, or another that waits for such room. */
  private Optional<Job> taker(Live live) {
    Optional<Job> first = jobs.find(live.take.taker()).filter(job -> waits(job, live));
    if (first.isPresent() || termsOf(live.take).isEmpty()) {
      return first;
    }
    ExchangeTerms each = termsOf(live.take).get();
    return jobs.all().stream()
        .filter(job -> each.takes(job.spec()) && waits(job, live))
        .filter(job -> open.underWayFor(job) < job.pendingCount())
        .min(Comparator.comparing(Job::waitingSince));
  }

  private boolean waits(Job job, Live live) {
    return job.open() && job.pendingCount() > 0 && job.spec().room().fits(live.take.room());
  }

  private void order(Live live, Job taker, Moment now) {
    List<Placement> victims = new ArrayList<>();
    if (live.victims.isEmpty()) {
      // An older leader intended it: the giver's tasks that are still there.
      Room free = live.keeps.free().plus(live.take.room());
      for (Placement placement : live.keeps.placements()) {
        boolean gives =
            placement.job().id().equals(live.take.giver()) && toll.mayGive(placement, taker);
        if (placement.halting()) {
          free = free.plus(placement.job().spec().room());
        } else if (gives && !live.take.room().fits(free)) {
          victims.add(placement);
          free = free.plus(placement.job().spec().room());
        }
      }
    } else {
      live.victims.stream()
          .filter(victim -> victim.state() != Placement.State.OVER && !victim.halting())
          .filter(victim -> toll.mayGive(victim, taker))
          .forEach(victims::add);
    }
    if (!victims.isEmpty() && !gate.allows(victims)) {
      return;
    }
    victims.forEach(victim -> fleet.halt(victim, victim.job().spec().saveTime(), Fleet.Why.TAKEN));
    open.change(live, live.take.stopping(), now);
  }

  private void start(Live live, Job taker, Moment now, WallTime wall) {
    Machine machine = live.keeps;
    int index = taker.nextPending(0, now);
    if (taker.spec().allows(machine.type().name(), machine.zone(), machine.spot())
        && starts.may(taker, index, machine, now)) {
      Optional<Take> instead =
          taker.id().equals(live.take.taker()) ? Optional.empty() : makeWay(taker, now, wall);
      live.letGo();
      starts.place(taker, index, machine, now);
      open.change(live, live.take.taken(taker.id()).standingFor(instead), now);
    }
  }

  private void end(Live live, String why, Moment now, WallTime wall) {
    LOG.info("take {} ends: {}", live.take.id(), why);
    open.change(live, live.take.returning(wall), now);
  }

  /** The taker's replica may have ended: others that wait get its room, or it is kept a while. */
  private void watch(Live live, Moment now, WallTime wall) {
    Optional<Machine> machine = fleet.find(live.take.machine());
    if (machine.isEmpty()) {
      LOG.info("take {}: its room is gone with {}", live.take.id(), live.take.machine());
      open.change(live, live.take.settled(), now);
      return;
    }
    if (live.keeps == null) {
      if (!open.unused(live)) {
        return;
      }
      live.keep(machine.get());
    }
    if (live.roomIsFree()) {
      taker(live).ifPresent(taker -> start(live, taker, now, wall));
    }
  }

  /** Gives back what need has fallen below for long enough, the oldest debts first. */
  private void giveBack(Moment now, WallTime wall) {
    for (ExchangeTerms each : terms) {
      List<Live> held =
          open.all().stream()
              .filter(l -> l.take.exchange().equals(each.name()))
              .filter(l -> l.take.state() == Take.State.TAKEN)
              .toList();
      int due = needs.due(each, held.stream().map(live -> live.take).toList(), now);
      held.stream()
          .limit(due)
          .forEach(live -> end(live, "need has fallen to " + needs.replicas(each), now, wall));
    }
    for (Live live : open.all()) {
      if (live.take.state() == Take.State.TAKEN && termsOf(live.take).isEmpty()) {
        end(live, "its exchange is declared no more", now, wall);
      }
    }
  }

  /** The giver goes on in the room that is kept for it, or wherever there is room. */
  private void repay(Live live, Moment now) {
    Optional<Job> giver = jobs.find(live.take.giver()).filter(Job::open);
    if (giver.isEmpty() || giver.get().pendingCount() <= 0 || !patient(live, now)) {
      LOG.info(
          "take {}: {} {}",
          live.take.id(),
          live.take.giver(),
          giver.isEmpty() ? "is over" : giver.get().pendingCount() <= 0 ? "runs" : "can't go on");
      open.change(live, live.take.settled(), now);
      return;
    }
    if (!open.isStored(live)) {
      return;
    }
    Job job = giver.get();
    if (job.spec().gang()) {
      if (live.keeps != null) {
        Machine machine = live.keeps;
        live.letGo();
        keepForGang.accept(machine, job);
      }
      return;
    }
    Machine machine = live.keeps != null ? live.keeps : starts.roomFor(job, now);
    if (machine == null) {
      return;
    }
    live.letGo();
    int placed = starts.fill(job, live.take.tasks(), machine, now);
    if (placed > 0) {
      LOG.info("take {}: {} tasks of {} go on", live.take.id(), placed, job.id());
      open.change(live, live.take.settled(), now);
    }
  }
}
