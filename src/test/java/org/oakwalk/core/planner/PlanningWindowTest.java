package org.oakwalk.core.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.product.BatchDeadlineTerms;

/** Windows of recurring deadlines: time zones, changes of the clock, and fixed intervals. */
class PlanningWindowTest {
  private static final TimeSpan NO_CLOCK_ERROR = TimeSpan.millis(0);

  private static BatchDeadlineTerms daily(String opens, String by, double margin) {
    return terms(
        Optional.of(
            new BatchDeadlineTerms.DailyDeadline(
                LocalTime.parse(by), LocalTime.parse(opens), ZoneId.of("Europe/Ljubljana"))),
        Optional.empty(),
        margin);
  }

  private static BatchDeadlineTerms terms(
      Optional<BatchDeadlineTerms.DailyDeadline> daily, Optional<TimeSpan> every, double margin) {
    return new BatchDeadlineTerms(
        "morning",
        daily,
        every,
        TimeSpan.seconds(100),
        Set.of(),
        Set.of(),
        TimeSpan.seconds(margin),
        0.9);
  }

  private static WallTime at(String time) {
    return new WallTime(ZonedDateTime.parse(time).toInstant().toEpochMilli());
  }

  /**
   * Windows across clock changes are an hour longer or shorter, and local times may be skipped or
   * occur twice; in none of these cases may the deadline be wrong by an hour.
   */
  @ParameterizedTest
  @CsvSource({
    "20:00, 06:00, 2026-11-30T21:00+01:00, 2026-11-30T20:00+01:00, 2026-12-01T06:00+01:00",
    "20:00, 06:00, 2026-12-01T05:59:59+01:00, 2026-11-30T20:00+01:00, 2026-12-01T06:00+01:00",
    "20:00, 06:00, 2026-12-01T06:00+01:00, 2026-12-01T20:00+01:00, 2026-12-02T06:00+01:00",
    "20:00, 06:00, 2026-03-28T23:00+01:00, 2026-03-28T20:00+01:00, 2026-03-29T06:00+02:00",
    "20:00, 06:00, 2026-10-24T23:00+02:00, 2026-10-24T20:00+02:00, 2026-10-25T06:00+01:00",
    "20:00, 02:30, 2026-03-28T23:00+01:00, 2026-03-28T20:00+01:00, 2026-03-29T03:00+02:00",
    "20:00, 02:30, 2026-10-24T23:00+02:00, 2026-10-24T20:00+02:00, 2026-10-25T02:30+02:00",
    "02:30, 06:00, 2026-10-25T01:00+02:00, 2026-10-25T02:30+02:00, 2026-10-25T06:00+01:00",
    "02:30, 06:00, 2026-03-29T01:00+01:00, 2026-03-29T03:00+02:00, 2026-03-29T06:00+02:00",
    "01:00, 06:00, 2026-12-01T12:00+01:00, 2026-12-02T01:00+01:00, 2026-12-02T06:00+01:00",
  })
  void nextWindowHandlesDaylightSavingChanges(
      String opens, String by, String now, String opensAt, String deadline) {
    PlanningWindow window =
        PlanningWindow.next(daily(opens, by, 0), at(now), NO_CLOCK_ERROR).orElseThrow();
    assertThat(window.opensAt()).isEqualTo(at(opensAt));
    assertThat(window.deadline()).isEqualTo(at(deadline));
    boolean open = at(opensAt).millis() <= at(now).millis();
    assertThat(PlanningWindow.current(daily(opens, by, 0), at(now), NO_CLOCK_ERROR).isPresent())
        .isEqualTo(open);
  }

  @Test
  void clockErrorMovesTheTargetEarlier() {
    WallTime now = at("2026-12-01T01:00+01:00");
    PlanningWindow window =
        PlanningWindow.next(daily("20:00", "06:00", 600), now, TimeSpan.millis(250)).orElseThrow();
    assertThat(window.finishBy().millis()).isEqualTo(at("2026-12-01T05:50+01:00").millis() - 250);
  }

  @Test
  void windowsRepeatAtAFixedInterval() {
    BatchDeadlineTerms terms = terms(Optional.empty(), Optional.of(TimeSpan.seconds(300)), 20);
    PlanningWindow window =
        PlanningWindow.next(terms, new WallTime(1_000_000), NO_CLOCK_ERROR).orElseThrow();
    assertThat(window)
        .isEqualTo(
            new PlanningWindow(
                new WallTime(1_100_000), new WallTime(1_200_000), new WallTime(1_180_000)));
    assertThat(PlanningWindow.current(terms, new WallTime(1_099_999), NO_CLOCK_ERROR)).isEmpty();
    assertThat(PlanningWindow.current(terms, new WallTime(1_100_000), NO_CLOCK_ERROR))
        .contains(window);
    assertThat(
            PlanningWindow.next(terms, new WallTime(1_200_000), NO_CLOCK_ERROR)
                .orElseThrow()
                .deadline())
        .isEqualTo(new WallTime(1_500_000));
  }
}
