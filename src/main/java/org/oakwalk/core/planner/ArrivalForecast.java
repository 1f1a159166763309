package org.oakwalk.core.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.product.DawnTerms;

/**
 * What work comes, by team, class and part of the time between two dawns. What was learned fades by
 * half from one dawn to the next; where nothing was seen, nothing is expected.
 */
final class ArrivalForecast {
  private static final int MAX_SOURCES = 64;
  private static final double HISTORY_WEIGHT = 0.5;
  private static final int MAX_ROLLED_SLICES = 20 * PlanningWindow.SLICES_PER_PERIOD;

  record Source(String team, String jobClass) {}

  /** Work that is expected: so many tasks a slice from this one on. */
  record ExpectedArrivals(
      Source source, Room resources, double runSeconds, Map<Integer, Double> tasksBySlice) {}

  private static final class ArrivalTally {
    final long[] secondsBySlice = new long[PlanningWindow.SLICES_PER_PERIOD];
    long currentSlice = -1;
    long currentSeconds;
    double meanEstimate;
    Room resources = Room.NONE;

    ArrivalTally() {
      java.util.Arrays.fill(secondsBySlice, -1);
    }

    /** Closes the parts of the time that are over. */
    void roll(DawnTerms terms, WallTime time) {
      long length = PlanningWindow.sliceLength(terms).millis();
      long now = Math.floorDiv(time.millis(), length);
      if (currentSlice < 0) {
        currentSlice = now;
      }
      // After as long as this nothing is left of what was learned anyhow.
      currentSlice = Math.max(currentSlice, now - MAX_ROLLED_SLICES);
      while (currentSlice < now) {
        int index = PlanningWindow.sliceOf(terms, new WallTime(currentSlice * length));
        long known = secondsBySlice[index];
        secondsBySlice[index] =
            known < 0
                ? currentSeconds
                : Math.round(HISTORY_WEIGHT * known + (1 - HISTORY_WEIGHT) * currentSeconds);
        currentSeconds = 0;
        currentSlice++;
      }
    }
  }

  private final String dawnName;
  private final Map<Source, ArrivalTally> tallies =
      new TreeMap<>(java.util.Comparator.comparing(Source::team).thenComparing(Source::jobClass));

  ArrivalForecast(String dawn) {
    this.dawnName = dawn;
  }

  /** A job that has just been accepted. */
  void jobAccepted(JobSpec spec, DawnTerms terms, WallTime now) {
    Source source = new Source(spec.team(), spec.jobClass());
    if (!tallies.containsKey(source) && tallies.size() >= MAX_SOURCES) {
      return;
    }
    ArrivalTally account = tallies.computeIfAbsent(source, key -> new ArrivalTally());
    account.roll(terms, now);
    double run = spec.guess().asSeconds();
    account.currentSeconds += Math.round(run * spec.tasks());
    account.meanEstimate += (account.meanEstimate == 0 ? 1 : 0.1) * (run - account.meanEstimate);
    account.resources = spec.room();
  }

  /** What is still to come in the parts of the time that lie ahead, this one's rest included. */
  List<ExpectedArrivals> expected(DawnTerms terms, WallTime now, WallTime until) {
    List<ExpectedArrivals> all = new ArrayList<>();
    long length = PlanningWindow.sliceLength(terms).millis();
    int ahead =
        (int)
            Math.min(
                PlanningWindow.SLICES_PER_PERIOD - 1, (until.millis() - now.millis()) / length);
    tallies.forEach(
        (source, account) -> {
          account.roll(terms, now);
          Map<Integer, Double> tasks = new TreeMap<>();
          for (int i = 0; i <= ahead; i++) {
            WallTime then = new WallTime((account.currentSlice + i) * length);
            double known = account.secondsBySlice[PlanningWindow.sliceOf(terms, then)];
            double rest = i == 0 ? known - account.currentSeconds : known;
            if (rest > 0 && account.meanEstimate > 0) {
              tasks.put(i, rest / account.meanEstimate);
            }
          }
          if (!tasks.isEmpty()) {
            all.add(new ExpectedArrivals(source, account.resources, account.meanEstimate, tasks));
          }
        });
    return all;
  }

  List<PlanRow> rows() {
    List<PlanRow> rows = new ArrayList<>();
    tallies.forEach(
        (source, account) ->
            rows.add(
                new PlanRow.ArrivalRow(
                    dawnName,
                    source.team(),
                    source.jobClass(),
                    account.currentSlice,
                    account.currentSeconds,
                    account.meanEstimate,
                    account.resources,
                    java.util.Arrays.stream(account.secondsBySlice).boxed().toList())));
    return rows;
  }

  void restore(PlanRow.ArrivalRow row) {
    ArrivalTally account = new ArrivalTally();
    for (int i = 0;
        i < Math.min(PlanningWindow.SLICES_PER_PERIOD, row.secondsBySlice().size());
        i++) {
      account.secondsBySlice[i] = row.secondsBySlice().get(i);
    }
    account.currentSlice = row.currentSlice();
    account.currentSeconds = row.currentSeconds();
    account.meanEstimate = row.meanEstimate();
    account.resources = row.resources();
    tallies.put(new Source(row.team(), row.jobClass()), account);
  }
}
