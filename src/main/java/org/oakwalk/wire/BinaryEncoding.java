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

/** Converts JSON trees to bytes and back, in MessagePack and CBOR. */
final class BinaryEncoding {
  private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());
  private static final ObjectMapper CBOR = new CBORMapper();

  private BinaryEncoding() {}

  static ObjectNode newMap() {
    return JsonNodeFactory.instance.objectNode();
  }

  static byte[] encodeMessagePack(JsonNode tree) {
    return write(MESSAGE_PACK, tree);
  }

  static ObjectNode decodeMessagePackMap(byte[] bytes) throws MalformedMessageException {
    rejectBinaryValues(bytes);
    return readMap(MESSAGE_PACK, bytes, "MessagePack");
  }

  /**
   * Rejects binary and extension values, which the protocol doesn't use. The parser allocates the
   * length that a binary value's header claims, so that a message of twenty bytes from any client
   * could exhaust the memory and end the process.
   */
  private static void rejectBinaryValues(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      while (unpacker.hasNext()) {
        switch (unpacker.getNextFormat().getValueType()) {
          case BINARY, EXTENSION -> throw new MalformedMessageException("binary value");
          case ARRAY -> unpacker.unpackArrayHeader();
          case MAP -> unpacker.unpackMapHeader();
          default -> unpacker.skipValue();
        }
      }
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("not MessagePack");
    }
  }

  static byte[] encodeCbor(JsonNode tree) {
    return write(CBOR, tree);
  }

  static ObjectNode decodeCborMap(byte[] bytes) throws MalformedMessageException {
    return readMap(CBOR, bytes, "CBOR");
  }

  private static byte[] write(ObjectMapper mapper, JsonNode tree) {
    try {
      return mapper.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("tree can't be encoded", e);
    }
  }

  private static ObjectNode readMap(ObjectMapper mapper, byte[] bytes, String encoding)
      throws MalformedMessageException {
    JsonNode tree;
    try (JsonParser parser = mapper.createParser(bytes)) {
      tree = mapper.readTree(parser);
      if (!atEnd(parser)) {
        throw new MalformedMessageException("bytes after the end");
      }
    } catch (IOException | RuntimeException e) {
      // The decoders also throw unchecked exceptions on truncated or invalid bytes.
      throw new MalformedMessageException("not " + encoding);
    }
    if (tree instanceof ObjectNode map) {
      return map;
    }
    throw new MalformedMessageException("not a map");
  }

  /**
   * Returns true at the end of the input, which the MessagePack parser reports as {@link
   * JsonEOFException} and the CBOR parser as a missing token.
   */
  private static boolean atEnd(JsonParser parser) throws IOException {
    try {
      return parser.nextToken() == null;
    } catch (JsonEOFException e) {
      return true;
    }
  }
}
