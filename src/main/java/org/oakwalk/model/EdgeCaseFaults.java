package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates random fault combinations for edge cases: one fault of {@link FaultKind} and one or two
 * further faults of any kind, while teams are at their quotas, arrays are bound to a zone, jobs
 * end, and users cancel, repeat their requests and query in rapid succession.
 */
final class EdgeCaseFaults {
  /** Latest end of a fault; messages that it delayed may arrive later. */
  private static final int LAST_FAULT_SECONDS = 80;

  /** Kinds of faults; each scenario has at least one of them. */
  private enum FaultKind {
    LOST_REPORTS,
    CANCEL_BURST,
    CANCEL_BURST_DURING_OUTAGE,
    CANCEL_BURST_AT_QUOTA,
    CANCEL_AT_END,
    CONSISTENCY_PROBES,
    EDGE_CASE_REQUESTS,
    LATE_WRITES,
    REPLAYED_REPORTS,
    QUICK_BOOTS,
    MACHINE_LOSSES,
    JOB_STREAM,
    OVERLOAD,
    REPEATED_FAILOVER,
    FULL_RESTART,
    ZONE_PARTITION,
    DUPLICATE_STARTS
  }

  private final UniformRandomProvider random;
  private final FaultCombinations combinations;
  private final int nodes;
  private final boolean zones;
  private final int cancelDeadlineSeconds;
  private final List<String> lines = new ArrayList<>();
  private final List<String> finiteJobs = new ArrayList<>();
  private boolean hasJobStream;
  private int fullTeamQuota;
  private int lastFaultEnd = ScenarioGenerator.LAST_FAULT_END_SECONDS;

  EdgeCaseFaults(UniformRandomProvider random, int nodes, int machines, boolean zones, int cancel) {
    this.random = random;
    this.combinations = new FaultCombinations(random, nodes, machines, zones, cancel);
    this.nodes = nodes;
    this.zones = zones;
    this.cancelDeadlineSeconds = cancel;
  }

  /** Returns the team lines; in some draws all teams get a quota. */
  List<String> teamLines() {
    boolean all = random.nextInt(3) == 0;
    fullTeamQuota = 5 + random.nextInt(3);
    return List.of(
        all ? "team crew max=" + (22 + random.nextInt(8)) : "team crew",
        "team small max=6",
        all ? "team guests max=" + (2 + random.nextInt(3)) : "team guests",
        "team full max=" + fullTeamQuota);
  }

  /** Returns the lines of the jobs and the faults. */
  List<String> jobAndFaultLines() {
    int at = 10 + random.nextInt(20);
    int duration = 6 + random.nextInt(30);
    addJobs(at, duration);
    FaultKind[] kinds = FaultKind.values();
    addFault(kinds[random.nextInt(kinds.length)], at, duration);
    int others = 1 + random.nextInt(2);
    for (int i = 0; i < others; i++) {
      int begins = at + random.nextInt(duration - 2);
      if (random.nextBoolean()) {
        addFault(kinds[random.nextInt(kinds.length)], begins, 3 + random.nextInt(30));
      } else {
        lines.addAll(combinations.randomFault(begins, 3 + random.nextInt(30)));
      }
    }
    lines.addAll(combinations.jobLines(at, duration));
    return lines;
  }

  /** Returns the names of the jobs that must be done at the end of the scenario. */
  List<String> finiteJobs() {
    finiteJobs.addAll(combinations.jobsToFinish());
    return finiteJobs;
  }

  /** Returns the end of the last fault, in seconds. */
  int lastFaultEnd() {
    return lastFaultEnd;
  }

  /** Returns the expectations at the end, except those for {@link #finiteJobs}. */
  List<String> expectationLines(int end) {
    List<String> expected = new ArrayList<>(List.of("at " + end + " expect over ends"));
    // Jobs that have ended must not keep using the quota of their team.
    expected.add(
        "at " + (lastFaultEnd + 4) + " submit j-49 service tasks=" + fullTeamQuota + " team=full");
    expected.add("at " + end + " expect j-49 begun within=100");
    if (hasJobStream) {
      expected.add("at " + end + " expect over stream");
    }
    return expected;
  }

