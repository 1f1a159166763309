package org.oakwalk.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.oakwalk.core.MonotonicTime;
import org.oakwalk.core.NodeId;
import org.oakwalk.core.Revision;
import org.oakwalk.core.WallTime;
import org.oakwalk.core.port.Outbox;
import org.oakwalk.core.store.Entry;
import org.oakwalk.core.store.FaultyStore;
import org.oakwalk.core.store.Guard;
import org.oakwalk.core.store.StoreKeys;
import org.oakwalk.core.store.StoredValue;

/**
 * Guards against stops that the store does not account for: a write of grants without an answer may
 * be applied after a newer one.
 */
class StopGrantsTest {
  private static final DisruptionBudget ONE =
      new DisruptionBudget("one", Optional.empty(), 5, Optional.of(40));
  private static final DisruptionBudget TWO =
      new DisruptionBudget("two", Optional.empty(), 5, Optional.of(40));
  private static final WallTime WALL = new WallTime(1_000_000_000);

  private FaultyStore store = new FaultyStore();
  private Outbox outbox;
  private long now;

  private Revision storedRevision() {
    return store.find(StoreKeys.RECENT_STOPS).map(Entry::revision).orElse(Revision.NONE);
  }

  private Optional<StoredValue.StopsRecord> record() {
    return store.find(StoreKeys.RECENT_STOPS).map(entry -> (StoredValue.StopsRecord) entry.value());
  }

  private StopGrants startTerm() {
    outbox = new Outbox();
    Revision token =
        store.put(StoreKeys.LEADER, new StoredValue.LeaderRecord(new NodeId("n"), "a", "life"));
    return new StopGrants(
        outbox, new Guard(StoreKeys.LEADER, token), record(), this::storedRevision);
  }

  private void tick(StopGrants grants, FaultyStore.CommitOutcome outcome) {
    now += 1100;
    grants.tick(List.of(ONE, TWO), Map.of(), new MonotonicTime(now), WALL);
    store.serve(outbox, commit -> outcome);
  }

  private int stored(DisruptionBudget budget) {
    return record()
        .map(record -> record.byBudget().get(budget.name()))
        .map(stops -> stops.grantedByInterval().values().stream().mapToInt(Integer::intValue).sum())
        .orElse(0);
  }

  @Test
  void delayedWriteDoesNotRevokeNewerGrants() {
    StopGrants grants = startTerm();
    grants.checkOrRequest(ONE, 1);
    tick(grants, FaultyStore.CommitOutcome.DELAYED);
    grants.checkOrRequest(TWO, 2);
    tick(grants, FaultyStore.CommitOutcome.APPLIED);
    assertThat(grants.checkOrRequest(TWO, 2)).isTrue();
    store.applyDelayed(0);
    assertThat(stored(TWO)).isGreaterThanOrEqualTo(2);
  }

  /** After a lost answer the grants are requested again and become available. */
  @Test
  void grantsContinueAfterLostAnswer() {
    StopGrants grants = startTerm();
    grants.checkOrRequest(ONE, 1);
    tick(grants, FaultyStore.CommitOutcome.ANSWER_LOST);
    for (int i = 0; i < 3; i++) {
      grants.checkOrRequest(ONE, 1);
      tick(grants, FaultyStore.CommitOutcome.APPLIED);
    }
    assertThat(grants.checkOrRequest(ONE, 1)).isTrue();
  }

  /** Leaders change and writes are lost or delayed; no more stops are made than are stored. */
  @Test
  void everyStopMadeIsStored() {
    for (long seed = 1; seed <= 200; seed++) {
      store = new FaultyStore();
      UniformRandomProvider chance = RandomSource.XO_SHI_RO_256_PP.create(seed);
      Map<DisruptionBudget, Integer> made = new HashMap<>(Map.of(ONE, 0, TWO, 0));
      StopGrants grants = startTerm();
      for (int step = 0; step < 100; step++) {
        if (chance.nextInt(20) == 0) {
          grants = startTerm();
        }
        DisruptionBudget budget = chance.nextBoolean() ? ONE : TWO;
        if (grants.checkOrRequest(budget, 1)) {
          grants.consume(budget);
          made.merge(budget, 1, Integer::sum);
        }
        FaultyStore.CommitOutcome[] outcomes = FaultyStore.CommitOutcome.values();
        tick(grants, outcomes[chance.nextInt(outcomes.length)]);
        if (store.delayedCount() > 0 && chance.nextInt(3) == 0) {
          store.applyDelayed(chance.nextInt(store.delayedCount()));
        }
        made.forEach(
            (usedBudget, count) ->
                assertThat(stored(usedBudget))
                    .as("stored grants of %s, of which %d are used", usedBudget.name(), count)
                    .isGreaterThanOrEqualTo(count));
      }
    }
  }
}
