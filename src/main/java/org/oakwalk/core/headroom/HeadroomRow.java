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
 * @param types machine types that they may use; any if empty
 * @param spot whether they may use spot machines
 * @param peak the most replicas that were asked for, fading
 * @param places how many whole places are kept in each zone
 */
public record HeadroomRow(
    Key key,
    Priority priority,
    String image,
    double imageGb,
    Set<String> types,
    boolean spot,
    int peak,
    Map<String, Integer> places)
    implements SharedRow {

  /**
   * Whom it is for.
   *
   * @param name of the terms by which it is kept
   * @param room a replica's
   * @param zone the only zone that the replicas may use, if there is one
   */
  public record Key(
      String name, String team, String jobClass, Resources room, Optional<String> zone) {

    /** Whether a job's replicas have this shape. */
    boolean covers(JobSpec spec) {
      return spec.service()
          && spec.team().equals(team)
          && spec.jobClass().equals(jobClass)
          && spec.resources().equals(room)
          && spec.zone().equals(zone);
    }

    @Override
    public String toString() {
      return name + " for " + team + "/" + jobClass;
    }
  }

  /** Places in all zones. */
  int total() {
    return places.values().stream().mapToInt(Integer::intValue).sum();
  }

  HeadroomRow with(int otherPeak, Map<String, Integer> otherPlaces) {
    return new HeadroomRow(key, priority, image, imageGb, types, spot, otherPeak, otherPlaces);
  }

  /** What it is kept for, as if so many replicas were asked for. */
  JobSpec spec() {
    return new JobSpec(
        new JobId("headroom"),
        key.jobClass(),
        key.team(),
        JobSpec.Shape.SERVICE,
        priority,
        Math.max(1, total()),
        key.room(),
        types,
        key.zone(),
        false,
        false,
        spot,
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
    for (String type : types) {
      bytes += SharedRow.maxJsonBytes(type);
    }
    for (String zone : places.keySet()) {
      bytes += SharedRow.maxJsonBytes(zone) + 12;
    }
    return bytes;
  }
}
