package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A line of a scenario: plain words, and settings of the form {@code name=value}. */
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

  /** Where the line stands in its file, from 1 on; 0 if it was not in one. */
  int number() {
    return number;
  }

  /** Whether a line that begins with {@code every} repeats an action, and is no row of jobs. */
  boolean repeatsAction() {
    return !word(4).matches("[0-9]+");
  }

  /** Of a line {@code every GAP FROM UNTIL ACTION ...}, the line {@code at SECONDS ACTION ...}. */
  ScenarioLine actionAt(double seconds) {
    String action = line.trim().split("\\s+", 5)[4];
    return new ScenarioLine("at " + seconds + " " + action, number);
  }

  String word(int index) {
    if (index >= words.size()) {
      throw new IllegalArgumentException("too short: " + line);
    }
    return words.get(index);
  }

  /** The plain words from this one on, with blanks between. */
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

  String text(String name, String otherwise) {
    return settings.getOrDefault(name, otherwise);
  }

  double number(String name, double otherwise) {
    return settings.containsKey(name) ? Double.parseDouble(settings.get(name)) : otherwise;
  }

  @Override
  public String toString() {
    return line;
  }
}
