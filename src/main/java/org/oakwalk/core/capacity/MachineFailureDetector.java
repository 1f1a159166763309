package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.SchedulingMode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects failed machines, and tells them from unreachable machines and from a stall or
 * disconnection of this node.
 */
public final class MachineFailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(MachineFailureDetector.class);
  private static final TimeSpan MIN_BILLED_TIME = TimeSpan.seconds(60);

  /** Time within which a known machine has to report to a new leader. */
  private static final TimeSpan CONFIRMATION_TIMEOUT = TimeSpan.seconds(4);

  /**
   * Confirmation timeout once nearly all other machines have confirmed. A lost packet can delay a
   * confirmation by one second.
   */
  private static final TimeSpan FINAL_CONFIRMATION_TIMEOUT = TimeSpan.seconds(2);

  /**
   * The shorter timeout applies only after this time without a new confirmation: a busy leader may
   * not have processed the last reports yet.
   */
  private static final TimeSpan NO_CONFIRMATION_PERIOD = TimeSpan.millis(900);

  /** Share of the suspicion timeout after which a machine counts towards mass silence. */
  private static final double OVERDUE_SHARE = 0.7;

  /** Time that a machine may take to find that it still can't reach the leader directly. */
  private static final TimeSpan DIRECT_ATTEMPT_TIME = TimeSpan.seconds(7);

  /** Approximate interval of command probes to silent machines, in suspicion timeouts. */
  private static final double PROBE_INTERVAL_FACTOR = 3;

  private static final int MIN_MACHINES_TO_JUDGE = 3;

  /** Share of unreached machines from which this node counts as cut off. */
  private static final double CUT_OFF_SHARE = 0.75;

  /**
   * Share of the machines that may be excluded because of the outcomes of their tasks, at least one
   * machine. Where more seem to be at fault, their jobs or an image probably are; one of two zones
   * may truly be.
   */
  private static final double MAX_EXCLUDED_SHARE = 0.5;

  private final Fleet fleet;
  private final BootTracker bootTracker;
  private final Policy.CapacityPolicy policy;
  private final TimeSpan suspectAfter;
  private int knownMachines;
  private int unreachedMachines;
  private int commandOnlyMachines;
  private int previousUnconfirmed;
  private int upMachines;
  private int excludedMachines;
  private long judgements;
  private MonotonicTime lastConfirmation = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime lastMassSilence = new MonotonicTime(Long.MIN_VALUE / 2);
  private MonotonicTime lastProcessStall = new MonotonicTime(Long.MIN_VALUE / 2);

  MachineFailureDetector(
      Fleet fleet, BootTracker bootTracker, Policy.CapacityPolicy policy, TimeSpan suspectAfter) {
    this.fleet = fleet;
    this.bootTracker = bootTracker;
    this.policy = policy;
    this.suspectAfter = suspectAfter;
  }

  /**
   * Notes that this process has been stalled until now. Messages that arrived meanwhile have not
   * been read, so for a while no machine is treated as silent and no boot as late.
   */
  public void processStalled(MonotonicTime now) {
    lastMassSilence = now;
    lastProcessStall = now;
  }

  /**
   * Finds silent machines, boots that have timed out, and machines that fail tasks or are slow.
   *
   * @param returnMachine called with each machine that is to be returned
   */
  void checkMachines(MonotonicTime now, Consumer<Machine> returnMachine) {
    List<Machine> silent = new ArrayList<>();
    List<Machine> unanswered = new ArrayList<>();
    int up = 0;
    int expired = 0;
    int unconfirmed = 0;
    int overdue = 0;
    unreachedMachines = 0;
    commandOnlyMachines = 0;
    countExcluded();
    for (Machine machine : List.copyOf(fleet.machines())) {
      machine
          .takeBootTime()
          .ifPresent(
              bootTime ->
                  bootTracker.recordSuccess(
                      BootTracker.RentalPool.of(machine), machine.type(), bootTime));
      switch (machine.state()) {
        case BOOTING -> {
          if (isSilenceReliable(now)
              && now.isPast(
                  machine.knownSince(),
                  bootTracker.bootTimeout(BootTracker.RentalPool.of(machine), machine.type()))) {
            LOG.info(
                "machine {} did not come up within the boot timeout; releasing it", machine.id());
            if (!machine.listedAsRunning()) {
              bootTracker.recordFailure(BootTracker.RentalPool.of(machine), machine.type(), now);
            }
            returnMachine.accept(machine);
          }
        }
        case UP -> {
          up++;
          unreachedMachines += isUnreached(machine, now) ? 1 : 0;
          commandOnlyMachines += answersCommandsOnly(machine, now) ? 1 : 0;
          // Reports are not synchronized, so in a network partition some machines exceed the
          // timeout well before the others; overdue machines therefore count already.
          overdue += now.isPast(machine.lastReportAt(), suspectAfter.times(OVERDUE_SHARE)) ? 1 : 0;
          if (now.isPast(machine.lastReportAt(), silenceTimeout(machine))) {
            silent.add(machine);
          } else if (machine.hasHealthEvidence()) {
            judgeHealth(machine, now);
          }
          if (machine.schedulingMode().returnedWhenEmpty()
              && machine.idle()
              && (machine.schedulingMode() == SchedulingMode.CORDONED
                  || now.isPast(machine.knownSince(), MIN_BILLED_TIME))) {
            returnMachine.accept(machine);
          }
        }
        case LEASE_EXPIRED -> {
          expired++;
          unreachedMachines += isUnreached(machine, now) ? 1 : 0;
          commandOnlyMachines += answersCommandsOnly(machine, now) ? 1 : 0;
          overdue++;
          silent.add(machine);
        }
        case UNCONFIRMED -> {
          unconfirmed++;
          if (machine.returnable() && now.isPast(machine.knownSince(), CONFIRMATION_TIMEOUT)) {
            overdue++;
            silent.add(machine);
          } else if (machine.returnable()
              && now.isPast(machine.knownSince(), FINAL_CONFIRMATION_TIMEOUT)) {
            unanswered.add(machine);
          }
        }
        case REGISTERING, RETURNING, GONE -> {}
      }
    }
    // Many machines that are silent at once are unreachable rather than failed. They are kept, even
    // with expired leases, since they return when the network recovers.
    knownMachines = up + expired;
    int massSilenceLimit = Math.max(2, (knownMachines + unconfirmed) / 6);
    if (overdue > massSilenceLimit) {
      lastMassSilence = now;
    }
    if (unconfirmed != previousUnconfirmed) {
      previousUnconfirmed = unconfirmed;
      lastConfirmation = now;
    }
    if (unconfirmed <= massSilenceLimit
        && unconfirmed < knownMachines
        && now.isPast(lastConfirmation, NO_CONFIRMATION_PERIOD)) {
      silent.addAll(unanswered);
    }
    // After the network recovers, machines report one after another, so the last silent ones have
    // not failed either.
    if (isSilenceReliable(now)) {
      for (Machine machine : silent) {
        // A single machine that does not report to a new leader delays all jobs of earlier terms.
        if (machine.state() == Machine.State.UNCONFIRMED
            || now.isPast(machine.lastReportAt(), policy.suspectAfter())) {
          LOG.info(
              "machine {} is silent; releasing it with {} tasks placed",
              machine.id(),
              machine.placements().size());
          returnMachine.accept(machine);
        }
      }
    }
  }

  /** Returns whether a machine is silent or its reports arrive only through a peer. */
  private boolean isUnreached(Machine machine, MonotonicTime now) {
    return machine.reportForwarded() || now.isPast(machine.lastReportAt(), suspectAfter);
  }

  /** Returns whether a machine has stopped reporting but still answers commands. */
  private boolean answersCommandsOnly(Machine machine, MonotonicTime now) {
    return now.isPast(machine.lastReportAt(), suspectAfter)
        && machine.lastCommandReplyAt().isPast(machine.lastReportAt(), suspectAfter)
        && !now.isPast(machine.lastCommandReplyAt(), suspectAfter.times(PROBE_INTERVAL_FACTOR));
  }

  /**
   * Silence after which a machine counts as silent. One whose reports are forwarded spends
   * additional time on attempts to reach this node directly.
   */
  private TimeSpan silenceTimeout(Machine machine) {
    return machine.reportForwarded() ? suspectAfter.plus(DIRECT_ATTEMPT_TIME) : suspectAfter;
  }

  /**
   * Returns whether this node is cut off from the machines: at the last check it was in contact
   * with hardly any of them.
   *
   * @param peersForward whether peers hear this node, so that they forward the reports of workers
   *     that reach them. A machine that answers commands and whose reports are not forwarded
   *     reaches no peer either, so another leader would be cut off from it as well
   */
  public boolean isCutOff(boolean peersForward, MonotonicTime now) {
    return knownMachines >= MIN_MACHINES_TO_JUDGE
        && unreachedMachines - (peersForward ? commandOnlyMachines : 0)
            >= knownMachines * CUT_OFF_SHARE
        && hasSettledSince(lastProcessStall, now);
  }

  /** Returns whether reports have had time to resume since an incident. */
  private boolean hasSettledSince(MonotonicTime incident, MonotonicTime now) {
    return now.isPast(incident, suspectAfter.plus(policy.suspectAfter()));
  }

  /**
   * Returns whether silence is evidence of a failed machine. It is not if many machines were silent
   * at once recently.
   */
  public boolean isSilenceReliable(MonotonicTime now) {
    return hasSettledSince(lastMassSilence, now);
  }

  private void judgeHealth(Machine machine, MonotonicTime now) {
    SchedulingMode before = machine.schedulingMode();
    boolean mayExclude = excludedMachines < Math.max(1, (int) (upMachines * MAX_EXCLUDED_SHARE));
    judgements++;
    if (!machine.judgeHealth(mayExclude, now) || machine.schedulingMode() == before) {
      return;
    }
    switch (machine.schedulingMode()) {
      case UNFIT -> {
        excludedMachines++;
        LOG.info(
            "machine {} {}; excluding it from placement",
            machine.id(),
            machine.slow() ? "is slow" : "fails its tasks");
      }
      case PROBATION -> LOG.info("machine {} is on probation", machine.id());
      default -> LOG.info("machine {} accepts tasks again", machine.id());
    }
  }

  /** The number of judgements of machines' health so far; used by tests that bound the work. */
  long judgements() {
    return judgements;
  }

  private void countExcluded() {
    upMachines = 0;
    excludedMachines = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.state() == Machine.State.UP) {
        upMachines++;
        excludedMachines += machine.schedulingMode().unfit() ? 1 : 0;
      }
    }
  }
}
