package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * Forecast of the work that will be submitted before a dawn (a recurring deadline), by team, job
 * class and slice of the period between two deadlines. From one period to the next the history of a
 * slice counts half; for a slice without history, no work is expected.
 */
final class ArrivalForecast {
  private static final int MAX_SOURCES = 64;
  private static final double HISTORY_WEIGHT = 0.5;
  private static final int MAX_ROLLED_SLICES = 20 * PlanningWindow.SLICES_PER_PERIOD;

  /** The origin of work: a team and a job class. */
  record Source(String team, String jobClass) {}

  /**
   * Work that is expected to be submitted.
   *
   * @param resources of one task
   * @param runSeconds estimated run time of one task
   * @param tasksBySlice number of tasks by slice; 0 is the current slice
   */
  record ExpectedArrivals(
      Source source, Resources resources, double runSeconds, Map<Integer, Double> tasksBySlice) {}

  private static final class ArrivalTally {
    final long[] secondsBySlice = new long[PlanningWindow.SLICES_PER_PERIOD];
    long currentSlice = -1;
    long currentSeconds;
    double meanEstimate;
    Resources resources = Resources.NONE;

    ArrivalTally() {
      java.util.Arrays.fill(secondsBySlice, -1);
    }

    /** Adds the slices that have ended to the history. */
    void roll(BatchDeadlineTerms terms, WallTime time) {
      long length = PlanningWindow.sliceLength(terms).millis();
      long slice = Math.floorDiv(time.millis(), length);
      if (currentSlice < 0) {
        currentSlice = slice;
      }
      // After this many slices, the history has decayed to nothing.
      currentSlice = Math.max(currentSlice, slice - MAX_ROLLED_SLICES);
      while (currentSlice < slice) {
        int index = PlanningWindow.sliceOf(terms, new WallTime(currentSlice * length));
        long previous = secondsBySlice[index];
        secondsBySlice[index] =
            previous < 0
                ? currentSeconds
                : Math.round(HISTORY_WEIGHT * previous + (1 - HISTORY_WEIGHT) * currentSeconds);
        currentSeconds = 0;
        currentSlice++;
      }
    }
  }

  private final String dawnName;
  private final Map<Source, ArrivalTally> tallies =
      new TreeMap<>(java.util.Comparator.comparing(Source::team).thenComparing(Source::jobClass));

  ArrivalForecast(String dawnName) {
    this.dawnName = dawnName;
  }

  /** Counts a job that has just been accepted. */
  void jobAccepted(JobSpec spec, BatchDeadlineTerms terms, WallTime now) {
    Source source = new Source(spec.team(), spec.jobClass());
    if (!tallies.containsKey(source) && tallies.size() >= MAX_SOURCES) {
      return;
    }
    ArrivalTally tally = tallies.computeIfAbsent(source, key -> new ArrivalTally());
    tally.roll(terms, now);
    double run = spec.estimatedRunTime().asSeconds();
    tally.currentSeconds += Math.round(run * spec.tasks());
    tally.meanEstimate += (tally.meanEstimate == 0 ? 1 : 0.1) * (run - tally.meanEstimate);
    tally.resources = spec.resources();
  }

  /** Returns the work expected from now until a time, the rest of the current slice included. */
  List<ExpectedArrivals> expected(BatchDeadlineTerms terms, WallTime now, WallTime until) {
    List<ExpectedArrivals> arrivals = new ArrayList<>();
    long length = PlanningWindow.sliceLength(terms).millis();
    int lastSlice =
        (int)
            Math.min(
                PlanningWindow.SLICES_PER_PERIOD - 1, (until.millis() - now.millis()) / length);
    tallies.forEach(
        (source, tally) -> {
          tally.roll(terms, now);
          Map<Integer, Double> tasks = new TreeMap<>();
          for (int i = 0; i <= lastSlice; i++) {
            WallTime sliceStart = new WallTime((tally.currentSlice + i) * length);
            double usual = tally.secondsBySlice[PlanningWindow.sliceOf(terms, sliceStart)];
            double remaining = i == 0 ? usual - tally.currentSeconds : usual;
            if (remaining > 0 && tally.meanEstimate > 0) {
              tasks.put(i, remaining / tally.meanEstimate);
            }
          }
          if (!tasks.isEmpty()) {
            arrivals.add(new ExpectedArrivals(source, tally.resources, tally.meanEstimate, tasks));
          }
        });
    return arrivals;
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    tallies.forEach(
        (source, tally) ->
            rows.add(
                new PlanRow.ArrivalRow(
                    dawnName,
                    source.team(),
                    source.jobClass(),
                    tally.currentSlice,
                    tally.currentSeconds,
                    tally.meanEstimate,
                    tally.resources,
                    java.util.Arrays.stream(tally.secondsBySlice).boxed().toList())));
    return rows;
  }

  void restore(PlanRow.ArrivalRow row) {
    ArrivalTally tally = new ArrivalTally();
    for (int i = 0;
        i < Math.min(PlanningWindow.SLICES_PER_PERIOD, row.secondsBySlice().size());
        i++) {
      tally.secondsBySlice[i] = row.secondsBySlice().get(i);
    }
    tally.currentSlice = row.currentSlice();
    tally.currentSeconds = row.currentSeconds();
    tally.meanEstimate = row.meanEstimate();
    tally.resources = row.resources();
    tallies.put(new Source(row.team(), row.jobClass()), tally);
  }
}
