package org.oakwalk.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.Moment;
import org.oakwalk.core.TaskId;

/** Runs that were sent to a machine and may still be executed, by what carried them. */
final class OpenRuns {
  /**
   * How many tasks that were started by command in one session may be kept in the machine's reports
   * at a time. Further ones start with the answers to reports.
   */
  static final int MOST_BY_COMMAND = 100;

  private final Set<Machine.Try> inResponse = new HashSet<>();
  private final Map<Machine.Try, Integer> inCommand = new HashMap<>();

  /**
   * Tasks that were started by command in this session. Such a command may come once more at any
   * time of the session, long after it was answered. It has no effect as long as the worker knows
   * an attempt at the task, so the last one must not be cleared.
   */
  private final Set<TaskId> byCommand = new HashSet<>();

  /** Since when the jobs of such tasks are known to be done. */
  private final Map<TaskId, Moment> over = new HashMap<>();

  void clear() {
    byCommand.clear();
    over.clear();
    inCommand.clear();
    inResponse.clear();
  }

  void sentInResponse(Machine.Try attempt) {
    inResponse.add(attempt);
  }

  /** A new report came by itself, so the last response was executed or dropped. */
  void responseSettled() {
    inResponse.clear();
  }

  void sentByCommand(Machine.Try attempt) {
    byCommand.add(attempt.task());
    inCommand.merge(attempt, 1, Integer::sum);
  }

  /** A command was answered. One that never is stays open until the session ends. */
  void commandSettled(Machine.Try attempt) {
    inCommand.computeIfPresent(attempt, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Whether a command with this run was sent and has not been answered. */
  boolean inCommand(Machine.Try attempt) {
    return inCommand.containsKey(attempt);
  }

  /** Since when it is known that this task's job is done; that is now if it was not known. */
  Moment overSince(TaskId task, Moment now) {
    return over.computeIfAbsent(task, key -> now);
  }

  /** A command that starts this task does no harm any more, whenever it comes. */
  void harmless(TaskId task) {
    byCommand.remove(task);
    over.remove(task);
  }

  /** Whether no more starts may come by command for now. */
  boolean full() {
    return byCommand.size() >= MOST_BY_COMMAND;
  }

  /** Whether this task may be started by command. */
  boolean takesByCommand(TaskId task) {
    return !full() || byCommand.contains(task);
  }

  /** Whether a command that starts this task may come once more. */
  boolean mayRepeat(TaskId task) {
    return byCommand.contains(task);
  }

  /** Whether a run of any attempt at this task may still be executed for the first time. */
  boolean containsAny(TaskId task) {
    return inResponse.stream().anyMatch(attempt -> attempt.task().equals(task))
        || inCommand.keySet().stream().anyMatch(attempt -> attempt.task().equals(task));
  }

  boolean contains(Machine.Try attempt) {
    return inResponse.contains(attempt) || inCommand.containsKey(attempt);
  }
}
