package org.oakwalk.core.product;

import java.util.Set;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.JobSpec;

/**
 * Room that serving classes may take from batch work and fine-tuning while they need it.
 *
 * @param name tells it from others; letters, digits, dashes
 * @param takerClasses classes of services that may take; all services if empty
 * @param giverClasses classes of arrays and gangs that give, none of the takers; all if empty
 * @param giverTeams teams whose work gives; all if empty
 * @param maxOpenTransfers tasks that may be taken at once and not yet given back
 * @param returnMargin share of what is held by which need must have fallen before room is given
 *     back
 * @param returnDelay how long need must have been below that
 * @param holdTimeout how long room is held for a taker that does not start
 */
public record ExchangeTerms(
    String name,
    Set<String> takerClasses,
    Set<String> giverClasses,
    Set<String> giverTeams,
    int maxOpenTransfers,
    double returnMargin,
    Span returnDelay,
    Span holdTimeout) {

  /** Whether a job's replicas may take. */
  public boolean isTaker(JobSpec spec) {
    return spec.service() && (takerClasses.isEmpty() || takerClasses.contains(spec.jobClass()));
  }

  /** Whether a job's tasks may be taken from. */
  public boolean isGiver(JobSpec spec) {
    return !spec.service()
        && (giverClasses.isEmpty() || giverClasses.contains(spec.jobClass()))
        && (giverTeams.isEmpty() || giverTeams.contains(spec.team()));
  }
}
