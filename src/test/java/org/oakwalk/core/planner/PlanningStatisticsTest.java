package org.oakwalk.core.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * Guards the statistics that plans are based on: a plan with wrong run times or arrivals misses its
 * deadline, and a new leader must restore what its predecessor stored.
 */
class PlanningStatisticsTest {
  private static final BatchDeadlineTerms DAWN =
      new BatchDeadlineTerms(
          "d",
          Optional.empty(),
          Optional.of(TimeSpan.seconds(2400)),
          TimeSpan.seconds(2000),
          Set.of(),
          Set.of(),
          TimeSpan.seconds(0),
          0.9);

  private static Job job(String id, int tasks) {
    JobSpec spec =
        new JobSpec(
            new JobId(id),
            "photos",
            "crew",
            JobSpec.Shape.ARRAY,
            Priority.NORMAL,
            tasks,
            Resources.ofTask(1, 0, 1),
            Set.of(),
            Optional.empty(),
            false,
            false,
            false,
            "img",
            0,
            TimeSpan.seconds(20),
            TimeSpan.seconds(0),
            TimeSpan.seconds(0),
            Optional.empty());
    return new Job(spec, new Revision(1), new WallTime(0), false, new MonotonicTime(0));
  }

  @Test
  void quantileReflectsRunTimeVariation() {
    PlanningStatistics statistics = new PlanningStatistics();
    assertThat(statistics.runTimes.quantileRatio("photos", 0.9)).isGreaterThan(1);
    for (int i = 0; i < 100; i++) {
      statistics.taskCompleted(job("j-" + i, 1), TimeSpan.seconds(i % 10 == 0 ? 60 : 20));
    }
    assertThat(statistics.runTimes.meanRatio("photos")).isCloseTo(1.2, within(0.1));
    assertThat(statistics.runTimes.quantileRatio("photos", 0.95)).isCloseTo(3, within(0.2));
    assertThat(statistics.runTimes.quantileRatio("photos", 0.5)).isLessThan(1.4);
    assertThat(statistics.runTimes.meanRatio("waves")).isEqualTo(1);
  }

  @Test
  void oneLargeJobDoesNotDominateItsClass() {
    PlanningStatistics statistics = new PlanningStatistics();
    Job largeJob = job("odd", 1000);
    for (int i = 0; i < 1000; i++) {
      statistics.taskCompleted(largeJob, TimeSpan.seconds(100));
    }
    for (int i = 0; i < 80; i++) {
      statistics.taskCompleted(job("j-" + i, 1), TimeSpan.seconds(20));
    }
    assertThat(statistics.runTimes.meanRatio("photos")).isLessThan(1.5);
  }

  @Test
  void arrivalsAreExpectedFromHistoryAndDecay() {
    PlanningStatistics statistics = new PlanningStatistics();
    statistics.setTerms(List.of(DAWN));
    ArrivalForecast arrivals = statistics.arrivals("d");
    assertThat(arrivals.expected(DAWN, new WallTime(0), new WallTime(2_400_000))).isEmpty();
    for (int period = 0; period < 2; period++) {
      statistics.jobChanged(job("n-" + period, 30), new WallTime(period * 2_400_000L + 550_000));
    }
    WallTime thirdPeriod = new WallTime(2 * 2_400_000L + 100_000);
    WallTime deadline = new WallTime(3 * 2_400_000L);
    List<ArrivalForecast.ExpectedArrivals> expected =
        arrivals.expected(DAWN, thirdPeriod, deadline);
    assertThat(expected).hasSize(1);
    // Slices are 100 s long: the jobs arrive in slice 5, and slice 1 is current, so 4 slices later.
    assertThat(expected.get(0).tasksBySlice()).containsOnlyKeys(4);
    assertThat(expected.get(0).tasksBySlice().get(4)).isEqualTo(30);
    // A period without arrivals halves the expectation.
    WallTime fourthPeriod = new WallTime(3 * 2_400_000L + 100_000);
    List<ArrivalForecast.ExpectedArrivals> decayed =
        arrivals.expected(DAWN, fourthPeriod, new WallTime(4 * 2_400_000L));
    assertThat(decayed.get(0).tasksBySlice().get(4)).isEqualTo(15);
  }

  @Test
  void restoredStatisticsEqualTheStoredOnes() {
    PlanningStatistics statistics = new PlanningStatistics();
    statistics.setTerms(List.of(DAWN));
    for (int i = 0; i < 60; i++) {
      statistics.taskCompleted(job("j-" + i, 1), TimeSpan.seconds(10 + i));
      statistics.jobChanged(job("k-" + i, 2), new WallTime(i * 30_000L));
    }
    PlanningStatistics restored = new PlanningStatistics();
    restored.setTerms(List.of(DAWN));
    restored.restore(statistics.rows());
    assertThat(restored.rows()).isEqualTo(statistics.rows());
    assertThat(restored.runTimes.quantileRatio("photos", 0.9))
        .isCloseTo(statistics.runTimes.quantileRatio("photos", 0.9), within(0.2));
  }
}
