package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells broken machines from those that are out of reach, and from this node's own trouble. */
public final class MachineFailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(MachineFailureDetector.class);
  private static final Span MIN_BILLED_TIME = Span.seconds(60);
  private static final Span CONFIRMATION_TIMEOUT = Span.seconds(4);

  /** As above once nearly all others have confirmed; one lost packet costs a second of it. */
  private static final Span FINAL_CONFIRMATION_TIMEOUT = Span.seconds(2);

  /** While others still confirm, a busy leader may merely not have come to the last ones. */
  private static final Span NO_CONFIRMATION_PERIOD = Span.millis(900);

  private static final double OVERDUE_SHARE = 0.7;

  /** How long a machine may take to find out that it still can't reach the leader itself. */
  private static final Span DIRECT_ATTEMPT_TIME = Span.seconds(7);

  /** Silent machines are asked by command about so often, in terms of what makes them silent. */
  private static final double PROBE_INTERVAL_FACTOR = 3;

  private static final int MIN_MACHINES_TO_JUDGE = 3;
  private static final double CUT_OFF_SHARE = 0.75;

  private final Fleet fleet;
  private final BootTracker bootTracker;
  private final Policy.Capacity policy;
  private final Span suspectAfter;
  private int knownMachines;
  private int unreachedMachines;
  private int commandOnlyMachines;
  private int previousUnconfirmed;
  private Moment lastConfirmation = new Moment(Long.MIN_VALUE / 2);
  private Moment lastMassSilence = new Moment(Long.MIN_VALUE / 2);
  private Moment lastProcessStall = new Moment(Long.MIN_VALUE / 2);

  MachineFailureDetector(
      Fleet fleet, BootTracker boots, Policy.Capacity policy, Span suspectAfter) {
    this.fleet = fleet;
    this.bootTracker = boots;
    this.policy = policy;
    this.suspectAfter = suspectAfter;
  }

  /**
   * This process stood still until now: what came in meanwhile has not been read, so for a while no
   * machine is taken for silent and no boot for late.
   */
  public void processStalled(Moment now) {
    lastMassSilence = now;
    lastProcessStall = now;
  }

  /**
   * Finds what doesn't work: silent machines, boots that never end, machines that fail tasks.
   *
   * @param giveBack takes each machine that is to be returned
   */
  void checkMachines(Moment now, Consumer<Machine> giveBack) {
    List<Machine> silent = new ArrayList<>();
    List<Machine> unanswered = new ArrayList<>();
    int up = 0;
    int lapsed = 0;
    int unconfirmed = 0;
    int quiet = 0;
    unreachedMachines = 0;
    commandOnlyMachines = 0;
    for (Machine machine : List.copyOf(fleet.machines())) {
      machine
          .takeBoot()
          .ifPresent(
              took ->
                  bootTracker.recordSuccess(
                      BootTracker.MachinePool.of(machine), machine.type(), took));
      switch (machine.state()) {
        case BOOTING -> {
          if (isSilenceReliable(now)
              && now.past(
                  machine.known(),
                  bootTracker.bootTimeout(BootTracker.MachinePool.of(machine), machine.type()))) {
            LOG.info("machine {} never came up", machine.id());
            if (!machine.listedAsUp()) {
              bootTracker.recordFailure(BootTracker.MachinePool.of(machine), machine.type(), now);
            }
            giveBack.accept(machine);
          }
        }
        case UP -> {
          up++;
          unreachedMachines += isUnreached(machine, now) ? 1 : 0;
          commandOnlyMachines += answersCommandsOnly(machine, now) ? 1 : 0;
          // Reports come at their own times, so of machines that a cut takes all at once some seem
          // silent well before the others; who is overdue already counts as well.
          quiet += now.past(machine.heard(), suspectAfter.times(OVERDUE_SHARE)) ? 1 : 0;
          if (now.past(machine.heard(), silenceTimeout(machine))) {
            silent.add(machine);
          } else if (isUnfit(machine) && !machine.duty().endsWhenEmpty()) {
            LOG.info(
                "machine {} {} and is left out",
                machine.id(),
                machine.slow() ? "is slow" : "fails its tasks");
            machine.duty(Duty.UNFIT);
          }
          if (machine.duty().endsWhenEmpty()
              && machine.idle()
              && (machine.duty() == Duty.CORDONED || now.past(machine.known(), MIN_BILLED_TIME))) {
            giveBack.accept(machine);
          }
        }
        case LAPSED -> {
          lapsed++;
          unreachedMachines += isUnreached(machine, now) ? 1 : 0;
          commandOnlyMachines += answersCommandsOnly(machine, now) ? 1 : 0;
          quiet++;
          silent.add(machine);
        }
        case UNCONFIRMED -> {
          unconfirmed++;
          if (machine.returnable() && now.past(machine.known(), CONFIRMATION_TIMEOUT)) {
            quiet++;
            silent.add(machine);
          } else if (machine.returnable()
              && now.past(machine.known(), FINAL_CONFIRMATION_TIMEOUT)) {
            unanswered.add(machine);
          }
        }
        case ENROLLING, RETURNING, GONE -> {}
      }
    }
    // Many silent machines at once are out of reach rather than broken. They are left alone, also
    // when their leases have run out, since they come back when the network does.
    knownMachines = up + lapsed;
    int many = Math.max(2, (knownMachines + unconfirmed) / 6);
    if (quiet > many) {
      lastMassSilence = now;
    }
    if (unconfirmed != previousUnconfirmed) {
      previousUnconfirmed = unconfirmed;
      lastConfirmation = now;
    }
    if (unconfirmed <= many
        && unconfirmed < knownMachines
        && now.past(lastConfirmation, NO_CONFIRMATION_PERIOD)) {
      silent.addAll(unanswered);
    }
    // When the network is back they report one after the other: the last few are not broken either.
    if (isSilenceReliable(now)) {
      for (Machine machine : silent) {
        // One machine that does not answer a new leader holds up all older jobs.
        if (machine.state() == Machine.State.UNCONFIRMED
            || now.past(machine.heard(), policy.suspectAfter())) {
          LOG.info("machine {} is silent, {} tasks", machine.id(), machine.placements().size());
          giveBack.accept(machine);
        }
      }
    }
  }

  private boolean isUnreached(Machine machine, Moment now) {
    return machine.carried() || now.past(machine.heard(), suspectAfter);
  }

  /** Whether it has ceased to report, but answers commands. */
  private boolean answersCommandsOnly(Machine machine, Moment now) {
    return now.past(machine.heard(), suspectAfter)
        && machine.commanded().past(machine.heard(), suspectAfter)
        && !now.past(machine.commanded(), suspectAfter.times(PROBE_INTERVAL_FACTOR));
  }

  /** A machine that can't reach this node is off trying to now and then. */
  private Span silenceTimeout(Machine machine) {
    return machine.carried() ? suspectAfter.plus(DIRECT_ATTEMPT_TIME) : suspectAfter;
  }

  /**
   * Whether at the last survey hardly any machine reached this node, though there are some: it is
   * cut off from them.
   *
   * @param wouldCarry whether others hear this node, so that they would carry the reports of
   *     workers that reach them. A machine that answers commands, and that nobody carries for,
   *     reaches none of them: the next leader would be as blind
   */
  public boolean isCutOff(boolean wouldCarry, Moment now) {
    return knownMachines >= MIN_MACHINES_TO_JUDGE
        && unreachedMachines - (wouldCarry ? commandOnlyMachines : 0)
            >= knownMachines * CUT_OFF_SHARE
        && hasSettledSince(lastProcessStall, now);
  }

  private boolean hasSettledSince(Moment trouble, Moment now) {
    return now.past(trouble, suspectAfter.plus(policy.suspectAfter()));
  }

  /** Whether silence tells anything: not when many were silent at once a short time ago. */
  public boolean isSilenceReliable(Moment now) {
    return hasSettledSince(lastMassSilence, now);
  }

  private static boolean isUnfit(Machine machine) {
    return machine.faulty() || machine.slow();
  }
}
