package org.oakwalk.core.shared;

/**
 * One line of a record that leaders keep for their successors. Rows are about groups and machines,
 * never about single tasks, so that the size of a record does not grow with the work.
 */
public interface SharedRow {
  /** What a row without long names takes at most. */
  int SHORT_ROW_BYTES = 256;

  /** Bytes that it takes in the store, as JSON; never too few. */
  default int maxJsonBytes() {
    return SHORT_ROW_BYTES;
  }

  /** Bytes that a text takes in JSON at most, its quotes and a comma included. */
  static int maxJsonBytes(String text) {
    int bytes = 3;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      bytes += c < ' ' ? 6 : c == '"' || c == '\\' ? 2 : c < 128 ? 1 : 3;
    }
    return bytes;
  }
}
