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
  private static final int LEAVE_TICKS = 2;
  private static final int LEASE_TICKS = 1;
  private static final int OLDER_LEADER_TICKS = 1;

  /** What is older can't matter any more. */
  private static final Moment OLDEST = new Moment(NOW.millis() - 6 * TICK.millis());

  private static final LoanTerms TERMS =
      new LoanTerms(
          Span.millis(LEAVE_TICKS * TICK.millis()),
          Span.millis(LEASE_TICKS * TICK.millis()),
          Span.seconds(1000));

  /** How much may happen between one tick and the next is not bounded; ticks are. */
  private static final int DEPTH = 5;

  private static final int FEWEST_STATES = 500_000;

  /**
   * A message on its way, or on its way once more; asks and leaves with when they were asked for.
   */
  private record Message(String kind, Optional<Moment> asked) implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int byKind = kind.compareTo(other.kind);
      return byKind != 0
          ? byKind
          : Long.compare(
              asked.map(Moment::millis).orElse(0L), other.asked.map(Moment::millis).orElse(0L));
    }
  }

  /**
   * All there is.
   *
   * @param older ticks for which an older home leader may still give leave
   * @param kept what the guest has stored: nothing, the loan, or that it is closed
   * @param lease ticks that the guest's worker lives without an answer; the task is on it if not -1
   */
  private record World(
      LoanOut home,
      int older,
      boolean runsAtHome,
      LoanIn guest,
      String kept,
      boolean onGuest,
      int lease,
      Set<Message> channel,
      int ticks) {

    World send(String kind, Optional<Moment> asked) {
      Set<Message> more = new TreeSet<>(channel);
      more.add(new Message(kind, asked));
      return new World(home, older, runsAtHome, guest, kept, onGuest, lease, more, ticks);
    }

    World home(LoanOut next) {
      return new World(next, older, runsAtHome, guest, kept, onGuest, lease, channel, ticks);
    }

    World guest(LoanIn next, String stored) {
      return new World(home, older, runsAtHome, next, stored, onGuest, lease, channel, ticks);
    }

    World worker(boolean on) {
      return new World(home, older, runsAtHome, guest, kept, on, LEASE_TICKS, channel, ticks);
    }
  }

  /** Faults that the exploration has to find. */
  private enum Fault {
    NONE,
    /** The guest's leave does not run out. */
    ENDLESS_LEAVE,
    /** Home takes the task back without proof. */
    RETURN_BEFORE_PROOF,
    /** A new home leader does not wait for what an older one gave. */
    FORGETS_OLDER_LEADER,
    /** The guest counts a leave from when it comes rather than from when it was asked for. */
    COUNTS_FROM_ARRIVAL
  }

  private Fault fault = Fault.NONE;

  private static Moment older(Moment moment) {
    Moment aged = new Moment(moment.millis() - TICK.millis());
    return aged.isAfter(OLDEST) ? aged : OLDEST;
  }

  private World tick(World w) {
    LoanOut home = new LoanOut(w.home.state(), w.home.lastLeave().map(LoanExplorationTest::older));
    LoanIn guest = w.guest;
    if (guest != null) {
      Optional<Moment> until =
          fault == Fault.ENDLESS_LEAVE
              ? guest.until()
              : guest.until().map(LoanExplorationTest::older);
      guest =
          new LoanIn(
              guest.state(), guest.asked().map(LoanExplorationTest::older), until, guest.absent());
    }
    Set<Message> channel = new TreeSet<>();
    w.channel.forEach(
        m -> channel.add(new Message(m.kind(), m.asked().map(LoanExplorationTest::older))));
    boolean ends = w.onGuest && w.lease == 0;
    return new World(
        home,
        Math.max(0, w.older - 1),
        w.runsAtHome,
        guest,
        w.kept,
        w.onGuest && !ends,
        Math.max(0, w.lease - 1),
        channel,
        w.ticks + 1);
  }

  /** Everything that can happen next. */
  private void next(World w, Consumer<World> to) {
    if (w.ticks < DEPTH) {
      to.accept(tick(w));
    }
    homeActs(w, to);
    if (w.guest != null) {
      guestActs(w, to);
    }
    for (Message message : w.channel) {
      // It stays on its way, so it may come again and again, at any time, or never.
      arrives(w, message, to);
    }
    // A leader ends, and its successor knows what is stored.
    if (w.home.state() != LoanOut.State.SETTLED) {
      Moment until = new Moment(NOW.millis() + OLDER_LEADER_TICKS * TICK.millis());
      LoanOut found =
          fault == Fault.FORGETS_OLDER_LEADER ? LoanOut.offered() : LoanOut.found(until);
      to.accept(
          new World(
              found,
              OLDER_LEADER_TICKS,
              w.runsAtHome,
              w.guest,
              w.kept,
              w.onGuest,
              w.lease,
              w.channel,
              w.ticks));
    }
    if (w.kept.equals("loan")) {
      to.accept(w.guest(LoanIn.found(), w.kept));
    }
  }

  private void homeActs(World w, Consumer<World> to) {
    if (w.home.givesLeave()) {
      to.accept(w.send("offer", Optional.empty()));
    }
    to.accept(w.home(w.home.recalled()).send("recall", Optional.empty()));
    boolean proof = fault == Fault.RETURN_BEFORE_PROOF || w.home.over(TERMS, NOW);
    if (w.home.state() == LoanOut.State.RECALLED && proof) {
      to.accept(w.home(w.home.closed()));
    }
    if (w.home.state() == LoanOut.State.SETTLED) {
      to.accept(
          new World(
              w.home, w.older, true, w.guest, w.kept, w.onGuest, w.lease, w.channel, w.ticks));
    }
  }

  private void guestActs(World w, Consumer<World> to) {
    LoanIn guest = w.guest;
    if (guest.wantsLeave()) {
      to.accept(w.guest(guest.ask(NOW), w.kept).send("ask", Optional.of(NOW)));
    }
    // It answers its worker: with leave the task starts or goes on, without it ends.
    if (guest.mayRun(NOW)) {
      to.accept(w.guest(guest.started(NOW), w.kept).worker(true));
    } else {
      to.accept(w.guest(guest.confirmedAbsent(NOW), w.kept).worker(false));
    }
    if (guest.mayClose()) {
      to.accept(w.guest(guest.closed(), "closed").send("closed", Optional.empty()));
    }
  }

  private void arrives(World w, Message message, Consumer<World> to) {
    switch (message.kind()) {
      case "offer" -> {
        if (w.kept.equals("nothing")) {
          to.accept(w.guest(LoanIn.kept(), "loan").send("accept", Optional.empty()));
          to.accept(w.send("refuse", Optional.empty()));
        } else if (w.kept.equals("closed")) {
          to.accept(w.send("closed", Optional.empty()));
        }
      }
      case "accept" -> to.accept(w.home(w.home.accepted()));
      case "refuse" -> to.accept(w.home(w.home.recalled()));
      case "closed" -> to.accept(w.home(w.home.closed()));
      case "recall" -> {
        if (w.guest != null) {
          to.accept(w.guest(w.guest.recalled(), w.kept));
        }
      }
      case "ask" -> {
        if (w.home.givesLeave()) {
          to.accept(w.home(w.home.asked(NOW)).send("leave", message.asked()));
        }
        if (w.older > 0) {
          // The older leader answers, and the present one does not know.
          to.accept(w.send("leave", message.asked()));
        }
      }
      case "leave" -> {
        if (w.guest != null && message.asked().isPresent()) {
          LoanIn next = w.guest.leave(message.asked().get(), TERMS);
          if (fault == Fault.COUNTS_FROM_ARRIVAL && next != w.guest) {
            next =
                new LoanIn(
                    next.state(),
                    next.asked(),
                    Optional.of(NOW.plus(TERMS.leave().minusClockDrift())),
                    next.absent());
          }
          to.accept(w.guest(next, w.kept));
        }
      }
      default -> throw new IllegalStateException(message.kind());
    }
  }

  /** Returns how many states there are, or none if one of them has two owners. */
  private Optional<Integer> explore() {
    World first =
        new World(
            LoanOut.offered(), 0, false, null, "nothing", false, LEASE_TICKS, new TreeSet<>(), 0);
    Set<World> seen = new HashSet<>(Set.of(first));
    Deque<World> open = new ArrayDeque<>(Set.of(first));
    boolean[] broken = new boolean[1];
    while (!open.isEmpty() && !broken[0]) {
      next(
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
  void aTaskHasOneOwner() {
    Optional<Integer> states = explore();
    assertThat(states).as("a task is on machines in both cells").isPresent();
    System.out.println("states of a loan visited: " + states.get());
    assertThat(states.get()).isGreaterThan(FEWEST_STATES);
  }

  @Test
  void findsWhatIsWrong() {
    for (Fault each : Fault.values()) {
      if (each != Fault.NONE) {
        LoanExplorationTest faulty = new LoanExplorationTest();
        faulty.fault = each;
        assertThat(faulty.explore()).as(each.name()).isEmpty();
      }
    }
  }
}