  private void addJobs(int at, int duration) {
    for (int i = 0; i < 4; i++) {
      addLine(
          "at %d submit j-4%d service class=spare tasks=%d team=%s",
          4 + random.nextInt(at - 5), i, 1 + random.nextInt(2), i % 2 == 0 ? "full" : "crew");
      addLine("at %d cancel j-4%d", ScenarioGenerator.LAST_FAULT_END_SECONDS + 1, i);
    }
    // The team has more tasks than its quota allows at once.
    addLine("at 5 submit j-45 array tasks=%d run=4 team=full", 20 + random.nextInt(16));
    finiteJobs.add("j-45");
    addLine(
        "at %d submit j-46 array tasks=%d run=%d %s",
        4 + random.nextInt(at),
        3 + random.nextInt(6),
        4 + random.nextInt(20),
        zones ? "zone=" + (random.nextBoolean() ? "a" : "b") : "");
    finiteJobs.add("j-46");
    addLine(
        "at %d submit j-47 array tasks=%d run=%d onezone %s",
        4 + random.nextInt(at),
        3 + random.nextInt(6),
        4 + random.nextInt(20),
        random.nextBoolean() ? "saves=4 save=1" : "");
    finiteJobs.add("j-47");
    int first = Math.max(4, at - 4);
    int until = Math.min(LAST_FAULT_SECONDS - 5, first + 5 + duration);
    int tenths = 10 + random.nextInt(10);
    addLine(
        "every %.1f %d %d 500 array class=ends tasks=%d run=%s",
        tenths / 10.0, first, until, 1 + random.nextInt(3), random.nextBoolean() ? "3" : "2,5,8");
    for (int i = 0; i * tenths < 10 * (until - first); i += 2) {
      // The users submit again long afterwards and must get the same response.
      addLine(
          "at %.1f submit j-%d array",
          ScenarioGenerator.LAST_FAULT_END_SECONDS + 3 + i / 10.0, 500 + i);
    }
  }

  private void addFault(FaultKind kind, int at, int drawn) {
    int duration = Math.max(1, Math.min(drawn, LAST_FAULT_SECONDS - at));
    String node = random.nextBoolean() ? "leading" : "node-" + random.nextInt(nodes);
    switch (kind) {
      case LOST_REPORTS ->
          addLine("at %d noreports %s for=%d", at, combinations.randomMachines(), duration);
      case CANCEL_BURST ->
          addCancelBurst(at + random.nextDouble(), Math.min(duration, 1 + random.nextInt(14)));
      case CANCEL_BURST_DURING_OUTAGE -> addCancelBurstDuringOutage(at);
      case CANCEL_BURST_AT_QUOTA -> addCancelBurstAtQuota(at, duration);
      case CANCEL_AT_END -> addCancelAtEnd(at, duration);
      case CONSISTENCY_PROBES ->
          addLine(
              "at %d closelooks for=%d every=%d rounds=%d early=%.1f %s",
              at,
              duration,
              1 + random.nextInt(20),
              1 + random.nextInt(3),
              random.nextInt(3) * 0.2,
              random.nextInt(3) == 0 ? "ends=1 back=" + shortDelaySeconds() : "");
      case EDGE_CASE_REQUESTS -> addLine("at %d oddrequests for=%d", at, duration);
      case LATE_WRITES ->
          addLine("at %d latewrites %s for=%d atonce share=%s", at, node, duration, randomShare());
      case REPLAYED_REPORTS -> addReplayedReports(at, duration);
      case QUICK_BOOTS -> addQuickBoots(at, duration);
      case MACHINE_LOSSES -> {
        for (int i = 0; i < 2 + random.nextInt(2); i++) {
          addLine(
              "at %.1f %s %s",
              at + random.nextDouble() * 3,
              random.nextBoolean() ? "die" : "take",
              combinations.randomMachine());
        }
      }
      case JOB_STREAM -> addJobStream(at, duration);
      case OVERLOAD -> addOverload(at, duration);
      case REPEATED_FAILOVER -> {
        double gap = Math.max(0.6, duration / 10.0);
        addLine(
            "every %.1f %d %d restart leading after=%s",
            gap, at, at + duration, shortDelaySeconds());
        if (random.nextBoolean()) {
          addLine(
              "at %.1f outage state for=%d", at + random.nextDouble() * 3, Math.min(duration, 15));
        }
      }
      case FULL_RESTART -> addLine("at %d restart all after=%d", at, 8 + random.nextInt(16));
      case ZONE_PARTITION -> addZonePartition(at);
      default -> addDuplicateStarts(at, duration);
    }
  }

  private void addCancelBurst(double at, int hang) {
    addLine(
        "at %.2f cancelnow %d class=spare%s",
        at, 1 + random.nextInt(4), random.nextBoolean() ? " hang=" + hang : "");
  }

  /**
   * Users cancel while the state service refuses the leader or the leader is frozen; then the
   * service fails for all nodes, for a long time.
   */
  private void addCancelBurstDuringOutage(int at) {
    int out = Math.min(LAST_FAULT_SECONDS - at - 2, cancelDeadlineSeconds - 5 + random.nextInt(15));
    if (random.nextInt(3) == 0) {
      addLine("at %d freeze leading for=%d", at, 2 + random.nextInt(8));
    } else {
      addLine("at %d refuse leading for=%d", at, 2 + random.nextInt(14));
    }
    addCancelBurst(at + (random.nextBoolean() ? 0 : random.nextDouble()), 1 + random.nextInt(12));
    addLine("at %.1f outage state for=%d", at + 0.5 + random.nextDouble(), out);
  }

  /**
   * Teams at their quota wait for cancelled jobs on hung or partitioned machines while the leader
   * changes.
   */
  private void addCancelBurstAtQuota(int at, int duration) {
    for (int i = 0; i < 3; i++) {
      String hold = random.nextBoolean() ? "hold" : "";
      addLine("at %d cut nodes %s for=%d %s", at, combinations.randomMachine(), duration, hold);
    }
    addLine("at %d cancelnow 4 class=spare hang=%d", at, 1 + random.nextInt(12));
    int changes = 1 + random.nextInt(3);
    addLine(
        "at %.1f restart leading after=%s times=%d every=%d",
        at + random.nextDouble() * 3, shortDelaySeconds(), changes, 2 + random.nextInt(5));
  }

