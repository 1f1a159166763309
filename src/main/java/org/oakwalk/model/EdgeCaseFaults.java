package org.oakwalk.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws the fault combinations that operators hunt for: one trouble of a newer kind, which one or
 * two others of any kind join, while teams stand at their limits, arrays are bound to a zone, jobs
 * come to their ends, and users cancel, repeat and look closely.
 */
final class EdgeCaseFaults {
  /** Troubles go on until then at most; what they have made late comes after that. */
  private static final int LAST_FAULT_SECONDS = 80;

  /** The newer kinds of trouble. */
  private enum FaultKind {
    LOST_REPORTS,
    CANCEL_BURST,
    CANCEL_BURST_DURING_OUTAGE,
    CANCEL_BURST_AT_QUOTA,
    CANCEL_AT_END,
    RAPID_QUERIES,
    UNUSUAL_REQUESTS,
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
  private boolean stream;
  private int fullTeamQuota;
  private int lastFaultEnd = ScenarioGenerator.LAST_FAULT_END_SECONDS;

  EdgeCaseFaults(UniformRandomProvider random, int nodes, int machines, boolean zones, int cancel) {
    this.random = random;
    this.combinations = new FaultCombinations(random, nodes, machines, zones, cancel);
    this.nodes = nodes;
    this.zones = zones;
    this.cancelDeadlineSeconds = cancel;
  }

  /** Limits of the teams that have none else: all stand at theirs, or one, or none. */
  List<String> teamLines() {
    boolean all = random.nextInt(3) == 0;
    fullTeamQuota = 5 + random.nextInt(3);
    return List.of(
        all ? "team crew max=" + (22 + random.nextInt(8)) : "team crew",
        "team small max=6",
        all ? "team guests max=" + (2 + random.nextInt(3)) : "team guests",
        "team full max=" + fullTeamQuota);
  }

  /** The jobs and the troubles. */
  List<String> jobAndFaultLines() {
    int at = 10 + random.nextInt(20);
    int lasts = 6 + random.nextInt(30);
    addJobs(at, lasts);
    FaultKind[] kinds = FaultKind.values();
    addFault(kinds[random.nextInt(kinds.length)], at, lasts);
    int others = 1 + random.nextInt(2);
    for (int i = 0; i < others; i++) {
      int begins = at + random.nextInt(lasts - 2);
      if (random.nextBoolean()) {
        addFault(kinds[random.nextInt(kinds.length)], begins, 3 + random.nextInt(30));
      } else {
        lines.addAll(combinations.anyTrouble(begins, 3 + random.nextInt(30)));
      }
    }
    lines.addAll(combinations.jobsAlone(at, lasts));
    return lines;
  }

  /** Names of the jobs that have to be done in the end. */
  List<String> finiteJobs() {
    finiteJobs.addAll(combinations.finite());
    return finiteJobs;
  }

  /** When the last trouble is over. */
  int lastFaultEnd() {
    return lastFaultEnd;
  }

  /** What has to hold in the end, but for jobs that have to be done. */
  List<String> expectationLines(int end) {
    List<String> expected = new ArrayList<>(List.of("at " + end + " expect over ends"));
    // Nothing of the limit may be lost to what is long gone.
    expected.add(
        "at " + (lastFaultEnd + 4) + " submit j-49 service tasks=" + fullTeamQuota + " team=full");
    expected.add("at " + end + " expect j-49 begun within=100");
    if (stream) {
      expected.add("at " + end + " expect over stream");
    }
    return expected;
  }

