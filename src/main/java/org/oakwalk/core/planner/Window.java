package org.oakwalk.core.planner;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZonedDateTime;
import java.util.Optional;
import org.oakwalk.core.Span;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * The time before one dawn in which work is planned.
 *
 * @param opens when it opens
 * @param dawn when it is over
 * @param ends by when all should be done: the margin, and what this clock may be late, before that
 */
public record Window(WallTime opens, WallTime dawn, WallTime ends) {
  /** Learned amounts are kept by such parts of the time from one dawn to the next. */
  static final int SLICES = 24;

  /**
   * The window that is open.
   *
   * @param clockOff by how much this clock may be off; taken to be late, so that work ends early
   */
  public static Optional<Window> open(BatchDeadlineTerms terms, WallTime now, Span clockOff) {
    Optional<Window> next = next(terms, now, clockOff);
    return next.filter(window -> window.opens().millis() <= now.millis());
  }

  /** The window of the next dawn, open or not. */
  public static Optional<Window> next(BatchDeadlineTerms terms, WallTime now, Span clockOff) {
    if (terms.daily().isPresent()) {
      return Optional.of(daily(terms, terms.daily().get(), now, clockOff));
    }
    return terms
        .interval()
        .map(
            every -> {
              long dawn = (Math.floorDiv(now.millis(), every.millis()) + 1) * every.millis();
              return of(dawn - terms.windowLength().millis(), dawn, terms, clockOff);
            });
  }

  private static Window of(long opens, long dawn, BatchDeadlineTerms terms, Span clockOff) {
    long ends = dawn - terms.safetyMargin().millis() - clockOff.millis();
    return new Window(new WallTime(opens), new WallTime(dawn), new WallTime(Math.max(opens, ends)));
  }

  /**
   * Where a local time comes twice, its first counts; where it is left out, the moment of the jump.
   * So no night's dawn is later than its clock face says.
   */
  private static Window daily(
      BatchDeadlineTerms terms,
      BatchDeadlineTerms.DailyDeadline daily,
      WallTime now,
      Span clockOff) {
    LocalDate today = Instant.ofEpochMilli(now.millis()).atZone(daily.zone()).toLocalDate();
    LocalDate date = today.minusDays(1);
    while (instant(date, daily, daily.dueAt()) <= now.millis()) {
      date = date.plusDays(1);
    }
    LocalDate evening = daily.opensAt().isBefore(daily.dueAt()) ? date : date.minusDays(1);
    return of(
        instant(evening, daily, daily.opensAt()),
        instant(date, daily, daily.dueAt()),
        terms,
        clockOff);
  }

  private static long instant(
      LocalDate date, BatchDeadlineTerms.DailyDeadline daily, java.time.LocalTime time) {
    ZonedDateTime at = date.atTime(time).atZone(daily.zone());
    if (!at.toLocalTime().equals(time)) {
      return daily.zone().getRules().getTransition(date.atTime(time)).getInstant().toEpochMilli();
    }
    return at.toInstant().toEpochMilli();
  }

  /** Which part of the time between two dawns this is: the hour of the day, or like that. */
  static int slice(BatchDeadlineTerms terms, WallTime now) {
    if (terms.daily().isPresent()) {
      return Instant.ofEpochMilli(now.millis()).atZone(terms.daily().get().zone()).getHour();
    }
    long every = terms.interval().map(Span::millis).orElse(1L);
    return (int) (Math.floorMod(now.millis(), every) * SLICES / every);
  }

  /** How long such a part is. */
  static Span sliceLength(BatchDeadlineTerms terms) {
    return terms.daily().isPresent()
        ? Span.seconds(3600)
        : Span.millis(terms.interval().map(Span::millis).orElse(1L) / SLICES);
  }

  /** The time until all should be done; negative once that has passed. */
  Span left(WallTime now) {
    return ends.since(now);
  }

  Span length() {
    return dawn.since(opens);
  }
}
