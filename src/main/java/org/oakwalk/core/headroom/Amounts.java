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
final class Amounts {
  /** After this time half of a peak is forgotten: a day's peak still counts in the evening. */
  private static final double HALVES_IN_SECONDS = 7200;

  /** What is left of a peak when its shape is forgotten. */
  private static final double FORGOTTEN = 0.05;

  /** Changes of a peak below this share are not worth a write. */
  private static final double WORTH_STORING = 0.1;

  /** An amount is lowered only if that has been right for so long. */
  private static final Span DWELL = Span.seconds(10);

  private static final int MOST_ROWS = 64;

  /** Replicas of one shape that are asked for at present. */
  private static final class Asked {
    int replicas;
    Job largest;
  }

  private final Quota quota;
  private final List<String> zones;
  private final Map<HeadroomRow.Key, Double> peaks = new HashMap<>();
  private final Map<HeadroomRow.Key, Moment> lowerSince = new HashMap<>();
  private final Map<HeadroomRow.Key, String> reasons = new HashMap<>();
  private final Set<Job> claims = new LinkedHashSet<>();
  private Moment faded;

  Amounts(Quota quota, List<String> zones) {
    this.quota = quota;
    this.zones = zones;
  }

  /** A job within its team's guarantee found no room; what is kept for other teams gives way. */
  void claimed(Job job) {
    if (claims.size() < MOST_ROWS) {
      claims.add(job);
    }
  }

  /**
   * What should be stored now.
   *
   * @param rows what is in force
   * @param live zones in which any machine takes tasks
   * @param doubt whether it is not known yet what teams use, so that nothing is lowered
   */
  List<HeadroomRow> target(
      List<HeadroomTerms> terms,
      Collection<HeadroomRow> rows,
      Collection<Job> jobs,
      Set<String> live,
      boolean doubt,
      Moment now) {
    claims.removeIf(job -> !job.isOpen() || job.pendingCount() <= 0 || !quota.withinGuarantee(job));
    Map<HeadroomRow.Key, Asked> asked = asked(terms, jobs);
    fade(rows, asked, now);
    Map<HeadroomRow.Key, HeadroomRow> target = new LinkedHashMap<>();
    for (HeadroomRow row : rows) {
      termsOf(terms, row.key())
          .filter(found -> asked.containsKey(row.key()) || peaks.get(row.key()) > FORGOTTEN)
          .ifPresent(found -> target.put(row.key(), row));
    }
    asked.forEach(
        (key, found) -> {
          if (target.containsKey(key) || target.size() < MOST_ROWS) {
            target.put(key, shape(key, found.largest.spec(), target.get(key)));
          }
        });
    Map<HeadroomRow.Key, Integer> yields = yields(target.values());
    target.replaceAll(
        (key, row) -> {
          HeadroomTerms by = termsOf(terms, key).orElseThrow();
          int declared = amount(by, peaks.get(key));
          int amount = Math.min(declared, quota.placesLeft(key.team(), key.room()));
          int yielded = Math.min(amount, yields.getOrDefault(key, 0));
          reasons.put(
              key,
              yielded > 0
                  ? "others are guaranteed room of " + yielded
                  : amount < declared ? "the team's limit leaves no more" : "as declared");
          if (amount < row.total() && (doubt || !dwelt(key, now))) {
            amount = row.total();
          } else if (amount >= row.total()) {
            lowerSince.remove(key);
          }
          return row.with(peak(row), spread(amount - yielded, zones(by, key, live)));
        });
    return List.copyOf(target.values());
  }

  /** What an amount was last bounded by, for the log. */
  String why(HeadroomRow.Key key) {
    return reasons.getOrDefault(key, "as declared");
  }

  private boolean dwelt(HeadroomRow.Key key, Moment now) {
    return now.isPast(lowerSince.computeIfAbsent(key, k -> now), DWELL);
  }

