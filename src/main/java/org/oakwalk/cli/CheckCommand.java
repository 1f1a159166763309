package org.oakwalk.cli;

import java.util.concurrent.Callable;
import org.oakwalk.daemon.PlatformSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Validates the settings files and exits. */
@Command(
    name = "check",
    description = "Validates the settings files and exits.",
    mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @ParentCommand private Main main;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    PlatformSettings settings = main.loadSettings();
    main.loadPolicy(settings);
    spec.commandLine()
        .getOut()
        .println("settings of node " + settings.core().node() + " are valid");
    return 0;
  }
}
