package org.oakwalk.core.shared;

/**
 * One row of a {@linkplain SharedRecord shared record}. Rows describe groups and machines, never
 * single tasks, so that the size of a record does not grow with the number of tasks.
 */
public interface SharedRow {
  /** Upper bound on the stored size of a row without long names. */
  int SHORT_ROW_BYTES = 256;

  /** Upper bound on the size of this row in the store, in bytes of JSON. */
  default int maxJsonBytes() {
    return SHORT_ROW_BYTES;
  }

  /** Upper bound on the size of a text in JSON, in bytes, with its quotes and a comma. */
  static int maxJsonBytes(String text) {
    int bytes = 3;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      bytes += c < ' ' ? 6 : c == '"' || c == '\\' ? 2 : c < 128 ? 1 : 3;
    }
    return bytes;
  }
}
