package org.oakwalk.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.oakwalk.core.Policy;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.daemon.Daemon;
import org.oakwalk.daemon.InvalidSettingsException;
import org.oakwalk.daemon.PlatformSettings;
import org.oakwalk.daemon.PolicyFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The command line. Without a subcommand it runs a controller node. */
@Command(
    name = "oakwalk",
    description = "A cluster scheduler for rented machines.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.VersionProvider.class,
    exitCodeOnInvalidInput = Main.EXIT_INVALID_INPUT,
    subcommands = {CheckCommand.class, ExperimentCommand.class, RehearseCommand.class})
public final class Main implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(Main.class);
  static final int EXIT_INVALID_INPUT = 2;

  /** Start of the process on the monotonic clock. */
  private static final long START_NANOS = System.nanoTime();

  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      scope = ScopeType.INHERIT,
      description = "Settings file provided by the platform (TOML).")
  private Path configFile;

  @Option(
      names = "--policy",
      paramLabel = "FILE",
      scope = ScopeType.INHERIT,
      description = "Policy file of the operators (HCL); every field has a default.")
  private Path policyFile;

  /** Runs the command line and ends the process with its exit code. */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Main());
    line.setExecutionExceptionHandler(
        (exception, command, result) -> {
          if (exception instanceof InvalidSettingsException) {
            command.getErr().println("oakwalk: " + exception.getMessage());
            return EXIT_INVALID_INPUT;
          }
          throw exception;
        });
    return line;
  }

  PlatformSettings loadSettings() throws InvalidSettingsException {
    if (configFile == null) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "Missing required option: '--config=FILE'");
    }
    return PlatformSettings.read(configFile);
  }

  Policy loadPolicy(PlatformSettings settings) throws InvalidSettingsException {
    if (policyFile == null) {
      return Policy.defaults();
    }
    Policy loaded = PolicyFile.read(policyFile);
    PolicyFile.validate(policyFile, loaded, settings.core());
    return loaded;
  }

  @Override
  public Integer call() throws Exception {
    PlatformSettings settings = loadSettings();
    try (Daemon daemon = new Daemon(settings, loadPolicy(settings))) {
      LOG.info("node {} started {} after process start", settings.core().node(), sinceStart());
      daemon.awaitTermination();
    }
    return 0;
  }

  private static TimeSpan sinceStart() {
    return TimeSpan.millis((System.nanoTime() - START_NANOS) / 1_000_000);
  }

  /** Reads the version from the manifest of the jar file. */
  static final class VersionProvider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"oakwalk " + (version == null ? "development" : version)};
    }
  }
}
