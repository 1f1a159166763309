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
   * Prepares a deployment.
   *
   * @param caseFolder the folder of the case, below {@code review/} in the repository
   */
  Deployment(Site site, Path caseFolder, Cloud.Terms terms, int machinesAtStart)
      throws IOException {
    Path repository = caseFolder.toAbsolutePath().getParent().getParent();
    record = new Record(caseFolder.resolve("record.txt"));
    record.line("TROUBLE=%d", trouble ? 1 : 0);
    folder = Files.createTempDirectory("oakwalk-review");
    controllers = new Controllers(repository, folder, CONTROLLERS, record);
    world = new World(controllers.addresses(), controllers.names(), 300, record);
    state = new StateService(CONTROLLERS, site.rps, site.writeRps, record);
    terms.zone = site.zone;
    terms.listLagMs = site.listLagS * 1000L;
    cloud = new Cloud(terms, site.timing, world, record);
    cloud.startWith(machinesAtStart);
    users = new Users(world, record);
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.configure(i, site.zone, state, cloud, site.facts());
    }
  }

  /** The settings of a deployment that matter here, from its site file. */
  enum Site {
    RECEPTNIK("urednistvo", "savinja", 0, 0, 3, 20, 45, 80, 15, 4, 8, 6, 1200),
    BOYAS("datos-costa", "pacifico-norte", 88, 232, 1.5, 10, 40, 250, 100, 32, 32, 8, 700);

    final String team;
    final String zone;
    final double cpus;
    final double cpusMax;
    final Worker.Timing timing;
    final int rps;
    final int writeRps;
    final int valueKb;
    final int txnOps;
    final int listLagS;
    final int fdLimit;

    Site(
        String team,
        String zone,
        double cpus,
        double cpusMax,
        double reportS,
        double leaseS,
        double cancelS,
        int rps,
        int writeRps,
        int valueKb,
        int txnOps,
        int listLagS,
        int fdLimit) {
      this.team = team;
      this.zone = zone;
      this.cpus = cpus;
      this.cpusMax = cpusMax;
      this.timing = new Worker.Timing(reportS, leaseS, cancelS);
      this.rps = rps;
      this.writeRps = writeRps;
      this.valueKb = valueKb;
      this.txnOps = txnOps;
      this.listLagS = listLagS;
      this.fdLimit = fdLimit;
    }

    private String facts() {
      return """
          [facts]
          initial_size = 3
          zones = ["%s"]
          clock_off_ms = 250.0

          [[facts.teams]]
          name = "%s"
          cpus = %s
          cpus_max = %s
          gpus = 0.0
          gpus_max = 0.0

          [facts.workers]
          report_s = %s
          lease_s = %s
          gang_wait_s = 45.0
          gang_peer_s = 6.0
          cancel_s = %s

          [facts.state]
          rps = %d.0
          write_rps = %d.0
          value_kb = %d.0
          txn_ops = %d

          [facts.cloud]
          rps = 4.0
          list_lag_s = %d.0

          [facts.quota]
          cores = 0.44
          ram_mb = 205.0
          fd_limit = %d
          """
          .formatted(
              zone,
              team,
              cpus,
              cpusMax,
              timing.reportS(),
              timing.leaseS(),
              timing.cancelS(),
              rps,
              writeRps,
              valueKb,
              txnOps,
              listLagS,
              fdLimit);
    }
  }

  /** Starts all controllers; ends the run if they don't become ready. */
  void start() throws IOException, InterruptedException {
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.start(i);
    }
    if (!controllers.awaitReady(20)) {
      cannotRun("the controllers were not ready within 20 s");
    }
    if (!controllers.endedAlone().isEmpty()) {
      cannotRun("a controller did not start, a port may have been taken meanwhile");
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
