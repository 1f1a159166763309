package org.oakwalk.core.store;

import java.util.BitSet;
import java.util.HexFormat;

/** Converts a set of finished tasks to and from its stored text: one bit per task, in hex. */
public final class DoneBitmap {
  /** Number of tasks in one stored value, which takes 2 KB as text. */
  public static final int TASKS_PER_CHUNK = 8192;

  private DoneBitmap() {}

  /** Returns the set as hexadecimal text. */
  public static String encode(BitSet finished) {
    return HexFormat.of().formatHex(finished.toByteArray());
  }

  /**
   * Parses the text that {@link #encode} returns.
   *
   * @throws IllegalArgumentException if the text is not hexadecimal
   */
  public static BitSet decode(String text) {
    return BitSet.valueOf(HexFormat.of().parseHex(text));
  }
}
