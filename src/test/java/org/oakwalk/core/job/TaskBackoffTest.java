package org.oakwalk.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.TimeSpan;

/** The delays after failures of tasks, and their bound. */
class TaskBackoffTest {
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);

  private final TaskBackoff backoff = new TaskBackoff();

  @Test
  void doublesWithEachFailureUpToOneMinute() {
    long[] seconds = {1, 2, 4, 8, 16, 32, 60, 60};
    for (long expected : seconds) {
      backoff.recordFailure(3, false, NOW);
      assertThat(backoff.isOver(3, after(expected * 1000 - 1))).isFalse();
      assertThat(backoff.isOver(3, after(expected * 1000))).isTrue();
    }
    assertThat(backoff.isOver(4, NOW)).isTrue();
  }

  /**
   * Guards against memory that grows with the tasks of a mistaken job: of 100,000 tasks that all
   * fail, only some are tracked, and the others still wait before they are tried again.
   */
  @Test
  void failuresOfManyTasksDelayTheUntrackedOnes() {
    int tasks = JobSpec.MAX_TASKS;
    for (int index = 0; index < tasks; index++) {
      backoff.recordFailure(index, true, NOW);
    }
    assertThat(backoff.trackedCount()).isEqualTo(TaskBackoff.MAX_TRACKED_TASKS);
    assertThat(backoff.isOver(tasks - 1, after(31_999))).isFalse();
    assertThat(backoff.isOver(tasks - 1, after(32_000))).isTrue();
  }

  /** A completed task makes room for another one. */
  @Test
  void completedTasksAreForgotten() {
    for (int index = 0; index < TaskBackoff.MAX_TRACKED_TASKS; index++) {
      backoff.recordFailure(index, false, NOW);
      backoff.completed(index);
    }
    assertThat(backoff.trackedCount()).isZero();
  }

  private static MonotonicTime after(long millis) {
    return NOW.plus(TimeSpan.millis(millis));
  }
}
