package org.oakwalk.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.oakwalk.daemon.InvalidSettingsException;
import org.oakwalk.model.QueueOrder;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioGenerator;
import org.oakwalk.model.ScenarioResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs scenarios in the simulator, so that operators can try out changes before applying them. */
@Command(
    name = "experiment",
    description = "Runs scenario files, or randomly generated faults, on simulated machines.",
    mixinStandardHelpOptions = true)
final class ExperimentCommand implements Callable<Integer> {
  private static final int EXIT_FAILED = 1;

  @Spec private CommandSpec spec;

  @Parameters(arity = "0..*", paramLabel = "FILE", description = "Scenario files.")
  private List<Path> files = List.of();

  @Option(
      names = "--draw",
      arity = "0..1",
      fallbackValue = "1",
      paramLabel = "SEED",
      description = "Generates faults from this seed instead of reading a file.")
  private Integer seed;

  @Option(
      names = "--seeds",
      paramLabel = "A-B",
      description = "Generates faults from each seed from A to B instead of from one.")
  private String seedRange;

  @Option(names = "--roll", description = "With --draw: replaces all machines during the run.")
  private boolean roll;

  @Option(
      names = "--headroom",
      description = "With --draw: reserves capacity for service replicas.")
  private boolean headroom;

  @Option(
      names = "--products",
      description = "With --draw: enables dawns (batch deadlines), headroom and exchange.")
  private boolean products;

  @Option(
      names = "--meetings",
      description = "With --draw: generates overlapping faults while users cancel jobs.")
  private boolean meetings;

  @Option(
      names = "--late-commands",
      description =
          "With --draw: adds commands that arrive late to overlapping faults, in a fleet that"
              + " can't grow.")
  private boolean lateCommands;

  @Option(
      names = "--mistakes",
      description =
          "With --draw: generates jobs that fail everywhere beside faulty and slow machines, in a"
              + " fleet that can't grow.")
  private boolean mistakes;

  @Option(
      names = "--hunts",
      description =
          "With --draw: generates fault combinations that operators test for, with teams at their"
              + " limits.")
  private boolean hunts;

  @Option(
      names = "--csv",
      paramLabel = "FILE",
      description = "Writes the figures to this file, one line of run, figure and value each.")
  private Path csvFile;

  @Option(
      names = "--orders",
      description =
          "Also runs each scenario without dawns, and with earliest-deadline-first order.")
  private boolean compareOrders;

  @Option(names = "--quiet", description = "Prints only runs in which a check failed.")
  private boolean quiet;

  private final List<String> csvLines = new ArrayList<>(List.of("run,figure,value"));

  @Override
  public Integer call() throws Exception {
    if (files.isEmpty() == (seed == null && seedRange == null)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "Either scenario files or one of --draw and --seeds is required");
    }
    boolean passed = true;
    for (Path file : files) {
      passed &= runScenario(file.getFileName().toString(), read(file));
    }
    if (files.isEmpty()) {
      int[] range = parseSeedRange();
      for (int drawnSeed = range[0]; drawnSeed <= range[1]; drawnSeed++) {
        ScenarioGenerator faults = new ScenarioGenerator(drawnSeed);
        faults = roll ? faults.withRollingReplacement() : faults;
        faults = headroom ? faults.withHeadroom() : faults;
        faults = products ? faults.withProductTerms() : faults;
        faults = meetings ? faults.withOverlappingFaults() : faults;
        faults = hunts ? faults.withEdgeCaseFaults() : faults;
        faults = lateCommands ? faults.withLateCommands() : faults;
        faults = mistakes ? faults.withMistakenJobs() : faults;
        passed &= runScenario("seed " + drawnSeed, faults.text());
      }
    }
    if (csvFile != null) {
      Files.write(csvFile, csvLines);
    }
    return passed ? 0 : EXIT_FAILED;
  }

  private static String read(Path file) throws InvalidSettingsException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new InvalidSettingsException(file + ": can't be read: " + e.getMessage());
    }
  }

  private int[] parseSeedRange() {
    if (seedRange == null) {
      return new int[] {seed, seed};
    }
    String[] ends = seedRange.split("-", 2);
    try {
      int first = Integer.parseInt(ends[0]);
      int last = ends.length == 1 ? first : Integer.parseInt(ends[1]);
      if (first <= last) {
        return new int[] {first, last};
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw new CommandLine.ParameterException(
        spec.commandLine(), "--seeds requires a number or an ascending range such as 1-100");
  }

  private boolean runScenario(String name, String text) throws InvalidSettingsException {
    boolean passed = runScenario(name, text, QueueOrder.PLANNED);
    if (compareOrders) {
      // The scenario's expectations assume a plan, so the result of these runs is not a failure.
      runScenario(name + " by score alone", text, QueueOrder.SCORE_ONLY);
      runScenario(name + " by earliest deadline", text, QueueOrder.EARLIEST_DEADLINE);
    }
    return passed;
  }

  private boolean runScenario(String name, String text, QueueOrder queueOrder)
      throws InvalidSettingsException {
    ScenarioResult result;
    try {
      result = new Scenario(text, queueOrder).run();
    } catch (IllegalArgumentException e) {
      throw new InvalidSettingsException(name + ": " + e.getMessage());
    }
    PrintWriter out = spec.commandLine().getOut();
    if (!quiet || !result.passed()) {
      out.println(name + (result.passed() ? ": all held" : ": NOT HELD"));
      result.failureMessage().lines().forEach(line -> out.println("  " + line));
    }
    if (!quiet) {
      result.planningReport().forEach(line -> out.println("  " + line));
    }
    for (Map.Entry<String, Double> figure : result.metrics().entrySet()) {
      String value = String.format(Locale.ROOT, "%.4f", figure.getValue());
      csvLines.add(name + "," + figure.getKey() + "," + value);
      if (!quiet) {
        out.println("  " + figure.getKey() + " " + value);
      }
    }
    out.flush();
    return result.passed();
  }
}
