package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.planner.GroupKey;
import org.oakwalk.core.planner.PlanRow;

/** Tests the stored format of plan rows, and that rows don't exceed the size that they declare. */
class PlanRowCodecTest {
  private static final long LATE_MILLIS = 4_102_444_800_000L;
  private static final String NAME_WITH_QUOTES = "\"x\"".repeat(20);

  static List<PlanRow> rows() {
    WallTime time = new WallTime(LATE_MILLIS);
    return List.of(
        new PlanRow.WindowRow(
            NAME_WITH_QUOTES, time, time, time, 40, 0.55, 1.0 / 3, 12_345, 36_000),
        new PlanRow.GroupRow(
            NAME_WITH_QUOTES,
            new GroupKey(NAME_WITH_QUOTES, NAME_WITH_QUOTES, -1, 9),
            999_999_999,
            999_999_999,
            time,
            time,
            time,
            2e-3),
        new PlanRow.RunTimeRow(NAME_WITH_QUOTES, Collections.nCopies(40, 999L)),
        new PlanRow.ArrivalRow(
            NAME_WITH_QUOTES,
            NAME_WITH_QUOTES,
            NAME_WITH_QUOTES,
            23,
            LATE_MILLIS,
            1.0 / 3,
            new Resources(1.0 / 3, 1.0 / 3, 1.0 / 3),
            Collections.nCopies(24, LATE_MILLIS)),
        new PlanRow.CapacityRow(
            NAME_WITH_QUOTES, NAME_WITH_QUOTES, true, 1.0 / 3, 1.0 / 3, 1.0 / 3));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void roundTripPreservesRowWithinDeclaredSize(PlanRow row) throws Exception {
    assertThat(SharedRecordCodec.row(FieldReader.ofMap(SharedRecordCodec.row(row)))).isEqualTo(row);
    assertThat(SharedRecordCodec.row(row).toString().length())
        .isLessThanOrEqualTo(row.maxJsonBytes());
    assertThatThrownBy(
            () ->
                SharedRecordCodec.row(
                    FieldReader.ofMap(SharedRecordCodec.row(row).put("k", "of a later form"))))
        .isInstanceOf(MalformedMessageException.class);
  }
}
