package org.oakwalk.model;

import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;

/** Queue order for a simulation run, so that runs with and without a plan can be compared. */
public enum QueueOrder {
  /** With the plans and deadlines declared by the scenario. */
  PLANNED,
  /** Without planned deadlines: by score alone. */
  SCORE_ONLY,
  /** Without a plan: each job has its planned deadline, and the earliest deadline goes first. */
  EARLIEST_DEADLINE;

  /**
   * Score weights with which the earliest deadline decides among jobs of normal and low priority.
   * Higher priorities keep their distance from these.
   */
  private static final Policy.ScoringPolicy DEADLINE_SCORING =
      new Policy.ScoringPolicy(0.0001, 0.01, 0, 0, 0, TimeSpan.seconds(60));

  Policy.ScoringPolicy scoring(Policy.ScoringPolicy configured) {
    return this == EARLIEST_DEADLINE ? DEADLINE_SCORING : configured;
  }
}
