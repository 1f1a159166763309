package org.oakwalk.core.placement;

import java.util.Set;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds the placements of a leader in memory, and those of one round in time. A task may take next
 * to nothing of its machine and a job may have 100,000 of them, so the machines alone are no bound.
 */
final class PlacementBudget {
  private static final Logger LOG = LoggerFactory.getLogger(PlacementBudget.class);

  /**
   * Placements of a leader, at some 350 bytes each: a third of the heap of the deploy file, and
   * more than 4,000 machines of 16 CPUs hold of tasks of one CPU.
   */
  static final int MAX_PLACEMENTS = 68_000;

  /** Placements that only urgent jobs may use. */
  static final int RESERVED_FOR_URGENT = 3_000;

  /** Placements beyond which no tasks that are limited by task slots start, unless urgent. */
  static final int MAX_TINY_PLACEMENTS = 45_000;

  /**
   * Placements of one round, after which the leader handles reports before the next round. It takes
   * some tenths of a second on 1,000 machines.
   */
  static final int MAX_PLACEMENTS_PER_ROUND = 8_000;

  private final Fleet fleet;
  private int placedInRound;
  private boolean full;

  PlacementBudget(Fleet fleet) {
    this.fleet = fleet;
  }

  void beginRound() {
    placedInRound = 0;
    boolean nowFull = fleet.placementCount() >= MAX_TINY_PLACEMENTS;
    if (nowFull != full) {
      full = nowFull;
      LOG.warn(
          full
              ? "limit of {} placements of tiny tasks reached: further ones wait"
              : "fewer than {} placements again",
          MAX_TINY_PLACEMENTS);
    }
  }

  void recordPlaced() {
    placedInRound++;
  }

  /** Number of tasks placed in this round. */
  int placedInRound() {
    return placedInRound;
  }

  /** Whether the round has to end, so that reports are handled before more tasks are placed. */
  boolean roundFull() {
    return placedInRound >= MAX_PLACEMENTS_PER_ROUND;
  }

  /**
   * Whether this many more tasks of a job may be placed beside all others.
   *
   * @param machineTypes the types of the machines that accept tasks
   */
  boolean allows(JobSpec spec, int count, Set<MachineType> machineTypes) {
    return fleet.placementCount() + count <= limit(spec, machineTypes);
  }

  private static int limit(JobSpec spec, Set<MachineType> machineTypes) {
    if (spec.urgent()) {
      return MAX_PLACEMENTS;
    }
    boolean tiny =
        machineTypes.stream()
            .allMatch(type -> spec.resources().limitedByTaskSlots(type.resources()));
    return tiny ? MAX_TINY_PLACEMENTS : MAX_PLACEMENTS - RESERVED_FOR_URGENT;
  }
}
