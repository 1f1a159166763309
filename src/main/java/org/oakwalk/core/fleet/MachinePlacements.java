package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.Resources;

/** The placements on one machine, and what follows from all of them together. */
final class MachinePlacements {
  private static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 2);

  private final Map<TaskId, Placement> byTask = new LinkedHashMap<>();
  private Resources used = Resources.NONE;
  private int replicas;
  private MonotonicTime expectedEmptyAt = NEVER;
  private MonotonicTime idleSince;

  /** Creates an empty set of a machine that has been idle since it became known. */
  MachinePlacements(MonotonicTime known) {
    this.idleSince = known;
  }

  void add(Placement placement) {
    byTask.put(placement.task(), placement);
    replicas += placement.job().spec().service() ? 1 : 0;
    expectedEmptyAt = later(expectedEmptyAt, placement.expectedEnd());
    used = used.plus(placement.job().spec().resources());
  }

  /** Removes a placement; returns whether it was there. */
  boolean remove(Placement placement, MonotonicTime now) {
    if (!byTask.remove(placement.task(), placement)) {
      return false;
    }
    replicas -= placement.job().spec().service() ? 1 : 0;
    expectedEmptyAt = NEVER;
    for (Placement left : byTask.values()) {
      expectedEmptyAt = later(expectedEmptyAt, left.expectedEnd());
    }
    used = byTask.isEmpty() ? Resources.NONE : used.minus(placement.job().spec().resources());
    if (byTask.isEmpty()) {
      idleSince = now;
    }
    return true;
  }

  private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
    return other == null || one.isAfter(other) ? one : other;
  }

  Collection<Placement> all() {
    return byTask.values();
  }

  List<Placement> copy() {
    return new ArrayList<>(byTask.values());
  }

  /** The placement of a task, or null. */
  Placement of(TaskId task) {
    return byTask.get(task);
  }

  /** Number of placements of this job's tasks. */
  long countOf(JobId job) {
    return byTask.keySet().stream().filter(task -> task.job().equals(job)).count();
  }

  boolean isEmpty() {
    return byTask.isEmpty();
  }

  /** Room of all placements; a new object whenever it has changed. */
  Resources used() {
    return used;
  }

  boolean anyReplica() {
    return replicas > 0;
  }

  /** When the last task, services apart, is expected to end. */
  MonotonicTime expectedEmptyAt() {
    return expectedEmptyAt;
  }

  /** When the last placement was removed; without any, when the machine became known. */
  MonotonicTime idleSince() {
    return idleSince;
  }
}
