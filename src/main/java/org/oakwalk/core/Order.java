package org.oakwalk.core;

/** A command to a worker. All of them may be repeated. */
public sealed interface Order {
  TaskId task();

  Attempt attempt();

  /** Start a task. */
  record Run(TaskId task, Attempt attempt) implements Order {}

  /** Stop a task, with time to save its progress if it can. */
  record Halt(TaskId task, Attempt attempt, Span grace) implements Order {}

  /** Remove an ended task from the reports. */
  record Clear(TaskId task, Attempt attempt) implements Order {}
}
