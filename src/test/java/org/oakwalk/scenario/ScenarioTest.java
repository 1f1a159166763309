package org.oakwalk.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays every scenario. */
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");

  @TestFactory
  List<DynamicTest> scenarios() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files
          .filter(file -> file.toString().endsWith(".txt"))
          .sorted()
          .map(
              file ->
                  DynamicTest.dynamicTest(
                      file.getFileName().toString(),
                      () -> new Scenario(Files.readString(file)).play()))
          .toList();
    }
  }
}
