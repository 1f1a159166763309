package org.oakwalk.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.Token;

/** Runs that were sent to a machine and may still be executed, by what carried them. */
final class PendingStarts {
  /**
   * How many tasks that were started by command may be kept in the machine's reports at a time.
   * Further ones start with the answers to reports, until the machine shows a higher token.
   */
  static final int MAX_COMMAND_STARTED_TASKS = 100;

  /** Commands that carry one run and were not answered, and the token of the last one. */
  private record UnansweredCommands(int count, Token token) {}

  private final Set<Machine.TaskAttempt> inResponse = new HashSet<>();
  private final Map<Machine.TaskAttempt, UnansweredCommands> unansweredCommands = new HashMap<>();

  /**
   * Tasks that were started by command in this session, with the token of the last one. Such a
   * command may come once more at any time, long after it was answered, unless the session is over
   * or the worker has seen a higher token. It has no effect as long as the worker knows an attempt
   * at the task, so the last one must not be cleared.
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

  /** A new report came by itself, so the last response was executed or dropped. */
  void responseResolved() {
    inResponse.clear();
  }

  /** The worker refuses from now on what was sent by command under older tokens than this one. */
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

  /** A command was answered. One that never is stays open until the session or its token ends. */
  void commandAnswered(Machine.TaskAttempt attempt) {
    unansweredCommands.computeIfPresent(
        attempt,
        (key, open) ->
            open.count() > 1 ? new UnansweredCommands(open.count() - 1, open.token()) : null);
  }

  /** Whether a command with this run was sent and has not been answered. */
  boolean commandUnanswered(Machine.TaskAttempt attempt) {
    return unansweredCommands.containsKey(attempt);
  }

  /** How many tasks there are of which a command that starts them may come once more. */
  int repeatableCount() {
    return commandStarted.size();
  }

  /** Whether no more starts may come by command for now. */
  boolean full() {
    return commandStarted.size() >= MAX_COMMAND_STARTED_TASKS;
  }

  /** Whether this task may be started by command. */
  boolean allowsCommandStart(TaskId task) {
    return !full() || commandStarted.containsKey(task);
  }

  /** Whether a command that starts this task may come once more. */
  boolean mayRepeat(TaskId task) {
    return commandStarted.containsKey(task);
  }

  /** Whether a run of any attempt at this task may still be executed for the first time. */
  boolean containsAny(TaskId task) {
    return inResponse.stream().anyMatch(attempt -> attempt.task().equals(task))
        || unansweredCommands.keySet().stream().anyMatch(attempt -> attempt.task().equals(task));
  }

  boolean contains(Machine.TaskAttempt attempt) {
    return inResponse.contains(attempt) || unansweredCommands.containsKey(attempt);
  }
}
