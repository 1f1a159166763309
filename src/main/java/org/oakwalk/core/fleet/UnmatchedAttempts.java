package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.Room;

/** What a machine's last report showed that no placement stands for. */
final class UnmatchedAttempts {
  private final Map<Machine.TaskAttempt, Boolean> uncleared = new LinkedHashMap<>();
  private final Set<TaskId> unclearedTasks = new HashSet<>();
  private final List<Machine.TaskAttempt> orphans = new ArrayList<>();
  private Room orphanRoom = Room.NONE;

  /** Begins to take over the pieces of a new report. */
  void clear() {
    uncleared.clear();
    unclearedTasks.clear();
    orphans.clear();
    orphanRoom = Room.NONE;
  }

  /** An ended attempt is still reported; {@code done} tells whether it completed. */
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

  /** A task that should not be here, and takes this room if that is known. */
  void addOrphan(Machine.TaskAttempt attempt, Room room) {
    orphans.add(attempt);
    orphanRoom = orphanRoom.plus(room);
  }

  List<Machine.TaskAttempt> orphans() {
    return orphans;
  }

  Room orphanRoom() {
    return orphanRoom;
  }
}
