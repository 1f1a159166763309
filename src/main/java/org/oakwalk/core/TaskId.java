package org.oakwalk.core;

import java.util.Optional;

/** One task of a job, numbered from 0. */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {

  /** Parses a task id such as {@code j-000412/3}; empty if the text is malformed. */
  public static Optional<TaskId> parse(String text) {
    int slash = text == null ? -1 : text.indexOf('/');
    if (slash <= 0 || text.length() - slash > 8 || !JobId.isWellFormed(text.substring(0, slash))) {
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

  // Called for each task of each report; the generated record methods are several times slower.
  @Override
  public int hashCode() {
    return 31 * job.value().hashCode() + index;
  }

  @Override
  public boolean equals(Object other) {
    return this == other
        || other instanceof TaskId task
            && index == task.index
            && job.value().equals(task.job.value());
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
