package org.oakwalk.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.JobSpec;

/** All that takes part in a scenario. */
final class World {
  final Timeline time = new Timeline();
  final Network network = new Network(time);
  final InvariantChecker rules = new InvariantChecker(this);
  final DelayInjector lateness;
  final Cancellations cancellations;
  final EdgeCaseRequests oddRequests = new EdgeCaseRequests(this);
  final ConsistencyProbes closeLooks;
  final CommitAvailability givenUp = new CommitAvailability(time);
  final KeptReports keptReports;
  final NoReports noReports = new NoReports(time);
  final SimState state;
  final SimCloud cloud;
  final Settings settings;

  /** Whether the state service keeps to its rates, so that nodes' requests wait for them. */
  final boolean limited;

  final ScenarioPolicy plans;
  final GangBarrier gangs;
  final JobWaitTimes waits = new JobWaitTimes(this);
  final ScenarioMetrics figures = new ScenarioMetrics(this);
  final PlanningWindowTracker nights;
  final LargeJobStartRule largest = new LargeJobStartRule(this);
  final ReportLoad reportLoad = new ReportLoad(this);
  final List<SimNode> nodes = new ArrayList<>();
  final Map<MachineId, SimWorker> workers = new LinkedHashMap<>();
  final Map<JobId, JobSpec> specs = new HashMap<>();
  private final Map<JobId, double[]> runs = new HashMap<>();

  /** Seconds of work that tasks have saved. */
  final Map<TaskId, Double> saved = new HashMap<>();

  final Map<JobId, SimUser> users = new LinkedHashMap<>();
  final Set<JobId> failing = new HashSet<>();
  int refusals;

  /** Completed tasks of which a worker was told to forget the result. */
  final Set<TaskId> forgotten = new HashSet<>();

  /** Starts of such tasks. */
  int reruns;

  /** Users' questions to a node that runs, to which no answer came in time. */
  int unheard;

  private int turn;

  World(Settings settings, ScenarioPolicy plans, Words base) {
    this.settings = settings;
    this.plans = plans;
    this.nights = new PlanningWindowTracker(this, plans.batchDeadlines());
    long seed = Math.round(base.number("seed", 1));
    this.lateness = new DelayInjector(time, settings.workers().leaseDuration().asSeconds(), seed);
    this.cancellations = new Cancellations(this, seed);
    this.closeLooks = new ConsistencyProbes(this, seed);
    this.keptReports = new KeptReports(this, seed);
    this.limited = base.has("limited");
    this.state =
        new SimState(
            time,
            limited ? Optional.of(new StoreRates(time, settings.state())) : Optional.empty(),
            (int) base.number("changes", 10_000));
    this.cloud = new SimCloud(this, settings.cloud().listLag().asSeconds());
    this.gangs = new GangBarrier(this, base.number("gangwait", 35), base.number("gangpeer", 8));
    int nodeCount = (int) base.number("nodes", 3);
    for (int i = 0; i < nodeCount; i++) {
      String zone = settings.zones().get(i % settings.zones().size());
      nodes.add(new SimNode(this, new NodeId("node-" + i), zone));
    }
  }

  void begin() {
    largest.recordMaxFleet();
    for (SimNode node : nodes) {
      time.after(10L * nodes.indexOf(node), node::start);
    }
    time.after(500, this::check);
  }

  private void check() {
    gangs.tick();
    rules.tick();
    waits.tick();
    figures.tick();
    nights.checkPromises().ifPresent(rules::promiseReduced);
    time.after(500, this::check);
  }

  /** The time of day. */
  WallTime wall() {
    return new WallTime(time.now() + Math.round(1000 * plans.clockOffset()));
  }

  Settings settingsOf(SimNode node) {
    List<NodeId> peers = nodes.stream().map(n -> n.id).filter(id -> !id.equals(node.id)).toList();
    return new Settings(
        node.id,
        node.zone,
        peers,
        settings.zones(),
        settings.teams(),
        settings.objectives(),
        settings.workers(),
        settings.state(),
        settings.cloud(),
        settings.maxClockError());
  }

  SimNode node(NodeId id) {
    return nodes.get(indexOf(id));
  }

  int indexOf(NodeId id) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).id.equals(id)) {
        return i;
      }
    }
    throw new IllegalArgumentException("no node " + id);
  }

  Optional<SimWorker> workerAt(String address) {
    return Optional.ofNullable(workers.get(new MachineId(address)));
  }

  /** The node that the load balancer would take: they take turns. */
  Optional<SimNode> someNode() {
    for (int i = 0; i < nodes.size(); i++) {
      SimNode node = nodes.get(turn++ % nodes.size());
      if (node.healthy()) {
        return Optional.of(node);
      }
    }
    return Optional.empty();
  }

  /** The node that a reporting worker would be answered by; empty if none leads. */
  Optional<SimNode> leader() {
    return nodes.stream().filter(SimNode::active).filter(SimNode::leads).findFirst();
  }

  /** Sets how many seconds a job's tasks run, in the order of their numbers, and again. */
  void run(JobId job, double... seconds) {
    runs.put(job, seconds);
  }

  /** How many seconds a task runs. */
  double runSeconds(TaskId task) {
    double[] seconds = runs.get(task.job());
    return seconds[task.index() % seconds.length];
  }
}
