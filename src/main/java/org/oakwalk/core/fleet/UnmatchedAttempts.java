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
  private static final Resources ENDED_ATTEMPT = Resources.ofTaskSlots(1);

  private final Map<Machine.TaskAttempt, Boolean> uncleared = new LinkedHashMap<>();
  private final Set<TaskId> unclearedTasks = new HashSet<>();
  private final List<Machine.TaskAttempt> orphans = new ArrayList<>();
  private Resources orphanResources = Resources.NONE;
  private Resources resources = Resources.NONE;

  /** Discards all entries before a new report is processed. */
  void clear() {
    uncleared.clear();
    unclearedTasks.clear();
    orphans.clear();
    orphanResources = Resources.NONE;
    resources = Resources.NONE;
  }

  /**
   * Adds an ended attempt that the worker still lists.
   *
   * @param done whether the task completed
   */
  void uncleared(Machine.TaskAttempt attempt, boolean done) {
    if (uncleared.put(attempt, done) == null) {
      resources = resources.plus(ENDED_ATTEMPT);
    }
    unclearedTasks.add(attempt.task());
  }

  Map<Machine.TaskAttempt, Boolean> uncleared() {
    return uncleared;
  }

  boolean hasEnded(TaskId task) {
    return unclearedTasks.contains(task);
  }

  /** Adds an attempt that should not run on the machine, with the room that it occupies. */
  void addOrphan(Machine.TaskAttempt attempt, Resources taken) {
    orphans.add(attempt);
    orphanResources = orphanResources.plus(taken);
    resources = resources.plus(taken);
  }

  List<Machine.TaskAttempt> orphans() {
    return orphans;
  }

  Resources orphanResources() {
    return orphanResources;
  }

  /** Room that orphans take, and task slots that ended attempts take. */
  Resources resources() {
    return resources;
  }
}
