package org.oakwalk.core.headroom;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;

/**
 * Room that is kept for more replicas of one shape, as it is stored. It holds all that a leader
 * needs to keep it without any job of that shape at hand.
 *
 * @param key whom it is for
 * @param priority of the replicas
 * @param image which they need
 * @param imageGb its size
 * @param machineTypes machine types that they may use; any if empty
 * @param spotAllowed whether they may use spot machines
 * @param peakReplicas the most replicas that were asked for, fading
 * @param slotsByZone how many whole places are kept in each zone
 */
public record HeadroomRow(
    HeadroomKey key,
    Priority priority,
    String image,
    double imageGb,
    Set<String> machineTypes,
    boolean spotAllowed,
    int peakReplicas,
    Map<String, Integer> slotsByZone)
    implements SharedRow {

  /**
   * Whom it is for.
   *
   * @param name of the terms by which it is kept
   * @param room a replica's
   * @param zone the only zone that the replicas may use, if there is one
   */
  public record HeadroomKey(
      String name, String team, String jobClass, Resources resources, Optional<String> zone) {

    /** Whether a job's replicas have this shape. */
    boolean covers(JobSpec spec) {
      return spec.service()
          && spec.team().equals(team)
          && spec.jobClass().equals(jobClass)
          && spec.resources().equals(resources)
          && spec.zone().equals(zone);
    }

    @Override
    public String toString() {
      return name + " for " + team + "/" + jobClass;
    }
  }

  /** Places in all zones. */
  int totalSlots() {
    return slotsByZone.values().stream().mapToInt(Integer::intValue).sum();
  }

  HeadroomRow withSlots(int otherPeak, Map<String, Integer> otherPlaces) {
    return new HeadroomRow(
        key, priority, image, imageGb, machineTypes, spotAllowed, otherPeak, otherPlaces);
  }

  /** What it is kept for, as if so many replicas were asked for. */
  JobSpec spec() {
    return new JobSpec(
        new JobId("headroom"),
        key.jobClass(),
        key.team(),
        JobSpec.Shape.SERVICE,
        priority,
        Math.max(1, totalSlots()),
        key.resources(),
        machineTypes,
        key.zone(),
        false,
        false,
        spotAllowed,
        image,
        imageGb,
        Span.millis(0),
        Span.millis(0),
        Span.millis(0),
        Optional.empty());
  }

  @Override
  public int maxJsonBytes() {
    int bytes =
        SHORT_ROW_BYTES + SharedRow.maxJsonBytes(key.name()) + SharedRow.maxJsonBytes(key.team());
    bytes += SharedRow.maxJsonBytes(key.jobClass()) + SharedRow.maxJsonBytes(image);
    bytes += key.zone().map(SharedRow::maxJsonBytes).orElse(0);
    for (String type : machineTypes) {
      bytes += SharedRow.maxJsonBytes(type);
    }
    for (String zone : slotsByZone.keySet()) {
      bytes += SharedRow.maxJsonBytes(zone) + 12;
    }
    return bytes;
  }
}
