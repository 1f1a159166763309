package org.oakwalk.core.cells;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;

/**
 * Guards the timing condition of loans, without which a withdrawn task could still run in the guest
 * cell, and the transitions that must be rejected.
 */
class LoanTermsTest {
  @ParameterizedTest
  @CsvSource({
    "15, 22,    47,    true",
    "15, 15.25, 45.25, true",
    "24, 22,    47,    true",
    "25, 22,    47,    false",
    "30, 15.25, 45.25, false"
  })
  void permitAndLeaseMustEndBeforeTheCancelDeadline(
      double permit, double lease, double cancel, boolean possible) {
    LoanTerms terms =
        new LoanTerms(TimeSpan.seconds(permit), TimeSpan.seconds(lease), TimeSpan.seconds(cancel));
    assertThat(terms.findProblem().isEmpty()).isEqualTo(possible);
    terms
        .findProblem()
        .ifPresent(problem -> assertThat(problem).contains("permit", "lease", "cancel"));
  }

  @Test
  void tasksDoNotStartWithoutAValidPermit() {
    LoanTerms terms =
        new LoanTerms(TimeSpan.seconds(15), TimeSpan.seconds(22), TimeSpan.seconds(47));
    MonotonicTime now = new MonotonicTime(1_000_000);
    assertThatThrownBy(() -> GuestLoan.stored().taskStarted(now))
        .isInstanceOf(IllegalStateException.class);
    GuestLoan running = GuestLoan.stored().requestPermit(now).permitGranted(now, terms);
    assertThat(running.mayRun(now)).isTrue();
    assertThat(running.mayRun(now.plus(TimeSpan.seconds(15)))).isFalse();
    assertThat(running.recalled().mayRun(now)).isFalse();
    assertThat(running.taskStarted(now).recalled().mayClose()).isFalse();
    assertThat(HomeLoan.offered().recalled().permitRequested(now).lastPermit()).isEmpty();
  }
}
