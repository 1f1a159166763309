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

/** State of one simulation run: nodes, workers, users, services, rule checks and statistics. */
final class World {
  final Timeline time = new Timeline();
  final SimNetwork network = new SimNetwork(time);
  final InvariantChecker invariants = new InvariantChecker(this);
  final DelayInjector delayInjector;
  final Cancellations cancellations;
  final EdgeCaseRequests edgeCaseRequests = new EdgeCaseRequests(this);
  final ConsistencyProbes consistencyProbes;
  final CommitAvailability commitAvailability = new CommitAvailability(time);
  final ReportReplay reportReplay;
  final ReportLoss reportLoss = new ReportLoss(time);
  final SimState state;
  final SimCloud cloud;
  final Settings settings;

  /** True if the state service enforces its rate limits, so that nodes queue their requests. */
  final boolean rateLimited;

  final ScenarioPolicy scenarioPolicy;
  final GangBarrier gangBarrier;
  final JobWaitTimes waitTimes = new JobWaitTimes(this);
  final ScenarioMetrics metrics = new ScenarioMetrics(this);
  final PlanningWindowTracker planningWindows;
  final LargeJobStartRule largeJobStarts = new LargeJobStartRule(this);
  final WorkerTraffic workerTraffic = new WorkerTraffic(this);
  final List<SimNode> nodes = new ArrayList<>();
  final Map<MachineId, SimWorker> workers = new LinkedHashMap<>();
  final Map<JobId, JobSpec> specs = new HashMap<>();
  private final Map<JobId, double[]> runTimes = new HashMap<>();

  /** Seconds of work that tasks have checkpointed. */
  final Map<TaskId, Double> checkpointedSeconds = new HashMap<>();

  final Map<JobId, SimUser> users = new LinkedHashMap<>();
  final Set<JobId> failingJobs = new HashSet<>();
  int refusedStarts;

  /** Completed tasks whose result a worker was ordered to clear. */
  final Set<TaskId> clearedTasks = new HashSet<>();

  /** Number of starts of {@link #clearedTasks}. */
  int clearedTaskRestarts;

  /** Number of user requests to a running node that got no response in time. */
  int unansweredRequests;

  private int nextNode;

  World(Settings settings, ScenarioPolicy scenarioPolicy, ScenarioLine base) {
    this.settings = settings;
    this.scenarioPolicy = scenarioPolicy;
    this.planningWindows = new PlanningWindowTracker(this, scenarioPolicy.batchDeadlines());
    long seed = Math.round(base.number("seed", 1));
    this.delayInjector =
        new DelayInjector(time, settings.workers().leaseDuration().asSeconds(), seed);
    this.cancellations = new Cancellations(this, seed);
    this.consistencyProbes = new ConsistencyProbes(this, seed);
    this.reportReplay = new ReportReplay(this, seed);
    this.rateLimited = base.hasWord("limited");
    this.state =
        new SimState(
            time,
            rateLimited
                ? Optional.of(new StoreRateLimiter(time, settings.state()))
                : Optional.empty(),
            (int) base.number("changes", 10_000));
    this.cloud = new SimCloud(this, settings.cloud().listLag().asSeconds());
    this.gangBarrier =
        new GangBarrier(this, base.number("gangwait", 35), base.number("gangpeer", 8));
    int nodeCount = (int) base.number("nodes", 3);
    for (int i = 0; i < nodeCount; i++) {
      String zone = settings.zones().get(i % settings.zones().size());
      nodes.add(new SimNode(this, new NodeId("node-" + i), zone));
    }
  }

  void start() {
    largeJobStarts.recordMaxFleet();
    for (SimNode node : nodes) {
      time.after(10L * nodes.indexOf(node), node::start);
    }
    time.after(500, this::runChecks);
  }

  private void runChecks() {
    gangBarrier.tick();
    invariants.tick();
    waitTimes.tick();
    metrics.tick();
    planningWindows.checkPromises().ifPresent(invariants::promiseReduced);
    time.after(500, this::runChecks);
  }

  /** Returns the simulated wall-clock time. */
  WallTime wallClock() {
    return new WallTime(time.now() + Math.round(1000 * scenarioPolicy.clockOffset()));
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

  /** Returns the node that the load balancer picks, round robin among the healthy ones. */
  Optional<SimNode> loadBalancedNode() {
    for (int i = 0; i < nodes.size(); i++) {
      SimNode node = nodes.get(nextNode++ % nodes.size());
      if (node.isHealthy()) {
        return Optional.of(node);
      }
    }
    return Optional.empty();
  }

  /** Returns the leader; empty if no responsive node leads. */
  Optional<SimNode> leader() {
    return nodes.stream().filter(SimNode::isResponsive).filter(SimNode::isLeader).findFirst();
  }

  /** Sets the run times of a job's tasks in seconds, assigned cyclically by task index. */
  void setRunTimes(JobId job, double... seconds) {
    runTimes.put(job, seconds);
  }

  /** Returns the run time of a task in seconds. */
  double runSeconds(TaskId task) {
    double[] seconds = runTimes.get(task.job());
    return seconds[task.index() % seconds.length];
  }
}
