package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oakwalk.core.shared.SharedRow;
import org.oakwalk.core.store.StoredValue;

/**
 * The stored form of the records that leaders keep for their successors. Each value says the form
 * of its frame, and each row its sort; a row whose form changes gets a new sort. What this version
 * does not know is refused rather than half read, so that one feature stops and not all.
 */
final class SharedRecordCodec {
  private static final int FORMAT_VERSION = 1;
  private static final int MAX_PARTS = 10_000;

  /** The rows of one feature, in a codec of its own. */
  interface RowCodec<R extends SharedRow> {
    /** What its rows are called where they are stored; short, since it stands in each row. */
    String typeTag();

    /** The class of its rows. */
    Class<R> rowClass();

    /**
     * Puts a row's fields into a map; all of them in at most {@link SharedRow#maxJsonBytes} bytes.
     */
    void encode(R row, ObjectNode map);

    /** Reads what {@link #encode} has put there. */
    R decode(FieldReader map) throws MalformedMessageException;
  }

  /** Every feature adds its own here. */
  private static final List<RowCodec<?>> CODECS =
      List.of(new HeadroomCodec(), new PlanRowCodec(), new TakeCodec());

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

  /** One row as it is stored. */
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
      rows.add(row(FieldReader.of(item)));
    }
    return rows;
  }

  /** A row out of its stored form. */
  static SharedRow row(FieldReader map) throws MalformedMessageException {
    String sort = map.text("t");
    for (RowCodec<?> codec : CODECS) {
      if (codec.typeTag().equals(sort)) {
        return codec.decode(map);
      }
    }
    throw new MalformedMessageException("row of unknown sort " + sort);
  }

  static void checkFormat(FieldReader map, int known) throws MalformedMessageException {
    if (map.count("form") != known) {
      throw new MalformedMessageException(
          "written in form " + map.count("form") + ", this version knows " + known);
    }
  }
}
