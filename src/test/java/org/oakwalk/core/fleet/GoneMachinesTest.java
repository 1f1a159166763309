package org.oakwalk.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.oakwalk.core.MachineId;

/** What is remembered of machines that are gone. */
class GoneMachinesTest {
  /** Guards against memory that grows with every machine that was ever returned. */
  @Test
  void onlyTheLastOnesAreRemembered() {
    GoneMachines gone = new GoneMachines();
    for (int i = 0; i <= GoneMachines.MAX_REMEMBERED; i++) {
      gone.add(new MachineId("m-" + i));
    }
    assertThat(gone.contains(new MachineId("m-0"))).isFalse();
    assertThat(gone.contains(new MachineId("m-1"))).isTrue();
    assertThat(gone.contains(new MachineId("m-" + GoneMachines.MAX_REMEMBERED))).isTrue();
  }
}
