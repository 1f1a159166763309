package org.oakwalk.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * One line of KNOWN-RED.txt: a scenario that fails for a fault that is not mended yet. The fields
 * are separated by bars.
 *
 * @param scenario file among the scenarios
 * @param command how to play it, with its seed if it was drawn
 * @param faults words of which each stands in a complaint, and one in every complaint
 * @param observed what was seen
 * @param cause the cause if it is proven, else "not proven"
 * @param issue the open issue that is to mend it
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

  /** The entry of this scenario, if it is known to fail. */
  static Optional<KnownFailure> forScenario(String scenario) throws IOException {
    return readAll().stream().filter(entry -> entry.scenario.equals(scenario)).findFirst();
  }

  private static KnownFailure parse(String line) {
    String[] fields = SEPARATOR.split(line.strip(), -1);
    if (fields.length != FIELD_COUNT) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt: test | command and seed | fault: what was seen | cause | issue: " + line);
    }
    String[] seen = fields[2].split(":\\s*", 2);
    if (seen.length != 2) {
      throw new IllegalArgumentException("KNOWN-RED.txt names no fault: " + line);
    }
    return new KnownFailure(
        fields[0], fields[1], List.of(seen[0].split(",\\s*")), seen[1], fields[3], fields[4]);
  }

  /** Whether a run fails for these faults, for each of them, and for nothing else. */
  boolean matches(String complaint) {
    List<String> lines = complaint.lines().filter(line -> !line.isBlank()).toList();
    return lines.stream().allMatch(line -> faults.stream().anyMatch(line::contains))
        && faults.stream().allMatch(fault -> lines.stream().anyMatch(line -> line.contains(fault)));
  }
}
