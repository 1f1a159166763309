package org.oakwalk.core.cells;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;

/**
 * Explores the two state machines of a loan of one task together: leaders on both sides that end at
 * any point, an older home leader that goes on giving leave for a while, a channel that loses,
 * repeats, reorders and holds, and workers that live for a lease without answers. In no state may
 * the task be on a machine in both cells. Time goes in ticks of ten seconds, and moments grow older
 * instead of the clock going on, so that like states are the same.
 */
class LoanExplorationTest {
  private static final Span TICK = Span.seconds(10);
  private static final Moment NOW = new Moment(1_000_000);
  private static final int PERMIT_TICKS = 2;
  private static final int LEASE_TICKS = 1;
  private static final int OLDER_LEADER_TICKS = 1;

  /** What is older can't matter any more. */
  private static final Moment OLDEST_MOMENT = new Moment(NOW.millis() - 6 * TICK.millis());

  private static final LoanTerms TERMS =
      new LoanTerms(
          Span.millis(PERMIT_TICKS * TICK.millis()),
          Span.millis(LEASE_TICKS * TICK.millis()),
          Span.seconds(1000));

  /** How much may happen between one tick and the next is not bounded; ticks are. */
  private static final int MAX_TICKS = 5;

  private static final int MIN_STATES = 500_000;

