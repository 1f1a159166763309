package org.oakwalk.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * One line of KNOWN-RED.txt: a scenario that fails because of a known fault that is not fixed yet.
 * The fields are separated by vertical bars.
 *
 * @param scenario name of the scenario file
 * @param command command that runs it, with the seed if it was generated
 * @param faults texts that identify the fault: each occurs in the failure message, and every line
 *     of the message contains at least one
 * @param observed observed behaviour
 * @param cause the cause if it is proven, otherwise "not proven"
 * @param issue the open issue for the fix
 */
record KnownFailure(
    String scenario,
    String command,
    List<String> faults,
    String observed,
    String cause,
    String issue) {
  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final Pattern SEPARATOR = Pattern.compile("\\s*\\|\\s*");
  private static final int FIELD_COUNT = 5;

  static List<KnownFailure> readAll() throws IOException {
    return Files.readAllLines(FILE).stream().map(KnownFailure::parse).toList();
  }

  /** Returns the entry of a scenario if it is known to fail. */
  static Optional<KnownFailure> forScenario(String scenario) throws IOException {
    return readAll().stream().filter(entry -> entry.scenario.equals(scenario)).findFirst();
  }

  private static KnownFailure parse(String line) {
    String[] fields = SEPARATOR.split(line.strip(), -1);
    if (fields.length != FIELD_COUNT) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt entry must be \"scenario | command and seed | faults: observation | cause | issue\": "
              + line);
    }
    String[] observation = fields[2].split(":\\s*", 2);
    if (observation.length != 2) {
      throw new IllegalArgumentException("KNOWN-RED.txt entry names no fault: " + line);
    }
    return new KnownFailure(
        fields[0],
        fields[1],
        List.of(observation[0].split(",\\s*")),
        observation[1],
        fields[3],
        fields[4]);
  }

  /** Returns whether a failure message shows each of these faults and nothing else. */
  boolean matches(String message) {
    List<String> lines = message.lines().filter(line -> !line.isBlank()).toList();
    return lines.stream().allMatch(line -> faults.stream().anyMatch(line::contains))
        && faults.stream().allMatch(fault -> lines.stream().anyMatch(line -> line.contains(fault)));
  }
}