  private static Map<HeadroomRow.Key, Asked> asked(
      List<HeadroomTerms> terms, Collection<Job> jobs) {
    Map<HeadroomRow.Key, Asked> asked = new LinkedHashMap<>();
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
                HeadroomRow.Key key =
                    new HeadroomRow.Key(
                        found.name(), spec.team(), spec.jobClass(), spec.resources(), spec.zone());
                Asked of = asked.computeIfAbsent(key, k -> new Asked());
                of.replicas += spec.tasks();
                if (of.largest == null || of.largest.spec().tasks() < spec.tasks()) {
                  of.largest = job;
                }
              });
    }
    return asked;
  }

  private void fade(Collection<HeadroomRow> rows, Map<HeadroomRow.Key, Asked> asked, Moment now) {
    double keep =
        faded == null ? 1 : Math.pow(0.5, now.since(faded).asSeconds() / HALVES_IN_SECONDS);
    faded = now;
    peaks.replaceAll((key, peak) -> peak * keep);
    rows.forEach(row -> peaks.putIfAbsent(row.key(), (double) row.peak()));
    asked.forEach((key, found) -> peaks.merge(key, (double) found.replicas, Math::max));
    peaks.values().removeIf(peak -> peak < FORGOTTEN / 2);
    rows.forEach(row -> peaks.putIfAbsent(row.key(), 0.0));
  }

  /** The terms by which a shape is kept, if there still are any. */
  private static Optional<HeadroomTerms> termsOf(List<HeadroomTerms> terms, HeadroomRow.Key key) {
    return terms.stream()
        .filter(found -> found.name().equals(key.name()))
        .filter(found -> found.team().map(key.team()::equals).orElse(true))
        .filter(found -> found.jobClass().map(key.jobClass()::equals).orElse(true))
        .findFirst();
  }

  private static HeadroomRow shape(HeadroomRow.Key key, JobSpec spec, HeadroomRow old) {
    return new HeadroomRow(
        key,
        spec.priority(),
        spec.image(),
        spec.imageGb(),
        spec.machineTypes(),
        spec.spotAllowed(),
        old == null ? 0 : old.peak(),
        old == null ? Map.of() : old.places());
  }

  private static int amount(HeadroomTerms terms, double peak) {
    return Math.max(terms.replicas(), (int) Math.ceil(terms.share() * peak - 1e-9));
  }

  private int peak(HeadroomRow row) {
    int peak = (int) Math.ceil(peaks.get(row.key()));
    boolean worth = Math.abs(peak - row.peak()) >= Math.max(1, WORTH_STORING * row.peak());
    return worth ? peak : row.peak();
  }

  private List<String> zones(HeadroomTerms terms, HeadroomRow.Key key, Set<String> live) {
    List<String> all = new ArrayList<>(terms.zones().isEmpty() ? zones : terms.zones());
    all.removeIf(zone -> key.zone().filter(only -> !only.equals(zone)).isPresent());
    all.sort(Comparator.naturalOrder());
    List<String> up = all.stream().filter(live::contains).toList();
    return up.isEmpty() ? all : up;
  }

  private static Map<String, Integer> spread(int amount, List<String> zones) {
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
  private Map<HeadroomRow.Key, Integer> yields(Collection<HeadroomRow> rows) {
    Map<HeadroomRow.Key, Integer> yields = new HashMap<>();
    for (Job job : claims) {
      Resources needed = job.spec().resources().times(job.pendingCount());
      for (HeadroomRow row : rows) {
        if (!row.key().team().equals(job.spec().team())) {
          yields.merge(row.key(), (int) Math.ceil(places(needed, row.key().room())), Integer::sum);
        }
      }
    }
    return yields;
  }

  /** So many places of a shape hold this room. */
  private static double places(Resources needed, Resources shape) {
    return Math.max(
        Math.max(part(needed.cpus(), shape.cpus()), part(needed.gpus(), shape.gpus())),
        part(needed.memoryGb(), shape.memoryGb()));
  }

  private static double part(double needed, double each) {
    return needed <= 0 || each <= 0 ? 0 : needed / each;
  }
}
