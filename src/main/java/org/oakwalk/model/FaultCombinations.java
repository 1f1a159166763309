package org.oakwalk.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws two or three faults that overlap in time while users cancel jobs. All faults end by {@link
 * ScenarioGenerator#LAST_FAULT_END_SECONDS}, including their delayed effects.
 */
final class FaultCombinations {
  /** Latest end of a fault; its delayed effects may come after that. */
  private static final int LAST_FAULT_END_SECONDS = 80;

  private static final int FAULT_KINDS = 15;

  private final UniformRandomProvider random;
  private final int nodes;
  private final int machines;
  private final boolean hasZones;
  private final int cancelSeconds;
  private final List<String> lines = new ArrayList<>();

  FaultCombinations(
      UniformRandomProvider random, int nodes, int machines, boolean hasZones, int cancelSeconds) {
    this.random = random;
    this.nodes = nodes;
    this.machines = machines;
    this.hasZones = hasZones;
    this.cancelSeconds = cancelSeconds;
  }

  /**
   * Draws the cancelled jobs, the arrays with uneven run times, and the faults, as scenario lines.
   */
  List<String> draw() {
    int at = 10 + random.nextInt(20);
    List<Integer> kinds = new ArrayList<>();
    for (int kind = 0; kind < FAULT_KINDS; kind++) {
      kinds.add(kind);
    }
    for (int i = kinds.size() - 1; i > 0; i--) {
      Collections.swap(kinds, i, random.nextInt(i + 1));
    }
    int duration = 6 + random.nextInt(30);
    addFault(kinds.get(0), at, duration);
    int otherFaults = 1 + random.nextInt(2);
    for (int i = 1; i <= otherFaults; i++) {
      addFault(kinds.get(i), at + random.nextInt(duration - 2), 3 + random.nextInt(30));
    }
    addJobs(at, duration);
    return lines;
  }

  /** Draws one fault of any kind. */
  List<String> randomFault(int at, int duration) {
    lines.clear();
    addFault(random.nextInt(FAULT_KINDS), at, duration);
    return List.copyOf(lines);
  }

  /** Draws the cancelled jobs and the arrays with uneven run times around a fault. */
  List<String> jobLines(int at, int duration) {
    lines.clear();
    addJobs(at, duration);
    return List.copyOf(lines);
  }

  private void addJobs(int at, int duration) {
    addCancelledJobs(at, duration + 15);
    addUnevenArrays(at);
  }

  /** Returns the names of the jobs that have to be done in the end. */
  List<String> jobsToFinish() {
    return List.of("j-30", "j-31", "j-32");
  }

  private void addCancelledJobs(int at, int spreadSeconds) {
    for (int i = 0; i < 6; i++) {
      String job = "j-2" + i;
      int submitted = 4 + random.nextInt(at - 6);
      if (random.nextBoolean()) {
        add("at %d submit %s service tasks=%d", submitted, job, 1 + random.nextInt(2));
      } else {
        add(
            "at %d submit %s array tasks=%d run=%d %s",
            submitted,
            job,
            1 + random.nextInt(5),
            20 + random.nextInt(100),
            random.nextBoolean() ? "saves=5 save=3" : "");
      }
      add("at %.1f cancel %s", at - 2 + random.nextDouble() * spreadSeconds, job);
      if (random.nextInt(3) == 0) {
        // The user submits it again, long after.
        add("at %.1f submit %s array", at + random.nextDouble() * spreadSeconds + 20, job);
      }
    }
  }

  /** Adds arrays of short tasks and one long task. */
  private void addUnevenArrays(int at) {
    for (int i = 0; i < 3; i++) {
      int tasks = 2 + random.nextInt(2);
      int shortest = 1 + random.nextInt(8);
      add(
          "at %d submit j-3%d array tasks=%d run=%s%d",
          4 + random.nextInt(at + 10),
          i,
          tasks,
          (shortest + ",").repeat(tasks - 1),
          20 + random.nextInt(30));
    }
  }

  /** Adds the lines of one fault. */
  private void addFault(int kind, int at, int drawnDuration) {
    int duration = Math.max(1, Math.min(drawnDuration, LAST_FAULT_END_SECONDS - at));
    int shortDuration = Math.min(duration, 1 + random.nextInt(12));
    String node = random.nextBoolean() ? "leading" : "node-" + random.nextInt(nodes);
    String targets = randomMachines();
    String hold = random.nextBoolean() ? "hold" : "";
    switch (kind) {
      case 0 ->
          add(
              "at %d latewrites %s for=%d share=%.1f%s",
              at,
              random.nextBoolean() ? "all" : node,
              duration,
              0.1 + 0.1 * random.nextInt(6),
              randomKeyOption());
      case 1 -> add("at %d latereports %s for=%d share=%.1f", at, targets, duration, randomShare());
      case 2 -> add("at %d deaf %s for=%d", at, targets, duration);
      case 3 -> {
        add("at %d cut %s state for=%d %s", at, node, duration, hold);
        add("at %d cut %s nodes for=%d %s", at, node, duration, hold);
      }
      case 4, 5 -> addRefusalThenOutage(at);
      case 6 -> add("at %d cut nodes %s for=%d hold", at, targets, duration);
      case 7 -> {
        for (int i = 0; i < 2; i++) {
          add("at %d hang %s for=%d", at + i * random.nextInt(4), randomMachine(), shortDuration);
        }
      }
      case 8 -> add("at %d restart leading after=%.1f", at, randomTenths());
      case 9 -> add("at %d crash leading", at);
      case 10 ->
          add(
              "at %d restart all after=%.1f times=%d every=%.1f",
              at, randomTenths(), 1 + random.nextInt(2), 1 + randomTenths());
      case 11 -> add("at %d freeze %s for=%d", at, node, shortDuration);
      case 12 -> add("at %d cut %s workers for=%d %s", at, node, duration, hold);
      case 13 ->
          add(
              "at %d copies nodes workers for=%d after=%d runs",
              at, shortDuration, 1 + random.nextInt(15));
      default ->
          add(
              hasZones
                  ? "at %d cut zone:a zone:b for=%d %s"
                  : "at %d slownet nodes state for=%d by=0.9",
              at,
              duration,
              hold);
    }
  }

  /**
   * Has the state service refuse requests of one node, mostly the leader, and then fail for all.
   * The outage may be longer than the time within which a cancellation has to take effect.
   */
  private void addRefusalThenOutage(int at) {
    double secondsBefore = 0.2 + random.nextDouble() * 14;
    int outageSeconds =
        Math.min(LAST_FAULT_END_SECONDS - at - 14, cancelSeconds - 10 + random.nextInt(25));
    add(
        "at %d refuse %s for=%.1f",
        at,
        random.nextInt(4) == 0 ? "node-" + random.nextInt(nodes) : "leading",
        secondsBefore + random.nextInt(10) - 4);
    add("at %.1f outage state for=%d", at + secondsBefore, outageSeconds);
    if (random.nextInt(3) == 0) {
      add("at %.1f restart leading after=0.2", at + secondsBefore + random.nextInt(outageSeconds));
    }
  }

  /** Draws a selection of machines: one, those of a zone, or all. */
  String randomMachines() {
    int draw = random.nextInt(4);
    if (draw == 0) {
      return "workers";
    }
    return draw == 1 && hasZones ? "zone:b" : randomMachine();
  }

  String randomMachine() {
    return String.format(Locale.ROOT, "host-%06d", random.nextInt(machines));
  }

  private String randomKeyOption() {
    List<String> keys =
        List.of(
            "", "", " key=oak/a/job/", " key=oak/machine/", " key=oak/done/", " key=oak/a/leader");
    return keys.get(random.nextInt(keys.size()));
  }

  private double randomShare() {
    return 0.2 + 0.2 * random.nextInt(5);
  }

  private double randomTenths() {
    return 0.1 + 0.1 * random.nextInt(8);
  }

  private void add(String format, Object... words) {
    lines.add(String.format(Locale.ROOT, format, words).trim());
  }
}
