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
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.placement.Quota;
import org.oakwalk.core.product.HeadroomTerms;

/** How many places should be kept: by the terms, by what was learned, and by who goes before. */
final class HeadroomCalculator {
  /** After this time half of a peak is forgotten: a day's peak still counts in the evening. */
  private static final double PEAK_HALF_LIFE_S = 7200;

  /** What is left of a peak when its shape is forgotten. */
  private static final double MIN_PEAK = 0.05;

  /** Changes of a peak below this share are not worth a write. */
  private static final double MIN_STORED_CHANGE = 0.1;

  /** An amount is lowered only if that has been right for so long. */
  private static final Span LOWERING_DELAY = Span.seconds(10);

  private static final int MAX_ROWS = 64;

  /** Replicas of one shape that are asked for at present. */
  private static final class ServiceDemand {
    int replicas;
    Job largestJob;
  }

  private final Quota quota;
  private final List<String> zones;
  private final Map<HeadroomRow.HeadroomKey, Double> peaks = new HashMap<>();
  private final Map<HeadroomRow.HeadroomKey, Moment> lowerTargetSince = new HashMap<>();
  private final Map<HeadroomRow.HeadroomKey, String> reasons = new HashMap<>();
  private final Set<Job> unplacedGuaranteed = new LinkedHashSet<>();
  private Moment lastDecay;

  HeadroomCalculator(Quota quota, List<String> zones) {
    this.quota = quota;
    this.zones = zones;
  }

  /** A job within its team's guarantee found no room; what is kept for other teams gives way. */
  void addUnplacedGuaranteed(Job job) {
    if (unplacedGuaranteed.size() < MAX_ROWS) {
      unplacedGuaranteed.add(job);
    }
  }

  /**
   * What should be stored now.
   *
   * @param rows what is in force
   * @param live zones in which any machine takes tasks
   * @param doubt whether it is not known yet what teams use, so that nothing is lowered
   */
  List<HeadroomRow> targetRows(
      List<HeadroomTerms> terms,
      Collection<HeadroomRow> rows,
      Collection<Job> jobs,
      Set<String> live,
      boolean doubt,
      Moment now) {
    unplacedGuaranteed.removeIf(
        job -> !job.isOpen() || job.pendingCount() <= 0 || !quota.guarantees(job));
    Map<HeadroomRow.HeadroomKey, ServiceDemand> asked = currentDemand(terms, jobs);
    decayPeaks(rows, asked, now);
    Map<HeadroomRow.HeadroomKey, HeadroomRow> target = new LinkedHashMap<>();
    for (HeadroomRow row : rows) {
      termsOf(terms, row.key())
          .filter(found -> asked.containsKey(row.key()) || peaks.get(row.key()) > MIN_PEAK)
          .ifPresent(found -> target.put(row.key(), row));
    }
    asked.forEach(
        (key, found) -> {
          if (target.containsKey(key) || target.size() < MAX_ROWS) {
            target.put(key, rowFor(key, found.largestJob.spec(), target.get(key)));
          }
        });
    Map<HeadroomRow.HeadroomKey, Integer> yields = yieldedSlots(target.values());
    target.replaceAll(
        (key, row) -> {
          HeadroomTerms by = termsOf(terms, key).orElseThrow();
          int declared = requiredSlots(by, peaks.get(key));
          int amount = Math.min(declared, quota.placesLeft(key.team(), key.resources()));
          int yielded = Math.min(amount, yields.getOrDefault(key, 0));
          reasons.put(
              key,
              yielded > 0
                  ? "others are guaranteed room of " + yielded
                  : amount < declared ? "the team's limit leaves no more" : "as declared");
          if (amount < row.totalSlots() && (doubt || !loweringDelayPassed(key, now))) {
            amount = row.totalSlots();
          } else if (amount >= row.totalSlots()) {
            lowerTargetSince.remove(key);
          }
          return row.withSlots(
              storedPeak(row), spreadEvenly(amount - yielded, eligibleZones(by, key, live)));
        });
    return List.copyOf(target.values());
  }

  /** What an amount was last bounded by, for the log. */
  String reasonFor(HeadroomRow.HeadroomKey key) {
    return reasons.getOrDefault(key, "as declared");
  }

  private boolean loweringDelayPassed(HeadroomRow.HeadroomKey key, Moment now) {
    return now.past(lowerTargetSince.computeIfAbsent(key, k -> now), LOWERING_DELAY);
  }

