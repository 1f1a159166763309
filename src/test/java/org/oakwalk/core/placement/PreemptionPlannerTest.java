package org.oakwalk.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.Placement;
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** The work and the costs of planning preemptions. */
class PreemptionPlannerTest {
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);

  /**
   * Guards against inspecting every task of the fleet, for each waiting job and in each round, as
   * soon as any task is being stopped. That took more than half of a busy leader's CPU time.
   */
  @ParameterizedTest
  @ValueSource(ints = {100, 1_000, 5_000})
  void inspectsOnlyMachinesWithTasksToStop(int machines) {
    Fleet fleet = MachineSearchTest.fleet();
    for (int i = 0; i < machines; i++) {
      fleet.add(new MachineId("m-" + i), "", "small", "a", false, Machine.State.UP, NOW);
    }
    List<Machine> all = List.copyOf(fleet.machines());
    Placement stopped = null;
    for (int i = 0; i < machines; i++) {
      Job job = MachineSearchTest.job(i, RandomSource.XO_RO_SHI_RO_128_PP.create(i));
      stopped = fleet.place(job, 0, fleet.nextAttempt(), all.get(i), TimeSpan.seconds(60), NOW);
    }
    fleet.halt(stopped, TimeSpan.seconds(5), Fleet.StopReason.PREEMPTED);
    PreemptionPlanner preemption =
        new PreemptionPlanner(
            fleet.preemptionIndex(),
            new Quota(Map.of(), fleet),
            new JobTargets(List.of()),
            new RunTimeEstimates(),
            new ServedShares(),
            CapacityReserve.NONE,
            CapacityExchange.NONE);
    Job asking = MachineSearchTest.job(machines, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    preemption.beginRound();
    List<PreemptionPlanner.PreemptionPlan> plans =
        preemption.plans(asking, all, NOW, new WallTime(0));
    assertThat(preemption.inspections()).isEqualTo(1);
    assertThat(plans).allMatch(plan -> plan.victims().isEmpty());
    assertThat(plans)
        .extracting(PreemptionPlanner.PreemptionPlan::machine)
        .contains(stopped.machine());
  }

  /**
   * Guards against preempting a gang's task because it seems the cheapest: all tasks of the gang
   * are restarted then, so the work of all is lost.
   */
  @Test
  void gangVictimCostsTheWorkOfAllGangTasks() {
    Fleet fleet = MachineSearchTest.fleet();
    for (int i = 0; i < 3; i++) {
      fleet.add(new MachineId("m-" + i), "", "small", "a", false, Machine.State.UP, NOW);
    }
    List<Machine> all = List.copyOf(fleet.machines());
    Job gang = job("j-1", JobSpec.Shape.GANG, Priority.LOW, 2);
    Job array = job("j-2", JobSpec.Shape.ARRAY, Priority.LOW, 1);
    run(fleet, array, 0, all.get(0), new MonotonicTime(NOW.millis() - 15_000));
    run(fleet, gang, 0, all.get(1), new MonotonicTime(NOW.millis() - 10_000));
    run(fleet, gang, 1, all.get(2), new MonotonicTime(NOW.millis() - 10_000));
    PreemptionPlanner preemption =
        new PreemptionPlanner(
            fleet.preemptionIndex(),
            new Quota(Map.of(), fleet),
            new JobTargets(List.of()),
            new RunTimeEstimates(),
            new ServedShares(),
            CapacityReserve.NONE,
            CapacityExchange.NONE);
    preemption.beginRound();
    Job asking = job("j-3", JobSpec.Shape.SERVICE, Priority.HIGH, 1);
    List<PreemptionPlanner.PreemptionPlan> plans =
        preemption.plans(asking, all, NOW, new WallTime(0));
    assertThat(plans).hasSize(3);
    PreemptionPlanner.PreemptionPlan cheapest =
        plans.stream()
            .min(Comparator.comparingDouble(PreemptionPlanner.PreemptionPlan::cost))
            .orElseThrow();
    assertThat(cheapest.machine()).isEqualTo(all.get(0));
  }

  private static void run(Fleet fleet, Job job, int index, Machine machine, MonotonicTime since) {
    Placement placement =
        fleet.place(job, index, fleet.nextAttempt(), machine, TimeSpan.seconds(60), since);
    PlacementTestSupport.markRunning(placement, since);
  }

  private static Job job(String id, JobSpec.Shape shape, Priority priority, int tasks) {
    JobSpec spec =
        new JobSpec(
            new JobId(id),
            "some",
            "crew",
            shape,
            priority,
            tasks,
            Resources.ofTask(4, 0, 1),
            Set.of(),
            Optional.empty(),
            false,
            false,
            false,
            "image",
            1,
            TimeSpan.seconds(60),
            TimeSpan.seconds(0),
            TimeSpan.seconds(0),
            Optional.empty());
    return new Job(spec, new Revision(1), new WallTime(0), false, NOW);
  }
}
