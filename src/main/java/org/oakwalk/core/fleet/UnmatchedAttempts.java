package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.Resources;

/** Attempts in a machine's last report that are not, or no longer, backed by a placement. */
final class UnmatchedAttempts {
  private final Map<Machine.TaskAttempt, Boolean> uncleared = new LinkedHashMap<>();
  private final Set<TaskId> unclearedTasks = new HashSet<>();
  private final List<Machine.TaskAttempt> orphans = new ArrayList<>();
  private Resources orphanResources = Resources.NONE;

  /** Discards all entries before a new report is processed. */
  void clear() {
    uncleared.clear();
    unclearedTasks.clear();
    orphans.clear();
    orphanResources = Resources.NONE;
  }

  /**
   * Adds an ended attempt that the worker still lists.
   *
   * @param done whether the task completed
   */
  void uncleared(Machine.TaskAttempt attempt, boolean done) {
    uncleared.put(attempt, done);
    unclearedTasks.add(attempt.task());
  }

  Map<Machine.TaskAttempt, Boolean> uncleared() {
    return uncleared;
  }

  boolean hasEnded(TaskId task) {
    return unclearedTasks.contains(task);
  }

  /** Adds an attempt that should not run on the machine, with the room that it occupies. */
  void addOrphan(Machine.TaskAttempt attempt, Resources resources) {
    orphans.add(attempt);
    orphanResources = orphanResources.plus(resources);
  }

  List<Machine.TaskAttempt> orphans() {
    return orphans;
  }

  Resources orphanResources() {
    return orphanResources;
  }
}
