package org.oakwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.product.ProductTerms;
import org.oakwalk.core.store.StoredValue;
import org.oakwalk.daemon.PolicyFile;

/** Tests the stored format of the terms of deadlines ("dawns"), headroom and exchanges. */
class ProductCodecTest {
  private static StoredValue.ProductRecord example() throws Exception {
    ProductTerms terms = PolicyFile.read(Path.of("deploy/product.example.hcl")).product();
    return new StoredValue.ProductRecord(terms);
  }

  @Test
  void roundTripPreservesTerms() throws Exception {
    byte[] stored = BinaryEncoding.encodeMessagePack(StateServiceCodec.value(example()));
    assertThat(
            StateServiceCodec.value(new FieldReader(BinaryEncoding.decodeMessagePackMap(stored))))
        .isEqualTo(example());
  }

  @ParameterizedTest
  @ValueSource(strings = {"form", "version", "dawns", "headrooms", "exchanges"})
  void damagedRecordsAreRejected(String field) throws Exception {
    ObjectNode map = StateServiceCodec.value(example());
    map.putArray(field).add(-1);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
    map.remove(field);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void newerFormatVersionIsRejected() throws Exception {
    ObjectNode map = StateServiceCodec.value(example());
    map.put("form", 2);
    assertThatThrownBy(() -> StateServiceCodec.value(new FieldReader(map)))
        .hasMessage("unsupported format version 2, expected 1");
  }
}
