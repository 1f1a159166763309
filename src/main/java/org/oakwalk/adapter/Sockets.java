package org.oakwalk.adapter;

import org.oakwalk.core.Span;

/**
 * Shares out the sockets that a node may have open, so that no side can take those of another: the
 * front door (users, workers and health checks), direct commands to workers, and the rest for the
 * other controllers, the state service and the cloud.
 *
 * @param total sockets that the platform allows
 * @param idle how long a connection at the front door may be idle once the door is full
 */
public record Sockets(int total, Span idle) {
  private static final double FRONT = 0.65;
  private static final double COMMANDS = 0.12;

  /** Connections that the front door takes; others wait at it until one closes. */
  int front() {
    return (int) (total * FRONT);
  }

  /** Commands that may be under way at once. */
  int commands() {
    return (int) Math.max(1, total * COMMANDS);
  }

  /** Outgoing connections up to which those to workers are kept open after a command. */
  int kept() {
    return (int) (total * COMMANDS);
  }
}
