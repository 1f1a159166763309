package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioGenerator;
import org.oakwalk.model.ScenarioResult;

/**
 * Plays drawn troubles from fixed seeds. Every rule is checked, and that all work is done some time
 * after the last trouble. The text of a draw that fails stands in the failure, ready to be kept as
 * a scenario.
 */
class TroublesTest {
  private static final int SEEDS = 80;
  private static final int MEETINGS = 120;
  private static final int HUNTS = 120;

  @TestFactory
  List<DynamicTest> troubles() {
    return IntStream.rangeClosed(1, SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> play(seed, new ScenarioGenerator(seed))))
        .toList();
  }

  /** The same while all machines are replaced. */
  @TestFactory
  List<DynamicTest> troublesInARoll() {
    return IntStream.rangeClosed(1, SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed,
                    () -> play(seed, new ScenarioGenerator(seed).withRollingReplacement())))
        .toList();
  }

  /** The same while room is kept for replicas. */
  @TestFactory
  List<DynamicTest> troublesWithHeadroom() {
    return IntStream.rangeClosed(1, SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> play(seed, new ScenarioGenerator(seed).withHeadroom())))
        .toList();
  }

  /** Troubles that overlap, while users cancel; a share in a roll, a share with all products. */
  @TestFactory
  List<DynamicTest> meetingsOfTroubles() {
    return IntStream.rangeClosed(1, MEETINGS)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> play(seed, meetings(seed))))
        .toList();
  }

  private static ScenarioGenerator meetings(int seed) {
    ScenarioGenerator draw = new ScenarioGenerator(seed).withOverlappingFaults();
    if (seed > MEETINGS - 20) {
      return draw.withProductTerms();
    }
    return seed > MEETINGS - 40 ? draw.withRollingReplacement() : draw;
  }

  /** The newer kinds, with teams at their limits; a share in a roll, a share with all products. */
  @TestFactory
  List<DynamicTest> meetingsToHunt() {
    return IntStream.rangeClosed(1, HUNTS)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> play(seed, hunts(seed))))
        .toList();
  }

  private static ScenarioGenerator hunts(int seed) {
    ScenarioGenerator draw = new ScenarioGenerator(seed).withEdgeCaseFaults();
    if (seed > HUNTS - 10) {
      return draw.withProductTerms();
    }
    return seed > HUNTS - 20 ? draw.withRollingReplacement() : draw;
  }

  private static void play(int seed, ScenarioGenerator draw) {
    String text = draw.text();
    try {
      ScenarioResult outcome = new Scenario(text).run();
      assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage() + "\n" + text, e);
    }
  }
}
