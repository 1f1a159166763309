package org.oakwalk.cli;

import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.oakwalk.core.Policy;
import org.oakwalk.daemon.Daemon;
import org.oakwalk.daemon.PlatformSettings;
import picocli.CommandLine.Command;

/**
 * Starts a node without a state service, cloud or peers, sends it requests, and exits. The build
 * runs this command to record the classes that a node loads at start, because start-up time adds to
 * failover time.
 */
@Command(
    name = "rehearse",
    description = "Starts a node without other services and exits (used by the build).",
    mixinStandardHelpOptions = true)
final class RehearseCommand implements Callable<Integer> {
  private static final String SETTINGS_TOML =
      """
      node = "rehearsal"
      domain = "none"
      serve_on = "127.0.0.1:0"
      cluster_listen = "127.0.0.1:0"
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:1"
      [facts]
      zones = ["none"]
      [facts.workers]
      report_s = 1.0
      lease_s = 10.0
      cancel_s = 30.0
      [facts.state]
      rps = 10.0
      write_rps = 10.0
      value_kb = 4.0
      txn_ops = 8
      [facts.cloud]
      rps = 1.0
      list_lag_s = 1.0
      """;

  @Override
  public Integer call() throws Exception {
    Path file = Files.createTempFile("rehearsal", ".toml");
    try {
      Files.writeString(file, SETTINGS_TOML);
      try (Daemon daemon = new Daemon(PlatformSettings.read(file), Policy.defaults())) {
        for (String path : new String[] {"/ready", "/v2/runs/j-1"}) {
          URI uri = URI.create("http://127.0.0.1:" + daemon.clientPort() + path);
          HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
          if (connection.getResponseCode() != HttpURLConnection.HTTP_UNAVAILABLE) {
            return 1;
          }
        }
      }
    } finally {
      Files.delete(file);
    }
    return 0;
  }
}
