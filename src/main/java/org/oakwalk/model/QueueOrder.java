package org.oakwalk.model;

import org.oakwalk.core.Policy;
import org.oakwalk.core.Span;

/** By what order a night is played, so that plans can be compared with doing without. */
public enum QueueOrder {
  /** As the scenario declares it. */
  PLANNED,
  /** The same without dawns: by score alone. */
  SCORE_ONLY,
  /** Without a plan, but each job is due at its dawn, and the earliest due goes first. */
  EARLIEST_DEADLINE;

  /**
   * Weights by which the earliest deadline decides among jobs of ordinary and low priority. Above
   * them priorities stand as far apart as before.
   */
  private static final Policy.Scoring DEADLINE_SCORING =
      new Policy.Scoring(0.0001, 0.01, 0, 0, 0, Span.seconds(60));

  Policy.Scoring scoring(Policy.Scoring usual) {
    return this == EARLIEST_DEADLINE ? DEADLINE_SCORING : usual;
  }
}
