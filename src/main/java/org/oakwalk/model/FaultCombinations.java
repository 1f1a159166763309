package org.oakwalk.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws troubles that overlap in time, two or three of them, while users cancel. Everything is over
 * by {@link ScenarioGenerator#LAST_FAULT_END_SECONDS}, with what comes late.
 */
final class FaultCombinations {
  /** Troubles go on until then at most; what they have made late comes after that. */
  private static final int OVER = 80;

  private static final int KINDS = 15;

  private final UniformRandomProvider random;
  private final int nodes;
  private final int machines;
  private final boolean zones;
  private final int cancel;
  private final List<String> lines = new ArrayList<>();

  FaultCombinations(
      UniformRandomProvider random, int nodes, int machines, boolean zones, int cancel) {
    this.random = random;
    this.nodes = nodes;
    this.machines = machines;
    this.zones = zones;
    this.cancel = cancel;
  }

  /** The jobs that users cancel, those that end far apart, and the troubles. */
  List<String> lines() {
    int at = 10 + random.nextInt(20);
    List<Integer> kinds = new ArrayList<>();
    for (int kind = 0; kind < KINDS; kind++) {
      kinds.add(kind);
    }
    for (int i = kinds.size() - 1; i > 0; i--) {
      Collections.swap(kinds, i, random.nextInt(i + 1));
    }
    int lasts = 6 + random.nextInt(30);
    trouble(kinds.get(0), at, lasts);
    int others = 1 + random.nextInt(2);
    for (int i = 1; i <= others; i++) {
      trouble(kinds.get(i), at + random.nextInt(lasts - 2), 3 + random.nextInt(30));
    }
    jobs(at, lasts);
    return lines;
  }

  /** One trouble of any kind. */
  List<String> anyTrouble(int at, int lasts) {
    lines.clear();
    trouble(random.nextInt(KINDS), at, lasts);
    return List.copyOf(lines);
  }

  /** The jobs that users cancel, and those that end far apart, about a trouble. */
  List<String> jobsAlone(int at, int lasts) {
    lines.clear();
    jobs(at, lasts);
    return List.copyOf(lines);
  }

  private void jobs(int at, int lasts) {
    cancelled(at, lasts + 15);
    farApart(at);
  }

  /** Names of the jobs that have to be done in the end. */
  List<String> finite() {
    return List.of("j-30", "j-31", "j-32");
  }

  private void cancelled(int at, int within) {
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
      add("at %.1f cancel %s", at - 2 + random.nextDouble() * within, job);
      if (random.nextInt(3) == 0) {
        // Its user submits it once more, long after.
        add("at %.1f submit %s array", at + random.nextDouble() * within + 20, job);
      }
    }
  }

  private void farApart(int at) {
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

  private void trouble(int kind, int at, int drawn) {
    int lasts = Math.max(1, Math.min(drawn, OVER - at));
    int shortly = Math.min(lasts, 1 + random.nextInt(12));
    String node = random.nextBoolean() ? "leading" : "node-" + random.nextInt(nodes);
    String some = some();
    String hold = random.nextBoolean() ? "hold" : "";
    switch (kind) {
      case 0 ->
          add(
              "at %d latewrites %s for=%d share=%.1f%s",
              at, random.nextBoolean() ? "all" : node, lasts, 0.1 + 0.1 * random.nextInt(6), key());
      case 1 -> add("at %d latereports %s for=%d share=%.1f", at, some, lasts, share());
      case 2 -> add("at %d deaf %s for=%d", at, some, lasts);
      case 3 -> {
        add("at %d cut %s state for=%d %s", at, node, lasts, hold);
        add("at %d cut %s nodes for=%d %s", at, node, lasts, hold);
      }
      case 4, 5 -> refusedThenOut(at);
      case 6 -> add("at %d cut nodes %s for=%d hold", at, some, lasts);
      case 7 -> {
        for (int i = 0; i < 2; i++) {
          add("at %d hang %s for=%d", at + i * random.nextInt(4), host(), shortly);
        }
      }
      case 8 -> add("at %d restart leading after=%.1f", at, tenths());
      case 9 -> add("at %d crash leading", at);
      case 10 ->
          add(
              "at %d restart all after=%.1f times=%d every=%.1f",
              at, tenths(), 1 + random.nextInt(2), 1 + tenths());
      case 11 -> add("at %d freeze %s for=%d", at, node, shortly);
      case 12 -> add("at %d cut %s workers for=%d %s", at, node, lasts, hold);
      case 13 ->
          add(
              "at %d copies nodes workers for=%d after=%d runs",
              at, shortly, 1 + random.nextInt(15));
      default ->
          add(
              zones
                  ? "at %d cut zone:a zone:b for=%d %s"
                  : "at %d slownet nodes state for=%d by=0.9",
              at,
              lasts,
              hold);
    }
  }

  /** The leader alone is refused, and then all are, for longer than a withdrawal may take. */
  private void refusedThenOut(int at) {
    double before = 0.2 + random.nextDouble() * 14;
    int out = Math.min(OVER - at - 14, cancel - 10 + random.nextInt(25));
    add(
        "at %d refuse %s for=%.1f",
        at,
        random.nextInt(4) == 0 ? "node-" + random.nextInt(nodes) : "leading",
        before + random.nextInt(10) - 4);
    add("at %.1f outage state for=%d", at + before, out);
    if (random.nextInt(3) == 0) {
      add("at %.1f restart leading after=0.2", at + before + random.nextInt(out));
    }
  }

  /** Some machines: one, those of a zone, or all. */
  String some() {
    int draw = random.nextInt(4);
    if (draw == 0) {
      return "workers";
    }
    return draw == 1 && zones ? "zone:b" : host();
  }

  String host() {
    return String.format(Locale.ROOT, "host-%06d", random.nextInt(machines));
  }

  private String key() {
    List<String> keys =
        List.of(
            "", "", " key=oak/a/job/", " key=oak/machine/", " key=oak/done/", " key=oak/a/leader");
    return keys.get(random.nextInt(keys.size()));
  }

  private double share() {
    return 0.2 + 0.2 * random.nextInt(5);
  }

  private double tenths() {
    return 0.1 + 0.1 * random.nextInt(8);
  }

  private void add(String format, Object... words) {
    lines.add(String.format(Locale.ROOT, format, words).trim());
  }
}
