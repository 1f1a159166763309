package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.headroom.HeadroomRow;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoredValue;

/**
 * Tests the stored format of the records that leaders keep for their successors, and that rows
 * don't exceed the size that they declare; records are divided into values by that size.
 */
class SharedRecordCodecTest {
  private static HeadroomRow row(String name) {
    Map<String, Integer> places = new TreeMap<>();
    for (int i = 0; i < 9; i++) {
      places.put(name + i, Integer.MAX_VALUE);
    }
    return new HeadroomRow(
        new HeadroomRow.HeadroomKey(
            name,
            name,
            name,
            Resources.ofTask(1234567.123456, 0.1, 999999.000001),
            Optional.of(name)),
        Priority.PRODUCTION,
        name,
        123456.789,
        Set.of(name, name + 1),
        true,
        Integer.MAX_VALUE,
        places);
  }

  @Test
  void roundTripPreservesRecords() throws Exception {
    List<SharedRow> rows = List.of(row("a"), row("zone b \" \n č"));
    for (StoredValue value :
        List.of(
            new StoredValue.SharedHead(7, 1, 0, rows),
            new StoredValue.SharedHead(8, 0, 3, List.of()),
            new StoredValue.SharedPart(8, rows))) {
      byte[] stored = BinaryEncoding.encodeMessagePack(StateServiceCodec.value(value));
      assertThat(
              StateServiceCodec.value(new FieldReader(BinaryEncoding.decodeMessagePackMap(stored))))
          .isEqualTo(value);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "a", "a-name-of-some-length", "\"\\\n", "čšž"})
  void rowsFitDeclaredSize(String name) {
    HeadroomRow row = row(name);
    int bytes =
        SharedRecordCodec.row(row)
            .toString()
            .getBytes(java.nio.charset.StandardCharsets.UTF_8)
            .length;
    assertThat(row.maxJsonBytes()).isGreaterThanOrEqualTo(bytes);
  }

  @ParameterizedTest
  @ValueSource(strings = {"form", "revision", "slot", "parts", "rows"})
  void damagedHeadsAreRejected(String field) {
    ObjectNode map =
        StateServiceCodec.value(new StoredValue.SharedHead(7, 1, 0, List.of(row("a"))));
    map.putArray(field).add(-1);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
    map.remove(field);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void unknownRowTypeRejectsWholePart() {
    ObjectNode map = StateServiceCodec.value(new StoredValue.SharedPart(7, List.of(row("a"))));
    ((ObjectNode) map.get("rows").get(0)).put("t", "room2");
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .hasMessage("unknown row type room2");
  }
}
