package org.oakwalk.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.ArrayJobs;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.Resources;

/** The work of judging machines' health depends on the evidence, not on the size of the fleet. */
class HealthJudgementCostTest {
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);
  private static final int CHECKS = 5;
  private static final int FAILING_MACHINES = 3;

  @ParameterizedTest
  @ValueSource(ints = {250, 1_000, 4_000})
  void judgesOnlyMachinesWithEvidence(int machines) {
    Fleet fleet = fleet();
    List<Machine> all = new ArrayList<>();
    for (int i = 0; i < machines; i++) {
      MachineId id = new MachineId("m-" + i);
      all.add(fleet.add(id, "", "m", "a", false, Machine.State.UP, NOW).orElseThrow());
    }
    MachineFailureDetector detector =
        new MachineFailureDetector(
            fleet,
            new BootTracker(TimeSpan.seconds(60)),
            Policy.defaults().capacity(),
            TimeSpan.seconds(600));
    check(detector);
    assertThat(detector.judgements()).isZero();
    for (int i = 0; i < FAILING_MACHINES; i++) {
      failThreeJobs(fleet, all.get(i), i);
    }
    check(detector);
    assertThat(detector.judgements()).isEqualTo((long) CHECKS * FAILING_MACHINES);
    assertThat(all.stream().filter(each -> each.schedulingMode() == SchedulingMode.UNFIT))
        .hasSize(FAILING_MACHINES);
  }

  /** Guards against a whole fleet that is excluded for what its jobs do wrong. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 50})
  void excludesAtMostHalfOfTheMachinesButOne(int machines) {
    Fleet fleet = fleet();
    for (int i = 0; i < machines; i++) {
      MachineId id = new MachineId("m-" + i);
      failThreeJobs(
          fleet, fleet.add(id, "", "m", "a", false, Machine.State.UP, NOW).orElseThrow(), i);
    }
    MachineFailureDetector detector =
        new MachineFailureDetector(
            fleet,
            new BootTracker(TimeSpan.seconds(60)),
            Policy.defaults().capacity(),
            TimeSpan.seconds(600));
    check(detector);
    long excluded =
        fleet.machines().stream()
            .filter(each -> each.schedulingMode() == SchedulingMode.UNFIT)
            .count();
    assertThat(excluded).isEqualTo(Math.max(1, machines / 2));
  }

  private static void check(MachineFailureDetector detector) {
    for (int i = 0; i < CHECKS; i++) {
      detector.checkMachines(NOW, machine -> {});
    }
  }

  private static void failThreeJobs(Fleet fleet, Machine machine, int first) {
    for (int i = 0; i < 3; i++) {
      int number = 10 * first + i;
      Job job =
          new Job(
              ArrayJobs.spec("j-" + number, 2),
              new Revision(number + 1),
              new WallTime(0),
              false,
              NOW);
      Placement placement =
          fleet.place(job, 0, fleet.nextAttempt(), machine, TimeSpan.seconds(5), NOW);
      PlacementTestSupport.fail(placement, NOW);
    }
  }

  private static Fleet fleet() {
    Fleet fleet =
        new Fleet(
            new Token(1),
            null,
            null,
            null,
            new Settings.WorkerTiming(
                TimeSpan.seconds(2), TimeSpan.seconds(10), TimeSpan.seconds(40)),
            PlacementTestSupport.NO_EVENTS);
    fleet.setMachineTypes(
        Map.of(
            "m",
            new MachineType(
                "m",
                Resources.ofMachine(4, 0, 16),
                40,
                1,
                1,
                0.3,
                TimeSpan.seconds(20),
                List.of("a"))));
    return fleet;
  }
}
