package org.oakwalk.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Runs that were sent to a machine and may still be executed, by what carried them. */
final class OpenRuns {
  private final Set<Machine.Try> inResponse = new HashSet<>();
  private final Map<Machine.Try, Integer> inCommand = new HashMap<>();

  void clear() {
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

  boolean contains(Machine.Try attempt) {
    return inResponse.contains(attempt) || inCommand.containsKey(attempt);
  }
}
