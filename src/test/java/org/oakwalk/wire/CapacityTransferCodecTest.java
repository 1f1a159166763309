package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.exchange.CapacityTransfer;
import org.oakwalk.core.exchange.TransferId;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.store.StoredValue;

/** Tests the stored format of capacity transfers. */
class CapacityTransferCodecTest {
  private static CapacityTransfer example() {
    return new CapacityTransfer(
        new TransferId(new Token(Long.MAX_VALUE), Long.MAX_VALUE),
        CapacityTransfer.State.RETURNING,
        "e".repeat(40),
        new JobId("j-" + "1".repeat(18)),
        "\u00e9".repeat(60),
        Integer.MAX_VALUE,
        new JobId("j-" + "2".repeat(18)),
        Resources.ofTask(1.0 / 3, 1e6 / 7, 1e-6 / 7),
        new MachineId("host-" + "3".repeat(60)),
        Integer.MAX_VALUE,
        new WallTime(Long.MAX_VALUE));
  }

  @Test
  void roundTripPreservesRow() throws Exception {
    StoredValue head = new StoredValue.SharedHead(5, 1, 0, List.of(example()));
    byte[] stored = BinaryEncoding.encodeMessagePack(StateServiceCodec.value(head));
    assertThat(
            StateServiceCodec.value(new FieldReader(BinaryEncoding.decodeMessagePackMap(stored))))
        .isEqualTo(head);
  }

  @Test
  void rowFitsDeclaredSize() {
    assertThat(
            SharedRecordCodec.row(example())
                .toString()
                .getBytes(java.nio.charset.StandardCharsets.UTF_8))
        .hasSizeLessThanOrEqualTo(example().maxJsonBytes());
  }

  @ParameterizedTest
  @ValueSource(strings = {"token", "number", "state", "giver", "room", "machine", "level"})
  void damagedRowsAreRejected(String field) {
    ObjectNode map = SharedRecordCodec.row(example());
    String name = field.equals("room") ? "gpus" : field;
    map.putArray(name).add(-1);
    assertThatThrownBy(() -> SharedRecordCodec.row(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
    map.remove(name);
    assertThatThrownBy(() -> SharedRecordCodec.row(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
  }
}
