package org.oakwalk.daemon;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** A block of the policy file with typed access to its fields. Unknown fields are rejected. */
final class HclBlock {
  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9-]{1,40}");
  private static final int MAX_TEXT_LENGTH = 200;

  private final Path file;
  private final String label;
  private final Map<?, ?> fields;

  /**
   * Wraps the fields of a block.
   *
   * @param label kind and quoted name of the block, for error messages
   * @throws InvalidSettingsException if the block has a field that is not in {@code knownFields}
   */
  HclBlock(Path file, String label, Map<?, ?> fields, Set<String> knownFields)
      throws InvalidSettingsException {
    this.file = file;
    this.label = label;
    this.fields = fields;
    for (Object field : fields.keySet()) {
      if (!knownFields.contains(field.toString())) {
        throw invalid("unknown field " + field);
      }
    }
  }

  /**
   * Returns all blocks of a kind, keyed by block name. A block that is defined more than once has a
   * list as its value.
   *
   * @param allowedNames names that are accepted although they don't match the name pattern
   */
  static Set<Map.Entry<String, Object>> blocksOfKind(
      Path file, Map<String, Object> root, String kind, Set<String> allowedNames)
      throws InvalidSettingsException {
    Object found = root.get(kind);
    if (found == null) {
      return Set.of();
    }
    if (!(found instanceof Map<?, ?> blocks)) {
      throw new InvalidSettingsException(file + ": " + kind + " must be a block with a name");
    }
    for (Map.Entry<?, ?> block : blocks.entrySet()) {
      if (!(block.getValue() instanceof Map) && !(block.getValue() instanceof List)) {
        throw new InvalidSettingsException(file + ": " + kind + " must be a block with a name");
      }
      String name = block.getKey().toString();
      if (!allowedNames.contains(name) && !NAME_PATTERN.matcher(name).matches()) {
        throw new InvalidSettingsException(
            file + ": " + kind + " names must consist of 1 to 40 letters, digits or dashes");
      }
    }
    @SuppressWarnings("unchecked")
    Map<String, Object> named = (Map<String, Object>) blocks;
    return named.entrySet();
  }

  /** Returns the kind and the quoted name of the block, as shown in error messages. */
  String label() {
    return label;
  }

  /** Creates an exception for a problem in this block. */
  InvalidSettingsException invalid(String problem) {
    return new InvalidSettingsException(file + ": " + label + ": " + problem);
  }

  boolean has(String field) {
    return fields.get(field) != null;
  }

  /** Returns a string field, or null if the field is absent. */
  String text(String field) throws InvalidSettingsException {
    Object value = fields.get(field);
    if (value != null && !(value instanceof String)) {
      throw invalid(field + " is not a string");
    }
    return (String) value;
  }

  /** Returns a string field that must have one of the allowed values, if present. */
  Optional<String> oneOf(String field, Set<String> allowed) throws InvalidSettingsException {
    String value = text(field);
    if (value != null && !allowed.contains(value)) {
      throw invalid(
          field + " must be one of " + String.join(", ", allowed.stream().sorted().toList()));
    }
    return Optional.ofNullable(value);
  }

  /** Returns a list of strings without duplicates; empty if the field is absent. */
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
        throw invalid(
            field + " must contain only strings of 1 to " + MAX_TEXT_LENGTH + " characters");
      }
      texts.add(text);
    }
    return texts;
  }

  /** Returns a numeric field, or the default value if the field is absent. */
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

  /** Returns an integer field, or the default value if the field is absent. */
  long integer(String field, long min, long max, long defaultValue)
      throws InvalidSettingsException {
    double value = number(field, min, max, defaultValue);
    if (value != Math.floor(value)) {
      throw invalid(field + " is not an integer");
    }
    return (long) value;
  }
}
