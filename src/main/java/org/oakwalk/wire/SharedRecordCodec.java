package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoredValue;

/**
 * Encodes and decodes the records that a leader stores for its successors. Each value holds the
 * version of its format, and each row its type tag; a row whose format changes gets a new tag.
 * Records with an unknown version or tag are rejected as a whole rather than read in part, so that
 * only the feature that they belong to is disabled.
 */
final class SharedRecordCodec {
  private static final int FORMAT_VERSION = 1;
  private static final int MAX_PARTS = 10_000;

  /** Encodes and decodes the rows of one feature. */
  interface RowCodec<R extends SharedRow> {
    /** The stored tag of its rows; short, since each row repeats it. */
    String typeTag();

    /** The class of its rows. */
    Class<R> rowClass();

    /** Writes a row's fields to a map, in at most {@link SharedRow#maxJsonBytes} bytes of JSON. */
    void encode(R row, ObjectNode map);

    /** Reads a row from a map that {@link #encode} has written. */
    R decode(FieldReader map) throws MalformedMessageException;
  }

  /** The codecs of all features. */
  private static final List<RowCodec<?>> CODECS =
      List.of(new HeadroomCodec(), new PlanRowCodec(), new CapacityTransferCodec());

  private SharedRecordCodec() {}

  static void encode(StoredValue.SharedHead head, ObjectNode map) {
    map.put("form", FORMAT_VERSION);
    map.put("revision", head.revision());
    map.put("slot", head.slot());
    map.put("parts", head.partCount());
    rows(head.rows(), map);
  }

  static void encode(StoredValue.SharedPart part, ObjectNode map) {
    map.put("form", FORMAT_VERSION);
    map.put("revision", part.revision());
    rows(part.rows(), map);
  }

  private static void rows(List<SharedRow> rows, ObjectNode map) {
    ArrayNode list = map.putArray("rows");
    for (SharedRow row : rows) {
      list.add(row(row));
    }
  }

  /** Encodes a row with its type tag. */
  static ObjectNode row(SharedRow row) {
    for (RowCodec<?> codec : CODECS) {
      if (codec.rowClass().isInstance(row)) {
        return row(codec, row);
      }
    }
    throw new IllegalArgumentException("no codec for rows of " + row.getClass());
  }

  private static <R extends SharedRow> ObjectNode row(RowCodec<R> codec, SharedRow row) {
    ObjectNode item = BinaryEncoding.newMap();
    item.put("t", codec.typeTag());
    codec.encode(codec.rowClass().cast(row), item);
    return item;
  }

  static StoredValue.SharedHead head(FieldReader map) throws MalformedMessageException {
    checkFormat(map, FORMAT_VERSION);
    return new StoredValue.SharedHead(
        map.count("revision"),
        (int) map.count("slot", 0, 1),
        (int) map.count("parts", 0, MAX_PARTS),
        rows(map));
  }

  static StoredValue.SharedPart part(FieldReader map) throws MalformedMessageException {
    checkFormat(map, FORMAT_VERSION);
    return new StoredValue.SharedPart(map.count("revision"), rows(map));
  }

  private static List<SharedRow> rows(FieldReader map) throws MalformedMessageException {
    List<SharedRow> rows = new ArrayList<>();
    for (JsonNode item : map.list("rows")) {
      rows.add(row(FieldReader.ofMap(item)));
    }
    return rows;
  }

  /** Decodes a row by its type tag. */
  static SharedRow row(FieldReader map) throws MalformedMessageException {
    String sort = map.text("t");
    for (RowCodec<?> codec : CODECS) {
      if (codec.typeTag().equals(sort)) {
        return codec.decode(map);
      }
    }
    throw new MalformedMessageException("unknown row type " + sort);
  }

  /** Rejects a record whose format version is not the known one. */
  static void checkFormat(FieldReader map, int known) throws MalformedMessageException {
    if (map.count("form") != known) {
      throw new MalformedMessageException(
          "unsupported format version " + map.count("form") + ", expected " + known);
    }
  }
}