  private void addJobs(int at, int lasts) {
    for (int i = 0; i < 4; i++) {
      addLine(
          "at %d submit j-4%d service class=spare tasks=%d team=%s",
          4 + random.nextInt(at - 5), i, 1 + random.nextInt(2), i % 2 == 0 ? "full" : "crew");
      addLine("at %d cancel j-4%d", ScenarioGenerator.LAST_FAULT_END_SECONDS + 1, i);
    }
    // The team has more to do than it may at once.
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
    int until = Math.min(LAST_FAULT_SECONDS - 5, first + 5 + lasts);
    int tenths = 10 + random.nextInt(10);
    addLine(
        "every %.1f %d %d 500 array class=ends tasks=%d run=%s",
        tenths / 10.0, first, until, 1 + random.nextInt(3), random.nextBoolean() ? "3" : "2,5,8");
    for (int i = 0; i * tenths < 10 * (until - first); i += 2) {
      // Their users ask again long after, and may not be told anything else.
      addLine(
          "at %.1f submit j-%d array",
          ScenarioGenerator.LAST_FAULT_END_SECONDS + 3 + i / 10.0, 500 + i);
    }
  }

  private void addFault(FaultKind kind, int at, int drawn) {
    int lasts = Math.max(1, Math.min(drawn, LAST_FAULT_SECONDS - at));
    String node = random.nextBoolean() ? "leading" : "node-" + random.nextInt(nodes);
    switch (kind) {
      case LOST_REPORTS -> addLine("at %d noreports %s for=%d", at, combinations.some(), lasts);
      case CANCEL_BURST ->
          addCancelBurst(at + random.nextDouble(), Math.min(lasts, 1 + random.nextInt(14)));
      case CANCEL_BURST_DURING_OUTAGE -> addCancelBurstDuringOutage(at);
      case CANCEL_BURST_AT_QUOTA -> addCancelBurstAtQuota(at, lasts);
      case CANCEL_AT_END -> addCancelAtEnd(at, lasts);
      case RAPID_QUERIES ->
          addLine(
              "at %d closelooks for=%d every=%d rounds=%d early=%.1f %s",
              at,
              lasts,
              1 + random.nextInt(20),
              1 + random.nextInt(3),
              random.nextInt(3) * 0.2,
              random.nextInt(3) == 0 ? "ends=1 back=" + shortDelaySeconds() : "");
      case UNUSUAL_REQUESTS -> addLine("at %d oddrequests for=%d", at, lasts);
      case LATE_WRITES ->
          addLine("at %d latewrites %s for=%d atonce share=%s", at, node, lasts, randomShare());
      case REPLAYED_REPORTS -> addReplayedReports(at, lasts);
      case QUICK_BOOTS -> addQuickBoots(at, lasts);
      case MACHINE_LOSSES -> {
        for (int i = 0; i < 2 + random.nextInt(2); i++) {
          addLine(
              "at %.1f %s %s",
              at + random.nextDouble() * 3,
              random.nextBoolean() ? "die" : "take",
              combinations.host());
        }
      }
      case JOB_STREAM -> addJobStream(at, lasts);
      case OVERLOAD -> addOverload(at, lasts);
      case REPEATED_FAILOVER -> {
        double gap = Math.max(0.6, lasts / 10.0);
        addLine(
            "every %.1f %d %d restart leading after=%s", gap, at, at + lasts, shortDelaySeconds());
        if (random.nextBoolean()) {
          addLine("at %.1f outage state for=%d", at + random.nextDouble() * 3, Math.min(lasts, 15));
        }
      }
      case FULL_RESTART -> addLine("at %d restart all after=%d", at, 8 + random.nextInt(16));
      case ZONE_PARTITION -> addZonePartition(at);
      default -> addDuplicateStarts(at, lasts);
    }
  }

  private void addCancelBurst(double at, int hang) {
    addLine(
        "at %.2f cancelnow %d class=spare%s",
        at, 1 + random.nextInt(4), random.nextBoolean() ? " hang=" + hang : "");
  }

  /** The leader alone is refused, or stands still, as users cancel; then all are, for very long. */
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

  /** Teams wait for room of jobs whose machines hang or are cut off, and the leader changes. */
  private void addCancelBurstAtQuota(int at, int lasts) {
    for (int i = 0; i < 3; i++) {
      String hold = random.nextBoolean() ? "hold" : "";
      addLine("at %d cut nodes %s for=%d %s", at, combinations.host(), lasts, hold);
    }
    addLine("at %d cancelnow 4 class=spare hang=%d", at, 1 + random.nextInt(12));
    int changes = 1 + random.nextInt(3);
    addLine(
        "at %.1f restart leading after=%s times=%d every=%d",
        at + random.nextDouble() * 3, shortDelaySeconds(), changes, 2 + random.nextInt(5));
  }

