package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioGenerator;
import org.oakwalk.model.ScenarioResult;

/**
 * Runs generated scenarios with random faults from fixed seeds. Checks every rule, and that all
 * work is done some time after the last fault. The failure message includes the scenario text,
 * which can be saved as a scenario file.
 */
class GeneratedScenariosTest {
  private static final int FAULT_SEEDS = 80;
  private static final int OVERLAP_SEEDS = 120;
  private static final int EDGE_CASE_SEEDS = 120;
  private static final int LATE_COMMAND_SEEDS = 60;
  private static final int MISTAKEN_JOB_SEEDS = 120;

  @TestFactory
  List<DynamicTest> faults() {
    return drawn(FAULT_SEEDS, seed -> new ScenarioGenerator(seed));
  }

  /** Random faults while all machines are replaced step by step. */
  @TestFactory
  List<DynamicTest> faultsDuringRollingReplacement() {
    return drawn(FAULT_SEEDS, seed -> new ScenarioGenerator(seed).withRollingReplacement());
  }

  /** Random faults while headroom is reserved for replicas. */
  @TestFactory
  List<DynamicTest> faultsWithHeadroom() {
    return drawn(FAULT_SEEDS, seed -> new ScenarioGenerator(seed).withHeadroom());
  }

  /**
   * Overlapping faults while users cancel; some of the seeds with rolling replacement, some with
   * all product terms.
   */
  @TestFactory
  List<DynamicTest> overlappingFaults() {
    return drawn(OVERLAP_SEEDS, seed -> withOverlappingFaults(seed));
  }

  private static ScenarioGenerator withOverlappingFaults(int seed) {
    ScenarioGenerator generator = new ScenarioGenerator(seed).withOverlappingFaults();
    if (seed > OVERLAP_SEEDS - 20) {
      return generator.withProductTerms();
    }
    return seed > OVERLAP_SEEDS - 40 ? generator.withRollingReplacement() : generator;
  }

  /**
   * Edge-case faults with teams at their limits; some of the seeds with rolling replacement, some
   * with all product terms.
   */
  @TestFactory
  List<DynamicTest> edgeCaseFaults() {
    return drawn(EDGE_CASE_SEEDS, seed -> withEdgeCaseFaults(seed));
  }

  private static ScenarioGenerator withEdgeCaseFaults(int seed) {
    ScenarioGenerator generator = new ScenarioGenerator(seed).withEdgeCaseFaults();
    if (seed > EDGE_CASE_SEEDS - 10) {
      return generator.withProductTerms();
    }
    return seed > EDGE_CASE_SEEDS - 20 ? generator.withRollingReplacement() : generator;
  }

  /** Jobs that fail everywhere beside faulty and slow machines, in fleets that can't grow. */
  @TestFactory
  List<DynamicTest> mistakenJobs() {
    return drawn(MISTAKEN_JOB_SEEDS, seed -> new ScenarioGenerator(seed).withMistakenJobs());
  }

  /** Commands that arrive late and get no answer, in fleets that can't grow. */
  @TestFactory
  List<DynamicTest> lateCommands() {
    return drawn(LATE_COMMAND_SEEDS, seed -> new ScenarioGenerator(seed).withLateCommands());
  }

  /** One test for each seed from 1 on. */
  private static List<DynamicTest> drawn(int seeds, IntFunction<ScenarioGenerator> generator) {
    return IntStream.rangeClosed(1, seeds)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertPasses(seed, generator.apply(seed))))
        .toList();
  }

  private static void assertPasses(int seed, ScenarioGenerator generator) {
    String text = generator.text();
    try {
      ScenarioResult outcome = new Scenario(text).run();
      assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage() + "\n" + text, e);
    }
  }
}
