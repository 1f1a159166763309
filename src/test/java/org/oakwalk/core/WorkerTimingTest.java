package org.oakwalk.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.store.StoreView;

/**
 * Guards against tasks that outlive the cancel deadline. For various settings, the bounds given in
 * docs/safety.md stay below the deadline, or the mechanism that would exceed it is disabled.
 */
class WorkerTimingTest {
  /** Clocks of two machines drift apart by up to 0.05%. */
  private static final double CLOCK_DRIFT = 1.0005;

  private static Settings.WorkerTiming timing(double report, double lease, double cancel) {
    return new Settings.WorkerTiming(
        TimeSpan.seconds(report), TimeSpan.seconds(lease), TimeSpan.seconds(cancel));
  }

  @ParameterizedTest
  @CsvSource({
    "2.5, 15.25, 45.25, true",
    "4, 22, 47, false",
    "3, 20, 45, false",
    "2.5, 15.25, 30.75, false",
    "2.5, 15.25, 31.5, false",
    "2.5, 15.25, 20, false",
    "2.5, 15.25, 17.5, false",
    "2, 10, 40, true"
  })
  void cancelledTaskLifetimeStaysBelowCancelDeadline(
      double report, double lease, double cancel, boolean relays) {
    Settings.WorkerTiming timing = timing(report, lease, cancel);
    assertThat(timing.meetsCancelDeadline()).isTrue();
    double grace = timing.graceLimit().minusClockDrift().asSeconds() * CLOCK_DRIFT;
    assertThat(grace + lease * CLOCK_DRIFT).isLessThan(cancel);
    assertThat(timing.relaysLeases()).isEqualTo(relays);
    if (relays) {
      double window = timing.relayWindow().minusClockDrift().asSeconds() * CLOCK_DRIFT;
      assertThat(2 * lease * CLOCK_DRIFT + window).isLessThan(cancel);
    } else {
      assertThat(timing.relayWindow().millis()).isZero();
    }
  }

  /** No setting can meet the deadline then, so leaders answer only from a nearly current copy. */
  @ParameterizedTest
  @CsvSource({"15.25, 17", "15.25, 15.25", "15.25, 10", "20, 1"})
  void noGraceWhenLeaseOutlastsCancelDeadline(double lease, double cancel) {
    Settings.WorkerTiming timing = timing(2.5, lease, cancel);
    assertThat(timing.meetsCancelDeadline()).isFalse();
    assertThat(timing.graceLimit()).isLessThanOrEqualTo(StoreView.MAX_LAG);
    assertThat(timing.relaysLeases()).isFalse();
    assertThat(timing.relayWindow().millis()).isZero();
  }
}
