package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.Span;

/** Reads typed fields out of a map and says by name what is wrong with them. */
final class Fields {
  private static final double LONGEST_SECONDS = 1e9;
  private static final double LARGEST_AMOUNT = 1e9;
  private static final int LONGEST_TEXT = 200;

  private final JsonNode map;

  Fields(JsonNode map) {
    this.map = map;
  }

  static Fields of(JsonNode node) throws BadMessage {
    if (node == null || !node.isObject()) {
      throw new BadMessage("map expected");
    }
    return new Fields(node);
  }

  boolean has(String name) {
    return map.hasNonNull(name);
  }

  JsonNode get(String name) throws BadMessage {
    JsonNode value = map.get(name);
    if (value == null || value.isNull()) {
      throw new BadMessage("field " + name + " is missing");
    }
    return value;
  }

  String text(String name) throws BadMessage {
    JsonNode value = get(name);
    if (!value.isTextual()) {
      throw new BadMessage("field " + name + " is not text");
    }
    return value.textValue();
  }

  /** Text of a length that fits into a stored record. */
  String shortText(String name) throws BadMessage {
    String value = text(name);
    if (value.isEmpty() || value.length() > LONGEST_TEXT) {
      throw new BadMessage("field " + name + " is empty or too long");
    }
    return value;
  }

  Optional<String> optionalText(String name) throws BadMessage {
    return has(name) ? Optional.of(shortText(name)) : Optional.empty();
  }

  boolean flag(String name) throws BadMessage {
    JsonNode value = get(name);
    if (!value.isBoolean()) {
      throw new BadMessage("field " + name + " is not a boolean");
    }
    return value.booleanValue();
  }

  long count(String name, long least, long most) throws BadMessage {
    JsonNode value = get(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new BadMessage("field " + name + " is not an integer");
    }
    long number = value.longValue();
    if (number < least || number > most) {
      throw new BadMessage("field " + name + " is out of range");
    }
    return number;
  }

  long count(String name) throws BadMessage {
    return count(name, 0, Long.MAX_VALUE);
  }

  double amount(String name) throws BadMessage {
    JsonNode value = get(name);
    if (!value.isNumber()) {
      throw new BadMessage("field " + name + " is not a number");
    }
    double number = value.doubleValue();
    if (!(number >= 0 && number <= LARGEST_AMOUNT)) {
      throw new BadMessage("field " + name + " is out of range");
    }
    return number;
  }

  Span seconds(String name) throws BadMessage {
    double seconds = amount(name);
    if (seconds > LONGEST_SECONDS) {
      throw new BadMessage("field " + name + " is out of range");
    }
    return Span.seconds(seconds);
  }

  Optional<Span> optionalSeconds(String name) throws BadMessage {
    return has(name) ? Optional.of(seconds(name)) : Optional.empty();
  }

  List<JsonNode> list(String name) throws BadMessage {
    JsonNode value = get(name);
    if (!value.isArray()) {
      throw new BadMessage("field " + name + " is not a list");
    }
    List<JsonNode> items = new ArrayList<>(value.size());
    value.forEach(items::add);
    return items;
  }

  List<String> texts(String name) throws BadMessage {
    List<String> texts = new ArrayList<>();
    for (JsonNode item : list(name)) {
      if (!item.isTextual()) {
        throw new BadMessage("field " + name + " holds something other than text");
      }
      texts.add(item.textValue());
    }
    return texts;
  }

  Fields map(String name) throws BadMessage {
    return of(get(name));
  }
}
