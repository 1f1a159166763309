package org.oakwalk.core;

import java.util.regex.Pattern;

/** Id of a job, chosen by its user. */
public record JobId(String value) implements Comparable<JobId> {
  private static final Pattern FORMAT = Pattern.compile("j-[0-9]{1,18}");

  /** Whether a text is a syntactically valid job id. */
  public static boolean isWellFormed(String text) {
    return text != null && FORMAT.matcher(text).matches();
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
