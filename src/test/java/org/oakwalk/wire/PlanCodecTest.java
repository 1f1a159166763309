package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.planner.GroupKey;
import org.oakwalk.core.planner.PlanRow;

class PlanCodecTest {
  private static final long LATE = 4_102_444_800_000L;
  private static final String NAME = "\"x\"".repeat(20);

  static List<PlanRow> rows() {
    WallTime time = new WallTime(LATE);
    return List.of(
        new PlanRow.WindowRow(NAME, time, time, time, 40, 0.55, 1.0 / 3, 12_345, 36_000),
        new PlanRow.GroupRow(
            NAME,
            new GroupKey(NAME, NAME, -1, 9),
            999_999_999,
            999_999_999,
            time,
            time,
            time,
            2e-3),
        new PlanRow.RunTimeRow(NAME, Collections.nCopies(40, 999L)),
        new PlanRow.ArrivalRow(
            NAME,
            NAME,
            NAME,
            23,
            LATE,
            1.0 / 3,
            new Room(1.0 / 3, 1.0 / 3, 1.0 / 3),
            Collections.nCopies(24, LATE)),
        new PlanRow.CapacityRow(NAME, NAME, true, 1.0 / 3, 1.0 / 3, 1.0 / 3));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void comesBackAsItWasAndTakesNoMoreThanItSays(PlanRow row) throws Exception {
    assertThat(SharedCodec.row(Fields.of(SharedCodec.row(row)))).isEqualTo(row);
    assertThat(SharedCodec.row(row).toString().length()).isLessThanOrEqualTo(row.maxJsonBytes());
    assertThatThrownBy(
            () -> SharedCodec.row(Fields.of(SharedCodec.row(row).put("k", "of a later form"))))
        .isInstanceOf(BadMessage.class);
  }
}
