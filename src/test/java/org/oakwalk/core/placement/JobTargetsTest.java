package org.oakwalk.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.JobId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** Whether a restarted task makes its job miss a target that the present run would meet. */
class JobTargetsTest {
  private static JobSpec job(String jobClass, Optional<TimeSpan> due) {
    return new JobSpec(
        new JobId("j-1"),
        jobClass,
        "crew",
        JobSpec.Shape.ARRAY,
        Priority.NORMAL,
        4,
        Resources.ofTask(1, 0, 1),
        Set.of(),
        Optional.empty(),
        false,
        false,
        true,
        "img",
        1,
        TimeSpan.seconds(10),
        TimeSpan.millis(0),
        TimeSpan.millis(0),
        due);
  }

  /**
   * Compares the result of {@link JobTargets#latestBefore} with the definition: the earliest
   * reachable targets of the present run and of the restarted one differ.
   */
  @Test
  void latestBeforeMatchesComparisonOfReachableTargets() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L);
    int missed = 0;
    for (int i = 0; i < 20_000; i++) {
      List<Settings.Objective> objectives = new ArrayList<>();
      for (int k = random.nextInt(4); k > 0; k--) {
        String kind = List.of("finished", "deadline", "wait").get(random.nextInt(3));
        String jobClass = random.nextInt(4) == 0 ? "other" : "own";
        objectives.add(
            new Settings.Objective(
                kind, jobClass, 5 * random.nextInt(20), 1, 0.5 * random.nextInt(5)));
      }
      JobTargets targets = new JobTargets(objectives);
      JobSpec spec =
          job(
              "own",
              random.nextBoolean()
                  ? Optional.empty()
                  : Optional.of(TimeSpan.seconds(random.nextInt(100))));
      TimeSpan end = TimeSpan.seconds(random.nextInt(120));
      TimeSpan ran = TimeSpan.seconds(random.nextInt(60));
      Optional<TimeSpan> reached = targets.earliestReachable(spec, end.minus(ran));
      boolean expected =
          reached.isPresent() && !reached.equals(targets.earliestReachable(spec, end));
      boolean actual =
          targets.latestBefore(spec, end).filter(t -> end.minus(t).compareTo(ran) <= 0).isPresent();
      assertThat(actual)
          .as("%s %s %s %s", objectives, spec.deadline(), end, ran)
          .isEqualTo(expected);
      missed += expected ? 1 : 0;
    }
    assertThat(missed).isGreaterThan(1_000);
  }
}
