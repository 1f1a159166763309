package org.oakwalk.core.planner;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZonedDateTime;
import java.util.Optional;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.product.BatchDeadlineTerms;

/**
 * The period before one deadline of a dawn (a recurring deadline) in which work is planned.
 *
 * @param opensAt start of the window
 * @param deadline end of the window
 * @param finishBy when all work should be done: earlier than the deadline by the configured margin
 *     and the maximum clock error
 */
public record PlanningWindow(WallTime opensAt, WallTime deadline, WallTime finishBy) {
  /** Number of slices of the period between two deadlines; arrival statistics are kept by slice. */
  static final int SLICES_PER_PERIOD = 24;

  /**
   * Returns the window that is open.
   *
   * @param maxClockError how far this clock may be off; it is assumed to be slow, so that work ends
   *     early
   */
  public static Optional<PlanningWindow> current(
      BatchDeadlineTerms terms, WallTime now, TimeSpan maxClockError) {
    Optional<PlanningWindow> next = next(terms, now, maxClockError);
    return next.filter(window -> window.opensAt().millis() <= now.millis());
  }

  /** Returns the window of the next deadline, open or not. */
  public static Optional<PlanningWindow> next(
      BatchDeadlineTerms terms, WallTime now, TimeSpan maxClockError) {
    if (terms.daily().isPresent()) {
      return Optional.of(nextDaily(terms, terms.daily().get(), now, maxClockError));
    }
    return terms
        .interval()
        .map(
            every -> {
              long deadline = (Math.floorDiv(now.millis(), every.millis()) + 1) * every.millis();
              return ofDeadline(
                  deadline - terms.windowLength().millis(), deadline, terms, maxClockError);
            });
  }

  private static PlanningWindow ofDeadline(
      long opens, long deadline, BatchDeadlineTerms terms, TimeSpan maxClockError) {
    long finishBy = deadline - terms.safetyMargin().millis() - maxClockError.millis();
    return new PlanningWindow(
        new WallTime(opens), new WallTime(deadline), new WallTime(Math.max(opens, finishBy)));
  }

  /**
   * Returns the next daily window. Of a local time that occurs twice, the first occurrence counts;
   * for a local time that is skipped, the moment of the clock change does. So a deadline is never
   * later than its local time says.
   */
  private static PlanningWindow nextDaily(
      BatchDeadlineTerms terms,
      BatchDeadlineTerms.DailyDeadline daily,
      WallTime now,
      TimeSpan maxClockError) {
    LocalDate today = Instant.ofEpochMilli(now.millis()).atZone(daily.zone()).toLocalDate();
    LocalDate date = today.minusDays(1);
    while (toEpochMillis(date, daily, daily.dueAt()) <= now.millis()) {
      date = date.plusDays(1);
    }
    LocalDate openingDate = daily.opensAt().isBefore(daily.dueAt()) ? date : date.minusDays(1);
    return ofDeadline(
        toEpochMillis(openingDate, daily, daily.opensAt()),
        toEpochMillis(date, daily, daily.dueAt()),
        terms,
        maxClockError);
  }

  private static long toEpochMillis(
      LocalDate date, BatchDeadlineTerms.DailyDeadline daily, java.time.LocalTime time) {
    ZonedDateTime zoned = date.atTime(time).atZone(daily.zone());
    if (!zoned.toLocalTime().equals(time)) {
      return daily.zone().getRules().getTransition(date.atTime(time)).getInstant().toEpochMilli();
    }
    return zoned.toInstant().toEpochMilli();
  }

  /** Returns the slice of the period between two deadlines: for daily ones, the hour of day. */
  static int sliceOf(BatchDeadlineTerms terms, WallTime now) {
    if (terms.daily().isPresent()) {
      return Instant.ofEpochMilli(now.millis()).atZone(terms.daily().get().zone()).getHour();
    }
    long every = terms.interval().map(TimeSpan::millis).orElse(1L);
    return (int) (Math.floorMod(now.millis(), every) * SLICES_PER_PERIOD / every);
  }

  /** Returns the length of a slice. */
  static TimeSpan sliceLength(BatchDeadlineTerms terms) {
    return terms.daily().isPresent()
        ? TimeSpan.seconds(3600)
        : TimeSpan.millis(terms.interval().map(TimeSpan::millis).orElse(1L) / SLICES_PER_PERIOD);
  }

  /** Returns the time until all work should be done; negative once that has passed. */
  TimeSpan timeLeft(WallTime now) {
    return finishBy.since(now);
  }

  TimeSpan length() {
    return deadline.since(opensAt);
  }
}
