package org.oakwalk.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oakwalk.core.MachineId;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.Token;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Answer;
import org.oakwalk.core.port.Effect;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.port.Request;
import org.oakwalk.core.store.Change;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoredValue;

/**
 * Guards against losing registered machines when answers of the store are lost or it applies writes
 * late.
 */
class MachineRegistryTest {
  private static final Guard GUARD = new Guard("leader", new Revision(1));
  private static final int MAX_CHANGES_PER_COMMIT = 4;

  private final Outbox outbox = new Outbox();
  private final Fleet fleet =
      new Fleet(
          new Token(1),
          null,
          null,
          null,
          null,
          new Fleet.Listener() {
            @Override
            public void completed(Placement placement, TimeSpan ran) {}

            @Override
            public void placed(org.oakwalk.core.job.Job job, MonotonicTime now) {}

            @Override
            public void capacityChanged() {}
          });
  private final MachineRegistry registry =
      new MachineRegistry(
          outbox, fleet, GUARD, new Settings.StateLimits(100, 100, 1, MAX_CHANGES_PER_COMMIT));
  private final Map<String, StoredValue.MachineListRecord> store = new HashMap<>();
  private final Map<String, Long> revisions = new HashMap<>(Map.of("leader", 1L));
  private long epoch = 1;
  private int changeCount;
  private int machineCount;
  private long now;

  MachineRegistryTest() {
    fleet.setMachineTypes(
        Map.of(
            "t",
            new MachineType(
                "t",
                Resources.ofMachine(4, 0, 16),
                10,
                1,
                1,
                1,
                TimeSpan.seconds(1),
                List.of("a"))));
  }

  private Machine addRegisteringMachine() {
    MachineId id = new MachineId("host-%06d".formatted(++machineCount));
    Machine.State state = Machine.State.REGISTERING;
    return fleet
        .add(id, "10.0.0.1:9000", "t", "a", false, state, new MonotonicTime(now))
        .orElseThrow();
  }

  private List<Effect.Call> tick() {
    now += 1000;
    registry.tick(new MonotonicTime(now));
    return outbox.takeEffects().stream().map(Effect.Call.class::cast).toList();
  }

  private Answer apply(Request.Commit commit) {
    assertThat(commit.changes()).hasSizeLessThanOrEqualTo(MAX_CHANGES_PER_COMMIT);
    for (Guard guard : commit.guards()) {
      if (revisions.getOrDefault(guard.key(), 0L) != guard.revision().value()) {
        return new Answer.Conflict(List.of(guard.key()));
      }
    }
    epoch++;
    for (Change change : commit.changes()) {
      changeCount++;
      if (change instanceof Change.Put put) {
        store.put(put.key(), (StoredValue.MachineListRecord) put.value());
        revisions.put(put.key(), epoch);
      } else if (change instanceof Change.Remove remove) {
        store.remove(remove.key());
        revisions.remove(remove.key());
      }
    }
    return new Answer.Committed(new Revision(epoch));
  }

  private Set<MachineId> stored() {
    Set<MachineId> ids = new HashSet<>();
    store.values().forEach(list -> list.machines().forEach(machine -> ids.add(machine.id())));
    return ids;
  }

  /**
   * An answer was lost, so a leader wrote machines under a second key, and failed before it removed
   * the first one.
   */
  @Test
  void duplicateMachinesAreRemovedFromTheLaterKey() {
    List<StoredValue.MachineRecord> twice = List.of(record(1), record(2));
    store.put("machine/a", new StoredValue.MachineListRecord(twice));
    store.put("machine/b", new StoredValue.MachineListRecord(twice));
    store.put("machine/c", new StoredValue.MachineListRecord(List.of(record(2), record(3))));
    for (String key : List.of("machine/a", "machine/b", "machine/c")) {
      revisions.put(key, ++epoch);
      registry.restore(key, new Revision(epoch), store.get(key).machines());
    }
    commitPendingChanges();
    assertThat(store.keySet()).containsExactlyInAnyOrder("machine/a", "machine/c");
    assertThat(store.get("machine/a").machines()).isEqualTo(twice);
    assertThat(store.get("machine/c").machines()).containsExactly(record(3));
  }

  private static StoredValue.MachineRecord record(int number) {
    return new StoredValue.MachineRecord(
        new MachineId("host-%06d".formatted(number)), "10.0.0.1:9000", "t", "a", false);
  }

  private void commitPendingChanges() {
    for (int i = 0; i < 100; i++) {
      for (Effect.Call call : tick()) {
        outbox.deliverAnswer(call.call(), apply((Request.Commit) call.request()));
      }
    }
  }

  private void returnMachine(Machine machine) {
    fleet.startReturn(machine);
    fleet.confirmGone(machine, new MonotonicTime(now));
    registry.machineGone(machine.id());
  }

  @Test
  void machinesAreRegisteredInFewChanges() {
    for (int i = 0; i < 100; i++) {
      addRegisteringMachine();
    }
    commitPendingChanges();
    assertThat(fleet.machines()).allMatch(machine -> machine.state() == Machine.State.UP);
    assertThat(stored()).hasSize(100);
    assertThat(changeCount).isLessThanOrEqualTo(10);
    List.copyOf(fleet.machines()).forEach(this::returnMachine);
    commitPendingChanges();
    assertThat(store).isEmpty();
  }

  /**
   * Runs random registrations and returns with refused, lost and late writes: a machine that
   * accepts tasks must be in the store until it is gone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void machinesThatAcceptTasksStayStored(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Request.Commit> late = new ArrayList<>();
    for (int step = 0; step < 400; step++) {
      if (fleet.machines().size() < 60) {
        for (int i = random.nextInt(4); i > 0; i--) {
          addRegisteringMachine();
        }
      }
      for (Machine machine : List.copyOf(fleet.machines())) {
        if (random.nextInt(30) == 0) {
          returnMachine(machine);
        }
      }
      for (Effect.Call call : tick()) {
        Request.Commit commit = (Request.Commit) call.request();
        switch (random.nextInt(6)) {
          case 0 -> outbox.deliverAnswer(call.call(), new Answer.Refused(503, ""));
          case 1 -> {
            apply(commit);
            outbox.deliverAnswer(call.call(), new Answer.OutcomeUnknown("lost"));
          }
          case 2 -> {
            late.add(commit);
            outbox.deliverAnswer(call.call(), new Answer.OutcomeUnknown("lost"));
          }
          default -> outbox.deliverAnswer(call.call(), apply(commit));
        }
      }
      if (!late.isEmpty() && random.nextInt(4) == 0) {
        apply(late.remove(random.nextInt(late.size())));
      }
      Set<MachineId> stored = stored();
      boolean all =
          fleet.machines().stream()
              .filter(machine -> machine.state() == Machine.State.UP)
              .allMatch(machine -> stored.contains(machine.id()));
      assertThat(all).as("step %d", step).isTrue();
    }
    assertThat(machineCount).isGreaterThan(100);
  }
}
