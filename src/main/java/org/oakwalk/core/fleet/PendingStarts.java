package org.oakwalk.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;

/**
 * Starts that were sent to a machine and may still be executed, or executed again, separately for
 * responses to reports and for commands.
 */
final class PendingStarts {
  /**
   * Limits the tasks started by command whose ended attempts the machine may have to keep in its
   * reports. Further tasks start with responses to reports until the machine confirms a higher
   * token.
   */
  static final int MAX_COMMAND_STARTED_TASKS = 100;

  /** Number of unanswered commands that contain one start, and the token of the last of them. */
  private record UnansweredCommands(int count, Token token) {}

  private final Set<Machine.TaskAttempt> inResponse = new HashSet<>();
  private final Map<Machine.TaskAttempt, UnansweredCommands> unansweredCommands = new HashMap<>();

  /**
   * Tasks that were started by command in this session, with the token of the last such command. A
   * duplicate of the command may arrive at any time, long after the reply, unless the session is
   * over or the worker has received a higher token. The duplicate has no effect as long as the
   * worker lists an attempt at the task, so the last attempt must not be cleared.
   */
  private final Map<TaskId, Token> commandStarted = new HashMap<>();

  void clear() {
    commandStarted.clear();
    unansweredCommands.clear();
    inResponse.clear();
  }

  void sentInResponse(Machine.TaskAttempt attempt) {
    inResponse.add(attempt);
  }

  /** An unsolicited report has arrived, so the last response was either executed or dropped. */
  void responseResolved() {
    inResponse.clear();
  }

  /** The worker reports this token, so it rejects commands that were sent under lower tokens. */
  void fenced(Token token) {
    commandStarted.values().removeIf(older -> older.compareTo(token) < 0);
    unansweredCommands.values().removeIf(older -> older.token().compareTo(token) < 0);
  }

  void sentByCommand(Machine.TaskAttempt attempt, Token token) {
    commandStarted.put(attempt.task(), token);
    unansweredCommands.merge(
        attempt,
        new UnansweredCommands(1, token),
        (before, one) -> new UnansweredCommands(before.count() + 1, token));
  }

  /**
   * A command was answered. One that never is remains pending until the session ends or a higher
   * token is confirmed.
   */
  void commandAnswered(Machine.TaskAttempt attempt) {
    unansweredCommands.computeIfPresent(
        attempt,
        (key, open) ->
            open.count() > 1 ? new UnansweredCommands(open.count() - 1, open.token()) : null);
  }

  /** Whether any command with a start was sent and has not been answered. */
  boolean anyCommandUnanswered() {
    return !unansweredCommands.isEmpty();
  }

  /** Whether a command with this start was sent and has not been answered. */
  boolean commandUnanswered(Machine.TaskAttempt attempt) {
    return unansweredCommands.containsKey(attempt);
  }

  /** Number of tasks for which a duplicate of a start command may still arrive. */
  int repeatableCount() {
    return commandStarted.size();
  }

  /** Whether the limit on tasks started by command is reached. */
  boolean full() {
    return commandStarted.size() >= MAX_COMMAND_STARTED_TASKS;
  }

  /** Whether this task may be started by command. */
  boolean allowsCommandStart(TaskId task) {
    return !full() || commandStarted.containsKey(task);
  }

  /** Whether a duplicate of a command that starts this task may still arrive. */
  boolean mayRepeat(TaskId task) {
    return commandStarted.containsKey(task);
  }

  /** Whether a start of any attempt at this task may still be executed for the first time. */
  boolean containsAny(TaskId task) {
    return responsePending(task) || commandUnanswered(task);
  }

  /** Whether the last response starts an attempt at this task and may still be executed. */
  boolean responsePending(TaskId task) {
    return inResponse.stream().anyMatch(attempt -> attempt.task().equals(task));
  }

  /** Whether a command that starts an attempt at this task was sent and has not been answered. */
  boolean commandUnanswered(TaskId task) {
    return unansweredCommands.keySet().stream().anyMatch(attempt -> attempt.task().equals(task));
  }

  boolean contains(Machine.TaskAttempt attempt) {
    return inResponse.contains(attempt) || unansweredCommands.containsKey(attempt);
  }
}
