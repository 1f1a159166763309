package org.oakwalk.daemon;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** One block of the operators' file; a field that is not known is refused by name. */
final class HclBlock {
  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9-]{1,40}");
  private static final int MAX_TEXT_LENGTH = 200;

  private final Path file;
  private final String label;
  private final Map<?, ?> fields;

  HclBlock(Path file, String name, Map<?, ?> fields, Set<String> known)
      throws InvalidSettingsException {
    this.file = file;
    this.label = name;
    this.fields = fields;
    for (Object field : fields.keySet()) {
      if (!known.contains(field.toString())) {
        throw invalid("unknown field " + field);
      }
    }
  }

  /**
   * All blocks of one kind, by their names. What stands there twice has a list for a value.
   *
   * @param others names that are allowed though they aren't made of letters, digits and dashes
   */
  static Set<Map.Entry<String, Object>> blocksOfKind(
      Path file, Map<String, Object> root, String kind, Set<String> allowedNames)
      throws InvalidSettingsException {
    Object found = root.get(kind);
    if (found == null) {
      return Set.of();
    }
    if (!(found instanceof Map<?, ?> blocks)) {
      throw new InvalidSettingsException(file + ": " + kind + " is not a block with a name");
    }
    for (Map.Entry<?, ?> block : blocks.entrySet()) {
      if (!(block.getValue() instanceof Map) && !(block.getValue() instanceof List)) {
        throw new InvalidSettingsException(file + ": " + kind + " is not a block with a name");
      }
      String name = block.getKey().toString();
      if (!allowedNames.contains(name) && !NAME_PATTERN.matcher(name).matches()) {
        throw new InvalidSettingsException(
            file + ": " + kind + " has a name other than letters, digits and dashes");
      }
    }
    @SuppressWarnings("unchecked")
    Map<String, Object> named = (Map<String, Object>) blocks;
    return named.entrySet();
  }

  /** What kind of block it is, and its name. */
  String label() {
    return label;
  }

  /** An error in this block. */
  InvalidSettingsException invalid(String problem) {
    return new InvalidSettingsException(file + ": " + label + ": " + problem);
  }

  boolean has(String field) {
    return fields.get(field) != null;
  }

  String text(String field) throws InvalidSettingsException {
    Object value = fields.get(field);
    if (value != null && !(value instanceof String)) {
      throw invalid(field + " is not text");
    }
    return (String) value;
  }

  Optional<String> oneOf(String field, Set<String> allowed) throws InvalidSettingsException {
    String value = text(field);
    if (value != null && !allowed.contains(value)) {
      throw invalid(field + " is none of " + String.join(", ", allowed.stream().sorted().toList()));
    }
    return Optional.ofNullable(value);
  }

  Set<String> textSet(String field) throws InvalidSettingsException {
    Object value = fields.get(field);
    if (value == null) {
      return Set.of();
    }
    if (!(value instanceof List<?> list)) {
      throw invalid(field + " is not a list");
    }
    Set<String> texts = new LinkedHashSet<>();
    for (Object item : list) {
      if (!(item instanceof String text) || text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
        throw invalid(field + " holds something other than text");
      }
      texts.add(text);
    }
    return texts;
  }

  double number(String field, double min, double max, double defaultValue)
      throws InvalidSettingsException {
    Object value = fields.get(field);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number number)) {
      throw invalid(field + " is not a number");
    }
    if (!(number.doubleValue() >= min && number.doubleValue() <= max)) {
      throw invalid(field + " is out of range, " + min + " to " + max);
    }
    return number.doubleValue();
  }

  /** A whole number. */
  long integer(String field, long min, long max, long defaultValue)
      throws InvalidSettingsException {
    double value = number(field, min, max, defaultValue);
    if (value != Math.floor(value)) {
      throw invalid(field + " is not a whole number");
    }
    return (long) value;
  }
}
