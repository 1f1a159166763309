package org.oakwalk.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;
import org.oakwalk.core.fleet.Duty;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Picks the machines that are too many, and those of them that are taken back into use. */
final class ScaleDown {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleDown.class);

  private final Fleet fleet;
  private final Policy.Capacity policy;
  private final Span suspectAfter;

  ScaleDown(Fleet fleet, Policy.Capacity policy, Span suspectAfter) {
    this.fleet = fleet;
    this.policy = policy;
    this.suspectAfter = suspectAfter;
  }

  /** Takes machines back into use that were to be returned; returns how many. */
  int reactivate(MachineType type, int count, Moment now) {
    return reactivate(type, machine -> true, count, now);
  }

  /** As above, of ordinary machines. */
  int reactivateOrdinary(MachineType type, int count, Moment now) {
    return reactivate(type, machine -> !machine.spot(), count, now);
  }

  /** As above, of one sort; ordinary ones do as well where spot machines do. */
  int reactivate(BootTracker.MachinePool sort, int count, Moment now) {
    return fleet.machines().stream()
        .map(Machine::type)
        .filter(type -> type.name().equals(sort.type()))
        .findFirst()
        .map(
            type ->
                reactivate(
                    type,
                    machine ->
                        machine.zone().equals(sort.zone()) && (sort.spot() || !machine.spot()),
                    count,
                    now))
        .orElse(0);
  }

  private int reactivate(MachineType type, Predicate<Machine> which, int count, Moment now) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.type().name().equals(type.name())
          && which.test(machine)
          && machine.state() == Machine.State.UP
          && machine.duty() == Duty.RETIRING
          && !now.past(machine.heard(), suspectAfter)) {
        candidates.add(machine);
      }
    }
    // The cheap ones first, then those that would take longest to empty: what is nearly empty goes.
    candidates.sort(
        Comparator.comparing((Machine machine) -> machine.leavesSoon() ? 1 : 0)
            .thenComparingDouble(machine -> type.price(machine.spot()))
            .thenComparing(Machine::emptyBy, Comparator.reverseOrder()));
    List<Machine> kept = candidates.subList(0, Math.min(count, candidates.size()));
    kept.forEach(machine -> machine.duty(Duty.IN_USE));
    return kept.size();
  }

  /**
   * Picks machines that are no longer needed. They get no new tasks and are returned when the last
   * one has ended, since an even load over all machines would otherwise leave none idle.
   */
  void retire(MachineType type, int surplus, int ordinarySurplus, Moment now) {
    int left = surplus - cordonPending(type, surplus);
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.type().name().equals(type.name())
          || machine.state() != Machine.State.UP
          || machine.duty() != Duty.IN_USE) {
        continue;
      }
      if (!machine.hears()) {
        // It is empty as it gets no tasks, not as there are none. It may be one of a whole zone,
        // and
        // those that hear have to do without it meanwhile.
        left--;
      } else if (now.past(machine.known(), policy.idle()) && !machine.holdsReplica()) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparing((Machine machine) -> machine.leavesSoon() ? 0 : 1)
            .thenComparingDouble(machine -> -type.price(machine.spot()))
            .thenComparing(Machine::emptyBy));
    int ordinaryLeft = ordinarySurplus;
    for (Machine machine : candidates) {
      if (left > 0 && (machine.spot() || ordinaryLeft > 0)) {
        left--;
        ordinaryLeft -= machine.spot() ? 0 : 1;
        machine.duty(Duty.RETIRING);
        LOG.info("machine {} is not needed any more", machine.id());
      }
    }
  }

  /** Rather than others, those that a plan has chosen go at once; returns how many. */
  private int cordonPending(MachineType type, int surplus) {
    int gone = 0;
    for (Machine machine : fleet.machines()) {
      if (gone < surplus
          && machine.duty() == Duty.NEXT
          && machine.type().name().equals(type.name())
          && machine.duty(Duty.CORDONED)) {
        gone++;
        LOG.info("machine {} can be done without", machine.id());
      }
    }
    return gone;
  }
}
