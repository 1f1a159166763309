package org.oakwalk.core.store;

import java.util.BitSet;
import java.util.HexFormat;

/** Text form of a set of finished tasks. */
public final class DoneBitmap {
  /** Tasks in one stored value: two kilobytes as text. */
  public static final int TASKS_PER_CHUNK = 8192;

  private DoneBitmap() {}

  public static String encode(BitSet part) {
    return HexFormat.of().formatHex(part.toByteArray());
  }

  /** Reads the text form; throws IllegalArgumentException if it is not one. */
  public static BitSet decode(String text) {
    return BitSet.valueOf(HexFormat.of().parseHex(text));
  }
}
