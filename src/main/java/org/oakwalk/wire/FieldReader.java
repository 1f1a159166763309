package org.oakwalk.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oakwalk.core.TimeSpan;

/** Reads typed fields of a map; errors name the missing or invalid field. */
final class FieldReader {
  private static final double MAX_SECONDS = 1e9;
  private static final double MAX_AMOUNT = 1e9;
  private static final int MAX_TEXT_CHARS = 200;

  private final JsonNode map;

  FieldReader(JsonNode map) {
    this.map = map;
  }

  /** Returns a reader of a node that must be a map. */
  static FieldReader ofMap(JsonNode node) throws MalformedMessageException {
    if (node == null || !node.isObject()) {
      throw new MalformedMessageException("map expected");
    }
    return new FieldReader(node);
  }

  /** Returns true if the field is present and not null. */
  boolean has(String name) {
    return map.hasNonNull(name);
  }

  JsonNode get(String name) throws MalformedMessageException {
    JsonNode value = map.get(name);
    if (value == null || value.isNull()) {
      throw new MalformedMessageException("field " + name + " is missing");
    }
    return value;
  }

  String text(String name) throws MalformedMessageException {
    JsonNode value = get(name);
    if (!value.isTextual()) {
      throw new MalformedMessageException("field " + name + " is not text");
    }
    return value.textValue();
  }

  /** Reads a non-empty text that is short enough for a stored record. */
  String shortText(String name) throws MalformedMessageException {
    String value = text(name);
    if (value.isEmpty() || value.length() > MAX_TEXT_CHARS) {
      throw new MalformedMessageException("field " + name + " is empty or too long");
    }
    return value;
  }

  Optional<String> optionalText(String name) throws MalformedMessageException {
    return has(name) ? Optional.of(shortText(name)) : Optional.empty();
  }

  boolean bool(String name) throws MalformedMessageException {
    JsonNode value = get(name);
    if (!value.isBoolean()) {
      throw new MalformedMessageException("field " + name + " is not a boolean");
    }
    return value.booleanValue();
  }

  /** Reads an integer between {@code min} and {@code max}, both inclusive. */
  long count(String name, long min, long max) throws MalformedMessageException {
    JsonNode value = get(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new MalformedMessageException("field " + name + " is not an integer");
    }
    long number = value.longValue();
    if (number < min || number > max) {
      throw new MalformedMessageException("field " + name + " is out of range");
    }
    return number;
  }

  long count(String name) throws MalformedMessageException {
    return count(name, 0, Long.MAX_VALUE);
  }

  /** Reads a non-negative number of at most {@link #MAX_AMOUNT}. */
  double amount(String name) throws MalformedMessageException {
    JsonNode value = get(name);
    if (!value.isNumber()) {
      throw new MalformedMessageException("field " + name + " is not a number");
    }
    double number = value.doubleValue();
    if (!(number >= 0 && number <= MAX_AMOUNT)) {
      throw new MalformedMessageException("field " + name + " is out of range");
    }
    return number;
  }

  TimeSpan seconds(String name) throws MalformedMessageException {
    double seconds = amount(name);
    if (seconds > MAX_SECONDS) {
      throw new MalformedMessageException("field " + name + " is out of range");
    }
    return TimeSpan.seconds(seconds);
  }

  Optional<TimeSpan> optionalSeconds(String name) throws MalformedMessageException {
    return has(name) ? Optional.of(seconds(name)) : Optional.empty();
  }

  List<JsonNode> list(String name) throws MalformedMessageException {
    JsonNode value = get(name);
    if (!value.isArray()) {
      throw new MalformedMessageException("field " + name + " is not a list");
    }
    List<JsonNode> items = new ArrayList<>(value.size());
    value.forEach(items::add);
    return items;
  }

  List<String> textList(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (JsonNode item : list(name)) {
      if (!item.isTextual()) {
        throw new MalformedMessageException("field " + name + " holds something other than text");
      }
      texts.add(item.textValue());
    }
    return texts;
  }

  /** Returns a reader of a nested map. */
  FieldReader map(String name) throws MalformedMessageException {
    return ofMap(get(name));
  }
}
