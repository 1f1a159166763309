import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack to and from maps, lists, texts, numbers, booleans and null. */
final class Pack {
  private Pack() {}

  static byte[] encode(Object value) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, value);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(MessagePacker packer, Object value) throws IOException {
    if (value == null) {
      packer.packNil();
    } else if (value instanceof String text) {
      packer.packString(text);
    } else if (value instanceof Boolean flag) {
      packer.packBoolean(flag);
    } else if (value instanceof Double || value instanceof Float) {
      packer.packDouble(((Number) value).doubleValue());
    } else if (value instanceof java.math.BigInteger big) {
      packer.packBigInteger(big);
    } else if (value instanceof Number number) {
      packer.packLong(number.longValue());
    } else if (value instanceof Map<?, ?> map) {
      packer.packMapHeader(map.size());
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        packer.packString((String) entry.getKey());
        write(packer, entry.getValue());
      }
    } else if (value instanceof List<?> list) {
      packer.packArrayHeader(list.size());
      for (Object item : list) {
        write(packer, item);
      }
    } else {
      throw new IllegalArgumentException("no MessagePack for " + value.getClass());
    }
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return (Map<String, Object>) read(unpacker);
    } catch (IOException | RuntimeException e) {
      return null;
    }
  }

  private static Object read(MessageUnpacker unpacker) throws IOException {
    switch (unpacker.getNextFormat().getValueType()) {
      case NIL -> {
        unpacker.unpackNil();
        return null;
      }
      case BOOLEAN -> {
        return unpacker.unpackBoolean();
      }
      case INTEGER -> {
        return unpacker.unpackLong();
      }
      case FLOAT -> {
        return unpacker.unpackDouble();
      }
      case STRING -> {
        return unpacker.unpackString();
      }
      case ARRAY -> {
        int size = unpacker.unpackArrayHeader();
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
          list.add(read(unpacker));
        }
        return list;
      }
      case MAP -> {
        int size = unpacker.unpackMapHeader();
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
          map.put((String) read(unpacker), read(unpacker));
        }
        return map;
      }
      default -> throw new IOException("type is not in the protocol");
    }
  }

  /** Builds a map from alternating names and values. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static long number(Map<String, Object> map, String name, long otherwise) {
    return map.get(name) instanceof Number number ? number.longValue() : otherwise;
  }

  static double amount(Map<String, Object> map, String name) {
    return map.get(name) instanceof Number number ? number.doubleValue() : 0;
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> maps(Map<String, Object> map, String name) {
    return map.get(name) instanceof List<?> list ? (List<Map<String, Object>>) (List<?>) list : List.of();
  }
}
