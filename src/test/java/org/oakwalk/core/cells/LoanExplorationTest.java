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
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;

/**
 * Explores all states of a loan of one task, with the state machines of both cells: leaders fail
 * over at any point, an older home leader still grants permits for a while, the channel loses,
 * repeats, reorders and delays messages, and workers run for a lease without responses. In no state
 * may the task be on machines in both cells. Time advances in ticks of ten seconds; instead of
 * advancing the clock, all moments are moved back, so that equivalent states are equal.
 */
class LoanExplorationTest {
  private static final TimeSpan TICK = TimeSpan.seconds(10);
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);
  private static final int PERMIT_TICKS = 2;
  private static final int LEASE_TICKS = 1;
  private static final int OLDER_LEADER_TICKS = 1;

  /** Older moments are replaced by this one, because they can't make a difference any more. */
  private static final MonotonicTime OLDEST_MOMENT =
      new MonotonicTime(NOW.millis() - 6 * TICK.millis());

  private static final LoanTerms TERMS =
      new LoanTerms(
          TimeSpan.millis(PERMIT_TICKS * TICK.millis()),
          TimeSpan.millis(LEASE_TICKS * TICK.millis()),
          TimeSpan.seconds(1000));

  /** Bounds the number of ticks; the number of steps between two ticks is not bounded. */
  private static final int MAX_TICKS = 5;

  private static final int MIN_STATES = 500_000;

  /**
   * A message in the channel.
   *
   * @param requestedAt of permit requests ("ask") and grants, when the permit was requested
   */
  private record Message(String kind, Optional<MonotonicTime> requestedAt)
      implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int byKind = kind.compareTo(other.kind);
      return byKind != 0
          ? byKind
          : Long.compare(
              requestedAt.map(MonotonicTime::millis).orElse(0L),
              other.requestedAt.map(MonotonicTime::millis).orElse(0L));
    }
  }

  /**
   * The state of both cells, the guest's worker and the channel.
   *
   * @param olderLeaderTicks ticks for which an older home leader may still grant permits
   * @param guestStored what the guest has stored: nothing, the loan, or that it is closed
   * @param onGuest whether the task is on the guest's worker
   * @param leaseTicks ticks that the guest's worker runs without a response
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

    ExploredState send(String kind, Optional<MonotonicTime> asked) {
      Set<Message> withMessage = new TreeSet<>(channel);
      withMessage.add(new Message(kind, asked));
      return new ExploredState(
          home,
          olderLeaderTicks,
          runsAtHome,
          guest,
          guestStored,
          onGuest,
          leaseTicks,
          withMessage,
          ticks);
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

  /** Injected faults that the exploration has to detect. */
  private enum Fault {
    NONE,
    /** The guest's permit never expires. */
    ENDLESS_PERMIT,
    /** The home cell runs the task again without proof that it has ended in the guest cell. */
    RETURN_BEFORE_PROOF,
    /** A new home leader does not wait for the expiry of permits granted by an older one. */
    IGNORES_OLDER_LEADER,
    /** The guest counts a permit's duration from its arrival instead of from its request. */
    COUNTS_FROM_ARRIVAL
  }

  private Fault fault = Fault.NONE;

  private static MonotonicTime agedByOneTick(MonotonicTime moment) {
    MonotonicTime aged = new MonotonicTime(moment.millis() - TICK.millis());
    return aged.isAfter(OLDEST_MOMENT) ? aged : OLDEST_MOMENT;
  }

  private ExploredState tick(ExploredState s) {
    HomeLoan home =
        new HomeLoan(s.home.state(), s.home.lastPermit().map(LoanExplorationTest::agedByOneTick));
    GuestLoan guest = s.guest;
    if (guest != null) {
      Optional<MonotonicTime> until =
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
    s.channel.forEach(
        m ->
            channel.add(
                new Message(m.kind(), m.requestedAt().map(LoanExplorationTest::agedByOneTick))));
    boolean leaseEnds = s.onGuest && s.leaseTicks == 0;
    return new ExploredState(
        home,
        Math.max(0, s.olderLeaderTicks - 1),
        s.runsAtHome,
        guest,
        s.guestStored,
        s.onGuest && !leaseEnds,
        Math.max(0, s.leaseTicks - 1),
        channel,
        s.ticks + 1);
  }

  /** Passes on every state that can follow. */
  private void successors(ExploredState s, Consumer<ExploredState> sink) {
    if (s.ticks < MAX_TICKS) {
      sink.accept(tick(s));
    }
    homeSteps(s, sink);
    if (s.guest != null) {
      guestSteps(s, sink);
    }
    for (Message message : s.channel) {
      // The message stays in the channel, so it may arrive repeatedly, at any time, or never.
      deliver(s, message, sink);
    }
    // A leader fails, and its successor knows only what is stored.
    if (s.home.state() != HomeLoan.State.SETTLED) {
      MonotonicTime until = new MonotonicTime(NOW.millis() + OLDER_LEADER_TICKS * TICK.millis());
      HomeLoan recovered =
          fault == Fault.IGNORES_OLDER_LEADER ? HomeLoan.offered() : HomeLoan.recovered(until);
      sink.accept(
          new ExploredState(
              recovered,
              OLDER_LEADER_TICKS,
              s.runsAtHome,
              s.guest,
              s.guestStored,
              s.onGuest,
              s.leaseTicks,
              s.channel,
              s.ticks));
    }
    if (s.guestStored.equals("loan")) {
      sink.accept(s.guest(GuestLoan.recovered(), s.guestStored));
    }
  }

  private void homeSteps(ExploredState s, Consumer<ExploredState> sink) {
    if (s.home.grantsPermits()) {
      sink.accept(s.send("offer", Optional.empty()));
    }
    sink.accept(s.home(s.home.recalled()).send("recall", Optional.empty()));
    boolean proof = fault == Fault.RETURN_BEFORE_PROOF || s.home.permitsExpired(TERMS, NOW);
    if (s.home.state() == HomeLoan.State.RECALLED && proof) {
      sink.accept(s.home(s.home.closed()));
    }
    if (s.home.state() == HomeLoan.State.SETTLED) {
      sink.accept(
          new ExploredState(
              s.home,
              s.olderLeaderTicks,
              true,
              s.guest,
              s.guestStored,
              s.onGuest,
              s.leaseTicks,
              s.channel,
              s.ticks));
    }
  }

  private void guestSteps(ExploredState s, Consumer<ExploredState> sink) {
    GuestLoan guest = s.guest;
    if (guest.needsPermit()) {
      sink.accept(s.guest(guest.requestPermit(NOW), s.guestStored).send("ask", Optional.of(NOW)));
    }
    // The response to the worker starts or continues the task under a permit, and ends it
    // otherwise.
    if (guest.mayRun(NOW)) {
      sink.accept(s.guest(guest.taskStarted(NOW), s.guestStored).worker(true));
    } else {
      sink.accept(s.guest(guest.confirmTasksAbsent(NOW), s.guestStored).worker(false));
    }
    if (guest.mayClose()) {
      sink.accept(s.guest(guest.closed(), "closed").send("closed", Optional.empty()));
    }
  }

  private void deliver(ExploredState s, Message message, Consumer<ExploredState> sink) {
    switch (message.kind()) {
      case "offer" -> {
        if (s.guestStored.equals("nothing")) {
          sink.accept(s.guest(GuestLoan.stored(), "loan").send("accept", Optional.empty()));
          sink.accept(s.send("refuse", Optional.empty()));
        } else if (s.guestStored.equals("closed")) {
          sink.accept(s.send("closed", Optional.empty()));
        }
      }
      case "accept" -> sink.accept(s.home(s.home.accepted()));
      case "refuse" -> sink.accept(s.home(s.home.recalled()));
      case "closed" -> sink.accept(s.home(s.home.closed()));
      case "recall" -> {
        if (s.guest != null) {
          sink.accept(s.guest(s.guest.recalled(), s.guestStored));
        }
      }
      case "ask" -> {
        if (s.home.grantsPermits()) {
          sink.accept(s.home(s.home.permitRequested(NOW)).send("grant", message.requestedAt()));
        }
        if (s.olderLeaderTicks > 0) {
          // The older leader grants a permit, of which the current one does not know.
          sink.accept(s.send("grant", message.requestedAt()));
        }
      }
      case "grant" -> {
        if (s.guest != null && message.requestedAt().isPresent()) {
          GuestLoan next = s.guest.permitGranted(message.requestedAt().get(), TERMS);
          if (fault == Fault.COUNTS_FROM_ARRIVAL && next != s.guest) {
            next =
                new GuestLoan(
                    next.state(),
                    next.requestedAt(),
                    Optional.of(NOW.plus(TERMS.permitDuration().minusClockDrift())),
                    next.tasksAbsent());
          }
          sink.accept(s.guest(next, s.guestStored));
        }
      }
      default -> throw new IllegalStateException(message.kind());
    }
  }

  /** Returns the number of states, or nothing if in one of them the task is in both cells. */
  private Optional<Integer> explore() {
    ExploredState first =
        new ExploredState(
            HomeLoan.offered(), 0, false, null, "nothing", false, LEASE_TICKS, new TreeSet<>(), 0);
    Set<ExploredState> seen = new HashSet<>(Set.of(first));
    Deque<ExploredState> open = new ArrayDeque<>(Set.of(first));
    boolean[] violated = new boolean[1];
    while (!open.isEmpty() && !violated[0]) {
      successors(
          open.poll(),
          state -> {
            violated[0] |= state.runsAtHome() && state.onGuest();
            if (seen.add(state)) {
              open.add(state);
            }
          });
    }
    return violated[0] ? Optional.empty() : Optional.of(seen.size());
  }

  @Test
  void taskNeverRunsInBothCells() {
    Optional<Integer> states = explore();
    assertThat(states).as("a task is on machines in both cells").isPresent();
    System.out.println("loan states explored: " + states.get());
    assertThat(states.get()).isGreaterThan(MIN_STATES);
  }

  @Test
  void explorationDetectsEveryInjectedFault() {
    for (Fault injected : Fault.values()) {
      if (injected != Fault.NONE) {
        LoanExplorationTest faulty = new LoanExplorationTest();
        faulty.fault = injected;
        assertThat(faulty.explore()).as(injected.name()).isEmpty();
      }
    }
  }
}
