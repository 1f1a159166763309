package org.oakwalk.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.Settings;
import org.oakwalk.core.TimeSpan;
import org.oakwalk.core.fleet.MachineType;
import org.oakwalk.core.job.Resources;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.FaultyStore;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.KnownJob;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoreView;
import org.oakwalk.core.store.StoredValue;

/**
 * Guards against outdated machine types in the store: a write without an answer may be applied
 * after a newer one.
 */
class MachineTypeWriterTest {
  private final Outbox outbox = new Outbox();
  private final FaultyStore store = new FaultyStore();
  private final StoreView view = new StoreView(outbox, 200, 1);
  private MachineTypeWriter writer;
  private MonotonicTime now = new MonotonicTime(0);

  @BeforeEach
  void startTerm() {
    Revision token =
        store.put(StoreKeys.LEADER, new StoredValue.LeaderRecord(new NodeId("n"), "a", "life"));
    view.setListener(
        new StoreView.Listener() {
          @Override
          public void leaderChanged(MonotonicTime at) {}

          @Override
          public void jobChanged(KnownJob known, MonotonicTime at) {}
        });
    writer =
        new MachineTypeWriter(
            outbox,
            view,
            new Guard(StoreKeys.LEADER, token),
            new Settings.StateLimits(100, 100, 64, 4));
  }

  private static Map<String, MachineType> types(String... names) {
    Map<String, MachineType> types = new java.util.TreeMap<>();
    for (String name : names) {
      types.put(
          name,
          new MachineType(
              name, Resources.ofMachine(4, 0, 16), 10, 1, 1, 1, TimeSpan.seconds(1), List.of("a")));
    }
    return types;
  }

  private void tick(Map<String, MachineType> types, FaultyStore.CommitOutcome outcome) {
    for (int i = 0; i < 2; i++) {
      now = now.plus(TimeSpan.seconds(6));
      view.setTime(now);
      view.tick(now);
      store.serve(outbox, commit -> outcome);
    }
    writer.tick(types, now);
    store.serve(outbox, commit -> outcome);
  }

  private Map<String, MachineType> stored() {
    return ((StoredValue.MachineTypesRecord)
            store.find(StoreKeys.MACHINE_TYPES).orElseThrow().value())
        .types();
  }

  @Test
  void delayedWriteDoesNotOverwriteNewerTypes() {
    tick(types("m"), FaultyStore.CommitOutcome.DELAYED);
    tick(types("m", "n"), FaultyStore.CommitOutcome.APPLIED);
    store.applyDelayed(0);
    assertThat(stored()).containsOnlyKeys("m", "n");
  }

  @Test
  void lostAnswerDoesNotBlockLaterWrites() {
    tick(types("m"), FaultyStore.CommitOutcome.ANSWER_LOST);
    tick(types("m", "n"), FaultyStore.CommitOutcome.APPLIED);
    tick(types("m", "n"), FaultyStore.CommitOutcome.APPLIED);
    assertThat(stored()).containsOnlyKeys("m", "n");
  }
}
