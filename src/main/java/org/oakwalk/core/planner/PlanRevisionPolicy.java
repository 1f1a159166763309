package org.oakwalk.core.planner;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;

/**
 * Whether a plan that was made takes the place of the one in force: only for a stated reason, and
 * not too often, so that the order of the night does not go to and fro.
 */
final class PlanRevisionPolicy {
  private static final Span MIN_SPACING = Span.seconds(5);
  private static final Span MAX_SPACING = Span.seconds(300);

  /** At most so many revisions fit into a window. */
  private static final int MAX_REVISIONS_PER_WINDOW = 40;

  /** Times by which a revision that only counts more keeps a greater distance. */
  private static final double DEFERRABLE_SPACING_FACTOR = 3;

  /** By what part of the time left or of the work something has to differ to be notable. */
  static final double NOTABLE_FRACTION = 0.1;

  private static final double MISSING_GROWTH_FACTOR = 1.5;
  private static final double MISSING_GROWTH_HOURS = 0.1;

  private PlanRevisionPolicy() {}

  /** Why the plan in force is to be replaced now; empty if it is not. */
  static Optional<String> revisionReason(
      PlanDraft draft, ActivePlan inForce, Map<String, PlanningWindow> open, WallTime now) {
    Optional<PlanDraft.RevisionReason> change = change(draft, inForce, open, now);
    if (change.isEmpty()) {
      return Optional.empty();
    }
    Span shortest =
        open.values().stream().map(PlanningWindow::length).min(Span::compareTo).orElseThrow();
    Span least = clamp(shortest.times(1.0 / MAX_REVISIONS_PER_WINDOW), MIN_SPACING, MAX_SPACING);
    Span spacing = change.get().deferrable() ? least.times(DEFERRABLE_SPACING_FACTOR) : least;
    for (Map.Entry<String, PlanningWindow> window : open.entrySet()) {
      Optional<PlanRow.WindowRow> night = inForce.window(window.getKey(), window.getValue());
      if (night.isPresent() && now.since(night.get().revisedAt()).compareTo(spacing) < 0) {
        return Optional.empty();
      }
    }
    return Optional.of(change.get().reason());
  }

  private static Optional<PlanDraft.RevisionReason> change(
      PlanDraft draft, ActivePlan inForce, Map<String, PlanningWindow> open, WallTime now) {
    for (Map.Entry<String, PlanningWindow> window : open.entrySet()) {
      Optional<PlanRow.WindowRow> night = inForce.window(window.getKey(), window.getValue());
      if (night.isEmpty()) {
        return Optional.of(
            new PlanDraft.RevisionReason("window of " + window.getKey() + " is open", false));
      }
      double was = night.get().share();
      double is = draft.solution().share();
      // A share that has been promised is not lowered; what is missing more is told.
      boolean turned = (was == 1) != (is == 1);
      if (turned || is > was + NOTABLE_FRACTION) {
        return Optional.of(
            new PlanDraft.RevisionReason(
                String.format(
                    Locale.ROOT, "share of %s from %.2f to %.2f", window.getKey(), was, is),
                !turned));
      }
      if (is < 1
          && draft.solution().totalMissingMachineHours()
              > MISSING_GROWTH_FACTOR * night.get().missingMachineHours() + MISSING_GROWTH_HOURS) {
        return Optional.of(new PlanDraft.RevisionReason("more is missing", true));
      }
    }
    return draft.significantChange(inForce, open, now, NOTABLE_FRACTION);
  }

  /** A span within bounds; the lower one counts more. */
  static Span clamp(Span value, Span least, Span most) {
    Span capped = value.compareTo(most) > 0 ? most : value;
    return capped.compareTo(least) < 0 ? least : capped;
  }
}
