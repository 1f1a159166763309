package org.oakwalk.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.Controller;
import org.oakwalk.core.JobId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Report;
import org.oakwalk.core.Token;
import org.oakwalk.core.placement.Placer;
import org.oakwalk.core.port.PeerMessage;
import org.oakwalk.model.Scenario;
import org.oakwalk.model.ScenarioResult;
import org.oakwalk.wire.PeerCodec;

/**
 * Measures the cost of a steady load to the controllers in reproducible counts, on fleets of
 * different sizes with work in proportion. Each count is bounded by a limit from the design, and
 * from the smallest fleet to the largest it must not grow by more than 10 % per machine or task,
 * which rules out quadratic costs.
 *
 * <p>The build runs 500 and 1,000 machines; {@code -Doakwalk.scaling=500,1000,2000,4000} runs other
 * sizes.
 */
class ScalingTest {
  /** File to which the counts are written. */
  private static final Path RESULTS_FILE = Path.of("target/scaling.txt");

  private static final String FLEET_SIZES = System.getProperty("oakwalk.scaling", "500,1000");

  /** Maximum ratio of the cost per machine or task on the largest fleet to that on the smallest. */
  private static final double MAX_GROWTH_FACTOR = 1.1;

  /**
   * A task is evaluated when it is placed, starts to run, ends, and when its result is stored. The
   * other tasks of its job share these evaluations, and each attempt to place costs one search.
   */
  private static final double MAX_EVALUATIONS_PER_TASK = 5;

  /** Store changes of a job: its acceptance, its end, and at most one stored chunk of results. */
  private static final double MAX_CHANGES_PER_JOB = 3;

  /** Store changes of a machine: a key holds the entries of at least twelve machines. */
  private static final double MAX_CHANGES_PER_MACHINE = 1.0 / 12;

  /** Store changes that are independent of the load, such as the leader key and machine types. */
  private static final double MAX_LEADER_CHANGES = 20;

  /** Size of a report's header, and of the id and state of each running or ended task in it. */
  private static final double MAX_REPORT_HEADER_BYTES = 256;

  private static final double MAX_REPORT_BYTES_PER_TASK = 64;

  /**
   * Size of a job's entry in the digest, an id with two counts, which is sent to each peer every
   * second.
   */
  private static final double MAX_DIGEST_BYTES_PER_JOB = 32;

  /** Collection entries that the leader keeps per machine, its tasks included. */
  private static final double MAX_ENTRIES_PER_MACHINE = 200;

  private record Measured(int machines, Map<String, Double> counts) {
    double get(String name) {
      return counts.get(name);
    }
  }

  @Test
  void costsGrowAtMostLinearly() throws Exception {
    List<Measured> all =
        Arrays.stream(FLEET_SIZES.split(","))
            .map(Integer::parseInt)
            .map(ScalingTest::measure)
            .toList();
    Files.write(RESULTS_FILE, all.stream().map(Measured::toString).toList());
    for (Measured measured : all) {
      assertThat(measured.get("evaluations a task")).isLessThan(MAX_EVALUATIONS_PER_TASK);
      assertThat(measured.get("changes"))
          .isLessThan(
              MAX_CHANGES_PER_JOB * measured.get("jobs")
                  + MAX_CHANGES_PER_MACHINE * measured.machines()
                  + MAX_LEADER_CHANGES);
      assertThat(measured.get("bytes a report"))
          .isLessThan(
              MAX_REPORT_HEADER_BYTES
                  + MAX_REPORT_BYTES_PER_TASK * measured.get("listed a report"));
      assertThat(measured.get("digest bytes a job")).isLessThan(MAX_DIGEST_BYTES_PER_JOB);
      assertThat(measured.get("entries a machine")).isLessThan(MAX_ENTRIES_PER_MACHINE);
    }
    Measured smallest = all.get(0);
    Measured largest = all.get(all.size() - 1);
    for (String name :
        List.of(
            "evaluations a task",
            "changes a job",
            "requests a machine",
            "reports a machine",
            "commands a task",
            "bytes a report",
            "digest bytes a job",
            "entries a machine")) {
      assertThat(largest.get(name)).as(name).isLessThan(smallest.get(name) * MAX_GROWTH_FACTOR);
    }
  }