  private static Map<HeadroomRow.HeadroomKey, ServiceDemand> currentDemand(
      List<HeadroomTerms> terms, Collection<Job> jobs) {
    Map<HeadroomRow.HeadroomKey, ServiceDemand> asked = new LinkedHashMap<>();
    for (Job job : jobs) {
      if (!job.spec().service() || !job.isOpen() || job.isSuspect()) {
        continue;
      }
      JobSpec spec = job.spec();
      terms.stream()
          .filter(found -> found.covers(spec))
          .findFirst()
          .ifPresent(
              found -> {
                HeadroomRow.HeadroomKey key =
                    new HeadroomRow.HeadroomKey(
                        found.name(), spec.team(), spec.jobClass(), spec.resources(), spec.zone());
                ServiceDemand of = asked.computeIfAbsent(key, k -> new ServiceDemand());
                of.replicas += spec.tasks();
                if (of.largestJob == null || of.largestJob.spec().tasks() < spec.tasks()) {
                  of.largestJob = job;
                }
              });
    }
    return asked;
  }

  private void decayPeaks(
      Collection<HeadroomRow> rows, Map<HeadroomRow.HeadroomKey, ServiceDemand> asked, Moment now) {
    double keep =
        lastDecay == null ? 1 : Math.pow(0.5, now.since(lastDecay).asSeconds() / PEAK_HALF_LIFE_S);
    lastDecay = now;
    peaks.replaceAll((key, peak) -> peak * keep);
    rows.forEach(row -> peaks.putIfAbsent(row.key(), (double) row.peakReplicas()));
    asked.forEach((key, found) -> peaks.merge(key, (double) found.replicas, Math::max));
    peaks.values().removeIf(peak -> peak < MIN_PEAK / 2);
    rows.forEach(row -> peaks.putIfAbsent(row.key(), 0.0));
  }

  /** The terms by which a shape is kept, if there still are any. */
  private static Optional<HeadroomTerms> termsOf(
      List<HeadroomTerms> terms, HeadroomRow.HeadroomKey key) {
    return terms.stream()
        .filter(found -> found.name().equals(key.name()))
        .filter(found -> found.team().map(key.team()::equals).orElse(true))
        .filter(found -> found.jobClass().map(key.jobClass()::equals).orElse(true))
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
    boolean worth =
        Math.abs(peak - row.peakReplicas()) >= Math.max(1, MIN_STORED_CHANGE * row.peakReplicas());
    return worth ? peak : row.peakReplicas();
  }

  private List<String> eligibleZones(
      HeadroomTerms terms, HeadroomRow.HeadroomKey key, Set<String> live) {
    List<String> all = new ArrayList<>(terms.zones().isEmpty() ? zones : terms.zones());
    all.removeIf(zone -> key.zone().filter(only -> !only.equals(zone)).isPresent());
    all.sort(Comparator.naturalOrder());
    List<String> up = all.stream().filter(live::contains).toList();
    return up.isEmpty() ? all : up;
  }

  private static Map<String, Integer> spreadEvenly(int amount, List<String> zones) {
    Map<String, Integer> places = new TreeMap<>();
    for (int i = 0; i < zones.size(); i++) {
      int share = amount / zones.size() + (i < amount % zones.size() ? 1 : 0);
      if (share > 0) {
        places.put(zones.get(i), share);
      }
    }
    return places;
  }

  /** Places of each shape that give way to what other teams are guaranteed. */
  private Map<HeadroomRow.HeadroomKey, Integer> yieldedSlots(Collection<HeadroomRow> rows) {
    Map<HeadroomRow.HeadroomKey, Integer> yields = new HashMap<>();
    for (Job job : unplacedGuaranteed) {
      Resources needed = job.spec().resources().times(job.pendingCount());
      for (HeadroomRow row : rows) {
        if (!row.key().team().equals(job.spec().team())) {
          yields.merge(
              row.key(),
              (int) Math.ceil(slotsCovering(needed, row.key().resources())),
              Integer::sum);
        }
      }
    }
    return yields;
  }

  /** So many places of a shape hold this room. */
  private static double slotsCovering(Resources needed, Resources shape) {
    return Math.max(
        Math.max(ratio(needed.cpus(), shape.cpus()), ratio(needed.gpus(), shape.gpus())),
        ratio(needed.memoryGb(), shape.memoryGb()));
  }

  private static double ratio(double needed, double each) {
    return needed <= 0 || each <= 0 ? 0 : needed / each;
  }
}
