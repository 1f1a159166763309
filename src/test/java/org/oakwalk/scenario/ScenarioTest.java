package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.abort;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioResult;

/** Runs each scenario file and checks every rule and the file's own expectations. */
class ScenarioTest {
  private static final Path SCENARIO_DIRECTORY = Path.of("src/test/resources/scenarios");

  @TestFactory
  List<DynamicTest> scenarios() throws IOException {
    try (Stream<Path> files = Files.list(SCENARIO_DIRECTORY)) {
      List<Path> scenarioFiles =
          files.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
      assertThat(scenarioFiles).isNotEmpty();
      return scenarioFiles.stream()
          .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> runFile(file)))
          .toList();
    }
  }

  private static void runFile(Path file) throws IOException {
    ScenarioResult outcome = new Scenario(Files.readString(file)).run();
    Optional<KnownFailure> known = KnownFailure.forScenario(file.getFileName().toString());
    if (known.isPresent()) {
      assertThat(outcome.passed()).as("passes again, so KNOWN-RED.txt is out of date").isFalse();
      assertThat(known.get().matches(outcome.failureMessage()))
          .as("fails only because of %s: %s", known.get().faults(), outcome.failureMessage())
          .isTrue();
      abort("known failure: " + known.get());
    }
    assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
  }

  /** Each entry names an existing scenario and describes its fault completely. */
  @Test
  void knownFailuresAreCurrent() throws IOException {
    assertThat(KnownFailure.readAll())
        .allSatisfy(
            entry -> {
              assertThat(SCENARIO_DIRECTORY.resolve(entry.scenario())).exists();
              assertThat(entry.command()).startsWith("experiment ");
              assertThat(entry.faults()).isNotEmpty().noneMatch(String::isBlank);
              assertThat(entry.observed()).isNotBlank();
              assertThat(entry.cause()).isNotBlank();
              assertThat(entry.issue()).matches("issue \\d+");
            });
  }
}
