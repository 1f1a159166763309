package org.oakwalk.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oakwalk.core.Attempt;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.TaskId;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/**
 * Covers all state transitions of machines, placements and jobs; the tables list the legal ones.
 */
class StateTransitionsTest {
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);

  @ParameterizedTest
  @CsvSource({
    "BOOTING,       REGISTERING RETURNING",
    "REGISTERING,   UP RETURNING",
    "UNCONFIRMED,   UP LEASE_EXPIRED RETURNING",
    "UP,            LEASE_EXPIRED RETURNING",
    "LEASE_EXPIRED, UP RETURNING",
    "RETURNING,     GONE",
    "GONE,          ''"
  })
  void machineTransitions(Machine.State from, String legal) {
    for (Machine.State to : Machine.State.values()) {
      Machine machine = machine(from);
      if (to == from || allowed(legal).contains(to.name())) {
        machine.enter(to);
        assertThat(machine.state()).isEqualTo(to);
      } else {
        assertThatThrownBy(() -> machine.enter(to))
            .as("%s to %s", from, to)
            .isInstanceOf(IllegalStateException.class);
        assertThat(machine.state()).isEqualTo(from);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "ORDERED,  FETCHING RUNNING SAVING ENDED",
    "FETCHING, RUNNING SAVING ENDED",
    "RUNNING,  SAVING FETCHING ENDED",
    "SAVING,   ENDED",
    "ENDED,    ''"
  })
  void placementTransitions(Placement.State from, String legal) {
    for (Placement.State to : Placement.State.values()) {
      Placement placement = placement();
      placement.enter(from, NOW);
      if (to == from || allowed(legal).contains(to.name())) {
        placement.enter(to, NOW);
        assertThat(placement.state()).isEqualTo(to);
      } else {
        assertThatThrownBy(() -> placement.enter(to, NOW))
            .as("%s to %s", from, to)
            .isInstanceOf(IllegalStateException.class);
        assertThat(placement.state()).isEqualTo(from);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "OPEN,      FINISHING DONE WITHDRAWN",
    "FINISHING, OPEN DONE WITHDRAWN",
    "DONE,      DONE",
    "WITHDRAWN, WITHDRAWN"
  })
  void jobTransitions(Job.State from, String legal) {
    for (Job.State to : Job.State.values()) {
      Job job = job();
      enter(job, from);
      if (allowed(legal).contains(to.name())) {
        enter(job, to);
        assertThat(job.state()).isEqualTo(to);
      } else if (from != Job.State.OPEN || to != Job.State.OPEN) {
        assertThatThrownBy(() -> enter(job, to))
            .as("%s to %s", from, to)
            .isInstanceOf(IllegalStateException.class);
        assertThat(job.state()).isEqualTo(from);
      }
    }
  }

  private static void enter(Job job, Job.State next) {
    switch (next) {
      case OPEN -> {
        if (job.state() != Job.State.OPEN) {
          job.reopen();
        }
      }
      case FINISHING -> job.markFinishing();
      case DONE -> job.markEnded(false, new Revision(9));
      case WITHDRAWN -> job.markEnded(true, new Revision(9));
      default -> throw new IllegalArgumentException(next.name());
    }
  }

  private static List<String> allowed(String legal) {
    return Arrays.asList(Optional.ofNullable(legal).orElse("").split(" "));
  }

  private static Machine machine(Machine.State state) {
    MachineType type =
        new MachineType(
            "m", Resources.ofMachine(4, 0, 16), 40, 1, 1, 0.3, TimeSpan.seconds(20), List.of("a"));
    return new Machine(new MachineId("m-1"), "", type, "a", false, state, new Token(1), NOW);
  }

  private static Placement placement() {
    return new Placement(
        job(),
        new TaskId(new JobId("j-1"), 0),
        new Attempt(1),
        machine(Machine.State.UP),
        NOW,
        TimeSpan.seconds(5));
  }

  private static Job job() {
    JobSpec spec =
        new JobSpec(
            new JobId("j-1"),
            "some",
            "crew",
            JobSpec.Shape.ARRAY,
            Priority.NORMAL,
            2,
            Resources.ofTask(1, 0, 1),
            Set.of(),
            Optional.empty(),
            false,
            false,
            false,
            "image",
            1,
            TimeSpan.seconds(5),
            TimeSpan.seconds(0),
            TimeSpan.seconds(0),
            Optional.empty());
    return new Job(spec, new Revision(1), new WallTime(0), false, NOW);
  }
}
