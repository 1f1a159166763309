package org.oakwalk.core.job;

import java.util.HashSet;
import java.util.Set;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.Moment;
import org.oakwalk.core.Span;

/**
 * Evidence that a job itself is at fault: its tasks fail on one machine after the other, and none
 * has completed. Such a job goes on by single probes with growing pauses, so that it takes no room
 * from others and has no machine blamed; the first task that completes, or runs for a while, clears
 * it. A probe that only begins to run does not: what fails everywhere begins to run as well.
 */
final class Suspicion {
  private static final int MACHINES = 3;

  /** On a small fleet fewer machines have to do, but more errors. */
  private static final int FEW_MACHINES = 2;

  private static final int MANY_ERRORS = 8;
  private static final Span FIRST_PAUSE = Span.seconds(2);
  private static final Span LONGEST_PAUSE = Span.seconds(60);

  /** What runs for so long does not fail as the others did. */
  private static final Span RUNS_FOR = Span.seconds(5);

  private final Set<MachineId> failedOn = new HashSet<>();
  private int errors;
  private boolean told;
  private Moment runsSince;
  private Span pause = FIRST_PAUSE;
  private Moment notBefore = new Moment(Long.MIN_VALUE / 2);

  /** Whether the evidence is enough. */
  boolean holds() {
    return told
        || failedOn.size() >= MACHINES
        || (failedOn.size() >= FEW_MACHINES && errors >= MANY_ERRORS);
  }

  /** Whether any of its tasks runs at present. */
  void runs(boolean on, Moment now) {
    runsSince = !on ? null : runsSince == null ? now : runsSince;
  }

  /** Looks whether something has run for long enough to clear it. */
  void weigh(Moment now) {
    if (runsSince != null && now.isPast(runsSince, RUNS_FOR)) {
      failedOn.clear();
      errors = 0;
      told = false;
    }
  }

  /** An earlier leader had enough evidence. */
  void told() {
    told = true;
  }

  /** A task has failed; what fails while a pause lasts was started before it. */
  void failed(MachineId machine, Moment now) {
    errors++;
    if (failedOn.size() < MACHINES) {
      failedOn.add(machine);
    }
    if (holds() && !notBefore.isAfter(now)) {
      notBefore = now.plus(pause);
      pause = pause.times(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.times(2);
    }
  }

  /** Whether a probe may start. */
  boolean probes(Moment now) {
    return !notBefore.isAfter(now);
  }
}
