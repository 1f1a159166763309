package org.oakwalk.core.fleet;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** What a machine that is up is there for. The later of two reasons against it weighs more. */
public enum SchedulingMode {
  /** Takes all tasks. */
  ACTIVE,
  /** Sound but not needed: filled with what ends anyway before it is empty, then returned. */
  RETIRING,
  /** A plan will empty it as soon as the others can do without: filled like a retiring one. */
  DRAIN_PENDING,
  /** A plan empties it: no new tasks, and those that are on it move or run out. */
  CORDONED,
  /** It fails its tasks, is slow, or of a type that is not known: no new tasks. */
  UNFIT,
  /** The cloud has given notice that it takes the machine: no new tasks. */
  RECLAIMED;

  private static final Map<SchedulingMode, Set<SchedulingMode>> LEGAL =
      new EnumMap<>(SchedulingMode.class);

  static {
    LEGAL.put(ACTIVE, EnumSet.of(RETIRING, DRAIN_PENDING, CORDONED, UNFIT, RECLAIMED));
    LEGAL.put(RETIRING, EnumSet.of(ACTIVE, DRAIN_PENDING, UNFIT, RECLAIMED));
    LEGAL.put(DRAIN_PENDING, EnumSet.of(ACTIVE, CORDONED, UNFIT, RECLAIMED));
    LEGAL.put(CORDONED, EnumSet.of(ACTIVE, UNFIT, RECLAIMED));
    LEGAL.put(UNFIT, EnumSet.of(RECLAIMED));
    LEGAL.put(RECLAIMED, EnumSet.noneOf(SchedulingMode.class));
  }

  /** Whether a machine may come from this duty to another one. */
  public boolean canTransitionTo(SchedulingMode next) {
    return LEGAL.get(this).contains(next);
  }

  /** Whether it is to be returned once it is empty. */
  public boolean returnedWhenEmpty() {
    return this != ACTIVE && this != DRAIN_PENDING;
  }

  /** Whether only such tasks may be put on it as end before it is empty anyway. */
  public boolean backfillOnly() {
    return this == RETIRING || this == DRAIN_PENDING;
  }
}
