package org.oakwalk.core.headroom;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.product.HeadroomTerms;

/**
 * Calculates how many replica slots to reserve in each zone, from the declared terms, the recent
 * peak of replicas, the team's limit and the guarantees of other teams. A slot is room for one
 * whole replica on one machine.
 */
final class HeadroomCalculator {
  /** Half-life of a peak; long enough for a daytime peak to still count in the evening. */
  private static final double PEAK_HALF_LIFE_S = 7200;

  /** A row without current demand is dropped when its peak has decayed to this many replicas. */
  private static final double MIN_PEAK = 0.05;

  /** Relative change of a peak below which the stored peak is not rewritten. */
  private static final double MIN_STORED_CHANGE = 0.1;

  /** Time for which a lower slot count must have been sufficient before it takes effect. */
  private static final TimeSpan LOWERING_DELAY = TimeSpan.seconds(10);

  private static final int MAX_ROWS = 64;

  /** Replicas that open services with the same headroom key currently request. */
  private static final class ServiceDemand {
    int replicas;
    Job largestJob;
  }

  private final Quota quota;
  private final List<String> zones;
  private final Map<HeadroomRow.HeadroomKey, Double> peaks = new HashMap<>();
  private final Map<HeadroomRow.HeadroomKey, MonotonicTime> lowerTargetSince = new HashMap<>();
  private final Map<HeadroomRow.HeadroomKey, String> reasons = new HashMap<>();
  private final Set<Job> unplacedGuaranteed = new LinkedHashSet<>();
  private MonotonicTime lastDecay;

  HeadroomCalculator(Quota quota, List<String> zones) {
    this.quota = quota;
    this.zones = zones;
  }

  /**
   * Records a job within its team's guarantee that found no room. Slots reserved for other teams
   * yield to it.
   */
  void addUnplacedGuaranteed(Job job) {
    if (unplacedGuaranteed.size() < MAX_ROWS) {
      unplacedGuaranteed.add(job);
    }
  }

  /**
   * Returns the rows that should be stored now.
   *
   * @param rows the rows that are in effect
   * @param liveZones zones in which a machine recently accepted tasks
   * @param usageUncertain whether the usage of teams is not fully known yet; slot counts are not
   *     lowered then
   */
  List<HeadroomRow> targetRows(
      List<HeadroomTerms> terms,
      Collection<HeadroomRow> rows,
      Collection<Job> jobs,
      Set<String> liveZones,
      boolean usageUncertain,
      MonotonicTime now) {
    unplacedGuaranteed.removeIf(
        job -> !job.isOpen() || job.pendingCount() <= 0 || !quota.withinGuarantee(job));
    Map<HeadroomRow.HeadroomKey, ServiceDemand> demand = currentDemand(terms, jobs);
    decayPeaks(rows, demand, now);
    Map<HeadroomRow.HeadroomKey, HeadroomRow> target = new LinkedHashMap<>();
    for (HeadroomRow row : rows) {
      termsOf(terms, row.key())
          .filter(candidate -> demand.containsKey(row.key()) || peaks.get(row.key()) > MIN_PEAK)
          .ifPresent(candidate -> target.put(row.key(), row));
    }
    demand.forEach(
        (key, service) -> {
          if (target.containsKey(key) || target.size() < MAX_ROWS) {
            target.put(key, rowFor(key, service.largestJob.spec(), target.get(key)));
          }
        });
    Map<HeadroomRow.HeadroomKey, Integer> yieldedByKey = yieldedSlots(target.values());
    target.replaceAll(
        (key, row) -> {
          HeadroomTerms declaredTerms = termsOf(terms, key).orElseThrow();
          int declared = requiredSlots(declaredTerms, peaks.get(key));
          int slots = Math.min(declared, quota.placesLeft(key.team(), key.resources()));
          int yielded = Math.min(slots, yieldedByKey.getOrDefault(key, 0));
          reasons.put(
              key,
              yielded > 0
                  ? "slots yielded to guarantees of other teams: " + yielded
                  : slots < declared ? "bounded by the team's limit" : "as declared");
          if (slots < row.totalSlots() && (usageUncertain || !loweringDelayPassed(key, now))) {
            slots = row.totalSlots();
          } else if (slots >= row.totalSlots()) {
            lowerTargetSince.remove(key);
          }
          return row.withSlots(
              storedPeak(row),
              spreadEvenly(slots - yielded, eligibleZones(declaredTerms, key, liveZones)));
        });
    return List.copyOf(target.values());
  }

  /** Returns what last determined the slot count of a row, for the log. */
  String reasonFor(HeadroomRow.HeadroomKey key) {
    return reasons.getOrDefault(key, "as declared");
  }

  private boolean loweringDelayPassed(HeadroomRow.HeadroomKey key, MonotonicTime now) {
    return now.isPast(lowerTargetSince.computeIfAbsent(key, k -> now), LOWERING_DELAY);
  }

