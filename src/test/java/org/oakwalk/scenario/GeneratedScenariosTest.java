package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.model.Draw;
import org.oakwalk.model.Outcome;
import org.oakwalk.model.Scenario;

/**
 * Runs generated scenarios with random faults from fixed seeds. Checks every rule, and that all
 * work is done some time after the last fault. The failure message includes the scenario text,
 * which can be saved as a scenario file.
 */
class GeneratedScenariosTest {
  private static final int FAULT_SEEDS = 80;
  private static final int OVERLAP_SEEDS = 120;
  private static final int EDGE_CASE_SEEDS = 120;

  @TestFactory
  List<DynamicTest> faults() {
    return IntStream.rangeClosed(1, FAULT_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest("seed " + seed, () -> assertPasses(seed, new Draw(seed))))
        .toList();
  }

  /** Random faults while all machines are replaced step by step. */
  @TestFactory
  List<DynamicTest> faultsDuringRollingReplacement() {
    return IntStream.rangeClosed(1, FAULT_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertPasses(seed, new Draw(seed).withRoll())))
        .toList();
  }

  /** Random faults while headroom is reserved for replicas. */
  @TestFactory
  List<DynamicTest> faultsWithHeadroom() {
    return IntStream.rangeClosed(1, FAULT_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertPasses(seed, new Draw(seed).withHeadroom())))
        .toList();
  }

  /**
   * Overlapping faults while users cancel; some of the seeds with rolling replacement, some with
   * all product terms.
   */
  @TestFactory
  List<DynamicTest> overlappingFaults() {
    return IntStream.rangeClosed(1, OVERLAP_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertPasses(seed, withOverlappingFaults(seed))))
        .toList();
  }

  private static Draw withOverlappingFaults(int seed) {
    Draw generator = new Draw(seed).withMeetings();
    if (seed > OVERLAP_SEEDS - 20) {
      return generator.withProducts();
    }
    return seed > OVERLAP_SEEDS - 40 ? generator.withRoll() : generator;
  }

  /**
   * Edge-case faults with teams at their limits; some of the seeds with rolling replacement, some
   * with all product terms.
   */
  @TestFactory
  List<DynamicTest> edgeCaseFaults() {
    return IntStream.rangeClosed(1, EDGE_CASE_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertPasses(seed, withEdgeCaseFaults(seed))))
        .toList();
  }

  private static Draw withEdgeCaseFaults(int seed) {
    Draw generator = new Draw(seed).withHunts();
    if (seed > EDGE_CASE_SEEDS - 10) {
      return generator.withProducts();
    }
    return seed > EDGE_CASE_SEEDS - 20 ? generator.withRoll() : generator;
  }

  private static void assertPasses(int seed, Draw generator) {
    String text = generator.text();
    try {
      Outcome outcome = new Scenario(text).play();
      assertThat(outcome.held()).as(outcome.complaint()).isTrue();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage() + "\n" + text, e);
    }
  }
}
