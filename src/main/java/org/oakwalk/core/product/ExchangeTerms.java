package org.oakwalk.core.product;

import java.util.Set;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;

/**
 * Terms under which services (takers) may take room from batch jobs (givers) while they need it.
 *
 * @param name unique name; letters, digits, dashes
 * @param takerClasses classes of services that may take room; all services if empty
 * @param giverClasses classes of arrays and gangs that give room, none of them a taker class; all
 *     if empty
 * @param giverTeams teams whose jobs give room; all if empty
 * @param maxOpenTransfers the maximum number of transfers that are not yet given back
 * @param returnMargin the share of the held room by which demand must have fallen before room is
 *     given back
 * @param returnDelay how long demand must have been that low
 * @param holdTimeout how long room is reserved for a taker or giver that does not start
 */
public record ExchangeTerms(
    String name,
    Set<String> takerClasses,
    Set<String> giverClasses,
    Set<String> giverTeams,
    int maxOpenTransfers,
    double returnMargin,
    TimeSpan returnDelay,
    TimeSpan holdTimeout) {

  /** Returns whether replicas of a job may take room. */
  public boolean isTaker(JobSpec spec) {
    return spec.service() && (takerClasses.isEmpty() || takerClasses.contains(spec.jobClass()));
  }

  /** Returns whether room may be taken from tasks of a job. */
  public boolean isGiver(JobSpec spec) {
    return !spec.service()
        && (giverClasses.isEmpty() || giverClasses.contains(spec.jobClass()))
        && (giverTeams.isEmpty() || giverTeams.contains(spec.team()));
  }
}
