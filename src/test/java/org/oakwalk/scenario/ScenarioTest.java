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
import org.oakwalk.model.Outcome;
import org.oakwalk.model.Scenario;

/** Plays each scenario file: every rule is checked, and what the file itself expects. */
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");
  private static final Path KNOWN_RED = Path.of("KNOWN-RED.txt");

  @TestFactory
  List<DynamicTest> scenarios() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      List<Path> texts = files.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
      assertThat(texts).isNotEmpty();
      return texts.stream()
          .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> play(file)))
          .toList();
    }
  }

  private static void play(Path file) throws IOException {
    Outcome outcome = new Scenario(Files.readString(file)).play();
    Optional<String> red = knownRed(file.getFileName().toString());
    if (red.isPresent()) {
      assertThat(outcome.held()).as("holds again, so KNOWN-RED.txt is out of date").isFalse();
      // Passed over for this fault alone; its name is the first word.
      String fault = red.get().split(": ", 2)[1].split(" ", 2)[0];
      assertThat(outcome.complaint().lines().filter(line -> !line.isBlank()))
          .allMatch(line -> line.contains(fault));
      abort("known red: " + red.get());
    }
    assertThat(outcome.held()).as(outcome.complaint()).isTrue();
  }

  /** The line of a scenario that is known to fail, for a fault that is not mended yet. */
  private static Optional<String> knownRed(String name) throws IOException {
    return Files.readAllLines(KNOWN_RED).stream()
        .filter(line -> line.startsWith(name + ": "))
        .findFirst();
  }

  /** A few at most, and each names a scenario that is there. */
  @Test
  void knownRedIsShortAndCurrent() throws IOException {
    List<String> lines = Files.readAllLines(KNOWN_RED);
    assertThat(lines).hasSizeLessThanOrEqualTo(3);
    assertThat(lines).allSatisfy(line -> assertThat(FOLDER.resolve(line.split(": ")[0])).exists());
  }
}
