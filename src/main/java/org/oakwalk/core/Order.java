package org.oakwalk.core;

/** A command to a worker. Orders are idempotent: they may be sent more than once. */
public sealed interface Order {
  /** The task that the order is about. */
  TaskId task();

  /** The attempt at the task that the order is about. */
  Attempt attempt();

  /** Starts a task. */
  record Run(TaskId task, Attempt attempt) implements Order {}

  /** Stops a task, with a grace period in which it can save its progress. */
  record Halt(TaskId task, Attempt attempt, TimeSpan grace) implements Order {}

  /** Removes an ended task from the worker's reports. */
  record Clear(TaskId task, Attempt attempt) implements Order {}
}
