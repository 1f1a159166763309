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
 * Plays drawn troubles from fixed seeds. Every rule is checked, and that all work is done some time
 * after the last trouble. The text of a draw that fails stands in the failure, ready to be kept as
 * a scenario.
 */
class GeneratedScenariosTest {
  private static final int FAULT_SEEDS = 80;
  private static final int OVERLAP_SEEDS = 120;
  private static final int EDGE_CASE_SEEDS = 120;

  @TestFactory
  List<DynamicTest> faults() {
    return IntStream.rangeClosed(1, FAULT_SEEDS)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> play(seed, new Draw(seed))))
        .toList();
  }

  /** The same while all machines are replaced. */
  @TestFactory
  List<DynamicTest> faultsDuringRollingReplacement() {
    return IntStream.rangeClosed(1, FAULT_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> play(seed, new Draw(seed).withRoll())))
        .toList();
  }

  /** The same while room is kept for replicas. */
  @TestFactory
  List<DynamicTest> faultsWithHeadroom() {
    return IntStream.rangeClosed(1, FAULT_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> play(seed, new Draw(seed).withHeadroom())))
        .toList();
  }

  /** Troubles that overlap, while users cancel; a share in a roll, a share with all products. */
  @TestFactory
  List<DynamicTest> overlappingFaults() {
    return IntStream.rangeClosed(1, OVERLAP_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> play(seed, withOverlappingFaults(seed))))
        .toList();
  }

  private static Draw withOverlappingFaults(int seed) {
    Draw draw = new Draw(seed).withMeetings();
    if (seed > OVERLAP_SEEDS - 20) {
      return draw.withProducts();
    }
    return seed > OVERLAP_SEEDS - 40 ? draw.withRoll() : draw;
  }

  /** The newer kinds, with teams at their limits; a share in a roll, a share with all products. */
  @TestFactory
  List<DynamicTest> edgeCaseFaults() {
    return IntStream.rangeClosed(1, EDGE_CASE_SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest("seed " + seed, () -> play(seed, withEdgeCaseFaults(seed))))
        .toList();
  }

  private static Draw withEdgeCaseFaults(int seed) {
    Draw draw = new Draw(seed).withHunts();
    if (seed > EDGE_CASE_SEEDS - 10) {
      return draw.withProducts();
    }
    return seed > EDGE_CASE_SEEDS - 20 ? draw.withRoll() : draw;
  }

  private static void play(int seed, Draw draw) {
    String text = draw.text();
    try {
      Outcome outcome = new Scenario(text).play();
      assertThat(outcome.held()).as(outcome.complaint()).isTrue();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage() + "\n" + text, e);
    }
  }
}
