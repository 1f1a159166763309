package org.oakwalk.core.headroom;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.shared.SharedRow;

/**
 * Stored row of headroom: slots reserved for additional replicas of services with the same key. The
 * row holds all that a leader needs to reserve the slots even if no such job is open.
 *
 * @param key the services that the slots are for
 * @param priority the priority of the replicas
 * @param image the image that the replicas need
 * @param imageGb the size of the image in GB
 * @param machineTypes the machine types that the replicas may use; any if empty
 * @param spotAllowed whether the replicas may use spot machines
 * @param peakReplicas the decaying peak of requested replicas
 * @param slotsByZone the number of slots to reserve in each zone; a slot is room for one whole
 *     replica on one machine
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
   * Identifies the services that a headroom row is for.
   *
   * @param name the name of the headroom terms
   * @param resources the resources of one replica
   * @param zone the only zone that the replicas may use, if they are bound to one
   */
  public record HeadroomKey(
      String name, String team, String jobClass, Resources resources, Optional<String> zone) {

    /** Returns whether the replicas of a job may use the slots. */
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

  /** Returns the number of slots in all zones. */
  int totalSlots() {
    return slotsByZone.values().stream().mapToInt(Integer::intValue).sum();
  }

  HeadroomRow withSlots(int newPeak, Map<String, Integer> newSlotsByZone) {
    return new HeadroomRow(
        key, priority, image, imageGb, machineTypes, spotAllowed, newPeak, newSlotsByZone);
  }

  /** Returns a job spec that requests one replica per slot, and at least one. */
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
        TimeSpan.millis(0),
        TimeSpan.millis(0),
        TimeSpan.millis(0),
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
