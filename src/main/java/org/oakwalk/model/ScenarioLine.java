package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A parsed scenario line: positional words, and settings of the form {@code name=value}. */
final class ScenarioLine {
  private final String line;
  private final int number;
  private final List<String> words = new ArrayList<>();
  private final Map<String, String> settings = new HashMap<>();

  ScenarioLine(String line, int number) {
    this.line = line;
    this.number = number;
    for (String word : line.trim().split("\\s+")) {
      int equals = word.indexOf('=');
      if (equals > 0) {
        settings.put(word.substring(0, equals), word.substring(equals + 1));
      } else {
        words.add(word);
      }
    }
  }

  /** Returns the line number in the scenario file, from 1; 0 for a generated line. */
  int number() {
    return number;
  }

  /** Returns true if a line with {@code every} repeats an action, not a series of jobs. */
  boolean repeatsAction() {
    return !word(4).matches("[0-9]+");
  }

  /** Converts {@code every GAP FROM UNTIL ACTION ...} to {@code at SECONDS ACTION ...}. */
  ScenarioLine actionAt(double seconds) {
    String action = line.trim().split("\\s+", 5)[4];
    return new ScenarioLine("at " + seconds + " " + action, number);
  }

  String word(int index) {
    if (index >= words.size()) {
      throw new IllegalArgumentException("missing word " + index + " in line: " + line);
    }
    return words.get(index);
  }

  /** Returns the positional words from an index on, joined by spaces. */
  String wordsFrom(int index) {
    return String.join(" ", words.subList(Math.min(index, words.size()), words.size()));
  }

  int size() {
    return words.size();
  }

  boolean hasWord(String word) {
    return words.contains(word);
  }

  double number(int index) {
    return Double.parseDouble(word(index));
  }

  String text(String name, String defaultValue) {
    return settings.getOrDefault(name, defaultValue);
  }

  double number(String name, double defaultValue) {
    return settings.containsKey(name) ? Double.parseDouble(settings.get(name)) : defaultValue;
  }

  @Override
  public String toString() {
    return line;
  }
}
