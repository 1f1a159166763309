package org.oakwalk.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Policy;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/** The search, which caches the terms of the distance, chooses the same machines as a full one. */
class MachineSearchTest {
  private static final int SEEDS = 40;
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);

  private final MachineDistance distances = new MachineDistance(Policy.defaults().placement());

  @TestFactory
  List<DynamicTest> matchesExhaustiveSearch() {
    return IntStream.rangeClosed(1, SEEDS)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> compare(seed)))
        .toList();
  }

  private void compare(int seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    Fleet fleet = fleet();
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      String type = random.nextBoolean() ? "small" : "large";
      fleet
          .add(new MachineId("m-" + i), "", type, "a", false, Machine.State.UP, NOW)
          .ifPresent(machines::add);
    }
    int jobs = 0;
    while (jobs < 12) {
      Job job = job(++jobs, random);
      TimeSpan run = job.spec().estimatedRunTime();
      MachineSearch search = new MachineSearch(distances, job, machines, run, NOW);
      for (int index = 0; index < job.spec().tasks(); index++) {
        Machine found = search.nearest(new TaskId(job.id(), index));
        assertThat(found)
            .as("%s/%d", job.id(), index)
            .isSameAs(exhaustiveSearch(job, machines, run));
        if (found == null) {
          break;
        }
        fleet.place(job, index, fleet.nextAttempt(), found, run, NOW);
        search.placedOnLastFound();
      }
    }
  }

  /** The definition: nearest to an ideal machine with the lowest utilization of each resource. */
  private Machine exhaustiveSearch(Job job, List<Machine> machines, TimeSpan run) {
    Machine best = null;
    double bestDistance = Double.MAX_VALUE;
    for (Machine machine : machines) {
      if (distances.fits(job.spec(), machine)) {
        double distance =
            Math.pow(excessUse(machines, machine, MachineDistance::cpuUse), 2)
                + Math.pow(excessUse(machines, machine, MachineDistance::memoryUse), 2)
                + Math.pow(excessUse(machines, machine, MachineDistance::gpuUse), 2)
                + distances.otherTerms(job, machine, run, NOW);
        if (distance < bestDistance) {
          bestDistance = distance;
          best = machine;
        }
      }
    }
    return best;
  }

  private static double excessUse(
      List<Machine> machines, Machine machine, ToDoubleFunction<Machine> use) {
    double least = machines.stream().mapToDouble(use).min().orElseThrow();
    return use.applyAsDouble(machine) - least;
  }

  static Job job(int number, UniformRandomProvider random) {
    boolean service = random.nextInt(3) == 0;
    JobSpec spec =
        new JobSpec(
            new JobId("j-" + number),
            "some",
            "crew",
            service ? JobSpec.Shape.SERVICE : JobSpec.Shape.ARRAY,
            Priority.NORMAL,
            1 + random.nextInt(40),
            Resources.ofTask(0.5 + random.nextInt(3), 0, 1 + random.nextInt(4)),
            Set.of(),
            Optional.empty(),
            false,
            false,
            false,
            "image-" + random.nextInt(4),
            random.nextInt(12),
            service ? TimeSpan.seconds(0) : TimeSpan.seconds(5 + random.nextInt(90)),
            TimeSpan.seconds(0),
            TimeSpan.seconds(0),
            Optional.empty());
    return new Job(spec, new Revision(number), new WallTime(0), false, NOW);
  }

  static Fleet fleet() {
    Settings.WorkerTiming timing =
        new Settings.WorkerTiming(TimeSpan.seconds(2), TimeSpan.seconds(10), TimeSpan.seconds(40));
    Fleet fleet = new Fleet(new Token(1), null, null, null, timing, PlacementTestSupport.NO_EVENTS);
    fleet.setMachineTypes(
        Map.of(
            "small", type("small", 4, 8),
            "large", type("large", 16, 64)));
    return fleet;
  }

  private static MachineType type(String name, int cpus, int memory) {
    return new MachineType(
        name,
        Resources.ofMachine(cpus, 0, memory),
        40,
        0.8,
        1,
        0.3,
        TimeSpan.seconds(20),
        List.of("a"));
  }
}