  /** Jobs are called off as they end, while what is written of it may be late. */
  private void addCancelAtEnd(int at, int lasts) {
    addLine(
        "at %d cancelatend class=ends for=%d share=%s within=%s",
        at, lasts, randomShare(), random.nextBoolean() ? "0" : "1.5");
    if (random.nextBoolean()) {
      addLine("at %d latewrites leading for=%d share=%s key=oak/a/job/", at, lasts, randomShare());
    }
  }

  /** Old reports reach the next leader first, while it may hear nothing newer of these machines. */
  private void addReplayedReports(int at, int lasts) {
    String some = combinations.some();
    addLine(
        "at %d latereports %s for=%d fornext share=%s %s",
        at, some, lasts, randomShare(), random.nextBoolean() ? "acted" : "");
    double ends = at + random.nextDouble() * lasts;
    if (random.nextBoolean()) {
      addLine("at %.1f cut nodes %s for=%d", Math.max(at, ends - 1), some, 3 + random.nextInt(15));
    }
    addLine("at %.1f restart leading after=%s", ends, shortDelaySeconds());
  }

  /** New machines get work while writes lag, and the leader ends. */
  private void addQuickBoots(int at, int lasts) {
    addLine("at %d quickboots %.1f", at, 0.2 + 0.3 * random.nextInt(6));
    addLine(
        "at %d submit j-48 array tasks=%d run=%d",
        at, 10 + random.nextInt(20), 3 + random.nextInt(6));
    if (!finiteJobs.contains("j-48")) {
      finiteJobs.add("j-48");
    }
    switch (random.nextInt(3)) {
      case 0 -> addLine("at %d latewrites leading for=%d share=%s", at, lasts, randomShare());
      case 1 -> addLine("at %d slownet nodes state for=%d by=0.9", at, lasts);
      default -> addLine("at %d laterentals for=%d after=%d", at, lasts, random.nextInt(4));
    }
    addLine("at %.1f restart leading after=%s", at + random.nextDouble() * 4, shortDelaySeconds());
  }

  /** One-task jobs, four a second, a quarter of which is cancelled. */
  private void addJobStream(int at, int lasts) {
    if (stream) {
      return;
    }
    stream = true;
    int until = at + Math.min(lasts, 25);
    addLine(
        "every 0.25 %d %d 1000 array class=stream tasks=1 run=%d",
        at, until, 1 + random.nextInt(4));
    for (int i = 0; i < 4 * (until - at); i += 4) {
      addLine("at %.2f cancel j-%d", at + i / 4.0 + random.nextDouble() * 5, 1000 + i);
    }
  }

  /** More work than room, urgent and not, over slow links. */
  private void addOverload(int at, int lasts) {
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
        at, random.nextBoolean() ? "workers" : "everybody", lasts, shortDelaySeconds());
  }

  private void addZonePartition(int at) {
    int lasts = Math.min(LAST_FAULT_SECONDS - at, 11 + random.nextInt(30));
    if (zones) {
      addLine("at %d cut zone:a zone:b for=%d %s", at, lasts, random.nextBoolean() ? "hold" : "");
      if (random.nextBoolean()) {
        addLine("at %d cut zone:b state for=%d", at + random.nextInt(5), Math.max(1, lasts - 5));
      }
    } else {
      addLine("at %d cut nodes workers for=%d", at, lasts);
    }
  }

  /** Starts by command come once more, however long after. */
  private void addDuplicateStarts(int at, int lasts) {
    int after = 1 + random.nextInt(100);
    int shortly = Math.min(lasts, 12);
    addLine("at %d copies nodes workers for=%d after=%d runs", at, shortly, after);
    lastFaultEnd = Math.max(lastFaultEnd, at + shortly + after);
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
