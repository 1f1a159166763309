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

/** What a take may become. */
class TakeTest {
  private static final WallTime THEN = new WallTime(1000);
  private static final WallTime LATER = new WallTime(2000);

  private static final Map<Take.State, UnaryOperator<Take>> STEPS =
      Map.of(
          Take.State.SAVING,
          Take::stopping,
          Take.State.TAKEN,
          take -> take.taken(new JobId("j-3")),
          Take.State.RETURNING,
          take -> take.returning(LATER),
          Take.State.SETTLED,
          Take::settled);

  private static final Map<Take.State, Set<Take.State>> MAY_BECOME =
      Map.of(
          Take.State.INTENDED,
              EnumSet.of(
                  Take.State.SAVING, Take.State.TAKEN, Take.State.RETURNING, Take.State.SETTLED),
          Take.State.SAVING, EnumSet.of(Take.State.TAKEN, Take.State.RETURNING, Take.State.SETTLED),
          Take.State.TAKEN, EnumSet.of(Take.State.TAKEN, Take.State.RETURNING, Take.State.SETTLED),
          Take.State.RETURNING, EnumSet.of(Take.State.SETTLED),
          Take.State.SETTLED, EnumSet.noneOf(Take.State.class));

  private static Take in(Take.State state) {
    return new Take(
        new TakeId(new Token(7), 3),
        state,
        "serving",
        new JobId("j-1"),
        "tune",
        2,
        new JobId("j-2"),
        new Resources(8, 4, 64),
        new MachineId("host-000001"),
        5,
        THEN);
  }

  @ParameterizedTest
  @EnumSource(Take.State.class)
  void becomesWhatTheTableSaysAndNothingElse(Take.State from) {
    STEPS.forEach(
        (to, step) -> {
          if (MAY_BECOME.get(from).contains(to)) {
            assertThat(step.apply(in(from)).state()).isEqualTo(to);
          } else {
            assertThatThrownBy(() -> step.apply(in(from)))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("7-3 from " + from + " to " + to);
          }
        });
  }

  @Test
  void whoHasTheRoomChangesWithIt() {
    Take taken = in(Take.State.SAVING).taken(new JobId("j-9"));
    assertThat(taken.taker()).isEqualTo(new JobId("j-9"));
    assertThat(taken.giver()).isEqualTo(new JobId("j-1"));
    assertThat(taken.since()).isEqualTo(THEN);
    assertThat(taken.returning(LATER).since()).isEqualTo(LATER);
  }

  @Test
  void standsForAnotherAtTheLowerLevel() {
    Take take = in(Take.State.TAKEN);
    assertThat(take.standingFor(Optional.empty())).isEqualTo(take);
    Take first =
        new Take(
            new TakeId(new Token(7), 1),
            Take.State.RETURNING,
            take.exchange(),
            take.giver(),
            take.giverTeam(),
            take.tasks(),
            take.taker(),
            take.room(),
            take.machine(),
            2,
            THEN);
    assertThat(take.standingFor(Optional.of(first)).level()).isEqualTo(2);
    assertThat(take.standingFor(Optional.of(first)).id()).isEqualTo(take.id());
    assertThat(first.standingFor(Optional.of(take)).level()).isEqualTo(2);
  }

  @Test
  void laterTakesComeLater() {
    TakeId first = new TakeId(new Token(7), 3);
    assertThat(first).isLessThan(new TakeId(new Token(7), 4));
    assertThat(first).isLessThan(new TakeId(new Token(8), 1));
  }
}
