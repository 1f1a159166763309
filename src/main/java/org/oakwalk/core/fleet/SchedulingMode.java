package org.oakwalk.core.fleet;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * Which tasks a running machine accepts, and whether it is to be returned. Where several reasons
 * against placing tasks apply, the one declared last takes precedence.
 */
public enum SchedulingMode {
  /** Accepts all tasks. */
  ACTIVE,
  /**
   * Healthy but surplus: accepts only tasks that end before the machine would be empty anyway, and
   * is then returned.
   */
  RETIRING,
  /**
   * Selected for a drain that starts as soon as the other machines have the capacity; until then it
   * accepts the same tasks as a retiring machine.
   */
  DRAIN_PENDING,
  /** Being drained: no new tasks; those on it are moved or run to their end. */
  CORDONED,
  /**
   * Its tasks have failed or run slowly, and it is probed: one task of an array at a time. Follows
   * from the judgement of its health and is never set.
   */
  PROBATION,
  /** Its tasks fail or run slowly, or its type is unknown: no new tasks. */
  UNFIT,
  /** The cloud has announced that it reclaims the machine: no new tasks. */
  RECLAIMED;

  private static final Map<SchedulingMode, Set<SchedulingMode>> LEGAL =
      new EnumMap<>(SchedulingMode.class);

  static {
    LEGAL.put(ACTIVE, EnumSet.of(RETIRING, DRAIN_PENDING, CORDONED, UNFIT, RECLAIMED));
    LEGAL.put(RETIRING, EnumSet.of(ACTIVE, DRAIN_PENDING, UNFIT, RECLAIMED));
    LEGAL.put(DRAIN_PENDING, EnumSet.of(ACTIVE, CORDONED, UNFIT, RECLAIMED));
    LEGAL.put(CORDONED, EnumSet.of(ACTIVE, UNFIT, RECLAIMED));
    LEGAL.put(PROBATION, EnumSet.of(RECLAIMED));
    LEGAL.put(UNFIT, EnumSet.of(RECLAIMED));
    LEGAL.put(RECLAIMED, EnumSet.noneOf(SchedulingMode.class));
  }

  /** Whether a machine may change from this mode to another one. */
  public boolean canTransitionTo(SchedulingMode next) {
    return LEGAL.get(this).contains(next);
  }

  /** Whether a machine in this mode is returned once it is empty. */
  public boolean returnedWhenEmpty() {
    return this != ACTIVE && this != DRAIN_PENDING;
  }

  /** Whether tasks fail or run slowly on the machine, or its type is unknown. */
  public boolean unfit() {
    return this == UNFIT || this == PROBATION;
  }

  /** Whether only backfill is allowed: tasks that end before the machine would be empty anyway. */
  public boolean backfillOnly() {
    return this == RETIRING || this == DRAIN_PENDING;
  }
}
