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
import org.oakwalk.daemon.BadSettings;
import org.oakwalk.model.Outcome;
import org.oakwalk.model.QueueOrder;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioGenerator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays scenarios on the model, so that operators can rehearse what they mean to do. */
@Command(
    name = "experiment",
    description = "Plays scenario files, or drawn troubles, on simulated machines.",
    mixinStandardHelpOptions = true)
final class ExperimentCommand implements Callable<Integer> {
  private static final int NOT_HELD = 1;

  @Spec private CommandSpec spec;

  @Parameters(arity = "0..*", paramLabel = "FILE", description = "Scenario files.")
  private List<Path> files = List.of();

  @Option(
      names = "--draw",
      arity = "0..1",
      fallbackValue = "1",
      paramLabel = "SEED",
      description = "Draws troubles from this seed instead of reading a file.")
  private Integer draw;

  @Option(
      names = "--seeds",
      paramLabel = "A-B",
      description = "With --draw: all seeds from A to B instead of one.")
  private String seeds;

  @Option(names = "--roll", description = "With --draw: all machines are replaced meanwhile.")
  private boolean roll;

  @Option(names = "--headroom", description = "With --draw: room is kept for replicas.")
  private boolean headroom;

  @Option(
      names = "--products",
      description = "With --draw: dawn, headroom and exchange are all in use.")
  private boolean products;

  @Option(
      names = "--meetings",
      description = "With --draw: troubles that overlap, while users cancel.")
  private boolean meetings;

  @Option(
      names = "--hunts",
      description = "With --draw: meetings that operators hunt for, with teams at their limits.")
  private boolean hunts;

  @Option(
      names = "--csv",
      paramLabel = "FILE",
      description = "Writes run, figure and value, a line each, to this file.")
  private Path csv;

  @Option(
      names = "--orders",
      description = "Plays the same without dawns, and by the earliest deadline, as well.")
  private boolean orders;

  @Option(names = "--quiet", description = "Prints only runs in which something did not hold.")
  private boolean quiet;

  private final List<String> table = new ArrayList<>(List.of("run,figure,value"));

  @Override
  public Integer call() throws Exception {
    if (files.isEmpty() == (draw == null && seeds == null)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "Either scenario files or --draw are needed");
    }
    boolean held = true;
    for (Path file : files) {
      held &= play(file.getFileName().toString(), read(file));
    }
    if (files.isEmpty()) {
      int[] range = range();
      for (int seed = range[0]; seed <= range[1]; seed++) {
        ScenarioGenerator troubles = new ScenarioGenerator(seed);
        troubles = roll ? troubles.withRollingReplacement() : troubles;
        troubles = headroom ? troubles.withHeadroom() : troubles;
        troubles = products ? troubles.withProductTerms() : troubles;
        troubles = meetings ? troubles.withOverlappingFaults() : troubles;
        troubles = hunts ? troubles.withEdgeCaseFaults() : troubles;
        held &= play("seed " + seed, troubles.text());
      }
    }
    if (csv != null) {
      Files.write(csv, table);
    }
    return held ? 0 : NOT_HELD;
  }

  private static String read(Path file) throws BadSettings {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new BadSettings(file + ": can't be read: " + e.getMessage());
    }
  }

  private int[] range() {
    if (seeds == null) {
      return new int[] {draw, draw};
    }
    String[] ends = seeds.split("-", 2);
    try {
      int first = Integer.parseInt(ends[0]);
      int last = ends.length == 1 ? first : Integer.parseInt(ends[1]);
      if (first <= last) {
        return new int[] {first, last};
      }
    } catch (NumberFormatException e) {
      // Told below.
    }
    throw new CommandLine.ParameterException(
        spec.commandLine(), "--seeds takes two numbers, as in 1-100");
  }

  private boolean play(String name, String text) throws BadSettings {
    boolean held = play(name, text, QueueOrder.PLANNED);
    if (orders) {
      // What a scenario expects of a plan need not hold without one.
      play(name + " by score alone", text, QueueOrder.SCORE_ONLY);
      play(name + " by earliest deadline", text, QueueOrder.EARLIEST_DEADLINE);
    }
    return held;
  }

  private boolean play(String name, String text, QueueOrder order) throws BadSettings {
    Outcome outcome;
    try {
      outcome = new Scenario(text, order).run();
    } catch (IllegalArgumentException e) {
      throw new BadSettings(name + ": " + e.getMessage());
    }
    PrintWriter out = spec.commandLine().getOut();
    if (!quiet || !outcome.held()) {
      out.println(name + (outcome.held() ? ": all held" : ": NOT HELD"));
      outcome.complaint().lines().forEach(line -> out.println("  " + line));
    }
    if (!quiet) {
      outcome.nights().forEach(line -> out.println("  " + line));
    }
    for (Map.Entry<String, Double> figure : outcome.figures().entrySet()) {
      String value = String.format(Locale.ROOT, "%.4f", figure.getValue());
      table.add(name + "," + figure.getKey() + "," + value);
      if (!quiet) {
        out.println("  " + figure.getKey() + " " + value);
      }
    }
    out.flush();
    return outcome.held();
  }
}
