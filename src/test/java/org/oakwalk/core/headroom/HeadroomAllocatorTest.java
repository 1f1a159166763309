package org.oakwalk.core.headroom;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.JobId;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.fleet.Fleet;
import org.oakwalk.core.fleet.Machine;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.fleet.PlacementTestSupport;
import org.oakwalk.core.fleet.SchedulingMode;
import org.oakwalk.core.job.Job;
import org.oakwalk.core.job.JobSpec;
import org.oakwalk.core.job.Priority;
import org.oakwalk.core.job.Resources;

/**
 * Guards against headroom slots that no replica can use: slots assembled from free room on several
 * machines, slots on machines that are being retired, and reserved room that is given to other
 * tasks or loses its cached image.
 */
class HeadroomAllocatorTest {
  private static final MonotonicTime NOW = new MonotonicTime(1_000_000);
  private static final Resources SHAPE = Resources.ofTask(4, 4, 32);
  private static final HeadroomRow.HeadroomKey KEY =
      new HeadroomRow.HeadroomKey("serving", "crew", "search", SHAPE, Optional.empty());

  private final HeadroomAllocator allocator = new HeadroomAllocator();
  private final List<Machine> machines = new ArrayList<>();
  private Fleet fleet;

  @BeforeEach
  void addMachines() {
    Fleet.Listener noListener = PlacementTestSupport.NO_EVENTS;
    Settings.WorkerTiming timing =
        new Settings.WorkerTiming(TimeSpan.seconds(2), TimeSpan.seconds(10), TimeSpan.seconds(40));
    fleet = new Fleet(new Token(1), null, null, null, timing, noListener);
    Resources machineResources = Resources.ofMachine(16, 4, 128);
    fleet.setMachineTypes(
        Map.of(
            "g",
            new MachineType(
                "g", machineResources, 200, 1, 1, 1, TimeSpan.seconds(30), List.of("a"))));
    for (int i = 0; i < 4; i++) {
      fleet
          .add(new MachineId("m-" + i), "", "g", "a", false, Machine.State.UP, NOW)
          .ifPresent(machines::add);
    }
  }

  private static HeadroomRow headroomRow(int slots) {
    return new HeadroomRow(
        KEY, Priority.HIGH, "weights", 150, Set.of(), false, 4, Map.of("a", slots));
  }

  private static JobSpec spec(JobSpec.Shape shape, Resources resources, String image, double gb) {
    return new JobSpec(
        new JobId("j-1"),
        shape == JobSpec.Shape.SERVICE ? "search" : "resize",
        "crew",
        shape,
        Priority.NORMAL,
        8,
        resources,
        Set.of(),
        Optional.empty(),
        false,
        false,
        false,
        image,
        gb,
        TimeSpan.seconds(10),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        Optional.empty());
  }

  private void placeTask(Machine machine, JobSpec spec) {
    Job job = new Job(spec, new Revision(1), new WallTime(0), false, NOW);
    fleet.place(job, 0, fleet.nextAttempt(), machine, TimeSpan.seconds(10), NOW);
  }

  private void allocate(int slots) {
    allocator.allocate(List.of(headroomRow(slots)), machines, Map.of(), Map.of("serving", 0.5));
  }

  @Test
  void doesNotAssembleSlotFromFragmentsOnSeveralMachines() {
    JobSpec fragment = spec(JobSpec.Shape.ARRAY, Resources.ofTask(3, 3, 8), "resize", 1);
    machines.forEach(machine -> placeTask(machine, fragment));
    allocate(1);
    assertThat(allocator.missingSlots()).isEqualTo(Map.of(KEY, Map.of("a", 1)));
    assertThat(allocator.unreserved(machines.get(0)).gpus()).isEqualTo(1);
  }

  @Test
  void hidesReservedRoomFromOtherTasksOnly() {
    allocate(3);
    Set<Machine> reserved = new HashSet<>(machines);
    reserved.removeIf(machine -> allocator.slotsOn(KEY, machine) == 0);
    assertThat(reserved).hasSize(3);
    for (Machine machine : machines) {
      double unreservedGpus = reserved.contains(machine) ? 0 : 4;
      assertThat(allocator.freeFor(null, machine).gpus()).isEqualTo(unreservedGpus);
      assertThat(allocator.freeFor(KEY, machine).gpus()).isEqualTo(4);
    }
  }

  @Test
  void prefersMachinesWithImageAndProtectsCachedImage() {
    JobSpec replica = spec(JobSpec.Shape.SERVICE, Resources.ofTask(1, 0, 8), "weights", 150);
    placeTask(machines.get(2), replica);
    allocate(2);
    assertThat(allocator.slotsOn(KEY, machines.get(2))).isEqualTo(1);
    assertThat(allocator.warmSlots(KEY)).isEqualTo(1);
    JobSpec evicting = spec(JobSpec.Shape.ARRAY, Resources.ofTask(1, 0, 1), "other", 60);
    JobSpec fitting = spec(JobSpec.Shape.ARRAY, Resources.ofTask(1, 0, 1), "other", 50);
    assertThat(allocator.evictsReservedImage(evicting, machines.get(2))).isTrue();
    assertThat(allocator.evictsReservedImage(fitting, machines.get(2))).isFalse();
    assertThat(allocator.evictsReservedImage(evicting, machines.get(0))).isFalse();
  }

  @Test
  void doesNotCountRoomOfRetiringMachinesButReservesIt() {
    machines.forEach(machine -> machine.schedulingMode(SchedulingMode.RETIRING));
    allocate(2);
    assertThat(allocator.missingSlots()).isEqualTo(Map.of(KEY, Map.of("a", 2)));
    assertThat(machines.stream().filter(machine -> allocator.unreserved(machine).gpus() == 0))
        .hasSize(2);
  }

  @Test
  void leavesRoomHeldForServiceToThatService() {
    Job holder =
        new Job(
            spec(JobSpec.Shape.SERVICE, Resources.ofTask(2, 2, 8), "x", 1),
            new Revision(1),
            new WallTime(0),
            false,
            NOW);
    Map<Machine, Job> held = Map.of(machines.get(0), holder);
    allocator.allocate(List.of(headroomRow(4)), machines, held, Map.of());
    assertThat(allocator.unreserved(machines.get(0)).gpus()).isEqualTo(4);
    assertThat(allocator.missingSlots()).isEqualTo(Map.of(KEY, Map.of("a", 1)));
  }
}
