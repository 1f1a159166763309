package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.drain.DrainPlan;
import org.oakwalk.core.store.StoredValue;

/** Tests the stored format of drain plans and of counts of granted stops. */
class DrainCodecTest {
  private static final int MIN_VALUE_LIMIT_BYTES = 4096;

  private static StoredValue.DrainRecord record(Set<String> machines) {
    DrainPlan plan =
        new DrainPlan(
            "new-image",
            7,
            DrainPlan.Status.PAUSED,
            Set.of("a"),
            Set.of(),
            Optional.of(true),
            machines,
            DrainPlan.DrainMode.RETURN,
            0.25,
            40,
            TimeSpan.seconds(5),
            TimeSpan.seconds(120),
            TimeSpan.seconds(5),
            TimeSpan.seconds(15));
    return new StoredValue.DrainRecord(plan, new MachineId("host-000967"), 583);
  }

  @Test
  void roundTripPreservesRecords() throws Exception {
    StoredValue.DrainRecord plan = record(Set.of("host-000001"));
    assertThat(StateServiceCodec.value(new FieldReader(StateServiceCodec.value(plan))))
        .isEqualTo(plan);
    StoredValue.StopsRecord stops =
        new StoredValue.StopsRecord(
            Map.of(
                "crew.search",
                new StoredValue.StopCounts(3, Map.of(5_900_000L, 12, 5_900_001L, 1))));
    assertThat(StateServiceCodec.value(new FieldReader(StateServiceCodec.value(stops))))
        .isEqualTo(stops);
  }

  /** A state service may limit values to 4 KiB, measured as JSON. */
  @Test
  void largestRecordsFitIntoValueLimit() {
    Set<String> machines = new LinkedHashSet<>();
    IntStream.range(0, 100).forEach(i -> machines.add("host-" + (1_000_000 + i)));
    assertThat(StateServiceCodec.value(record(machines)).toString().length())
        .isLessThan(MIN_VALUE_LIMIT_BYTES);
    Map<String, StoredValue.StopCounts> budgets = new TreeMap<>();
    for (int i = 0; i < 16; i++) {
      Map<Long, Integer> times = new TreeMap<>();
      IntStream.range(0, 13).forEach(t -> times.put(5_900_000L + t, 9999));
      budgets.put("team-number-" + i, new StoredValue.StopCounts(9999, times));
    }
    assertThat(StateServiceCodec.value(new StoredValue.StopsRecord(budgets)).toString().length())
        .isLessThan(MIN_VALUE_LIMIT_BYTES);
  }

  @ParameterizedTest
  @ValueSource(strings = {"name", "version", "status", "then", "step", "newest", "zones"})
  void damagedRecordsAreRejected(String field) {
    ObjectNode map = StateServiceCodec.value(record(Collections.emptySet()));
    map.putArray(field).add(-1);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
    map.remove(field);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
  }
}