  /**
   * A message on its way, or on its way once more; asks and leaves with when they were asked for.
   */
  private record Message(String kind, Optional<Moment> requestedAt) implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int byKind = kind.compareTo(other.kind);
      return byKind != 0
          ? byKind
          : Long.compare(
              requestedAt.map(Moment::millis).orElse(0L),
              other.requestedAt.map(Moment::millis).orElse(0L));
    }
  }

  /**
   * All there is.
   *
   * @param agedByOneTick ticks for which an older home leader may still give leave
   * @param kept what the guest has stored: nothing, the loan, or that it is closed
   * @param lease ticks that the guest's worker lives without an answer; the task is on it if not -1
   */
  private record ExploredState(
      HomeLoan home,
      int olderLeaderTicks,
      boolean runsAtHome,
      GuestLoan guest,
      String guestStored,
      boolean onGuest,
      int leaseTicks,
      Set<Message> channel,
      int ticks) {

    ExploredState send(String kind, Optional<Moment> asked) {
      Set<Message> more = new TreeSet<>(channel);
      more.add(new Message(kind, asked));
      return new ExploredState(
          home, olderLeaderTicks, runsAtHome, guest, guestStored, onGuest, leaseTicks, more, ticks);
    }

    ExploredState home(HomeLoan next) {
      return new ExploredState(
          next,
          olderLeaderTicks,
          runsAtHome,
          guest,
          guestStored,
          onGuest,
          leaseTicks,
          channel,
          ticks);
    }

    ExploredState guest(GuestLoan next, String stored) {
      return new ExploredState(
          home, olderLeaderTicks, runsAtHome, next, stored, onGuest, leaseTicks, channel, ticks);
    }

    ExploredState worker(boolean on) {
      return new ExploredState(
          home, olderLeaderTicks, runsAtHome, guest, guestStored, on, LEASE_TICKS, channel, ticks);
    }
  }

  /** Faults that the exploration has to find. */
  private enum Fault {
    NONE,
    /** The guest's leave does not run out. */
    ENDLESS_PERMIT,
    /** Home takes the task back without proof. */
    RETURN_BEFORE_PROOF,
    /** A new home leader does not wait for what an older one gave. */
    IGNORES_OLDER_LEADER,
    /** The guest counts a leave from when it comes rather than from when it was asked for. */
    COUNTS_FROM_ARRIVAL
  }

  private Fault fault = Fault.NONE;

  private static Moment agedByOneTick(Moment moment) {
    Moment aged = new Moment(moment.millis() - TICK.millis());
    return aged.isAfter(OLDEST_MOMENT) ? aged : OLDEST_MOMENT;
  }

  private ExploredState tick(ExploredState w) {
    HomeLoan home =
        new HomeLoan(w.home.state(), w.home.lastPermit().map(LoanExplorationTest::agedByOneTick));
    GuestLoan guest = w.guest;
    if (guest != null) {
      Optional<Moment> until =
          fault == Fault.ENDLESS_PERMIT
              ? guest.permitExpiry()
              : guest.permitExpiry().map(LoanExplorationTest::agedByOneTick);
      guest =
          new GuestLoan(
              guest.state(),
              guest.requestedAt().map(LoanExplorationTest::agedByOneTick),
              until,
              guest.tasksAbsent());
    }
    Set<Message> channel = new TreeSet<>();
    w.channel.forEach(
        m ->
            channel.add(
                new Message(m.kind(), m.requestedAt().map(LoanExplorationTest::agedByOneTick))));
    boolean ends = w.onGuest && w.leaseTicks == 0;
    return new ExploredState(
        home,
        Math.max(0, w.olderLeaderTicks - 1),
        w.runsAtHome,
        guest,
        w.guestStored,
        w.onGuest && !ends,
        Math.max(0, w.leaseTicks - 1),
        channel,
        w.ticks + 1);
  }

  /** Everything that can happen next. */
  private void successors(ExploredState w, Consumer<ExploredState> to) {
    if (w.ticks < MAX_TICKS) {
      to.accept(tick(w));
    }
    homeSteps(w, to);
    if (w.guest != null) {
      guestSteps(w, to);
    }
    for (Message message : w.channel) {
      // It stays on its way, so it may come again and again, at any time, or never.
      deliver(w, message, to);
    }
    // A leader ends, and its successor knows what is stored.
    if (w.home.state() != HomeLoan.State.SETTLED) {
      Moment until = new Moment(NOW.millis() + OLDER_LEADER_TICKS * TICK.millis());
      HomeLoan found =
          fault == Fault.IGNORES_OLDER_LEADER ? HomeLoan.offered() : HomeLoan.recovered(until);
      to.accept(
          new ExploredState(
              found,
              OLDER_LEADER_TICKS,
              w.runsAtHome,
              w.guest,
              w.guestStored,
              w.onGuest,
              w.leaseTicks,
              w.channel,
              w.ticks));
    }
    if (w.guestStored.equals("loan")) {
      to.accept(w.guest(GuestLoan.recovered(), w.guestStored));
    }
  }

  private void homeSteps(ExploredState w, Consumer<ExploredState> to) {
    if (w.home.grantsPermits()) {
      to.accept(w.send("offer", Optional.empty()));
    }
    to.accept(w.home(w.home.recalled()).send("recall", Optional.empty()));
    boolean proof = fault == Fault.RETURN_BEFORE_PROOF || w.home.permitsExpired(TERMS, NOW);
    if (w.home.state() == HomeLoan.State.RECALLED && proof) {
      to.accept(w.home(w.home.closed()));
    }
    if (w.home.state() == HomeLoan.State.SETTLED) {
      to.accept(
          new ExploredState(
              w.home,
              w.olderLeaderTicks,
              true,
              w.guest,
              w.guestStored,
              w.onGuest,
              w.leaseTicks,
              w.channel,
              w.ticks));
    }
  }

  private void guestSteps(ExploredState w, Consumer<ExploredState> to) {
    GuestLoan guest = w.guest;
    if (guest.needsPermit()) {
      to.accept(w.guest(guest.requestPermit(NOW), w.guestStored).send("ask", Optional.of(NOW)));
    }
    // It answers its worker: with leave the task starts or goes on, without it ends.
    if (guest.mayRun(NOW)) {
      to.accept(w.guest(guest.taskStarted(NOW), w.guestStored).worker(true));
    } else {
      to.accept(w.guest(guest.confirmTasksAbsent(NOW), w.guestStored).worker(false));
    }
    if (guest.mayClose()) {
      to.accept(w.guest(guest.closed(), "closed").send("closed", Optional.empty()));
    }
  }

  private void deliver(ExploredState w, Message message, Consumer<ExploredState> to) {
    switch (message.kind()) {
      case "offer" -> {
        if (w.guestStored.equals("nothing")) {
          to.accept(w.guest(GuestLoan.stored(), "loan").send("accept", Optional.empty()));
          to.accept(w.send("refuse", Optional.empty()));
        } else if (w.guestStored.equals("closed")) {
          to.accept(w.send("closed", Optional.empty()));
        }
      }
      case "accept" -> to.accept(w.home(w.home.accepted()));
      case "refuse" -> to.accept(w.home(w.home.recalled()));
      case "closed" -> to.accept(w.home(w.home.closed()));
      case "recall" -> {
        if (w.guest != null) {
          to.accept(w.guest(w.guest.recalled(), w.guestStored));
        }
      }
      case "ask" -> {
        if (w.home.grantsPermits()) {
          to.accept(w.home(w.home.permitRequested(NOW)).send("leave", message.requestedAt()));
        }
        if (w.olderLeaderTicks > 0) {
          // The older leader answers, and the present one does not know.
          to.accept(w.send("leave", message.requestedAt()));
        }
      }
      case "leave" -> {
        if (w.guest != null && message.requestedAt().isPresent()) {
          GuestLoan next = w.guest.permitGranted(message.requestedAt().get(), TERMS);
          if (fault == Fault.COUNTS_FROM_ARRIVAL && next != w.guest) {
            next =
                new GuestLoan(
                    next.state(),
                    next.requestedAt(),
                    Optional.of(NOW.plus(TERMS.permitDuration().surelyNotPassed())),
                    next.tasksAbsent());
          }
          to.accept(w.guest(next, w.guestStored));
        }
      }
      default -> throw new IllegalStateException(message.kind());
    }
  }

  /** Returns how many states there are, or none if one of them has two owners. */
  private Optional<Integer> explore() {
    ExploredState first =
        new ExploredState(
            HomeLoan.offered(), 0, false, null, "nothing", false, LEASE_TICKS, new TreeSet<>(), 0);
    Set<ExploredState> seen = new HashSet<>(Set.of(first));
    Deque<ExploredState> open = new ArrayDeque<>(Set.of(first));
    boolean[] broken = new boolean[1];
    while (!open.isEmpty() && !broken[0]) {
      successors(
          open.poll(),
          world -> {
            broken[0] |= world.runsAtHome() && world.onGuest();
            if (seen.add(world)) {
              open.add(world);
            }
          });
    }
    return broken[0] ? Optional.empty() : Optional.of(seen.size());
  }

  @Test
  void taskNeverRunsInBothCells() {
    Optional<Integer> states = explore();
    assertThat(states).as("a task is on machines in both cells").isPresent();
    System.out.println("states of a loan visited: " + states.get());
    assertThat(states.get()).isGreaterThan(MIN_STATES);
  }

  @Test
  void explorationDetectsEveryInjectedFault() {
    for (Fault each : Fault.values()) {
      if (each != Fault.NONE) {
        LoanExplorationTest faulty = new LoanExplorationTest();
        faulty.fault = each;
        assertThat(faulty.explore()).as(each.name()).isEmpty();
      }
    }
  }
}
