package org.oakwalk.core.planner;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;

/**
 * Decides whether a draft replaces the active plan: only for a specific reason and at a limited
 * rate, so that the order of the groups does not oscillate.
 */
final class PlanRevisionPolicy {
  private static final TimeSpan MIN_SPACING = TimeSpan.seconds(5);
  private static final TimeSpan MAX_SPACING = TimeSpan.seconds(300);

  /** Maximum number of revisions in a window, unless MAX_SPACING makes the spacing shorter. */
  private static final int MAX_REVISIONS_PER_WINDOW = 40;

  /** Factor on the spacing of deferrable revisions. */
  private static final double DEFERRABLE_SPACING_FACTOR = 3;

  /** Fraction of the time left or of the work by which a draft has to differ to be significant. */
  static final double SIGNIFICANT_FRACTION = 0.1;

  /** The missing hours must exceed the stored ones by this factor, plus MISSING_GROWTH_HOURS. */
  private static final double MISSING_GROWTH_FACTOR = 1.5;

  private static final double MISSING_GROWTH_HOURS = 0.1;

  private PlanRevisionPolicy() {}

  /** Returns the reason to replace the active plan now; empty if it stays. */
  static Optional<String> revisionReason(
      PlanDraft draft, ActivePlan activePlan, Map<String, PlanningWindow> open, WallTime now) {
    Optional<PlanDraft.RevisionReason> change = change(draft, activePlan, open, now);
    if (change.isEmpty()) {
      return Optional.empty();
    }
    TimeSpan shortest =
        open.values().stream().map(PlanningWindow::length).min(TimeSpan::compareTo).orElseThrow();
    TimeSpan minSpacing =
        clamp(shortest.times(1.0 / MAX_REVISIONS_PER_WINDOW), MIN_SPACING, MAX_SPACING);
    TimeSpan spacing =
        change.get().deferrable() ? minSpacing.times(DEFERRABLE_SPACING_FACTOR) : minSpacing;
    for (Map.Entry<String, PlanningWindow> window : open.entrySet()) {
      Optional<PlanRow.WindowRow> row = activePlan.window(window.getKey(), window.getValue());
      if (row.isPresent() && now.since(row.get().revisedAt()).compareTo(spacing) < 0) {
        return Optional.empty();
      }
    }
    return Optional.of(change.get().reason());
  }

  private static Optional<PlanDraft.RevisionReason> change(
      PlanDraft draft, ActivePlan activePlan, Map<String, PlanningWindow> open, WallTime now) {
    for (Map.Entry<String, PlanningWindow> window : open.entrySet()) {
      Optional<PlanRow.WindowRow> row = activePlan.window(window.getKey(), window.getValue());
      if (row.isEmpty()) {
        return Optional.of(
            new PlanDraft.RevisionReason("window of " + window.getKey() + " is open", false));
      }
      double oldShare = row.get().share();
      double newShare = draft.solution().share();
      // A promised share is not lowered; a growing shortage is stored and logged.
      boolean feasibilityChanged = (oldShare == 1) != (newShare == 1);
      if (feasibilityChanged || newShare > oldShare + SIGNIFICANT_FRACTION) {
        return Optional.of(
            new PlanDraft.RevisionReason(
                String.format(
                    Locale.ROOT,
                    "share of %s from %.2f to %.2f",
                    window.getKey(),
                    oldShare,
                    newShare),
                !feasibilityChanged));
      }
      if (newShare < 1
          && draft.solution().totalMissingMachineHours()
              > MISSING_GROWTH_FACTOR * row.get().missingMachineHours() + MISSING_GROWTH_HOURS) {
        return Optional.of(new PlanDraft.RevisionReason("more machine hours are missing", true));
      }
    }
    return draft.significantChange(activePlan, open, now, SIGNIFICANT_FRACTION);
  }

  /** Limits a span to bounds; the lower one takes precedence. */
  static TimeSpan clamp(TimeSpan value, TimeSpan min, TimeSpan max) {
    TimeSpan capped = value.compareTo(max) > 0 ? max : value;
    return capped.compareTo(min) < 0 ? min : capped;
  }
}
