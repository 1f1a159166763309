package org.oakwalk.core.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.job.Resources;

/** What a machine's last report showed that no placement stands for. */
final class Leftovers {
  private final Map<Machine.Try, Boolean> uncleared = new LinkedHashMap<>();
  private final Set<TaskId> unclearedTasks = new HashSet<>();
  private final List<Machine.Try> strays = new ArrayList<>();
  private Resources strayRoom = Resources.NONE;

  /** Begins to take over the pieces of a new report. */
  void clear() {
    uncleared.clear();
    unclearedTasks.clear();
    strays.clear();
    strayRoom = Resources.NONE;
  }

  /** An ended attempt is still reported; {@code done} tells whether it completed. */
  void uncleared(Machine.Try attempt, boolean done) {
    uncleared.put(attempt, done);
    unclearedTasks.add(attempt.task());
  }

  Map<Machine.Try, Boolean> uncleared() {
    return uncleared;
  }

  boolean remembers(TaskId task) {
    return unclearedTasks.contains(task);
  }

  /** A task that should not be here, and takes this room if that is known. */
  void stray(Machine.Try attempt, Resources room) {
    strays.add(attempt);
    strayRoom = strayRoom.plus(room);
  }

  List<Machine.Try> strays() {
    return strays;
  }

  Resources strayRoom() {
    return strayRoom;
  }
}
