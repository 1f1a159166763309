import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment for one case: three controllers and the stand-ins that they need. */
final class Deployment {
  static final int CONTROLLERS = 3;

  /** A run has to be over within 120 s; the rest is left for ending the processes. */
  static final double LIMIT_S = 116;

  private static final int EXIT_HELD = 0;
  private static final int EXIT_BROKEN = 1;
  private static final int EXIT_CANNOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final Controllers controllers;
  final World world;
  final StateService state;
  final Cloud cloud;
  final Users users;
  private final Path folder;

  /**
   * Prepares a deployment with the settings of receptnik-ljubljana, and with this cloud.
   *
   * @param caseFolder the folder of the case, below {@code review/} in the repository
   */
  Deployment(Path caseFolder, Cloud.Terms terms, int machinesAtStart) throws IOException {
    Path repository = caseFolder.toAbsolutePath().getParent().getParent();
    record = new Record(caseFolder.resolve("record.txt"));
    record.line("TROUBLE=%d", trouble ? 1 : 0);
    folder = Files.createTempDirectory("oakwalk-review");
    controllers = new Controllers(repository, folder, CONTROLLERS, record);
    world = new World(controllers.addresses(), controllers.names(), 300, record);
    state = new StateService(CONTROLLERS, 80, 15, record);
    cloud = new Cloud(terms, new Worker.Timing(3, 20, 45), world, record);
    cloud.startWith(machinesAtStart);
    users = new Users(world, record);
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.configure(i, terms.zone, state, cloud, facts(terms.zone));
    }
  }

  private static String facts(String zone) {
    return """
        [facts]
        initial_size = 3
        zones = ["%s"]
        clock_off_ms = 250.0

        [[facts.teams]]
        name = "urednistvo"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0

        [facts.workers]
        report_s = 3.0
        lease_s = 20.0
        gang_wait_s = 45.0
        gang_peer_s = 6.0
        cancel_s = 45.0

        [facts.state]
        rps = 80.0
        write_rps = 15.0
        value_kb = 4.0
        txn_ops = 8

        [facts.cloud]
        rps = 4.0
        list_lag_s = 6.0

        [facts.quota]
        cores = 0.44
        ram_mb = 205.0
        fd_limit = 1200
        """
        .formatted(zone);
  }

  /** Starts all controllers; ends the run if they don't become ready. */
  void start() throws IOException, InterruptedException {
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.start(i);
    }
    if (!controllers.awaitReady(20)) {
      cannotRun("the controllers were not ready within 20 s");
    }
  }

  /** A condition that a case waits for. */
  interface Condition {
    boolean holds() throws InterruptedException;
  }

  /** Waits for a condition; returns false after the limit. */
  boolean await(double limitS, Condition condition) throws InterruptedException {
    double end = Math.min(Record.seconds() + limitS, LIMIT_S);
    while (!condition.holds()) {
      if (Record.seconds() > end) {
        return false;
      }
      Thread.sleep(50);
    }
    return true;
  }

  /** Waits for a condition without which the case can't go on. */
  void need(String what, double limitS, Condition condition) throws InterruptedException {
    if (!await(limitS, condition)) {
      cannotRun("not reached: " + what);
    }
    record.line("reached: %s", what);
  }

  void held(String what) {
    end(EXIT_HELD, "HELD: " + what);
  }

  void broken(String what) {
    end(EXIT_BROKEN, "BROKEN: " + what);
  }

  void cannotRun(String why) {
    end(EXIT_CANNOT_RUN, "COULD NOT RUN: " + why);
  }

  private void end(int code, String verdict) {
    record.line("%s", verdict);
    System.out.println(verdict);
    controllers.killAll();
    appendLogs();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    } catch (IOException e) {
      record.line("temporary folder not removed: %s", e);
    }
    Runtime.getRuntime().exit(code);
    throw new IllegalStateException("unreachable");
  }

  /** Adds the last lines of the controllers' logs to the record. */
  private void appendLogs() {
    for (int i = 0; i < CONTROLLERS; i++) {
      Path log = folder.resolve("controller-" + i + ".log");
      try {
        List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
        record.line("log of controller %d, last lines:", i);
        lines.stream()
            .skip(Math.max(0, lines.size() - 60))
            .forEach(line -> record.line("  %s", line));
      } catch (IOException e) {
        record.line("log of controller %d can't be read: %s", i, e);
      }
    }
  }
}
