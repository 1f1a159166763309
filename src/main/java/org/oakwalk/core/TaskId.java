package org.oakwalk.core;

import java.util.Optional;

/** One task of a job, numbered from 0. */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {

  /** Reads the form {@code j-000412/3}. */
  public static Optional<TaskId> parse(String text) {
    int slash = text == null ? -1 : text.indexOf('/');
    if (slash <= 0 || text.length() - slash > 8 || !JobId.wellFormed(text.substring(0, slash))) {
      return Optional.empty();
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      return index < 0
          ? Optional.empty()
          : Optional.of(new TaskId(new JobId(text.substring(0, slash)), index));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public int compareTo(TaskId other) {
    int byJob = job.compareTo(other.job);
    return byJob != 0 ? byJob : Integer.compare(index, other.index);
  }

  @Override
  public String toString() {
    return job.value() + "/" + index;
  }
}
