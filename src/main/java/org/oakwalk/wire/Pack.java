package org.oakwalk.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Trees to bytes and back, in the two encodings that go over the network. */
final class Pack {
  private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());
  private static final ObjectMapper CBOR = new CBORMapper();

  private Pack() {}

  static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  static byte[] messagePack(JsonNode tree) {
    return write(MESSAGE_PACK, tree);
  }

  static ObjectNode messagePackMap(byte[] bytes) throws BadMessage {
    refuseBinary(bytes);
    return readMap(MESSAGE_PACK, bytes, "MessagePack");
  }

  /**
   * The protocol has nothing binary, and the parser reserves as much memory for it as its header
   * claims: twenty bytes from anybody would end the process.
   */
  private static void refuseBinary(byte[] bytes) throws BadMessage {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      while (unpacker.hasNext()) {
        switch (unpacker.getNextFormat().getValueType()) {
          case BINARY, EXTENSION -> throw new BadMessage("binary value");
          case ARRAY -> unpacker.unpackArrayHeader();
          case MAP -> unpacker.unpackMapHeader();
          default -> unpacker.skipValue();
        }
      }
    } catch (IOException | RuntimeException e) {
      throw new BadMessage("not MessagePack");
    }
  }

  static byte[] cbor(JsonNode tree) {
    return write(CBOR, tree);
  }

  static ObjectNode cborMap(byte[] bytes) throws BadMessage {
    return readMap(CBOR, bytes, "CBOR");
  }

  private static byte[] write(ObjectMapper mapper, JsonNode tree) {
    try {
      return mapper.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("tree can't be written", e);
    }
  }

  private static ObjectNode readMap(ObjectMapper mapper, byte[] bytes, String encoding)
      throws BadMessage {
    JsonNode tree;
    try (JsonParser parser = mapper.createParser(bytes)) {
      tree = mapper.readTree(parser);
      if (!atEnd(parser)) {
        throw new BadMessage("bytes after the end");
      }
    } catch (IOException | RuntimeException e) {
      // The decoders also throw unchecked exceptions on bytes that are cut short or senseless.
      throw new BadMessage("not " + encoding);
    }
    if (tree instanceof ObjectNode map) {
      return map;
    }
    throw new BadMessage("not a map");
  }

  /** The MessagePack parser reports the regular end as an error of its own, CBOR's as no token. */
  private static boolean atEnd(JsonParser parser) throws IOException {
    try {
      return parser.nextToken() == null;
    } catch (JsonEOFException e) {
      return true;
    }
  }
}
