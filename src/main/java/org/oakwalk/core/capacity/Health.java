package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.SchedulingMode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells broken machines from those that are out of reach, and from this node's own trouble. */
public final class Health {
  private static final Logger LOG = LoggerFactory.getLogger(Health.class);
  private static final Span PAID_AT_LEAST = Span.seconds(60);
  private static final Span CONFIRMS_WITHIN = Span.seconds(4);

  /** As above once nearly all others have confirmed; one lost packet costs a second of it. */
  private static final Span LAST_CONFIRM_WITHIN = Span.seconds(2);

  /** While others still confirm, a busy leader may merely not have come to the last ones. */
  private static final Span NONE_CONFIRMED_FOR = Span.millis(900);

  private static final double OVERDUE = 0.7;

  /** How long a machine may take to find out that it still can't reach the leader itself. */
  private static final Span ON_ITS_WAY = Span.seconds(7);

  /** Silent machines are asked by command about so often, in terms of what makes them silent. */
  private static final double ASKED_AGAIN = 3;

  private static final int LEAST_TO_JUDGE = 3;
  private static final double NEARLY_ALL = 0.75;

  private final Fleet fleet;
  private final Boots boots;
  private final Policy.CapacityPolicy policy;
  private final Span suspectAfter;
  private int known;
  private int unreached;
  private int answering;
  private int unconfirmedBefore;
  private Moment confirmed = new Moment(Long.MIN_VALUE / 2);
  private Moment manyQuiet = new Moment(Long.MIN_VALUE / 2);
  private Moment stoodStill = new Moment(Long.MIN_VALUE / 2);

  Health(Fleet fleet, Boots boots, Policy.CapacityPolicy policy, Span suspectAfter) {
    this.fleet = fleet;
    this.boots = boots;
    this.policy = policy;
    this.suspectAfter = suspectAfter;
  }

  /**
   * This process stood still until now: what came in meanwhile has not been read, so for a while no
   * machine is taken for silent and no boot for late.
   */
  public void stoodStill(Moment now) {
    manyQuiet = now;
    stoodStill = now;
  }