  /** Cancels jobs as they end, while the writes about them may be late. */
  private void addCancelAtEnd(int at, int duration) {
    addLine(
        "at %d cancelatend class=ends for=%d share=%s within=%s",
        at, duration, randomShare(), random.nextBoolean() ? "0" : "1.5");
    if (random.nextBoolean()) {
      addLine(
          "at %d latewrites leading for=%d share=%s key=oak/a/job/", at, duration, randomShare());
    }
  }

  /** Old reports reach the next leader first, possibly without newer ones from these machines. */
  private void addReplayedReports(int at, int duration) {
    String machines = combinations.randomMachines();
    addLine(
        "at %d latereports %s for=%d fornext share=%s %s",
        at, machines, duration, randomShare(), random.nextBoolean() ? "acted" : "");
    double ends = at + random.nextDouble() * duration;
    if (random.nextBoolean()) {
      addLine(
          "at %.1f cut nodes %s for=%d", Math.max(at, ends - 1), machines, 3 + random.nextInt(15));
    }
    addLine("at %.1f restart leading after=%s", ends, shortDelaySeconds());
  }

  /** New machines get tasks while writes or rentals are late, and the leader restarts. */
  private void addQuickBoots(int at, int duration) {
    addLine("at %d quickboots %.1f", at, 0.2 + 0.3 * random.nextInt(6));
    addLine(
        "at %d submit j-48 array tasks=%d run=%d",
        at, 10 + random.nextInt(20), 3 + random.nextInt(6));
    if (!finiteJobs.contains("j-48")) {
      finiteJobs.add("j-48");
    }
    switch (random.nextInt(3)) {
      case 0 -> addLine("at %d latewrites leading for=%d share=%s", at, duration, randomShare());
      case 1 -> addLine("at %d slownet nodes state for=%d by=0.9", at, duration);
      default -> addLine("at %d laterentals for=%d after=%d", at, duration, random.nextInt(4));
    }
    addLine("at %.1f restart leading after=%s", at + random.nextDouble() * 4, shortDelaySeconds());
  }

  /** Submits four one-task jobs a second and cancels a quarter of them. */
  private void addJobStream(int at, int duration) {
    if (hasJobStream) {
      return;
    }
    hasJobStream = true;
    int until = at + Math.min(duration, 25);
    addLine(
        "every 0.25 %d %d 1000 array class=stream tasks=1 run=%d",
        at, until, 1 + random.nextInt(4));
    for (int i = 0; i < 4 * (until - at); i += 4) {
      addLine("at %.2f cancel j-%d", at + i / 4.0 + random.nextDouble() * 5, 1000 + i);
    }
  }

  /** Submits more work than the fleet has capacity for, at all priorities, over slow links. */
  private void addOverload(int at, int duration) {
    for (int i = 0; i < 3; i++) {
      String job = "j-6" + i;
      if (!finiteJobs.contains(job)) {
        finiteJobs.add(job);
      }
      addLine(
          "at %d submit %s array tasks=%d run=%d priority=%s",
          at + i,
          job,
          8 + random.nextInt(18),
          2 + random.nextInt(6),
          List.of("low", "normal", "high").get(i));
    }
    addLine(
        "at %d slownet nodes %s for=%d by=%s",
        at, random.nextBoolean() ? "workers" : "everybody", duration, shortDelaySeconds());
  }

  private void addZonePartition(int at) {
    int duration = Math.min(LAST_FAULT_SECONDS - at, 11 + random.nextInt(30));
    if (zones) {
      addLine(
          "at %d cut zone:a zone:b for=%d %s", at, duration, random.nextBoolean() ? "hold" : "");
      if (random.nextBoolean()) {
        addLine("at %d cut zone:b state for=%d", at + random.nextInt(5), Math.max(1, duration - 5));
      }
    } else {
      addLine("at %d cut nodes workers for=%d", at, duration);
    }
  }

  /** Delivers start commands a second time, up to 100 seconds later. */
  private void addDuplicateStarts(int at, int duration) {
    int after = 1 + random.nextInt(100);
    int shortDuration = Math.min(duration, 12);
    addLine("at %d copies nodes workers for=%d after=%d runs", at, shortDuration, after);
    lastFaultEnd = Math.max(lastFaultEnd, at + shortDuration + after);
  }

  private String randomShare() {
    return String.format(Locale.ROOT, "%.1f", 0.2 + 0.2 * random.nextInt(5));
  }

  private String shortDelaySeconds() {
    return String.format(Locale.ROOT, "%.1f", 0.1 + 0.1 * random.nextInt(8));
  }

  private void addLine(String format, Object... words) {
    lines.add(String.format(Locale.ROOT, format, words).trim());
  }
}
