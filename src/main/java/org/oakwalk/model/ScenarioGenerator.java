package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates random fault scenarios on a small fleet. All work has to be done within {@link
 * #RECOVERY_SECONDS} seconds of the end of the last fault.
 */
public final class ScenarioGenerator {
  static final int LAST_FAULT_END_SECONDS = 100;

  /** Covers a lease prolonged by grace and relays, machine boots, and the work itself. */
  private static final int RECOVERY_SECONDS = 110;

  /** Further time for the work of a fleet that can't grow and was short of machines for long. */
  private static final int SMALL_FLEET_SECONDS = 100;

  /** Machines with accelerators in each zone at the start. */
  private static final int ACCELERATOR_MACHINES_PER_ZONE = 2;

  private static final List<String> REMOTE_HOSTS =
      List.of("state", "workers", "nodes", "cloud", "users");

  private final UniformRandomProvider random;
  private final List<String> lines = new ArrayList<>();
  private final List<String> finiteJobs =
      new ArrayList<>(List.of("j-2", "j-3", "j-4", "j-5", "j-9"));
  private final int nodes;
  private final boolean zones;
  private final int machinesPerZone;
  private final boolean accelerators;
  private boolean rollingReplacement;
  private boolean headroom;
  private boolean productTerms;
  private boolean overlappingFaults;
  private boolean edgeCaseFaults;
  private boolean lateCommands;
  private boolean mistakenJobs;

  /** Creates a generator. The same seed and options always give the same scenario. */
  public ScenarioGenerator(int seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    nodes = 3 + random.nextInt(3);
    zones = random.nextBoolean();
    machinesPerZone = 3 + random.nextInt(4);
    accelerators = random.nextInt(3) == 0;
  }

  /** Adds a rolling replacement of all machines within disruption budgets. */
  public ScenarioGenerator withRollingReplacement() {
    rollingReplacement = true;
    return this;
  }

  /** Adds headroom for replicas, under settings that may change and differ between nodes. */
  public ScenarioGenerator withHeadroom() {
    headroom = true;
    return this;
  }

  /** Adds replica headroom, an exchange with batch work, and batch work with a deadline. */
  public ScenarioGenerator withProductTerms() {
    productTerms = true;
    return withHeadroom();
  }

  /** Uses overlapping faults during cancellations instead of independent faults. */
  public ScenarioGenerator withOverlappingFaults() {
    overlappingFaults = true;
    return this;
  }

  /** Uses fault combinations of {@link EdgeCaseFaults}, with teams at their quotas. */
  public ScenarioGenerator withEdgeCaseFaults() {
    edgeCaseFaults = true;
    return this;
  }

  /**
   * Adds commands that are carried out late and never answered, to overlapping faults in a fleet
   * that can't grow, where services come that stop other work, and leave again.
   */
  public ScenarioGenerator withLateCommands() {
    lateCommands = true;
    return withOverlappingFaults();
  }

  /**
   * Uses jobs that fail everywhere, machines that are faulty or slow for a time, and restarts of
   * leaders, in a fleet that can't grow, instead of other faults.
   */
  public ScenarioGenerator withMistakenJobs() {
    mistakenJobs = true;
    return this;
  }

  private void addMistakenJobs() {
    // With a replica on each machine, none becomes empty and is replaced.
    addLine("at 7 submit j-81 service tasks=%d cpus=1 priority=high", machinesPerZone);
    int mistakes = 3 + random.nextInt(12);
    int first = 4 + random.nextInt(20);
    for (int i = 0; i < mistakes; i++) {
      int at = first + random.nextInt(12);
      addLine(
          "at %d submit j-%d array tasks=%d cpus=%d run=%d fails",
          at, 50 + i, 1 + random.nextInt(4), 1 + random.nextInt(2), 1 + random.nextInt(3));
      if (random.nextInt(3) > 0) {
        addLine("at %d cancel j-%d", at + 3 + random.nextInt(40), 50 + i);
      }
    }
    int faults = 1 + random.nextInt(3);
    for (int i = 0; i < faults; i++) {
      int at = 4 + random.nextInt(40);
      String host = String.format(Locale.ROOT, "host-%06d", random.nextInt(totalMachines()));
      int duration = 5 + random.nextInt(50);
      if (random.nextBoolean()) {
        addLine("at %d faulty %s for=%d", at, host, duration);
      } else {
        addLine("at %d slow %s factor=%d for=%d", at, host, 3 + random.nextInt(4), duration);
      }
    }
    for (int i = random.nextInt(3); i > 0; i--) {
      addLine("at %d restart leading after=%.1f", 10 + random.nextInt(70), shortDelaySeconds());
    }
    addLine("at %d submit j-80 array tasks=%d run=4", 90, 4 + random.nextInt(12));
    finiteJobs.add("j-80");
  }

  private void addLateCommands() {
    int faults = 1 + random.nextInt(3);
    for (int i = 0; i < faults; i++) {
      addLine(
          "at %d latecommands %s for=%d share=%.1f",
          4 + random.nextInt(60),
          random.nextBoolean()
              ? "workers"
              : String.format(Locale.ROOT, "host-%06d", random.nextInt(totalMachines())),
          2 + random.nextInt(18),
          0.2 + 0.2 * random.nextInt(5));
    }
    for (int i = 0; i < 3; i++) {
      int at = 8 + random.nextInt(70);
      addLine(
          "at %d submit j-4%d service tasks=%d cpus=%d priority=production",
          at, i, 1 + random.nextInt(machinesPerZone), 2 + random.nextInt(3));
      addLine("at %d cancel j-4%d", at + 4 + random.nextInt(12), i);
    }
  }

  private void addProductTerms() {
    addLine("dawn night every=600 lasts=600 classes=night margin=30");
    addLine("exchange swap takers=service givers=night,array dwell=5 patience=30");
    addLine(
        "at %d submit j-13 array class=night tasks=%d run=%d saves=5 save=1 priority=low",
        4 + random.nextInt(20), 6 + random.nextInt(20), 4 + random.nextInt(20));
    finiteJobs.add("j-13");
  }

  private void addHeadroom() {
    addLine("product version=1");
    addLine(
        "headroom serving class=service team=crew replicas=%d share=%s warm=0.5 until=60",
        random.nextInt(3), random.nextBoolean() ? "0.5" : "1");
    addLine("product version=2 from=60");
    addLine("headroom serving team=crew replicas=%d from=60", 1 + random.nextInt(4));
    addLine("at %d submit j-7 service tasks=3 priority=high", 30 + random.nextInt(40));
    addLine("at %d restart node-%d", 60 + random.nextInt(30), random.nextInt(nodes));
  }

  private void addRollingReplacement() {
    int step = 1 + random.nextInt(4);
    addLine("budget crew down=%d", 1 + random.nextInt(3));
    addLine("budget small down=%d stops=%d", 1 + random.nextInt(2), 2 + random.nextInt(30));
    if (random.nextBoolean()) {
      addLine("budget crew class=service down=1");
    }
    addLine(
        "drain all step=%d surge=%d patience=%d pause=%d",
        step, step, 2 + random.nextInt(20), random.nextInt(4));
    if (random.nextInt(3) == 0) {
      addLine(
          "drain all version=2 step=1 surge=1 patience=5 state=%s from=%d",
          random.nextBoolean() ? "paused" : "running", 20 + random.nextInt(40));
    }
    if (zones && random.nextInt(3) == 0) {
      addLine("drain far zones=b then=return step=2 surge=2 patience=10");
    }
  }

  /** Generates the text of the scenario; may be called only once. */
  public String text() {
    int report = 1 + random.nextInt(2);
    int cancel = 30 + 5 * random.nextInt(4);
    addLine(
        "settings nodes=%d zones=%s report=%d lease=10 cancel=%d%s",
        nodes,
        zones ? "a,b" : "a",
        report,
        cancel,
        overlappingFaults || edgeCaseFaults ? " seed=" + (1 + random.nextInt(1000)) : "");
    EdgeCaseFaults edgeCases = new EdgeCaseFaults(random, nodes, totalMachines(), zones, cancel);
    lines.addAll(
        edgeCaseFaults
            ? edgeCases.teamLines()
            : List.of("team crew", "team small max=6", "team guests"));
    addLine("type m cpus=4 mem=16 boot=8");
    if (accelerators) {
      addLine("team tune gpumax=12");
      addLine("type g cpus=16 gpus=4 mem=64 cache=40 fetch=2 boot=8");
    }
    if (rollingReplacement) {
      addRollingReplacement();
    }
    if (headroom) {
      addHeadroom();
    }
    if (productTerms) {
      addProductTerms();
    }
    addZone("a");
    if (zones) {
      addZone("b");
    }
    addJobs();
    if (accelerators) {
      addAcceleratorJobs();
    }
    int faultsEnd = LAST_FAULT_END_SECONDS;
    if (edgeCaseFaults) {
      lines.addAll(edgeCases.jobAndFaultLines());
      finiteJobs.addAll(edgeCases.finiteJobs());
      faultsEnd = edgeCases.lastFaultEnd();
    } else if (mistakenJobs) {
      addMistakenJobs();
    } else if (overlappingFaults) {
      FaultCombinations combinations =
          new FaultCombinations(random, nodes, totalMachines(), zones, cancel);
      lines.addAll(combinations.draw());
      finiteJobs.addAll(combinations.jobsToFinish());
    } else {
      int faults = 2 + random.nextInt(5);
      for (int i = 0; i < faults; i++) {
        addFault();
      }
    }
    if (lateCommands) {
      addLateCommands();
    }
    addLine("at %d restart down", LAST_FAULT_END_SECONDS);
    addLine("at %d cancel j-8", LAST_FAULT_END_SECONDS + 2);
    addLine("at %d submit j-9 array tasks=4 run=3", LAST_FAULT_END_SECONDS + 5);
    int end = faultsEnd + RECOVERY_SECONDS + (mistakenJobs ? SMALL_FLEET_SECONDS : 0);
    if (edgeCaseFaults) {
      lines.addAll(edgeCases.expectationLines(end));
    }
    if (accelerators) {
      finiteJobs.addAll(List.of("j-10", "j-12"));
      // During a rolling replacement a replica may be moving at any time.
      addLine(
          rollingReplacement
              ? "at %d expect j-11 begun within=200"
              : "at %d expect j-11 on least=2",
          end);
    }
    for (String job : finiteJobs) {
      addLine("at %d expect %s served", end, job);
    }
    addLine("at %d expect j-1 on least=%d", end, rollingReplacement ? 2 : 3);
    addLine("at %d expect j-6 on most=0", end);
    addLine("at %d expect j-8 on most=0", end);
    addLine("end %d", end);
    return String.join("\n", lines);
  }

  private void addZone(String zone) {
    addLine(lateCommands || mistakenJobs ? "capacity m %s 0" : "capacity m %s 12 spot=4", zone);
    addLine("machine m %s %d", zone, machinesPerZone);
    if (accelerators) {
      addLine("capacity g %s 5", zone);
      addLine("machine g %s %d", zone, ACCELERATOR_MACHINES_PER_ZONE);
    }
  }

  private int totalMachines() {
    return (machinesPerZone + (accelerators ? ACCELERATOR_MACHINES_PER_ZONE : 0)) * (zones ? 2 : 1);
  }

  private void addAcceleratorJobs() {
    addLine(
        "at %d submit j-10 gang tasks=%d cpus=2 gpus=1 run=%d saves=5 save=1 team=tune %s",
        4 + random.nextInt(50),
        4 + random.nextInt(5),
        10 + random.nextInt(20),
        zones && random.nextBoolean() ? "onezone" : "");
    addLine("at 4 submit j-11 service tasks=2 gpus=2 priority=production image=llm gb=25");
    addLine("at 5 submit j-12 array tasks=8 gpus=1 run=6 priority=low image=night gb=30");
  }

  private void addJobs() {
    addLine("at 3 submit j-1 service tasks=3 priority=high");
    addLine(
        "at 4 submit j-2 array tasks=%d run=%d", 8 + random.nextInt(30), 3 + random.nextInt(20));
    addLine("at 4 submit j-3 array tasks=12 run=6 team=small");
    addLine("at %d submit j-4 array tasks=10 run=5 spot", 5 + random.nextInt(60));
    addLine(
        "at %d submit j-5 array tasks=6 run=8 team=guests priority=low %s",
        5 + random.nextInt(60), random.nextBoolean() && zones ? "spread" : "");
    addLine("at %d submit j-6 service tasks=2 team=small", 5 + random.nextInt(10));
    addLine("at %d cancel j-6", 20 + random.nextInt(60));
    addLine("at %d submit j-8 array tasks=6 run=5 fails", 5 + random.nextInt(60));
  }

  private void addFault() {
    int at = 8 + random.nextInt(60);
    int duration = 1 + random.nextInt(LAST_FAULT_END_SECONDS - at - 1);
    int shortDuration = Math.min(duration, 1 + random.nextInt(30));
    String node = "node-" + random.nextInt(nodes);
    String host = String.format(Locale.ROOT, "host-%06d", random.nextInt(totalMachines()));
    String hold = random.nextBoolean() ? "hold" : "";
    switch (random.nextInt(27)) {
      case 0 -> addLine("at %d crash %s", at, node);
      case 1 -> addLine("at %d restart %s", at, random.nextInt(3) == 0 ? "all" : node);
      case 2, 3, 4 -> addLine("at %d freeze %s for=%d", at, node, shortDuration);
      case 5 -> addLine("at %d refuse %s for=%d", at, node, duration);
      case 6 -> addLine("at %d outage state for=%d", at, shortDuration);
      case 7 -> addLine("at %d outage cloud for=%d", at, duration);
      case 8 -> addLine("at %d cut %s workers for=%d %s", at, node, duration, hold);
      case 9 -> addLine("at %d cut %s state for=%d %s", at, node, duration, hold);
      case 10 -> {
        for (String other : List.of("nodes", "workers", "state", "cloud")) {
          addLine("at %d cut %s %s for=%d %s", at, node, other, duration, hold);
        }
      }
      case 11 -> addLine("at %d cut nodes nodes for=%d %s", at, duration, hold);
      case 12 ->
          addLine(
              zones ? "at %d cut zone:a zone:b for=%d %s" : "at %d cut nodes workers for=%d %s",
              at,
              shortDuration,
              hold);
      case 13 -> addLine("at %d hang %s for=%d", at, host, shortDuration);
      case 14 -> addLine("at %d %s %s", at, random.nextBoolean() ? "die" : "faulty", host);
      case 15 -> addLine("at %d slowboots %d", at, 2 + random.nextInt(3));
      case 16 -> {
        for (int i = 0; i < nodes; i++) {
          addLine("at %d freeze node-%d for=%d", at + random.nextInt(3), i, shortDuration);
        }
      }
      case 17 -> {
        // Isolated from all but the state service, so that it can remain leader without reaching
        // any worker or peer.
        addLine("at %d cut %s workers for=%d %s", at, node, duration, hold);
        addLine("at %d cut %s nodes for=%d %s", at, node, duration, hold);
      }
      case 18, 19, 20 ->
          addLine(
              "at %d restart %s after=%.1f times=%d every=%.1f",
              at,
              random.nextBoolean() ? "leading" : node,
              shortDelaySeconds(),
              random.nextInt(3) == 0 ? 10 : 1 + random.nextInt(3),
              shortDelaySeconds() + random.nextInt(2));
      case 21 ->
          addLine(
              "at %d restart all after=%.1f times=%d every=2", at, shortDelaySeconds(), 1 + at % 3);
      case 22 ->
          addLine("every 1.7 %d %d restart leading after=%.1f", at, at + 12, shortDelaySeconds());
      case 23, 24 -> addDuplication(at);
      case 25 ->
          addLine(
              "at %d slownet %s %s by=%.1f for=%d",
              at, node, pick(REMOTE_HOSTS), shortDelaySeconds(), shortDuration);
      default -> addLine("at %d failboots %d", at, 1 + random.nextInt(3));
    }
  }

  /** Draws a restart delay or added latency, in seconds. */
  private double shortDelaySeconds() {
    return 0.1 + 0.1 * random.nextInt(5);
  }

  private String pick(List<String> words) {
    return words.get(random.nextInt(words.size()));
  }

  /** Duplicates messages after a delay, when their receivers may have restarted. */
  private void addDuplication(int at) {
    int duration = 1 + random.nextInt((LAST_FAULT_END_SECONDS - at) / 2);
    int after = 1 + random.nextInt(LAST_FAULT_END_SECONDS - at - duration);
    String groups = pick(List.of("everybody everybody", "nodes state", "nodes workers", "nodes"));
    if (groups.equals("nodes")) {
      groups = "nodes " + pick(REMOTE_HOSTS);
    }
    addLine("at %d copies %s after=%d for=%d", at, groups, after, duration);
  }

  private void addLine(String format, Object... words) {
    lines.add(String.format(Locale.ROOT, format, words).trim());
  }
}