  /**
   * Finds what doesn't work: silent machines, boots that never end, machines that fail tasks.
   *
   * @param giveBack takes each machine that is to be returned
   */
  void survey(Moment now, Consumer<Machine> giveBack) {
    List<Machine> silent = new ArrayList<>();
    List<Machine> unanswered = new ArrayList<>();
    int up = 0;
    int lapsed = 0;
    int unconfirmed = 0;
    int quiet = 0;
    unreached = 0;
    answering = 0;
    for (Machine machine : List.copyOf(fleet.machines())) {
      machine
          .takeBootTime()
          .ifPresent(took -> boots.came(Boots.Sort.of(machine), machine.type(), took));
      switch (machine.state()) {
        case BOOTING -> {
          if (listens(now)
              && now.isPast(
                  machine.knownSince(),
                  boots.givenUpAfter(Boots.Sort.of(machine), machine.type()))) {
            LOG.info("machine {} never came up", machine.id());
            if (!machine.listedAsRunning()) {
              boots.failed(Boots.Sort.of(machine), machine.type(), now);
            }
            giveBack.accept(machine);
          }
        }
        case UP -> {
          up++;
          unreached += notReached(machine, now) ? 1 : 0;
          answering += answersOnly(machine, now) ? 1 : 0;
          // Reports come at their own times, so of machines that a cut takes all at once some seem
          // silent well before the others; who is overdue already counts as well.
          quiet += now.isPast(machine.lastReportAt(), suspectAfter.times(OVERDUE)) ? 1 : 0;
          if (now.isPast(machine.lastReportAt(), patience(machine))) {
            silent.add(machine);
          } else if (unfit(machine) && !machine.schedulingMode().returnedWhenEmpty()) {
            LOG.info(
                "machine {} {} and is left out",
                machine.id(),
                machine.slow() ? "is slow" : "fails its tasks");
            machine.schedulingMode(SchedulingMode.UNFIT);
          }
          if (machine.schedulingMode().returnedWhenEmpty()
              && machine.idle()
              && (machine.schedulingMode() == SchedulingMode.CORDONED
                  || now.isPast(machine.knownSince(), PAID_AT_LEAST))) {
            giveBack.accept(machine);
          }
        }
        case LEASE_EXPIRED -> {
          lapsed++;
          unreached += notReached(machine, now) ? 1 : 0;
          answering += answersOnly(machine, now) ? 1 : 0;
          quiet++;
          silent.add(machine);
        }
        case UNCONFIRMED -> {
          unconfirmed++;
          if (machine.returnable() && now.isPast(machine.knownSince(), CONFIRMS_WITHIN)) {
            quiet++;
            silent.add(machine);
          } else if (machine.returnable()
              && now.isPast(machine.knownSince(), LAST_CONFIRM_WITHIN)) {
            unanswered.add(machine);
          }
        }
        case REGISTERING, RETURNING, GONE -> {}
      }
    }
    // Many silent machines at once are out of reach rather than broken. They are left alone, also
    // when their leases have run out, since they come back when the network does.
    known = up + lapsed;
    int many = Math.max(2, (known + unconfirmed) / 6);
    if (quiet > many) {
      manyQuiet = now;
    }
    if (unconfirmed != unconfirmedBefore) {
      unconfirmedBefore = unconfirmed;
      confirmed = now;
    }
    if (unconfirmed <= many && unconfirmed < known && now.isPast(confirmed, NONE_CONFIRMED_FOR)) {
      silent.addAll(unanswered);
    }
    // When the network is back they report one after the other: the last few are not broken either.
    if (listens(now)) {
      for (Machine machine : silent) {
        // One machine that does not answer a new leader holds up all older jobs.
        if (machine.state() == Machine.State.UNCONFIRMED
            || now.isPast(machine.lastReportAt(), policy.suspectAfter())) {
          LOG.info("machine {} is silent, {} tasks", machine.id(), machine.placements().size());
          giveBack.accept(machine);
        }
      }
    }
  }

  private boolean notReached(Machine machine, Moment now) {
    return machine.reportForwarded() || now.isPast(machine.lastReportAt(), suspectAfter);
  }

  /** Whether it has ceased to report, but answers commands. */
  private boolean answersOnly(Machine machine, Moment now) {
    return now.isPast(machine.lastReportAt(), suspectAfter)
        && machine.lastCommandReplyAt().isPast(machine.lastReportAt(), suspectAfter)
        && !now.isPast(machine.lastCommandReplyAt(), suspectAfter.times(ASKED_AGAIN));
  }

  /** A machine that can't reach this node is off trying to now and then. */
  private Span patience(Machine machine) {
    return machine.reportForwarded() ? suspectAfter.plus(ON_ITS_WAY) : suspectAfter;
  }

  /**
   * Whether at the last survey hardly any machine reached this node, though there are some: it is
   * cut off from them.
   *
   * @param wouldCarry whether others hear this node, so that they would carry the reports of
   *     workers that reach them. A machine that answers commands, and that nobody carries for,
   *     reaches none of them: the next leader would be as blind
   */
  public boolean blind(boolean wouldCarry, Moment now) {
    return known >= LEAST_TO_JUDGE
        && unreached - (wouldCarry ? answering : 0) >= known * NEARLY_ALL
        && settledSince(stoodStill, now);
  }

  private boolean settledSince(Moment trouble, Moment now) {
    return now.isPast(trouble, suspectAfter.plus(policy.suspectAfter()));
  }

  /** Whether silence tells anything: not when many were silent at once a short time ago. */
  public boolean listens(Moment now) {
    return settledSince(manyQuiet, now);
  }

  private static boolean unfit(Machine machine) {
    return machine.faulty() || machine.slow();
  }
}
