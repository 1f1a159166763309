package org.oakwalk.scenario;

import static org.oakwalk.scenario.ScenarioTestSupport.assertPasses;
import static org.oakwalk.scenario.ScenarioTestSupport.line;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against exceeded team limits after a failover. Three teams, one of them limited in
 * accelerators, are at their limits when jobs are cancelled whose machines are unreachable, and the
 * leader changes, in small steps of time. Jobs are submitted throughout, so that some are stored
 * after the takeover and may be placed before the state of those machines is known. No limit may be
 * exceeded, and once the machines are back or gone their room must be used.
 */
class TeamLimitFailoverTest {
  private static final int STEP_MILLIS = 150;
  private static final int STEPS = 24;
  private static final double[] RESTART_DELAYS_S = {0.1, 0.9, 4.0};

  /** Start of the first fault. */
  private static final double FAULT_S = 12;

  /** Time by which all faults are over and the leases of unreachable machines have expired. */
  private static final double FAULTS_OVER_S = 60;

  /** Streams of jobs: the number of the first job and the team. */
  private static final String[] TEAM_STREAMS = {"100 red", "200 blue", "300 green"};

  private static final int JOBS_PER_STREAM = 40;

  /** Machines with cancelled tasks are cut off; some messages to and from them arrive late. */
  @TestFactory
  List<DynamicTest> machinesCutOff() {
    return sweep(
        (apart, restartDelay) ->
            line("at %.2f cut of:j-1/0 nodes for=20 hold", FAULT_S)
                + line("at %.2f cut of:j-12/0 nodes for=14", FAULT_S)
                + line("at %.2f cut of:j-21/0 nodes for=17 hold", FAULT_S + apart)
                + line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay));
  }

  /** The machines confirm the new leader but receive its orders late. */
  @TestFactory
  List<DynamicTest> slowTaskStops() {
    List<String> slow = List.of("j-1/0", "j-12/0", "j-21/0");
    return sweep(
        (apart, restartDelay) ->
            line(
                    "at %.2f slownet of:%s nodes by=%.2f for=25",
                    FAULT_S,
                    slow.get((int) Math.round(apart * 1000 / STEP_MILLIS) % 3),
                    0.2 + apart / 2)
                + line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay));
  }

  /** So many machines are cut off permanently that none is returned. */
  @TestFactory
  List<DynamicTest> machinesCutOffPermanently() {
    return sweep(
        (apart, restartDelay) -> {
          StringBuilder lines = new StringBuilder();
          for (int machine = 0; machine < 8; machine++) {
            // Some before the new leader can reach them, some just after they have confirmed it.
            double at = machine % 2 == 0 ? FAULT_S : FAULT_S + apart + restartDelay + 2.5;
            lines.append(line("at %.2f cut host-00000%d nodes for=200", at, machine));
          }
          return lines
              .append(line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay))
              .toString();
        });
  }

  /** Machines hang and resume within their leases or after them. */
  @TestFactory
  List<DynamicTest> machinesHang() {
    return sweep(
        (apart, restartDelay) ->
            line("at %.2f hang of:j-1/0 for=%.2f", FAULT_S, 8 + apart)
                + line("at %.2f hang of:j-12/0 for=30", FAULT_S)
                + line("at %.2f hang of:j-21/0 for=%.2f", FAULT_S + apart, 3 + apart)
                + line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay));
  }

  /**
   * Leaders restart in succession; some machines can be reached by commands only, some receive
   * nothing.
   */
  @TestFactory
  List<DynamicTest> successiveLeaders() {
    return sweep(
        (apart, restartDelay) ->
            line("at %.2f noreports of:j-1/0 for=20", FAULT_S)
                + line("at %.2f deaf of:j-12/0 for=22", FAULT_S)
                + line("at %.2f noreports of:j-21/0 for=9", FAULT_S + apart)
                + line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay)
                + line(
                    "at %.2f restart leading after=%.2f", FAULT_S + 2 * apart + 0.4, restartDelay)
                + line("at %.2f restart leading after=%.2f", FAULT_S + 3 * apart + 3, restartDelay)
                + line("at %.2f restart all after=%.2f", FAULT_S + 12 + apart, restartDelay));
  }

  /** The cloud reclaims spot machines, and new machines come up as the leader restarts. */
  @TestFactory
  List<DynamicTest> spotReclaimsAndNewMachines() {
    return sweep(
        (apart, restartDelay) ->
            line("at %.2f notice host-000008 in=%.2f", FAULT_S - 4, 3 + apart)
                + line("at %.2f take host-000009", FAULT_S - 3)
                + line("at %.2f notice host-000010 in=%.2f", FAULT_S - 2, 2 + 2 * apart)
                + line("at %.2f cut of:j-1/0 nodes for=15", FAULT_S)
                + line("at %.2f hang of:j-21/0 for=14", FAULT_S)
                + line("at %.2f latewrites leading for=6 key=oak/machine/", FAULT_S - 3)
                + line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay));
  }

  /** The list of machines is unreadable for the next leaders. */
  @TestFactory
  List<DynamicTest> damagedRecords() {
    return sweep(
        (apart, restartDelay) ->
            line("at %.2f damage oak/machine/", FAULT_S)
                + line("at %.2f cut of:j-1/0 nodes for=15 hold", FAULT_S)
                + line("at %.2f cut of:j-21/0 nodes for=6", FAULT_S + apart)
                + line("at %.2f hang of:j-12/0 for=14", FAULT_S)
                + line("at %.2f restart leading after=%.2f", FAULT_S + apart, restartDelay)
                + line(
                    "at %.2f restart leading after=%.2f", FAULT_S + 2 * apart + 5, restartDelay));
  }

  /** A zone is cut off for longer than a lease; followers relay its leases. */
  @TestFactory
  List<DynamicTest> zoneCutOff() {
    return sweep(
        (apart, restartDelay) ->
            line("at %.2f cut zone:a zone:b for=25 hold", FAULT_S)
                + line("at %.2f cut of:j-22/0 nodes for=20", FAULT_S + 2 * apart)
                + line(
                    "at %.2f restart leading after=%.2f", FAULT_S + 2 + 2 * apart, restartDelay));
  }

  private interface MachineFaults {
    String lines(double apart, double restartDelay);
  }

  private static List<DynamicTest> sweep(MachineFaults faults) {
    List<DynamicTest> tests = new ArrayList<>();
    for (int step = 1; step <= STEPS; step++) {
      double apart = step * STEP_MILLIS / 1000.0;
      double restartDelay = RESTART_DELAYS_S[step % RESTART_DELAYS_S.length];
      tests.add(
          DynamicTest.dynamicTest(
              line("%.2f s apart, back after %.1f s", apart, restartDelay).trim(),
              () -> assertPasses(text(faults.lines(apart, restartDelay), apart))));
    }
    return tests;
  }

  private static String text(String faults, double apart) {
    StringBuilder text = new StringBuilder();
    text.append("settings nodes=3 zones=a,b lease=10 cancel=40\n");
    text.append("team red max=8\nteam blue max=6\nteam green gpumax=4\n");
    text.append("type m cpus=4 mem=16 boot=6\ntype g cpus=4 gpus=2 mem=16 boot=6\n");
    text.append("machine m a 3\nmachine m b 3\nmachine g a 2\nmachine m a 3 spot\n");
    text.append("capacity m a 9 spot=9\ncapacity m b 9\ncapacity g a 6\n");
    text.append("at 3 submit j-1 service tasks=4 team=red\n");
    text.append("at 3 submit j-2 service tasks=4 team=red\n");
    text.append("at 3 submit j-11 service tasks=3 team=blue\n");
    text.append("at 3 submit j-12 array tasks=3 run=300 team=blue\n");
    text.append("at 3 submit j-21 service tasks=3 gpus=1 team=green\n");
    text.append("at 3 submit j-22 array tasks=1 run=300 gpus=1 team=green\n");
    text.append("at 7 submit j-3 array tasks=8 run=4 team=red\n");
    text.append("at 7 submit j-13 gang tasks=3 run=4 team=blue\n");
    text.append("at 7 submit j-23 array tasks=6 run=2 gpus=1 team=green\n");
    for (String stream : TEAM_STREAMS) {
      String[] words = stream.split(" ");
      String gpus = words[1].equals("green") ? " gpus=1" : "";
      text.append(
          line("every 0.5 8 28 %s array tasks=1 run=1 team=%s%s", words[0], words[1], gpus));
    }
    text.append(faults);
    text.append(line("at %.2f cancel j-1", FAULT_S + apart / 2));
    text.append(line("at %.2f cancel j-12", FAULT_S + apart - 0.1));
    text.append(line("at %.2f cancel j-21", FAULT_S + apart + 0.3));
    for (int cancelled : List.of(1, 12, 21)) {
      text.append(line("at %.2f expect j-%d on most=0", FAULTS_OVER_S, cancelled));
      text.append(line("at %.2f expect j-%d cancelled", FAULTS_OVER_S, cancelled));
    }
    double roomUsed = FAULTS_OVER_S + 90;
    text.append(line("at %.2f expect j-2 on least=4", roomUsed));
    text.append(line("at %.2f expect j-11 on least=3", roomUsed));
    for (int queued : List.of(3, 13, 23)) {
      text.append(line("at %.2f expect j-%d done", roomUsed, queued));
    }
    for (String stream : TEAM_STREAMS) {
      int first = Integer.parseInt(stream.split(" ")[0]);
      for (int job = first; job < first + JOBS_PER_STREAM; job++) {
        text.append(line("at %.2f expect j-%d done", roomUsed, job));
      }
    }
    // The unused part of each limit can be used completely.
    text.append(line("at %.2f submit j-4 service tasks=4 team=red", roomUsed));
    text.append(line("at %.2f submit j-14 service tasks=3 team=blue", roomUsed));
    text.append(line("at %.2f submit j-24 service tasks=3 gpus=1 team=green", roomUsed));
    text.append(line("at %.2f expect j-4 on least=4", roomUsed + 30));
    text.append(line("at %.2f expect j-14 on least=3", roomUsed + 30));
    text.append(line("at %.2f expect j-24 on least=3", roomUsed + 30));
    return text.append(line("end %.2f", roomUsed + 31)).toString();
  }
}
