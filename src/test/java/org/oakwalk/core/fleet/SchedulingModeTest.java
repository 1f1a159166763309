package org.oakwalk.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Resources;

/** Covers all transitions between scheduling modes; the table lists the legal ones. */
class SchedulingModeTest {
  @ParameterizedTest
  @CsvSource({
    "ACTIVE,        RETIRING DRAIN_PENDING CORDONED UNFIT RECLAIMED",
    "RETIRING,      ACTIVE DRAIN_PENDING UNFIT RECLAIMED",
    "DRAIN_PENDING, ACTIVE CORDONED UNFIT RECLAIMED",
    "CORDONED,      ACTIVE UNFIT RECLAIMED",
    "UNFIT,         RECLAIMED",
    "RECLAIMED,     ''"
  })
  void onlyLegalTransitionsChangeTheMode(SchedulingMode from, String legal) {
    List<String> allowed = List.of(Optional.ofNullable(legal).orElse("").split(" "));
    for (SchedulingMode to : SchedulingMode.values()) {
      Machine machine = machine(from);
      boolean changes = machine.schedulingMode(to);
      assertThat(changes).as("%s to %s", from, to).isEqualTo(allowed.contains(to.name()));
      assertThat(machine.schedulingMode()).isEqualTo(changes ? to : from);
    }
  }

  private static Machine machine(SchedulingMode mode) {
    MachineType type =
        new MachineType(
            "m", Resources.ofMachine(4, 0, 16), 40, 1, 1, 0.3, TimeSpan.seconds(20), List.of("a"));
    Machine machine =
        new Machine(
            new MachineId("m-1"),
            "",
            type,
            "a",
            false,
            Machine.State.UP,
            new Token(1),
            new MonotonicTime(1_000_000));
    if (mode == SchedulingMode.CORDONED) {
      machine.schedulingMode(SchedulingMode.DRAIN_PENDING);
    }
    machine.schedulingMode(mode);
    return machine;
  }
}