  private static Map<HeadroomRow.HeadroomKey, ServiceDemand> currentDemand(
      List<HeadroomTerms> terms, Collection<Job> jobs) {
    Map<HeadroomRow.HeadroomKey, ServiceDemand> demand = new LinkedHashMap<>();
    for (Job job : jobs) {
      if (!job.spec().service() || !job.isOpen() || job.isSuspect()) {
        continue;
      }
      JobSpec spec = job.spec();
      terms.stream()
          .filter(candidate -> candidate.covers(spec))
          .findFirst()
          .ifPresent(
              candidate -> {
                HeadroomRow.HeadroomKey key =
                    new HeadroomRow.HeadroomKey(
                        candidate.name(),
                        spec.team(),
                        spec.jobClass(),
                        spec.resources(),
                        spec.zone());
                ServiceDemand service = demand.computeIfAbsent(key, k -> new ServiceDemand());
                service.replicas += spec.tasks();
                if (service.largestJob == null
                    || service.largestJob.spec().tasks() < spec.tasks()) {
                  service.largestJob = job;
                }
              });
    }
    return demand;
  }

  private void decayPeaks(
      Collection<HeadroomRow> rows,
      Map<HeadroomRow.HeadroomKey, ServiceDemand> demand,
      MonotonicTime now) {
    double decay =
        lastDecay == null ? 1 : Math.pow(0.5, now.since(lastDecay).asSeconds() / PEAK_HALF_LIFE_S);
    lastDecay = now;
    peaks.replaceAll((key, peak) -> peak * decay);
    rows.forEach(row -> peaks.putIfAbsent(row.key(), (double) row.peakReplicas()));
    demand.forEach((key, service) -> peaks.merge(key, (double) service.replicas, Math::max));
    peaks.values().removeIf(peak -> peak < MIN_PEAK / 2);
    rows.forEach(row -> peaks.putIfAbsent(row.key(), 0.0));
  }

  /** Returns the terms that a headroom key comes from, if they are still declared. */
  private static Optional<HeadroomTerms> termsOf(
      List<HeadroomTerms> terms, HeadroomRow.HeadroomKey key) {
    return terms.stream()
        .filter(candidate -> candidate.name().equals(key.name()))
        .filter(candidate -> candidate.team().map(key.team()::equals).orElse(true))
        .filter(candidate -> candidate.jobClass().map(key.jobClass()::equals).orElse(true))
        .findFirst();
  }

  private static HeadroomRow rowFor(HeadroomRow.HeadroomKey key, JobSpec spec, HeadroomRow old) {
    return new HeadroomRow(
        key,
        spec.priority(),
        spec.image(),
        spec.imageGb(),
        spec.machineTypes(),
        spec.spotAllowed(),
        old == null ? 0 : old.peakReplicas(),
        old == null ? Map.of() : old.slotsByZone());
  }

  private static int requiredSlots(HeadroomTerms terms, double peak) {
    return Math.max(terms.minReplicas(), (int) Math.ceil(terms.peakShare() * peak - 1e-9));
  }

  private int storedPeak(HeadroomRow row) {
    int peak = (int) Math.ceil(peaks.get(row.key()));
    boolean worthStoring =
        Math.abs(peak - row.peakReplicas()) >= Math.max(1, MIN_STORED_CHANGE * row.peakReplicas());
    return worthStoring ? peak : row.peakReplicas();
  }

  private List<String> eligibleZones(
      HeadroomTerms terms, HeadroomRow.HeadroomKey key, Set<String> liveZones) {
    List<String> all = new ArrayList<>(terms.zones().isEmpty() ? zones : terms.zones());
    all.removeIf(zone -> key.zone().filter(only -> !only.equals(zone)).isPresent());
    all.sort(Comparator.naturalOrder());
    List<String> available = all.stream().filter(liveZones::contains).toList();
    return available.isEmpty() ? all : available;
  }

  private static Map<String, Integer> spreadEvenly(int slotCount, List<String> zones) {
    Map<String, Integer> slotsByZone = new TreeMap<>();
    for (int i = 0; i < zones.size(); i++) {
      int share = slotCount / zones.size() + (i < slotCount % zones.size() ? 1 : 0);
      if (share > 0) {
        slotsByZone.put(zones.get(i), share);
      }
    }
    return slotsByZone;
  }

  /** Returns how many slots of each row yield to unplaced guaranteed jobs of other teams. */
  private Map<HeadroomRow.HeadroomKey, Integer> yieldedSlots(Collection<HeadroomRow> rows) {
    Map<HeadroomRow.HeadroomKey, Integer> yieldedByKey = new HashMap<>();
    for (Job job : unplacedGuaranteed) {
      Resources needed = job.spec().resources().times(job.pendingCount());
      for (HeadroomRow row : rows) {
        if (!row.key().team().equals(job.spec().team())) {
          yieldedByKey.merge(
              row.key(),
              (int) Math.ceil(slotsCovering(needed, row.key().resources())),
              Integer::sum);
        }
      }
    }
    return yieldedByKey;
  }

  /** Returns how many slots of the given shape cover the needed resources. */
  private static double slotsCovering(Resources needed, Resources shape) {
    return Math.max(
        Math.max(ratio(needed.cpus(), shape.cpus()), ratio(needed.gpus(), shape.gpus())),
        ratio(needed.memoryGb(), shape.memoryGb()));
  }

  private static double ratio(double needed, double each) {
    return needed <= 0 || each <= 0 ? 0 : needed / each;
  }
}
