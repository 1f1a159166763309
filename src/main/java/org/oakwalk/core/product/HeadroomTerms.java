package org.oakwalk.core.product;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.job.JobSpec;

/**
 * Room that is kept for more replicas of live services.
 *
 * @param name tells it from others; letters, digits, dashes
 * @param jobClass the class it is for; each class of services by itself if empty
 * @param team the team it is for; each team by itself if empty
 * @param minReplicas so many replicas at least
 * @param peakShare of the learned peak of replicas, at least; 0 if the number alone counts
 * @param zones over which it is spread evenly; all if empty
 * @param warmShare share of it that should be where the image already is, 0 to 1
 */
public record HeadroomTerms(
    String name,
    Optional<String> jobClass,
    Optional<String> team,
    int minReplicas,
    double peakShare,
    Set<String> zones,
    double warmShare) {

  /** Whether a job's replicas may use it. */
  public boolean covers(JobSpec spec) {
    return spec.service()
        && jobClass.map(spec.jobClass()::equals).orElse(true)
        && team.map(spec.team()::equals).orElse(true);
  }
}
