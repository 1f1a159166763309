package org.oakwalk.core.product;

import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.job.JobSpec;

/**
 * Terms for reserving room for additional replicas of services.
 *
 * @param name unique name; letters, digits, dashes
 * @param jobClass the class of services; if empty, each class is handled separately
 * @param team the team; if empty, each team is handled separately
 * @param minReplicas the minimum number of replicas to reserve room for
 * @param peakShare the share of the observed replica peak to reserve at least; 0 if only the
 *     minimum number applies
 * @param zones the zones to spread the room over evenly; all if empty
 * @param warmShare the share of the room that should be on machines that have the image, 0 to 1
 */
public record HeadroomTerms(
    String name,
    Optional<String> jobClass,
    Optional<String> team,
    int minReplicas,
    double peakShare,
    Set<String> zones,
    double warmShare) {

  /** Returns whether replicas of a job may use the reserved room. */
  public boolean covers(JobSpec spec) {
    return spec.service()
        && jobClass.map(spec.jobClass()::equals).orElse(true)
        && team.map(spec.team()::equals).orElse(true);
  }
}
