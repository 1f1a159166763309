package org.oakwalk.core.planner;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZonedDateTime;
import java.util.Optional;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.product.DawnTerms;

/**
 * The time before one dawn in which work is planned.
 *
 * @param opensAt when it opens
 * @param deadline when it is over
 * @param finishBy by when all should be done: the margin, and what this clock may be late, before
 *     that
 */
public record PlanningWindow(WallTime opensAt, WallTime deadline, WallTime finishBy) {
  /** Learned amounts are kept by such parts of the time from one dawn to the next. */
  static final int SLICES_PER_PERIOD = 24;

  /**
   * The window that is open.
   *
   * @param clockOff by how much this clock may be off; taken to be late, so that work ends early
   */
  public static Optional<PlanningWindow> current(DawnTerms terms, WallTime now, Span clockOff) {
    Optional<PlanningWindow> next = next(terms, now, clockOff);
    return next.filter(window -> window.opensAt().millis() <= now.millis());
  }

  /** The window of the next dawn, open or not. */
  public static Optional<PlanningWindow> next(DawnTerms terms, WallTime now, Span clockOff) {
    if (terms.daily().isPresent()) {
      return Optional.of(nextDaily(terms, terms.daily().get(), now, clockOff));
    }
    return terms
        .every()
        .map(
            every -> {
              long dawn = (Math.floorDiv(now.millis(), every.millis()) + 1) * every.millis();
              return ofDeadline(dawn - terms.lasts().millis(), dawn, terms, clockOff);
            });
  }

  private static PlanningWindow ofDeadline(long opens, long dawn, DawnTerms terms, Span clockOff) {
    long ends = dawn - terms.margin().millis() - clockOff.millis();
    return new PlanningWindow(
        new WallTime(opens), new WallTime(dawn), new WallTime(Math.max(opens, ends)));
  }

  /**
   * Where a local time comes twice, its first counts; where it is left out, the moment of the jump.
   * So no night's dawn is later than its clock face says.
   */
  private static PlanningWindow nextDaily(
      DawnTerms terms, DawnTerms.Daily daily, WallTime now, Span clockOff) {
    LocalDate today = Instant.ofEpochMilli(now.millis()).atZone(daily.zone()).toLocalDate();
    LocalDate date = today.minusDays(1);
    while (toEpochMillis(date, daily, daily.by()) <= now.millis()) {
      date = date.plusDays(1);
    }
    LocalDate evening = daily.opens().isBefore(daily.by()) ? date : date.minusDays(1);
    return ofDeadline(
        toEpochMillis(evening, daily, daily.opens()),
        toEpochMillis(date, daily, daily.by()),
        terms,
        clockOff);
  }

  private static long toEpochMillis(
      LocalDate date, DawnTerms.Daily daily, java.time.LocalTime time) {
    ZonedDateTime at = date.atTime(time).atZone(daily.zone());
    if (!at.toLocalTime().equals(time)) {
      return daily.zone().getRules().getTransition(date.atTime(time)).getInstant().toEpochMilli();
    }
    return at.toInstant().toEpochMilli();
  }

  /** Which part of the time between two dawns this is: the hour of the day, or like that. */
  static int sliceOf(DawnTerms terms, WallTime now) {
    if (terms.daily().isPresent()) {
      return Instant.ofEpochMilli(now.millis()).atZone(terms.daily().get().zone()).getHour();
    }
    long every = terms.every().map(Span::millis).orElse(1L);
    return (int) (Math.floorMod(now.millis(), every) * SLICES_PER_PERIOD / every);
  }

  /** How long such a part is. */
  static Span sliceLength(DawnTerms terms) {
    return terms.daily().isPresent()
        ? Span.seconds(3600)
        : Span.millis(terms.every().map(Span::millis).orElse(1L) / SLICES_PER_PERIOD);
  }

  /** The time until all should be done; negative once that has passed. */
  Span timeLeft(WallTime now) {
    return finishBy.since(now);
  }

  Span length() {
    return deadline.since(opensAt);
  }
}