  private static Measured measure(int machines) {
    try {
      Scenario scenario = new Scenario(text(machines));
      ScenarioResult outcome = scenario.run();
      assertThat(outcome.passed()).as(outcome.failureMessage()).isTrue();
      return new Measured(machines, counts(machines, scenario, outcome));
    } catch (ReflectiveOperationException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Returns a scenario in which a steady stream of short tasks takes three fifths of the fleet and
   * services run half a task per machine.
   */
  private static String text(int machines) {
    StringBuilder text = new StringBuilder();
    text.append(
        ScenarioTestSupport.line(
            "settings nodes=5 zones=a,b report=2.5 lease=15 cancel=45 rps=%d write_rps=%d txn=32",
            machines, machines / 2));
    text.append("type m cpus=16 mem=64 boot=20 cache=50 fetch=1\n");
    for (String zone : List.of("a", "b")) {
      text.append(ScenarioTestSupport.line("machine m %s %d", zone, machines / 2));
      text.append(ScenarioTestSupport.line("capacity m %s 0", zone));
    }
    text.append(ScenarioTestSupport.serviceJobs(machines));
    text.append(
        ScenarioTestSupport.line(
            "every %.4f 8 68 1000 array tasks=16 run=30 guess=30 class=batch image=b gb=1",
            50.0 / machines));
    text.append("end 70\n");
    return text.toString();
  }

  private static Map<String, Double> counts(int machines, Scenario scenario, ScenarioResult outcome)
      throws ReflectiveOperationException {
    Map<String, Double> metrics = outcome.metrics();
    double jobs = metrics.get("batch.jobs") + metrics.get("front.jobs");
    double tasks = metrics.get("batch.tasks_started") + metrics.get("front.tasks_started");
    Controller leader = leader(scenario);
    Object term = ((Optional<?>) CollectionEntryCounter.readField(leader, "term")).orElseThrow();
    Map<String, Double> counts = new LinkedHashMap<>();
    counts.put("jobs", jobs);
    counts.put("tasks", tasks);
    counts.put(
        "evaluations a task",
        ((Placer) CollectionEntryCounter.readField(term, "placer")).evaluations() / tasks);
    counts.put("changes", metrics.get("state.changes"));
    counts.put("changes a job", metrics.get("state.changes") / jobs);
    counts.put("requests a machine", metrics.get("state.requests") / machines);
    counts.put("reports a machine", metrics.get("reports.sent") / machines);
    counts.put("commands a task", metrics.get("commands.executed") / tasks);
    counts.put(
        "listed a report", metrics.get("reports.mean_tasks") + metrics.get("reports.mean_ended"));
    counts.put("bytes a report", meanReportBytes(scenario));
    counts.put("digest bytes a job", digestBytesPerJob(term));
    counts.put("entries a machine", retainedEntries(leader) / machines);
    return counts;
  }

  private static Controller leader(Scenario scenario) throws ReflectiveOperationException {
    Object world = CollectionEntryCounter.readField(scenario, "world");
    for (Object node : (List<?>) CollectionEntryCounter.readField(world, "nodes")) {
      Controller controller = (Controller) CollectionEntryCounter.readField(node, "controller");
      if (controller.leads()) {
        return controller;
      }
    }
    throw new AssertionError("no controller leads");
  }

  /** Returns the mean size of all workers' current reports as controllers forward them. */
  private static double meanReportBytes(Scenario scenario) throws ReflectiveOperationException {
    Object world = CollectionEntryCounter.readField(scenario, "world");
    Collection<?> workers =
        ((Map<?, ?>) CollectionEntryCounter.readField(world, "workers")).values();
    double bytes = 0;
    for (Object worker : workers) {
      Report report = (Report) CollectionEntryCounter.invoke(worker, "snapshot");
      bytes += PeerCodec.encode(new PeerMessage.ForwardReport(report)).length;
    }
    return bytes / workers.size();
  }

  /**
   * Returns the number of bytes that a job adds to the digest which the leader sends to each peer
   * every second.
   */
  private static double digestBytesPerJob(Object term) throws ReflectiveOperationException {
    @SuppressWarnings("unchecked")
    Map<JobId, PeerMessage.TaskCounts> counts =
        (Map<JobId, PeerMessage.TaskCounts>) CollectionEntryCounter.invoke(term, "counts");
    int empty = digestSize(new HashMap<>());
    return (digestSize(counts) - empty) / (double) counts.size();
  }

  private static int digestSize(Map<JobId, PeerMessage.TaskCounts> counts) {
    return PeerCodec.encode(
            new PeerMessage.Digest(new NodeId("node-0"), new Token(1), true, counts, Set.of()))
        .length;
  }

  private static double retainedEntries(Controller leader) throws ReflectiveOperationException {
    return CollectionEntryCounter.countEntries(leader).values().stream()
        .mapToDouble(Integer::doubleValue)
        .sum();
  }
}
