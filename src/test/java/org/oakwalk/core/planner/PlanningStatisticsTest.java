package org.oakwalk.core.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Room;
import org.oakwalk.core.product.DawnTerms;

/** What is learned for plans, and that a successor knows the same. */
class PlanningStatisticsTest {
  private static final DawnTerms DAWN =
      new DawnTerms(
          "d",
          Optional.empty(),
          Optional.of(Span.seconds(2400)),
          Span.seconds(2000),
          Set.of(),
          Set.of(),
          Span.seconds(0),
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
            new Room(1, 0, 1),
            Set.of(),
            Optional.empty(),
            false,
            false,
            false,
            "img",
            0,
            Span.seconds(20),
            Span.seconds(0),
            Span.seconds(0),
            Optional.empty());
    return new Job(spec, new Revision(1), new WallTime(0), false, new Moment(0));
  }

  @Test
  void quantileReflectsRunTimeVariation() {
    PlanningStatistics learned = new PlanningStatistics();
    assertThat(learned.runTimes.quantileRatio("photos", 0.9)).isGreaterThan(1);
    for (int i = 0; i < 100; i++) {
      learned.taskCompleted(job("j-" + i, 1), Span.seconds(i % 10 == 0 ? 60 : 20));
    }
    assertThat(learned.runTimes.meanRatio("photos")).isCloseTo(1.2, within(0.1));
    assertThat(learned.runTimes.quantileRatio("photos", 0.95)).isCloseTo(3, within(0.2));
    assertThat(learned.runTimes.quantileRatio("photos", 0.5)).isLessThan(1.4);
    assertThat(learned.runTimes.meanRatio("waves")).isEqualTo(1);
  }

  @Test
  void oneLargeJobDoesNotDominateItsClass() {
    PlanningStatistics learned = new PlanningStatistics();
    Job odd = job("odd", 1000);
    for (int i = 0; i < 1000; i++) {
      learned.taskCompleted(odd, Span.seconds(100));
    }
    for (int i = 0; i < 80; i++) {
      learned.taskCompleted(job("j-" + i, 1), Span.seconds(20));
    }
    assertThat(learned.runTimes.meanRatio("photos")).isLessThan(1.5);
  }

  @Test
  void arrivalsAreExpectedFromHistoryAndDecay() {
    PlanningStatistics learned = new PlanningStatistics();
    learned.setTerms(List.of(DAWN));
    ArrivalForecast coming = learned.arrivals("d");
    assertThat(coming.expected(DAWN, new WallTime(0), new WallTime(2_400_000))).isEmpty();
    for (int night = 0; night < 2; night++) {
      learned.jobChanged(job("n-" + night, 30), new WallTime(night * 2_400_000L + 550_000));
    }
    WallTime third = new WallTime(2 * 2_400_000L + 100_000);
    WallTime dawn = new WallTime(3 * 2_400_000L);
    List<ArrivalForecast.ExpectedArrivals> expected = coming.expected(DAWN, third, dawn);
    assertThat(expected).hasSize(1);
    // At 550 s of 2,400 the sixth part of 24 is under way, at 100 s the second.
    assertThat(expected.get(0).tasksBySlice()).containsOnlyKeys(4);
    assertThat(expected.get(0).tasksBySlice().get(4)).isEqualTo(30);
    // After a night in which nothing came, half of it is left.
    WallTime fourth = new WallTime(3 * 2_400_000L + 100_000);
    List<ArrivalForecast.ExpectedArrivals> faded =
        coming.expected(DAWN, fourth, new WallTime(4 * 2_400_000L));
    assertThat(faded.get(0).tasksBySlice().get(4)).isEqualTo(15);
  }

  @Test
  void restoredStatisticsEqualTheStoredOnes() {
    PlanningStatistics learned = new PlanningStatistics();
    learned.setTerms(List.of(DAWN));
    for (int i = 0; i < 60; i++) {
      learned.taskCompleted(job("j-" + i, 1), Span.seconds(10 + i));
      learned.jobChanged(job("k-" + i, 2), new WallTime(i * 30_000L));
    }
    PlanningStatistics next = new PlanningStatistics();
    next.setTerms(List.of(DAWN));
    next.restore(learned.rows());
    assertThat(next.rows()).isEqualTo(learned.rows());
    assertThat(next.runTimes.quantileRatio("photos", 0.9))
        .isCloseTo(learned.runTimes.quantileRatio("photos", 0.9), within(0.2));
  }
}
