package org.oakwalk.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Resources;

/**
 * Guards against illegal state transitions of transfers and against wrong ids and demand levels.
 */
class CapacityTransferTest {
  private static final WallTime INTENDED_AT = new WallTime(1000);
  private static final WallTime RETURNED_AT = new WallTime(2000);

  private static final Map<CapacityTransfer.State, UnaryOperator<CapacityTransfer>> TRANSITIONS =
      Map.of(
          CapacityTransfer.State.SAVING,
          CapacityTransfer::toSaving,
          CapacityTransfer.State.TAKEN,
          transfer -> transfer.toTaken(new JobId("j-3")),
          CapacityTransfer.State.RETURNING,
          transfer -> transfer.toReturning(RETURNED_AT),
          CapacityTransfer.State.SETTLED,
          CapacityTransfer::toSettled);

  private static final Map<CapacityTransfer.State, Set<CapacityTransfer.State>>
      ALLOWED_TRANSITIONS =
          Map.of(
              CapacityTransfer.State.INTENDED,
                  EnumSet.of(
                      CapacityTransfer.State.SAVING,
                      CapacityTransfer.State.TAKEN,
                      CapacityTransfer.State.RETURNING,
                      CapacityTransfer.State.SETTLED),
              CapacityTransfer.State.SAVING,
                  EnumSet.of(
                      CapacityTransfer.State.TAKEN,
                      CapacityTransfer.State.RETURNING,
                      CapacityTransfer.State.SETTLED),
              CapacityTransfer.State.TAKEN,
                  EnumSet.of(
                      CapacityTransfer.State.TAKEN,
                      CapacityTransfer.State.RETURNING,
                      CapacityTransfer.State.SETTLED),
              CapacityTransfer.State.RETURNING, EnumSet.of(CapacityTransfer.State.SETTLED),
              CapacityTransfer.State.SETTLED, EnumSet.noneOf(CapacityTransfer.State.class));

  private static CapacityTransfer inState(CapacityTransfer.State state) {
    return new CapacityTransfer(
        new TransferId(new Token(7), 3),
        state,
        "serving",
        new JobId("j-1"),
        "tune",
        2,
        new JobId("j-2"),
        Resources.ofTask(8, 4, 64),
        new MachineId("host-000001"),
        5,
        INTENDED_AT);
  }

  @ParameterizedTest
  @EnumSource(CapacityTransfer.State.class)
  void allowsOnlyListedTransitions(CapacityTransfer.State from) {
    TRANSITIONS.forEach(
        (to, transition) -> {
          if (ALLOWED_TRANSITIONS.get(from).contains(to)) {
            assertThat(transition.apply(inState(from)).state()).isEqualTo(to);
          } else {
            assertThatThrownBy(() -> transition.apply(inState(from)))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("7-3 from " + from + " to " + to);
          }
        });
  }

  @Test
  void updatesTakerAndReturnTime() {
    CapacityTransfer taken = inState(CapacityTransfer.State.SAVING).toTaken(new JobId("j-9"));
    assertThat(taken.taker()).isEqualTo(new JobId("j-9"));
    assertThat(taken.giver()).isEqualTo(new JobId("j-1"));
    assertThat(taken.since()).isEqualTo(INTENDED_AT);
    assertThat(taken.toReturning(RETURNED_AT).since()).isEqualTo(RETURNED_AT);
  }

  @Test
  void keepsLowerDemandLevelOfReplacedTransfer() {
    CapacityTransfer transfer = inState(CapacityTransfer.State.TAKEN);
    assertThat(transfer.withLowerDemandLevel(Optional.empty())).isEqualTo(transfer);
    CapacityTransfer replaced =
        new CapacityTransfer(
            new TransferId(new Token(7), 1),
            CapacityTransfer.State.RETURNING,
            transfer.exchangeName(),
            transfer.giver(),
            transfer.giverTeam(),
            transfer.stoppedTasks(),
            transfer.taker(),
            transfer.resources(),
            transfer.machine(),
            2,
            INTENDED_AT);
    assertThat(transfer.withLowerDemandLevel(Optional.of(replaced)).demandLevel()).isEqualTo(2);
    assertThat(transfer.withLowerDemandLevel(Optional.of(replaced)).id()).isEqualTo(transfer.id());
    assertThat(replaced.withLowerDemandLevel(Optional.of(transfer)).demandLevel()).isEqualTo(2);
  }

  @Test
  void ordersIdsByTokenThenNumber() {
    TransferId id = new TransferId(new Token(7), 3);
    assertThat(id).isLessThan(new TransferId(new Token(7), 4));
    assertThat(id).isLessThan(new TransferId(new Token(8), 1));
  }
}
